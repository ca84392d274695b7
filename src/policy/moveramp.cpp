#include "policy/moveramp.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Largest first share of the new version; the first share is one upstream's worth of requests if that is less.
constexpr Permille MaxFirstShare{100};
/// Shares of the steps after the first; the last step is the soak. The old version keeps a tenth until the end: without answers of both
/// versions at the same time, a fault that begins late can't be distinguished from a slow fleet.
constexpr Permille MiddleShare{250};
constexpr Permille HalfShare{500};
constexpr Permille SoakShare{900};
/// Duration of each of the four steps relative to the time from start to deadline. The rest is a reserve for delays and leader changes.
constexpr double StepRatio = 0.22;
constexpr std::int64_t MinStepMs = 8'000;
/// Time for which the old version is observed before the first share, since the verdict's bounds are chosen from its waits.
constexpr std::int64_t BaselineIntervalMs = 5'000;
/// Longer steps find few more faults, so a move with a distant deadline ends early.
constexpr std::int64_t MaxStepMs = 3'600'000;
/// Answers of the new version that a step needs in total, and in each route, length class and load class with a twentieth of the traffic.
constexpr std::uint64_t MinAnswers = 50;
constexpr std::uint64_t MinAnswersPerClass = 5;
constexpr double MinTrafficShare = 0.05;
/// The load of the new version's upstreams relative to the old version's from which the loads count as equal.
constexpr double EqualLoadRatio = 0.8;
/// The share does not grow while the evidence against the new version is at or over this.
constexpr double MaxEvidenceForGrowth = 20;

std::string percent(Permille share)
{
    return std::to_string(share.value / 10) + "." + std::to_string(share.value % 10) + "%";
}

}

MoveRamp::MoveRamp(const Move &move, std::size_t oldUpstreams, WallTime now)
    : m_verdict(static_cast<std::size_t>(std::max<std::int64_t>(1, (move.deadline.value - move.started.value) / EvaluationIntervalMs)))
    , m_oldUpstreamCount(std::max<std::size_t>(1, oldUpstreams))
    , m_state(move.state)
    , m_share(move.share)
    , m_stepStartedAt(now)
{
}

std::optional<MoveDecision> MoveRamp::advance(const Move &move, const Comparisons &comparisons, WallTime now)
{
    // Step 1. A closed move needs no decision.
    if (!move.isOpen()) {
        return {};
    }
    if (move.state != m_state || move.share != m_share) {
        startStep(move, now);
    }
    // Step 2. Roll back a faulty version at any time.
    m_verdict.update(comparisons);
    recordCoverage(comparisons);
    if (const std::optional<Finding> &finding = m_verdict.finding()) {
        return MoveDecision{.state = MoveState::RolledBack, .share = {}, .reason = std::string(toString(finding->kind)) + " (" + finding->where + ")"};
    }
    // Step 3. Reject a deadline that can't be met before the first share.
    if (move.share == Permille{0} && move.deadline.value - now.value < MinMoveMs) {
        return MoveDecision{.state = MoveState::RolledBack, .share = {}, .reason = "the deadline is too tight: a move needs at least 40 s"};
    }
    // Step 4. Start the next step when the present one has lasted long enough and has enough evidence; roll back at the deadline.
    if (move.share > Permille{0} && now.value - m_stepStartedAt.value >= stepDuration(move) && hasEnoughEvidence()
        && m_verdict.evidence() < MaxEvidenceForGrowth) {
        return nextStep(move, now);
    }
    if (move.share == Permille{0}) {
        return now.value - m_stepStartedAt.value >= BaselineIntervalMs ? nextStep(move, now) : std::nullopt;
    }
    if (now >= move.deadline) {
        const std::string explanation = hasEnoughEvidence() ? "the new version looks worse, but not clearly" : missingEvidence();
        return MoveDecision{.state = MoveState::RolledBack, .share = {}, .reason = "no evidence by the deadline: " + explanation};
    }
    return {};
}

std::optional<MoveDecision> MoveRamp::nextStep(const Move &move, WallTime /*now*/) const
{
    if (move.state == MoveState::Soaking) {
        return MoveDecision{.state = MoveState::Done, .share = WholeShare, .reason = "no fault found in " + evidenceSummary()};
    }
    for (const Permille share : {firstShare(), MiddleShare, HalfShare}) {
        if (move.share < share) {
            const std::string reason = move.share == Permille{0} ? "first share" : "no fault found at " + percent(move.share) + " in " + evidenceSummary();
            return MoveDecision{.state = MoveState::Ramping, .share = share, .reason = reason};
        }
    }
    return MoveDecision{.state = MoveState::Soaking, .share = SoakShare, .reason = "no fault found at " + percent(move.share) + " in " + evidenceSummary()};
}

