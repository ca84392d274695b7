#include "upstream/requestlimit.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace cumindyke;

namespace
{

Result<std::optional<double>> parsed(const HeaderList &headers)
{
    return parseRequestLimit(headers, "Server-Limit");
}

}

TEST_CASE("a request limit is a decimal number, in any case of the header's name, the lowest of several")
{
    CHECK(valueOf(parsed({})) == std::nullopt);
    CHECK(valueOf(parsed({{"Other", "x"}})) == std::nullopt);
    CHECK(valueOf(parsed({{"server-limit", "3.4"}})) == 3.4);
    CHECK(valueOf(parsed({{"Server-Limit", "0"}})) == 0);
    CHECK(valueOf(parsed({{"Server-Limit", "7"}, {"Server-Limit", "2.5"}})) == 2.5);
    CHECK(valueOf(parsed({{"Server-Limit", std::string(40, '9')}})) > 1e39);
}

// Guards against a malformed limit that blocks an upstream, or is taken for the lifting of its limit.
TEST_CASE("a malformed request limit is an error")
{
    for (const char *text : {"", " ", "nan", "inf", "-1", "1e400", "1e3", "3,4", "3.4.5", "0x10", "+3", "3.4 "}) {
        INFO(text);
        CHECK_FALSE(ok(parsed({{"Server-Limit", text}})));
    }
    CHECK_FALSE(ok(parsed({{"Server-Limit", "3"}, {"Server-Limit", "three"}})));
    CHECK_FALSE(ok(parsed({{"Server-Limit", std::string(400, '9')}})));
}
