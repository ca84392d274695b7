#include "proxy/shutdowngrace.h"
#include "proxy/answertime.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start{1000s};

}

// Guards against a request that is sent although the platform kills the process before the request's answer, and against a refusal of one that ends in time.
TEST_CASE("a request is sent in the grace only if it is expected to end before the final answers")
{
    const ShutdownGrace grace(Start, 8s);
    CHECK(grace.endsInTime(Start, 7s));
    CHECK_FALSE(grace.endsInTime(Start, 8s));
    CHECK(grace.endsInTime(Start + 5s, 2s));
    CHECK_FALSE(grace.endsInTime(Start + 5s, 3s));
    CHECK_FALSE(grace.endsInTime(Start + 8s, 0s));
    CHECK_FALSE(grace.endsInTime(Start + 9s, 1ms));
}

// Guards against a stream that is broken off before the last sixth of the grace, which the platform takes for a lost one, and against answers that come so late
// that they are not written when the process is killed.
TEST_CASE("final answers are due within the last sixth of the grace, a while before its end")
{
    for (const Duration length : {Duration(1s), Duration(8s), Duration(60s)}) {
        const ShutdownGrace grace(Start, length);
        CHECK_FALSE(grace.areFinalAnswersDue(Start + length - length / 6));
        CHECK(grace.areFinalAnswersDue(Start + length - std::min<Duration>(length / 13, 990ms)));
    }
}

// Guards against requests that a VM which is killed at once still sends.
TEST_CASE("without any grace nothing is sent and all final answers are due at once")
{
    const ShutdownGrace grace(Start, 0s);
    CHECK_FALSE(grace.endsInTime(Start, 0s));
    CHECK(grace.areFinalAnswersDue(Start));
}

// Guards against requests that are cut short where nothing kills the process.
TEST_CASE("without a limit of the grace every request is sent and runs to its end")
{
    const ShutdownGrace grace(Start, {});
    CHECK(grace.endsInTime(Start + 24h, 24h));
    CHECK_FALSE(grace.areFinalAnswersDue(Start + 24h));
}

// Guards against an estimate that most requests exceed, and one that refuses requests long before the end of the grace since a single one was slow.
TEST_CASE("the estimate of a route's answers is above most of them and forgets a slow one")
{
    AnswerTime time;
    CHECK_FALSE(time.upperEstimate());
    time.record(100ms);
    CHECK(*time.upperEstimate() == Duration(300ms));
    for (int i = 0; i < 100; ++i) {
        time.record(i % 2 == 0 ? 100ms : 300ms);
    }
    CHECK(*time.upperEstimate() > Duration(300ms));
    CHECK(*time.upperEstimate() < Duration(800ms));
    time.record(10s);
    CHECK(*time.upperEstimate() > Duration(10s));
    for (int i = 0; i < 40; ++i) {
        time.record(200ms);
    }
    CHECK(*time.upperEstimate() < Duration(400ms));
}
