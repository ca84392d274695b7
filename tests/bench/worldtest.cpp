#include "bench/experiment.h"
#include "bench/random.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

Scenario shipped(const std::string &name)
{
    const auto scenario = readScenario(std::string(CUMINDYKE_SOURCE) + "/scenarios/" + name + ".toml");
    INFO((ok(scenario) ? "" : errorOf(scenario).message));
    REQUIRE(ok(scenario));
    return valueOf(scenario);
}

}

TEST_CASE("random numbers follow their distributions and repeat with the same seed")
{
    Random random(1);
    double sum = 0;
    for (int i = 0; i < 10'000; ++i) {
        sum += random.exponential();
    }
    CHECK(sum / 10'000 == Approx(1).margin(0.03));
    Random first(7);
    Random second(7);
    CHECK(first.uniform() == second.uniform());
    CHECK(first.fromQuantiles({10, 20}) >= 10);
}

TEST_CASE("every shipped scenario can be read")
{
    const auto names = listScenarios(std::string(CUMINDYKE_SOURCE) + "/scenarios");
    REQUIRE(ok(names));
    CHECK(valueOf(names).size() >= 20);
    for (const std::string &name : valueOf(names)) {
        shipped(name);
    }
}

TEST_CASE("a run repeats with the same signature, and every request ends once")
{
    const Scenario scenario = shipped("lagos-lost-engine");
    for (const std::string &policy : policyNames()) {
        INFO(policy);
        const ExperimentResult result = runOnce(scenario, policy, 3);
        CHECK(result.signature == runOnce(scenario, policy, 3).signature);
        CHECK(result.counters.dispatchedTwice == 0);
        std::uint64_t requests = 0;
        std::uint64_t onTime = 0;
        for (const auto &[rank, tier] : result.tiers) {
            requests += tier.requests;
            onTime += tier.onTime;
        }
        CHECK(onTime + result.late + result.failed + result.shed == requests);
    }
}

TEST_CASE("the sum over seeds does not depend on the order of the threads")
{
    const Scenario scenario = shipped("amman-steady");
    CHECK(runSeeds(scenario, "baseline", 1, 6).signature == runSeeds(scenario, "baseline", 1, 6).signature);
}
