#include "control/rolloutleader.h"

#include <algorithm>
#include <cmath>

namespace cumindyke
{

namespace
{

/// Under the tenth of all requests that a version may get before anything is known of it.
constexpr std::uint32_t FirstSharePermille = 70;
/// With the first share for seven tenths of the time, this one for two tenths keeps the whole under an eighth.
constexpr std::uint32_t SecondSharePermille = 200;
constexpr std::uint32_t WholeSharePermille = 1000;
/// Parts of the time at which the second share and the end come; the last tenth is room for a change of leaders.
constexpr double SecondShareAt = 0.7;
constexpr double CompleteAt = 0.9;
/// Answers without which a version is neither good nor bad.
constexpr std::uint64_t LeastAnswers = 20;
constexpr double LeastFailureRate = 0.02;
constexpr double FailureProbability = 1e-4;
constexpr double SlowFactor = 2.5;

/// Probability of at least "events" in "trials" of probability p.
double atLeast(std::uint64_t events, std::uint64_t trials, double p)
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

v1::RolloutVerdict verdictOn(const v1::Rollout &rollout, v1::RolloutState state, std::uint32_t share, const std::string &reason)
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

std::string evidence(const v1::VersionCounts &target, const v1::VersionCounts &others)
{
    return std::to_string(target.bad()) + " of " + std::to_string(target.good() + target.bad()) + " failed (others " + std::to_string(others.bad()) + " of "
        + std::to_string(others.good() + others.bad()) + "), " + std::to_string(static_cast<long>(meanHeadMs(target))) + " ms (others "
        + std::to_string(static_cast<long>(meanHeadMs(others))) + " ms)";
}

}

VersionHealth judgeVersion(const v1::VersionCounts &target, const v1::VersionCounts &others)
{
    const std::uint64_t answers = target.good() + target.bad();
    const std::uint64_t otherAnswers = others.good() + others.bad();
    const double otherRate = otherAnswers == 0 ? 0 : static_cast<double>(others.bad()) / static_cast<double>(otherAnswers);
    const double expected = std::clamp(1.5 * otherRate, LeastFailureRate, 0.9);
    if (target.bad() >= 3 && atLeast(target.bad(), answers, expected) < FailureProbability) {
        return VersionHealth::Failing;
    }
    const bool bothTimed = target.heads() >= LeastAnswers && others.heads() >= LeastAnswers;
    if (bothTimed && meanHeadMs(target) > SlowFactor * meanHeadMs(others)) {
        return VersionHealth::Slow;
    }
    return answers >= LeastAnswers ? VersionHealth::Sound : VersionHealth::Unproved;
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
        const VersionHealth health = judgeVersion(target, others);
        const double passed = static_cast<double>(now.value - rollout.started_at_ms()) / std::max<double>(1, rollout.duration_ms());
        // Step 1. A version that looks worse gets nothing more, whatever the time.
        if (health == VersionHealth::Failing || health == VersionHealth::Slow) {
            const std::string kind = health == VersionHealth::Failing ? "fails more than the other versions: " : "slower than the other versions: ";
            verdicts.push_back(verdictOn(rollout, v1::ROLLOUT_ROLLED_BACK, 0, kind + evidence(target, others)));
            continue;
        }
        // Step 2. The end: all traffic on enough evidence, none without it.
        if (passed >= CompleteAt && health == VersionHealth::Sound) {
            verdicts.push_back(verdictOn(rollout, v1::ROLLOUT_COMPLETED, WholeSharePermille, "no fault found: " + evidence(target, others)));
            continue;
        }
        if (passed >= 1) {
            verdicts.push_back(verdictOn(rollout, v1::ROLLOUT_ROLLED_BACK, 0, "too few answers by the time limit: " + evidence(target, others)));
            continue;
        }
        // Step 3. The share that belongs to the time.
        const bool second = passed >= SecondShareAt && health == VersionHealth::Sound;
        const std::uint32_t share = second ? SecondSharePermille : FirstSharePermille;
        if (rollout.share_permille() != share) {
            verdicts.push_back(verdictOn(rollout, v1::ROLLOUT_IN_PROGRESS, share, second ? "no fault at the first share" : "first share"));
        }
    }
    return verdicts;
}

}
