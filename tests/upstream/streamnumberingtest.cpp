#include "upstream/streamnumbering.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

/// One letter for each event: passed, dropped, or broken.
std::string verdicts(StreamNumbering &numbering, const std::vector<std::string> &ids)
{
    std::string letters;
    for (const std::string &id : ids) {
        const EventVerdict verdict = numbering.judge(id);
        letters += verdict == EventVerdict::Pass ? 'p' : verdict == EventVerdict::Drop ? 'd' : 'b';
    }
    return letters;
}

StreamNumbering resumedAfter(const std::vector<std::string> &ids)
{
    StreamNumbering numbering(EventIds::Increasing);
    REQUIRE(verdicts(numbering, ids) == std::string(ids.size(), 'p'));
    numbering.startAnswer();
    return numbering;
}

}

// Guards against a second answer on the same connection, and ids that repeat or go back.
TEST_CASE("ids must increase within one answer")
{
    for (const char *next : {"7", "6", "0"}) {
        CAPTURE(next);
        StreamNumbering numbering(EventIds::Increasing);
        CHECK(verdicts(numbering, {"3", "7"}) == "pp");
        CHECK(numbering.judge(next) == EventVerdict::Break);
        CHECK(numbering.lastId() == "7");
    }
}

// Guards against duplicates from an upstream that ignores Last-Event-Id or begins before it.
TEST_CASE("a resumed answer's events that the caller has are dropped")
{
    StreamNumbering numbering = resumedAfter({"1", "2", "3"});
    CHECK(verdicts(numbering, {"1", "2", "3", "4", "5"}) == "dddpp");
    numbering.startAnswer();
    CHECK(verdicts(numbering, {"5", "6"}) == "dp");
    numbering.startAnswer();
    CHECK(verdicts(numbering, {"2", "1"}) == "db");
}

// Guards against a gap in a resumed stream that looks complete.
TEST_CASE("a resumed answer must not skip ids that were consecutive")
{
    StreamNumbering consecutive = resumedAfter({"1", "2"});
    CHECK(consecutive.judge("4") == EventVerdict::Break);
    consecutive.startAnswer();
    CHECK(verdicts(consecutive, {"3", "4"}) == "pp");
    StreamNumbering sparse = resumedAfter({"10", "20"});
    CHECK(verdicts(sparse, {"30", "45"}) == "pp");
}

TEST_CASE("a gap within the first answer is the upstream's own numbering")
{
    StreamNumbering numbering(EventIds::Increasing);
    CHECK(verdicts(numbering, {"1", "2", "5", "6"}) == "pppp");
}

// Guards against events that a caller gets twice since it resumed the stream itself. How its ids go on after that is not known yet.
TEST_CASE("events that the caller named as received are dropped")
{
    StreamNumbering numbering(EventIds::Increasing);
    numbering.setCallerHas("12");
    numbering.startAnswer();
    CHECK(verdicts(numbering, {"11", "", "12", "14"}) == "dddp");
    StreamNumbering other(EventIds::Increasing);
    other.setCallerHas("x12");
    CHECK(verdicts(other, {"1"}) == "p");
}

TEST_CASE("events without a number pass")
{
    StreamNumbering numbering(EventIds::Increasing);
    CHECK(verdicts(numbering, {"", "a", "a", "-1", "1.5", "1234567890123456789012"}) == "pppppp");
    CHECK(numbering.lastId().empty());
    CHECK_FALSE(numbering.canResume());
    CHECK(verdicts(numbering, {"1", "", "2"}) == "ppp");
    CHECK(numbering.canResume());
}

// Guards against a closing event that comes twice: the resumed answer sends again what follows the last number.
TEST_CASE("unnumbered events that a resumed answer repeats are dropped")
{
    StreamNumbering numbering = resumedAfter({"1", "", "2", "", ""});
    CHECK(verdicts(numbering, {"1", "", "2", "", "", "", "3"}) == "dddddpp");
    StreamNumbering exact = resumedAfter({"1", ""});
    CHECK(verdicts(exact, {"", ""}) == "dp");
}

TEST_CASE("ids from zero have no gap, in the first answer either")
{
    StreamNumbering numbering(EventIds::FromZero);
    CHECK(numbering.judge("1") == EventVerdict::Break);
    numbering.startAnswer();
    CHECK(verdicts(numbering, {"0", "1", "3"}) == "ppb");
    CHECK(numbering.next() == 2);
}
