#pragma once

#include "bench/histogram.h"
#include "bench/scenario.h"
#include "bench/world.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cumindyke
{

struct TierGoodput
{
    std::uint64_t requests = 0;
    std::uint64_t onTime = 0;
};

/// What one policy did in one run, or over several seeds.
struct ExperimentResult
{
    std::map<TierRank, TierGoodput> tiers;
    double work = 0;
    double workOnTime = 0;
    std::uint64_t prefilled = 0;
    /// Prefilled for answers that nobody got in time, or again though cached in a free upstream.
    std::uint64_t wastedPrefill = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t shed = 0;
    /// From arrival to dispatch.
    Histogram wait;
    BenchCounters counters;
    /// Filled by the version-move experiments.
    std::uint64_t movesGood = 0;
    std::uint64_t movesGoodInTime = 0;
    std::uint64_t movesBad = 0;
    std::uint64_t movesTakenBack = 0;
    double badShareMax = 0;
    double badSecondsMaxFail = 0;
    double badSecondsMaxSlow = 0;
    /// Changes with every decision: which request went where and when.
    std::uint64_t signature = 0;
    /// Each seed's goodput, for the spread: by tier, then over all.
    std::map<TierRank, std::vector<double>> tierShares;
    std::vector<double> allShares;
};

/// The names that --policy knows.
std::vector<std::string> policyNames();

/// One run of one policy.
ExperimentResult runOnce(const Scenario &scenario, const std::string &policy, std::uint64_t seed);

/// The sum over seeds first..last, in the order of seeds whatever the threads do.
ExperimentResult runSeeds(const Scenario &scenario, const std::string &policy, std::uint64_t first, std::uint64_t last);

}
