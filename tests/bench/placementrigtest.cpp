#include "bench/placementrig.h"
#include "bench/benchcommand.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace cumindyke;

namespace
{

PlacementLoad shipped(const std::string &name)
{
    const Result<PlacementLoad> load = readPlacementLoad(std::string(CUMINDYKE_SOURCE) + "/scenarios/placement/" + name + ".toml");
    REQUIRE(ok(load));
    return valueOf(load);
}

double meanShare(const PlacementLoad &load, std::uint64_t seeds)
{
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const PlacementOutcome outcome = playPlacement(load, seed);
        CHECK(outcome.dispatchedTwice == 0);
        sum += outcome.earnedShare();
    }
    return sum / static_cast<double>(seeds);
}

}

TEST_CASE("the same seed gives the same outcome")
{
    PlacementLoad load = shipped("burst");
    load.duration = std::chrono::seconds(8);
    const PlacementOutcome one = playPlacement(load, 5);
    const PlacementOutcome two = playPlacement(load, 5);
    CHECK(one.earnedShare() == two.earnedShare());
    CHECK(playPlacement(load, 6).earnedShare() != one.earnedShare());
}

// Pattern: engines of three speeds at half of what they can do. Nobody has reason to wait, so whoever is late was placed badly: a long answer or prompt on the
// slowest engines, or beside too many others.
TEST_CASE("at half load nearly everybody is served on time")
{
    CHECK(meanShare(shipped("quiet"), 4) > 0.98);
}

// Pattern: twice of what the engines can do, for five seconds and again for two and a half. What is refused is told so while others are served on time: late
// answers would take as much work and help little.
TEST_CASE("a burst leaves no line of late answers behind")
{
    const PlacementLoad load = shipped("burst");
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const PlacementOutcome outcome = playPlacement(load, seed);
        CHECK(outcome.dispatchedTwice == 0);
        std::uint32_t onTime = 0;
        std::uint32_t late = 0;
        for (const auto &[name, route] : outcome.routes) {
            onTime += route.onTime;
            late += route.late;
            // Every request has an end.
            CHECK(route.requests == route.onTime + route.late + route.refused + route.overLimit + route.failed);
        }
        CHECK(late * 6 < onTime);
    }
}

// Pattern: one organisation asks for six times its usual while three engines are lost. The others are within their limits.
TEST_CASE("more urgent routes get more of what they ask for when an organisation floods the service")
{
    const PlacementLoad load = shipped("hot-organisation");
    double urgent = 0;
    double routine = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const PlacementOutcome outcome = playPlacement(load, seed);
        urgent += outcome.routes.at("long-notes").earned / outcome.routes.at("long-notes").owed;
        routine += outcome.routes.at("labels").earned / outcome.routes.at("labels").owed;
    }
    CHECK(urgent > routine);
    CHECK(urgent / 4 > 0.85);
}

TEST_CASE("a load with impossible values is refused with key and remedy")
{
    const std::string file = std::string(CUMINDYKE_BIN) + "/bad-load.toml";
    std::ofstream(file) << "duration_s = -1\nspeed = 3\n[[route]]\nname = \"r\"\nprompt = [9, 3]\nanswer = [1, 2]\n[[engines]]\nprefix = \"e\"\n";
    const Result<PlacementLoad> load = readPlacementLoad(file);
    REQUIRE_FALSE(ok(load));
    for (const char *part : {"duration_s", "speed", "prompt"}) {
        CHECK(errorOf(load).message.find(part) != std::string::npos);
    }
    std::ostringstream out;
    std::ostringstream err;
    const std::array<const char *, 3> arguments{"cumindyke-bench", "placement", "no-such-load"};
    CHECK(runBenchCommand(arguments.size(), arguments.data(), out, err) == 1);
    CHECK(err.str().find("no-such-load") != std::string::npos);
}
