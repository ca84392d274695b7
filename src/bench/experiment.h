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

/// Results of one policy in one run or summed over several seeds.
struct ExperimentResult
{
    std::map<TierRank, TierGoodput> tiers;
    double work = 0;
    double workOnTime = 0;
    std::uint64_t prefilled = 0;
    /// Tokens prefilled for answers that were not on time, or although another upstream with a free slot had them cached.
    std::uint64_t wastedPrefill = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t shed = 0;
    /// Time from arrival to dispatch.
    Histogram wait;
    BenchCounters counters;
    /// Set only by the version-move experiments.
    std::uint64_t goodMoves = 0;
    std::uint64_t goodMovesInTime = 0;
    std::uint64_t badMoves = 0;
    std::uint64_t movesRolledBack = 0;
    double maxBadShare = 0;
    double maxBadSecondsFailing = 0;
    double maxBadSecondsSlow = 0;
    /// Checksum over the result, upstream and times of every request; changes with any decision.
    std::uint64_t signature = 0;
    /// Goodput of each seed, by tier and in total, for the range over the seeds.
    std::map<TierRank, std::vector<double>> tierGoodputs;
    std::vector<double> totalGoodputs;
};

/// Returns the names that --policy accepts.
std::vector<std::string> policyNames();

/// Runs one policy with one seed.
ExperimentResult runOnce(const Scenario &scenario, const std::string &policy, std::uint64_t seed);

/// Runs the seeds first to last on several threads and sums the results in the order of the seeds, so that the sum is deterministic.
ExperimentResult runSeeds(const Scenario &scenario, const std::string &policy, std::uint64_t first, std::uint64_t last);

}
