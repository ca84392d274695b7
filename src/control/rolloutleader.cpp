#include "control/rolloutleader.h"

#include <algorithm>
#include <cmath>

namespace cumindyke
{

namespace
{

/// Below the tenth of all requests that an unproven version may get.
constexpr std::uint32_t FirstSharePermille = 70;
/// With the first share for seven tenths of the time and this one for two tenths, the version gets under an eighth of all requests.
constexpr std::uint32_t SecondSharePermille = 200;
constexpr std::uint32_t FullSharePermille = 1000;
/// Ratios of the rollout's time at which the second share and the end come; the last tenth allows for a leader change.
constexpr double SecondShareTimeRatio = 0.7;
constexpr double CompletionTimeRatio = 0.9;
/// A version with fewer answers is unproven.
constexpr std::uint64_t MinAnswers = 20;
constexpr double MinFailureRate = 0.02;
constexpr double FailureSignificance = 1e-4;
constexpr double SlowRatio = 2.5;

/// Returns the probability of at least "events" successes in "trials" trials of probability p.
double binomialTail(std::uint64_t events, std::uint64_t trials, double p)
{
    double below = 0;
    for (std::uint64_t k = 0; k < events; ++k) {
        const auto n = static_cast<double>(trials);
        const auto i = static_cast<double>(k);
        const double logChoose = std::lgamma(n + 1) - std::lgamma(i + 1) - std::lgamma(n - i + 1);
        below += std::exp(logChoose + i * std::log(p) + (n - i) * std::log1p(-p));
    }
    return std::max(0.0, 1 - below);
}

double meanHeadMs(const v1::VersionCounts &counts)
{
    return counts.heads() == 0 ? 0 : static_cast<double>(counts.head_ms()) / static_cast<double>(counts.heads());
}

v1::VersionCounts sumOfOthers(const std::map<std::string, v1::VersionCounts> &versions, const std::string &target)
{
    v1::VersionCounts sum;
    for (const auto &[version, counts] : versions) {
        if (version == target) {
            continue;
        }
        sum.set_good(sum.good() + counts.good());
        sum.set_bad(sum.bad() + counts.bad());
        sum.set_head_ms(sum.head_ms() + counts.head_ms());
        sum.set_heads(sum.heads() + counts.heads());
    }
    return sum;
}

v1::RolloutVerdict makeVerdict(const v1::Rollout &rollout, v1::RolloutState state, std::uint32_t share, const std::string &reason)
{
    v1::RolloutVerdict verdict;
    verdict.set_service(rollout.service());
    verdict.set_target(rollout.target());
    verdict.set_started_at_ms(rollout.started_at_ms());
    verdict.set_state(state);
    verdict.set_share_permille(share);
    verdict.set_reason(reason);
    return verdict;
}

std::string describeEvidence(const v1::VersionCounts &target, const v1::VersionCounts &others)
{
    return std::to_string(target.bad()) + " of " + std::to_string(target.good() + target.bad()) + " failed (others " + std::to_string(others.bad()) + " of "
        + std::to_string(others.good() + others.bad()) + "), " + std::to_string(static_cast<long>(meanHeadMs(target))) + " ms (others "
        + std::to_string(static_cast<long>(meanHeadMs(others))) + " ms)";
}

}

VersionHealth evaluateVersion(const v1::VersionCounts &target, const v1::VersionCounts &others)
{
    const std::uint64_t answers = target.good() + target.bad();
    const std::uint64_t otherAnswers = others.good() + others.bad();
    const double otherRate = otherAnswers == 0 ? 0 : static_cast<double>(others.bad()) / static_cast<double>(otherAnswers);
    const double expected = std::clamp(1.5 * otherRate, MinFailureRate, 0.9);
    if (target.bad() >= 3 && binomialTail(target.bad(), answers, expected) < FailureSignificance) {
        return VersionHealth::Failing;
    }
    const bool bothTimed = target.heads() >= MinAnswers && others.heads() >= MinAnswers;
    if (bothTimed && meanHeadMs(target) > SlowRatio * meanHeadMs(others)) {
        return VersionHealth::Slow;
    }
    return answers >= MinAnswers ? VersionHealth::Healthy : VersionHealth::Unproven;
}

std::vector<v1::RolloutVerdict> decideRollouts(const RolloutMap &rollouts, FleetAggregate &aggregate, WallTime now)
{
    std::vector<v1::RolloutVerdict> verdicts;
    for (const auto &[service, rollout] : rollouts) {
        if (rollout.state() != v1::ROLLOUT_IN_PROGRESS) {
            continue;
        }
        const std::string rolloutId = service + "/" + rollout.target() + "/" + std::to_string(rollout.started_at_ms());
        const std::map<std::string, v1::VersionCounts> versions = aggregate.countsSinceStart(service, rolloutId);
        const auto found = versions.find(rollout.target());
        const v1::VersionCounts target = found == versions.end() ? v1::VersionCounts() : found->second;
        const v1::VersionCounts others = sumOfOthers(versions, rollout.target());
        const VersionHealth health = evaluateVersion(target, others);
        const double elapsedRatio = static_cast<double>(now.value - rollout.started_at_ms()) / std::max<double>(1, rollout.duration_ms());
        // Step 1. A failing or slow version is rolled back at any time.
        if (health == VersionHealth::Failing || health == VersionHealth::Slow) {
            const std::string kind = health == VersionHealth::Failing ? "fails more than the other versions: " : "slower than the other versions: ";
            verdicts.push_back(makeVerdict(rollout, v1::ROLLOUT_ROLLED_BACK, 0, kind + describeEvidence(target, others)));
            continue;
        }
        // Step 2. At the end the version gets all traffic if it is healthy and none otherwise.
        if (elapsedRatio >= CompletionTimeRatio && health == VersionHealth::Healthy) {
            verdicts.push_back(makeVerdict(rollout, v1::ROLLOUT_COMPLETED, FullSharePermille, "no fault found: " + describeEvidence(target, others)));
            continue;
        }
        if (elapsedRatio >= 1) {
            verdicts.push_back(makeVerdict(rollout, v1::ROLLOUT_ROLLED_BACK, 0, "too few answers by the time limit: " + describeEvidence(target, others)));
            continue;
        }
        // Step 3. Before the end the share follows from the elapsed time.
        const bool isSecondShare = elapsedRatio >= SecondShareTimeRatio && health == VersionHealth::Healthy;
        const std::uint32_t share = isSecondShare ? SecondSharePermille : FirstSharePermille;
        if (rollout.share_permille() != share) {
            verdicts.push_back(makeVerdict(rollout, v1::ROLLOUT_IN_PROGRESS, share, isSecondShare ? "no fault at the first share" : "first share"));
        }
    }
    return verdicts;
}

}
