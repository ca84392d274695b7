#include "entry/requestlifecycle.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cumindyke;

namespace
{

const UpstreamName First{"runner-1"};
const UpstreamName Second{"runner-2"};

}

TEST_CASE("a dispatched request can't be dispatched again")
{
    RequestLifecycle lifecycle;
    REQUIRE(lifecycle.dispatch(First));
    CHECK_FALSE(lifecycle.dispatch(Second));
    CHECK(lifecycle.upstream() == First);
    lifecycle.markAnswerStarted();
    CHECK_FALSE(lifecycle.dispatch(Second));
    lifecycle.markEnded();
    CHECK_FALSE(lifecycle.dispatch(Second));
}

TEST_CASE("only an attempt proved not to have run may be followed by another dispatch")
{
    RequestLifecycle lifecycle;
    REQUIRE(lifecycle.dispatch(First));
    lifecycle.markNotRun();
    CHECK(lifecycle.notRunDispatches() == 1);
    CHECK(lifecycle.dispatch(Second));
    lifecycle.markAnswerStarted();
    // A proof after the start of an answer contradicts it and is ignored.
    lifecycle.markNotRun();
    CHECK_FALSE(lifecycle.dispatch(First));
    CHECK(lifecycle.notRunDispatches() == 1);
}

TEST_CASE("not run is reported only before a dispatch or after proof that the attempt did not run")
{
    RequestLifecycle lifecycle;
    CHECK(lifecycle.outcomeIfAbandoned() == RunOutcome::NotRun);
    lifecycle.dispatch(First);
    CHECK(lifecycle.outcomeIfAbandoned() == RunOutcome::Unknown);
    lifecycle.markNotRun();
    CHECK(lifecycle.outcomeIfAbandoned() == RunOutcome::NotRun);
    lifecycle.dispatch(Second);
    lifecycle.markAnswerStarted();
    CHECK(lifecycle.outcomeIfAbandoned() == RunOutcome::Ran);
}

TEST_CASE("in any order of events a second dispatch needs proof that the first attempt did not run")
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        RequestLifecycle lifecycle;
        bool dispatched = false;
        bool answerStarted = false;
        bool ended = false;
        for (int step = 0; step < 40; ++step) {
            switch (random() % 8) {
            case 0:
                lifecycle.markAnswerStarted();
                answerStarted = answerStarted || (dispatched && !ended);
                break;
            case 1:
                lifecycle.markNotRun();
                dispatched = dispatched && (answerStarted || ended);
                break;
            case 2:
                if (random() % 4 == 0) {
                    lifecycle.markEnded();
                    ended = true;
                }
                break;
            default:
                REQUIRE(lifecycle.dispatch(First) == (!dispatched && !ended));
                dispatched = dispatched || !ended;
                break;
            }
            REQUIRE((lifecycle.outcomeIfAbandoned() == RunOutcome::NotRun) == !dispatched);
        }
    }
}
