#include "bench/benchcommand.h"
#include "bench/histogram.h"
#include "bench/loadrun.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <sstream>

using namespace cumindyke;
using namespace std::chrono_literals;

namespace
{

std::string runTool(std::vector<const char *> arguments, int expected = 0)
{
    arguments.insert(arguments.begin(), "cumindyke-bench");
    std::ostringstream out;
    std::ostringstream err;
    INFO(err.str());
    CHECK(runBenchCommand(static_cast<int>(arguments.size()), arguments.data(), out, err) == expected);
    return expected == 0 ? out.str() : err.str();
}

}

TEST_CASE("a histogram gives percentiles within 2%")
{
    Histogram histogram;
    for (int i = 1; i <= 100'000; ++i) {
        histogram.record(Duration(i * 10));
    }
    CHECK(histogram.count() == 100'000);
    for (const double ratio : {0.1, 0.5, 0.9, 0.99, 0.999}) {
        CHECK(static_cast<double>(histogram.percentile(ratio).count()) == Approx(ratio * 1e6).epsilon(0.02));
    }
    CHECK(histogram.percentile(1) == 1s);
    Histogram sum;
    sum.add(histogram);
    sum.record(3600s);
    CHECK(sum.percentile(1) == 3600s);
    CHECK(Histogram().percentile(0.5) == Duration::zero());
}

TEST_CASE("the JSON output of run has the documented keys")
{
    const std::string text = runTool({"run", "amman-steady", "--seeds", "2..3", "--policy", "baseline,cumindyke", "--json"});
    const auto json = nlohmann::json::parse(text);
    CHECK(json["scenario"] == "amman-steady");
    CHECK(json["seeds"] == "2..3");
    for (const char *policy : {"baseline", "cumindyke"}) {
        const auto &result = json["policies"][policy];
        CHECK(result["goodput"][0]["tier"] == 0);
        CHECK(result["goodput"][0]["share"].is_number());
        for (const char *key : {"goodput_all",
                                "wasted_prefill",
                                "tier_inversions",
                                "dispatched_twice",
                                "moves_good",
                                "moves_good_in_time",
                                "moves_bad",
                                "moves_taken_back",
                                "bad_share_max",
                                "bad_seconds_max_fail",
                                "bad_seconds_max_slow"}) {
            INFO(key);
            CHECK(result[key].is_number());
        }
    }
}

TEST_CASE("wrong usage is reported with its remedy")
{
    CHECK_THAT(runTool({"run", "amman-steady", "--policy", "hope"}, 2), Catch::Contains("choose among"));
    CHECK_THAT(runTool({"run", "amman-steady", "--seeds", "9..1"}, 2), Catch::Contains("write A..B"));
    CHECK_THAT(runTool({"run", "no-such-scenario"}, 1), Catch::Contains("no-such-scenario"));
    CHECK_THAT(runTool({"load", "127.0.0.1:80"}, 2), Catch::Contains("http://HOST:PORT/PATH"));
}

TEST_CASE("the signature equals the recorded one")
{
    // The signature changes exactly when a decision changes. A commit that changes it records the new number here and gives the figures
    // that justify it.
    CHECK(runTool({"signature"}) == "3237083006201153073\n");
}
