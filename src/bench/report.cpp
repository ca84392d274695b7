#include "bench/report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>

namespace cumindyke
{

namespace
{

using Json = nlohmann::ordered_json;

double ratio(double numerator, double denominator)
{
    return denominator > 0 ? numerator / denominator : 0;
}

Json rangeJson(const std::vector<double> &values)
{
    if (values.empty()) {
        return Json::object();
    }
    const auto [least, greatest] = std::ranges::minmax(values);
    return Json{{"min", least}, {"max", greatest}};
}

Json goodputJson(const ExperimentResult &result)
{
    Json tiers = Json::array();
    for (const auto &[rank, tier] : result.tiers) {
        const Json spread = rangeJson(result.tierGoodputs.at(rank));
        tiers.push_back(Json{{"tier", rank.value},
                             {"share", ratio(static_cast<double>(tier.onTime), static_cast<double>(tier.requests))},
                             {"requests", tier.requests},
                             {"spread", spread}});
    }
    return tiers;
}

Json policyJson(const ExperimentResult &result)
{
    return Json{
        {"goodput", goodputJson(result)},
        {"goodput_all", ratio(result.workOnTime, result.work)},
        {"goodput_all_spread", rangeJson(result.totalGoodputs)},
        {"wasted_prefill", ratio(static_cast<double>(result.wastedPrefill), static_cast<double>(result.prefilled))},
        {"tier_inversions", result.counters.tierInversions},
        {"dispatched_twice", result.counters.dispatchedTwice},
        {"late", result.late},
        {"failed", result.failed},
        {"shed", result.shed},
        {"wait_ms_p50", static_cast<double>(result.wait.percentile(0.5).count()) / 1000},
        {"wait_ms_p99", static_cast<double>(result.wait.percentile(0.99).count()) / 1000},
        {"control_messages", result.counters.controlMessages},
        {"control_bytes", result.counters.controlBytes},
        {"moves_good", result.goodMoves},
        {"moves_good_in_time", result.goodMovesInTime},
        {"moves_bad", result.badMoves},
        {"moves_taken_back", result.movesRolledBack},
        {"bad_share_max", result.maxBadShare},
        {"bad_seconds_max_fail", result.maxBadSecondsFailing},
        {"bad_seconds_max_slow", result.maxBadSecondsSlow},
    };
}

}

void printJson(std::ostream &out, const ScenarioReport &report)
{
    Json policies = Json::object();
    for (const auto &[name, result] : report.policies) {
        policies[name] = policyJson(result);
    }
    const Json json{
        {"scenario", report.scenario},
        {"seeds", std::to_string(report.firstSeed) + ".." + std::to_string(report.lastSeed)},
        {"policies", policies},
    };
    out << json.dump(2) << "\n";
}

void printTable(std::ostream &out, const ScenarioReport &report)
{
    out << report.scenario << ", seeds " << report.firstSeed << ".." << report.lastSeed << "\n";
    out << std::fixed << std::setprecision(2);
    for (const auto &[name, result] : report.policies) {
        out << "  " << std::left << std::setw(20) << name << std::right << " on time";
        for (const auto &[rank, tier] : result.tiers) {
            out << "  tier " << static_cast<int>(rank.value) << " " << std::setw(6)
                << 100 * ratio(static_cast<double>(tier.onTime), static_cast<double>(tier.requests)) << "%";
        }
        out << "  all by work " << std::setw(6) << 100 * ratio(result.workOnTime, result.work) << "%  wasted prefill " << std::setw(5)
            << 100 * ratio(static_cast<double>(result.wastedPrefill), static_cast<double>(result.prefilled)) << "%  inversions "
            << result.counters.tierInversions << "  twice " << result.counters.dispatchedTwice << "  late " << result.late << " failed " << result.failed
            << " shed " << result.shed << "  wait ms p50 " << static_cast<double>(result.wait.percentile(0.5).count()) / 1000 << " p99 "
            << static_cast<double>(result.wait.percentile(0.99).count()) / 1000 << "  control MB " << static_cast<double>(result.counters.controlBytes) / 1e6
            << "\n";
        if (result.goodMoves + result.badMoves > 0) {
            out << "    moves: good " << result.goodMovesInTime << "/" << result.goodMoves << " in time, bad " << result.movesRolledBack << "/"
                << result.badMoves << " rolled back, bad share at most " << 100 * result.maxBadShare << "%, seconds at most " << result.maxBadSecondsFailing
                << " (fails) " << result.maxBadSecondsSlow << " (slows)\n";
        }
    }
}

}