/// Divides the remaining time evenly among the remaining steps, so that a step that waited for evidence shortens the later ones.
std::int64_t MoveRamp::stepDuration(const Move &move) const
{
    int stepsLeft = 1;
    for (const Permille share : {MiddleShare, HalfShare, SoakShare}) {
        stepsLeft += move.share < share ? 1 : 0;
    }
    const std::int64_t window = move.deadline.value - move.started.value;
    const auto reserve = static_cast<std::int64_t>((1 - 4 * StepRatio) / 2 * static_cast<double>(window));
    const std::int64_t timeLeft = move.deadline.value - reserve - m_stepStartedAt.value;
    const auto planned = std::min(timeLeft / stepsLeft, static_cast<std::int64_t>(StepRatio * static_cast<double>(window)));
    return std::clamp(planned, MinStepMs, MaxStepMs);
}

Permille MoveRamp::firstShare() const
{
    // A third more than one upstream's equal share of the requests, so that it is fuller than the old version's upstreams: a fault under load
    // shows in the first step already.
    const auto oneUpstream = static_cast<std::uint32_t>(WholeShare.value * 4 / 3 / (m_oldUpstreamCount + 1));
    return std::min(MaxFirstShare, Permille{std::max<std::uint32_t>(1, oneUpstream)});
}

void MoveRamp::startStep(const Move &move, WallTime now)
{
    m_state = move.state;
    m_share = move.share;
    m_stepStartedAt = now;
    m_newAnswers = 0;
    m_byRoute.clear();
    m_byLength.clear();
    m_byLoad = {};
}

void MoveRamp::recordCoverage(const Comparisons &comparisons)
{
    for (const auto &[stratum, comparison] : comparisons) {
        m_newAnswers += comparison.newVersion.answered();
        const Coverage answers{.newAnswers = comparison.newVersion.answered(), .oldAnswers = comparison.oldVersion.answered()};
        for (Coverage *coverage : {&m_byRoute[stratum.route], &m_byLength[stratum.lengthClass], &m_byLoad.at(std::min<std::uint8_t>(3, stratum.loadClass))}) {
            coverage->newAnswers += answers.newAnswers;
            coverage->oldAnswers += answers.oldAnswers;
        }
    }
}

bool MoveRamp::hasEnoughEvidence() const
{
    return missingEvidence().empty();
}

std::string MoveRamp::missingEvidence() const
{
    if (m_newAnswers < MinAnswers) {
        return std::to_string(m_newAnswers) + " answers of the new version, " + std::to_string(MinAnswers) + " needed";
    }
    std::uint64_t totalAnswers = 0;
    for (const auto &[route, coverage] : m_byRoute) {
        totalAnswers += coverage.newAnswers + coverage.oldAnswers;
    }
    const auto lacksAnswers = [totalAnswers](const Coverage &coverage) {
        const auto classAnswers = static_cast<double>(coverage.newAnswers + coverage.oldAnswers);
        return coverage.newAnswers < MinAnswersPerClass && classAnswers >= MinTrafficShare * static_cast<double>(totalAnswers);
    };
    for (const auto &[route, coverage] : m_byRoute) {
        if (lacksAnswers(coverage)) {
            return "too few answers on route " + route;
        }
    }
    for (const auto &[length, coverage] : m_byLength) {
        if (lacksAnswers(coverage)) {
            return "too few answers of up to " + std::to_string(1ULL << std::min<unsigned>(length, 40)) + " tokens";
        }
    }
    // Answers at a higher load than the old version's are as good as evidence at an equal load. Load coverage is not required where the new
    // version can't reach the old version's load: in a soak, and where a single upstream gets less than an equal share because the old
    // version has few upstreams.
    const bool canReachEqualLoad = EqualLoadRatio * (WholeShare.value - m_share.value) <= static_cast<double>(m_oldUpstreamCount) * m_share.value;
    if (m_state == MoveState::Soaking || !canReachEqualLoad) {
        return {};
    }
    Coverage atOrAboveLoad;
    for (std::size_t load = m_byLoad.size(); load-- > 0;) {
        atOrAboveLoad.newAnswers += m_byLoad[load].newAnswers;
        atOrAboveLoad.oldAnswers += m_byLoad[load].oldAnswers;
        if (lacksAnswers(atOrAboveLoad)) {
            return "too few answers under load";
        }
    }
    return {};
}

std::string MoveRamp::evidenceSummary() const
{
    return std::to_string(m_newAnswers) + " answers";
}

}
