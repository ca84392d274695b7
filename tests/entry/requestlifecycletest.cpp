#include "entry/requestlifecycle.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cumindyke;

namespace
{

const UpstreamName First{"runner-1"};
const UpstreamName Second{"runner-2"};

}

TEST_CASE("a request that went out can't be dispatched again")
{
    RequestLife life;
    REQUIRE(life.dispatch(First));
    CHECK_FALSE(life.dispatch(Second));
    CHECK(life.upstream() == First);
    life.answerBegan();
    CHECK_FALSE(life.dispatch(Second));
    life.ended();
    CHECK_FALSE(life.dispatch(Second));
}

TEST_CASE("only a dispatch that is proved not to have run may be followed by another")
{
    RequestLife life;
    REQUIRE(life.dispatch(First));
    life.provedNotRun();
    CHECK(life.failedDispatches() == 1);
    CHECK(life.dispatch(Second));
    life.answerBegan();
    // A proof that comes after the answer began contradicts it and changes nothing.
    life.provedNotRun();
    CHECK_FALSE(life.dispatch(First));
    CHECK(life.failedDispatches() == 1);
}

TEST_CASE("not run is said only before a dispatch or after its proof")
{
    RequestLife life;
    CHECK(life.outcomeIfGivenUp() == RunOutcome::NotRun);
    life.dispatch(First);
    CHECK(life.outcomeIfGivenUp() == RunOutcome::Unknown);
    life.provedNotRun();
    CHECK(life.outcomeIfGivenUp() == RunOutcome::NotRun);
    life.dispatch(Second);
    life.answerBegan();
    CHECK(life.outcomeIfGivenUp() == RunOutcome::Ran);
}

TEST_CASE("in any order of events there is never a second dispatch without a proof between")
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        RequestLife life;
        bool out = false;
        bool began = false;
        bool over = false;
        for (int step = 0; step < 40; ++step) {
            switch (random() % 8) {
            case 0:
                life.answerBegan();
                began = began || (out && !over);
                break;
            case 1:
                life.provedNotRun();
                out = out && (began || over);
                break;
            case 2:
                if (random() % 4 == 0) {
                    life.ended();
                    over = true;
                }
                break;
            default:
                REQUIRE(life.dispatch(First) == (!out && !over));
                out = out || !over;
                break;
            }
            REQUIRE((life.outcomeIfGivenUp() == RunOutcome::NotRun) == !out);
        }
    }
}
