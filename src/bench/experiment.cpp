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

void count(ExperimentResult &result, const BenchRequest &request, const BenchRecord &record)
{
    const bool onTime = record.end == BenchEnd::OnTime;
    TierGoodput &tier = result.tiers[request.tier];
    ++tier.requests;
    tier.onTime += onTime ? 1 : 0;
    result.work += request.work();
    result.workOnTime += onTime ? request.work() : 0;
    result.prefilled += record.prefilled;
    result.wastedPrefill += onTime ? record.cachedElsewhere : record.prefilled;
    result.late += record.end == BenchEnd::Late ? 1 : 0;
    result.failed += record.end == BenchEnd::Failed ? 1 : 0;
    if (record.upstream) {
        result.wait.record(record.dispatched - request.arrival);
    }
    result.shed += record.end == BenchEnd::Shed ? 1 : 0;
}

/// One line per request: its end, its upstream, and when it was sent and ended.
std::uint64_t signatureOf(const World &world)
{
    std::string text;
    for (const BenchRecord &record : world.records()) {
        text += std::to_string(static_cast<int>(record.end)) + ' ' + (record.upstream ? std::to_string(*record.upstream) : "-") + ' '
            + std::to_string(record.dispatched.time_since_epoch().count()) + ' ' + std::to_string(record.ended.time_since_epoch().count()) + '\n';
    }
    return checksum(text);
}

ExperimentResult resultOf(World &world)
{
    ExperimentResult result;
    for (const BenchRequest &request : world.requests()) {
        count(result, request, world.records()[request.index]);
    }
    result.counters = world.counters();
    result.signature = signatureOf(world);
    for (const auto &[rank, tier] : result.tiers) {
        result.tierShares[rank].push_back(static_cast<double>(tier.onTime) / static_cast<double>(tier.requests));
    }
    result.allShares.push_back(result.workOnTime / result.work);
    return result;
}

template<typename Policy, typename... Options>
ExperimentResult runWith(const Scenario &scenario, std::uint64_t seed, const Options &...options)
{
    World world(scenario, seed);
    Policy policy(world, options...);
    world.run();
    return resultOf(world);
}

using Runner = std::function<ExperimentResult(const Scenario &, std::uint64_t seed)>;

/// The shipped decisions, or what is left of them under the options.
std::pair<const std::string, Runner> cumindyke(const std::string &name, const CumindykeOptions &options)
{
    return {name, [options](const Scenario &scenario, std::uint64_t seed) { return runWith<CumindykePolicy>(scenario, seed, options); }};
}

const std::map<std::string, Runner> &runners()
{
    static const std::map<std::string, Runner> All{
        cumindyke("cumindyke", {}),
        cumindyke("no-affinity", {.placement = {.useAffinity = false}}),
        cumindyke("no-speeds", {.placement = {.useSpeeds = false}}),
        cumindyke("no-backlog", {.placement = {.useBacklog = false}}),
        cumindyke("no-long-cap", {.placement = {.capLongWork = false}}),
        cumindyke("no-deadline-check", {.placement = {.respectDeadline = false}}),
        cumindyke("fixed-windows", {.adaptWindows = false}),
        cumindyke("no-cache-events", {.useCacheEvents = false}),
        cumindyke("no-fairness", {.fairByWork = false}),
        cumindyke("no-kept-slots", {.keepSlots = false}),
        cumindyke("credit-split", {.useSchedulers = false}),
        {"baseline", [](const Scenario &scenario, std::uint64_t seed) { return runWith<BaselinePolicy>(scenario, seed); }},
        {"oracle", [](const Scenario &scenario, std::uint64_t seed) { return runWith<OraclePolicy>(scenario, seed); }},
    };
    return All;
}

void add(ExperimentResult &sum, const ExperimentResult &run)
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
    sum.movesGood += run.movesGood;
    sum.movesGoodInTime += run.movesGoodInTime;
    sum.movesBad += run.movesBad;
    sum.movesTakenBack += run.movesTakenBack;
    sum.badShareMax = std::max(sum.badShareMax, run.badShareMax);
    sum.badSecondsMaxFail = std::max(sum.badSecondsMaxFail, run.badSecondsMaxFail);
    sum.badSecondsMaxSlow = std::max(sum.badSecondsMaxSlow, run.badSecondsMaxSlow);
    sum.signature = checksum(std::to_string(sum.signature) + " " + std::to_string(run.signature));
    for (const auto &[rank, shares] : run.tierShares) {
        sum.tierShares[rank].insert(sum.tierShares[rank].end(), shares.begin(), shares.end());
    }
    sum.allShares.insert(sum.allShares.end(), run.allShares.begin(), run.allShares.end());
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
    const auto work = [&] {
        for (std::size_t i = next++; i < runs.size(); i = next++) {
            runs[i] = runOnce(scenario, policy, first + i);
        }
    };
    std::vector<std::thread> threads;
    for (std::uint32_t i = 1; i < std::min<std::size_t>(MaxThreads, runs.size()); ++i) {
        threads.emplace_back(work);
    }
    work();
    for (std::thread &thread : threads) {
        thread.join();
    }
    ExperimentResult sum;
    for (const ExperimentResult &run : runs) {
        add(sum, run);
    }
    return sum;
}

}
