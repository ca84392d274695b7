#include "bench/experiment.h"

#include "bench/baselinepolicy.h"
#include "bench/cumindykepolicy.h"
#include "bench/oraclepolicy.h"
#include "common/hash.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace cumindyke
{

namespace
{

constexpr std::uint32_t MaxThreads = 4;

void addRequest(ExperimentResult &result, const BenchRequest &request, const BenchRecord &record)
{
    const bool onTime = record.result == RequestResult::OnTime;
    TierGoodput &tier = result.tiers[request.tier];
    ++tier.requests;
    tier.onTime += onTime ? 1 : 0;
    result.work += request.work();
    result.workOnTime += onTime ? request.work() : 0;
    result.prefilled += record.prefilled;
    result.wastedPrefill += onTime ? record.cachedOnOtherUpstream : record.prefilled;
    result.late += record.result == RequestResult::Late ? 1 : 0;
    result.failed += record.result == RequestResult::Failed ? 1 : 0;
    if (record.upstream) {
        result.wait.record(record.dispatchedAt - request.arrival);
    }
    result.shed += record.result == RequestResult::Shed ? 1 : 0;
}

/// Returns a checksum over one line per request: its result, its upstream, and its times of dispatch and end.
std::uint64_t signatureOf(const World &world)
{
    std::string text;
    for (const BenchRecord &record : world.records()) {
        text += std::to_string(static_cast<int>(record.result)) + ' ' + (record.upstream ? std::to_string(*record.upstream) : "-") + ' '
            + std::to_string(record.dispatchedAt.time_since_epoch().count()) + ' ' + std::to_string(record.endedAt.time_since_epoch().count()) + '\n';
    }
    return checksum(text);
}

ExperimentResult collectResult(World &world)
{
    ExperimentResult result;
    for (const BenchRequest &request : world.requests()) {
        addRequest(result, request, world.records()[request.index]);
    }
    result.counters = world.counters();
    result.signature = signatureOf(world);
    for (const auto &[rank, tier] : result.tiers) {
        result.tierGoodputs[rank].push_back(static_cast<double>(tier.onTime) / static_cast<double>(tier.requests));
    }
    result.totalGoodputs.push_back(result.workOnTime / result.work);
    return result;
}

template<typename Policy, typename... Options>
ExperimentResult runPolicy(const Scenario &scenario, std::uint64_t seed, const Options &...options)
{
    World world(scenario, seed);
    Policy policy(world, options...);
    world.run();
    return collectResult(world);
}

using Runner = std::function<ExperimentResult(const Scenario &, std::uint64_t seed)>;

/// Returns a runner of the shipped decision code with the given options.
std::pair<const std::string, Runner> cumindykeRunner(const std::string &name, const CumindykeOptions &options)
{
    return {name, [options](const Scenario &scenario, std::uint64_t seed) { return runPolicy<CumindykePolicy>(scenario, seed, options); }};
}

const std::map<std::string, Runner> &runners()
{
    static const std::map<std::string, Runner> Runners{
        cumindykeRunner("cumindyke", {}),
        cumindykeRunner("no-affinity", {.placement = {.useAffinity = false}}),
        cumindykeRunner("no-speeds", {.placement = {.useSpeeds = false}}),
        cumindykeRunner("no-backlog", {.placement = {.useBacklog = false}}),
        cumindykeRunner("no-long-cap", {.placement = {.capLongWork = false}}),
        cumindykeRunner("no-deadline-check", {.placement = {.respectDeadline = false}}),
        cumindykeRunner("fixed-windows", {.adaptWindows = false}),
        cumindykeRunner("no-cache-events", {.useCacheEvents = false}),
        cumindykeRunner("no-fairness", {.fairByWork = false}),
        cumindykeRunner("no-kept-slots", {.keepSlots = false}),
        cumindykeRunner("credit-split", {.useSchedulers = false}),
        {"baseline", [](const Scenario &scenario, std::uint64_t seed) { return runPolicy<BaselinePolicy>(scenario, seed); }},
        {"oracle", [](const Scenario &scenario, std::uint64_t seed) { return runPolicy<OraclePolicy>(scenario, seed); }},
    };
    return Runners;
}

void addRun(ExperimentResult &sum, const ExperimentResult &run)
{
    for (const auto &[rank, tier] : run.tiers) {
        sum.tiers[rank].requests += tier.requests;
        sum.tiers[rank].onTime += tier.onTime;
    }
    sum.work += run.work;
    sum.workOnTime += run.workOnTime;
    sum.prefilled += run.prefilled;
    sum.wastedPrefill += run.wastedPrefill;
    sum.late += run.late;
    sum.failed += run.failed;
    sum.shed += run.shed;
    sum.wait.add(run.wait);
    sum.counters.dispatchedTwice += run.counters.dispatchedTwice;
    sum.counters.tierInversions += run.counters.tierInversions;
    sum.counters.controlMessages += run.counters.controlMessages;
    sum.counters.controlBytes += run.counters.controlBytes;
    sum.goodMoves += run.goodMoves;
    sum.goodMovesInTime += run.goodMovesInTime;
    sum.badMoves += run.badMoves;
    sum.movesRolledBack += run.movesRolledBack;
    sum.maxBadShare = std::max(sum.maxBadShare, run.maxBadShare);
    sum.maxBadSecondsFailing = std::max(sum.maxBadSecondsFailing, run.maxBadSecondsFailing);
    sum.maxBadSecondsSlow = std::max(sum.maxBadSecondsSlow, run.maxBadSecondsSlow);
    sum.signature = checksum(std::to_string(sum.signature) + " " + std::to_string(run.signature));
    for (const auto &[rank, shares] : run.tierGoodputs) {
        sum.tierGoodputs[rank].insert(sum.tierGoodputs[rank].end(), shares.begin(), shares.end());
    }
    sum.totalGoodputs.insert(sum.totalGoodputs.end(), run.totalGoodputs.begin(), run.totalGoodputs.end());
}

}

std::vector<std::string> policyNames()
{
    std::vector<std::string> names;
    for (const auto &[name, runner] : runners()) {
        names.push_back(name);
    }
    return names;
}

ExperimentResult runOnce(const Scenario &scenario, const std::string &policy, std::uint64_t seed)
{
    return runners().at(policy)(scenario, seed);
}

ExperimentResult runSeeds(const Scenario &scenario, const std::string &policy, std::uint64_t first, std::uint64_t last)
{
    std::vector<ExperimentResult> runs(last - first + 1);
    std::atomic<std::size_t> next = 0;
    const auto runRemaining = [&] {
        for (std::size_t i = next++; i < runs.size(); i = next++) {
            runs[i] = runOnce(scenario, policy, first + i);
        }
    };
    std::vector<std::thread> threads;
    for (std::uint32_t i = 1; i < std::min<std::size_t>(MaxThreads, runs.size()); ++i) {
        threads.emplace_back(runRemaining);
    }
    runRemaining();
    for (std::thread &thread : threads) {
        thread.join();
    }
    ExperimentResult sum;
    for (const ExperimentResult &run : runs) {
        addRun(sum, run);
    }
    return sum;
}

}
