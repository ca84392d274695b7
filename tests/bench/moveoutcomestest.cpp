#include "bench/moveoutcomes.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

TEST_CASE("each family of moves ends as it should, on a few seeds")
{
    for (const MoveScenario &scenario : moveScenarios()) {
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            INFO(scenario.name << " seed " << seed);
            const MoveRun run = runMove(scenario, seed);
            CHECK(run.inTime == (scenario.good && !scenario.undecidable));
            CHECK(run.takenBack == !run.inTime);
            CHECK(run.badShare <= 0.02);
            CHECK(run.firstShare <= 100);
        }
    }
}

TEST_CASE("a run is a function of its seed")
{
    const MoveScenario &scenario = moveScenarios().at(1);
    CHECK(runMove(scenario, 7).badSeconds == runMove(scenario, 7).badSeconds);
}
