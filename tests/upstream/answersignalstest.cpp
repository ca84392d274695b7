#include "upstream/answersignals.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

const SignalHeaders Names{.pause = "Retry-After", .leaving = "Server-Leaving", .refusalLimit = "Server-Brittle"};

AnswerSignals parse(int status, const HeaderList &headers)
{
    return parseAnswerSignals(AnswerHead{.status = status, .contentType = {}, .headers = headers}, Names);
}

std::optional<Duration> pauseIn(const std::string &value)
{
    return parse(503, {{"retry-after", value}}).pause;
}

}

TEST_CASE("a pause is read from refusals only, in seconds with fractions")
{
    CHECK(pauseIn("3") == std::chrono::seconds(3));
    CHECK(pauseIn("0.25") == std::chrono::milliseconds(250));
    CHECK_FALSE(parse(503, {}).pause);
    CHECK_FALSE(parse(200, {{"Retry-After", "3"}}).pause);
    CHECK(parse(503, {{"Retry-After", "2"}, {"Retry-After", "5"}}).pause == std::chrono::seconds(5));
}

// Guards against a malformed pause that is taken for none, or for one without an end.
TEST_CASE("a malformed pause is a short one, and no pause is longer than an hour")
{
    for (const char *value : {"", " ", "-1", "nan", "inf", "1e400", "3,4", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "0x10"}) {
        CAPTURE(value);
        CHECK(pauseIn(value) == std::chrono::seconds(1));
        CHECK(parse(503, {{"Retry-After", value}}).hasInvalid);
    }
    CHECK(pauseIn("31536000") == std::chrono::hours(1));
    CHECK(pauseIn(std::string(40, '9')) == std::chrono::hours(1));
}

TEST_CASE("a leaving upstream and a limit of refusals are read from any answer, the most cautious of several values")
{
    CHECK(parse(200, {{"Server-Leaving", "1"}}).isLeaving);
    CHECK(parse(200, {{"server-leaving", "yes"}}).isLeaving);
    CHECK_FALSE(parse(200, {{"Server-Leaving", "0"}}).isLeaving);
    CHECK_FALSE(parse(200, {}).isLeaving);
    CHECK(parse(200, {{"Server-Brittle", "7"}, {"Server-Brittle", "4"}}).refusalLimit == 4);
    CHECK(parse(200, {{"Server-Brittle", "many"}}).refusalLimit == 0);
    CHECK_FALSE(parse(200, {}).refusalLimit);
}
