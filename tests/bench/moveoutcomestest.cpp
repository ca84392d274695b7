#include "bench/moveoutcomes.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

TEST_CASE("each move scenario ends with the expected state for two seeds")
{
    for (const MoveScenario &scenario : moveScenarios()) {
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            INFO(scenario.name << " seed " << seed);
            const MoveResult result = runMove(scenario, seed);
            CHECK(result.inTime == (scenario.good && !scenario.undecidable));
            CHECK(result.rolledBack == !result.inTime);
            CHECK(result.badShare <= 0.02);
            CHECK(result.firstShare <= 100);
        }
    }
}

TEST_CASE("a move run with the same seed gives the same result")
{
    const MoveScenario &scenario = moveScenarios().at(1);
    CHECK(runMove(scenario, 7).badSeconds == runMove(scenario, 7).badSeconds);
}
