#include "policy/moveramp.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// While nothing is known the new version gets one upstream's worth, or a tenth.
constexpr Permille MostWithoutEvidence{100};
/// Steps after the first; the last one is the soak. The old version keeps a tenth until the end: without answers of both versions at
/// the same time, a fault that begins late can't be told from a slow fleet.
constexpr Permille MiddleShare{250};
constexpr Permille HalfShare{500};
constexpr Permille SoakShare{900};
/// Parts of the time from start to deadline: each of the four steps; the rest is reserve for holds and changes of leaders.
constexpr double StepPart = 0.22;
constexpr std::int64_t ShortestStepMs = 8'000;
/// Before the first share the old version is watched this long: the verdict's bounds come from its waits.
constexpr std::int64_t WatchOldMs = 5'000;
/// Longer steps find little more; a move with a far deadline ends early.
constexpr std::int64_t LongestStepMs = 3'600'000;
/// Answers of the new version that a step needs in all, and in each route and length class that has a twentieth of the traffic.
constexpr std::uint64_t LeastAnswers = 50;
constexpr std::uint64_t LeastInPart = 5;
constexpr double PartThatCounts = 0.05;
/// The load of the new version's upstreams against the old one's that counts as even.
constexpr double EvenPart = 0.8;
/// The share does not grow while the evidence against the new version is over this.
constexpr double Calm = 20;

std::string percent(Permille share)
{
    return std::to_string(share.value / 10) + "." + std::to_string(share.value % 10) + "%";
}

}

MoveRamp::MoveRamp(const Move &move, std::size_t upstreams, WallTime now)
    : m_verdict(static_cast<std::size_t>(std::max<std::int64_t>(1, (move.deadline.value - move.started.value) / EvaluationIntervalMs)))
    , m_upstreams(std::max<std::size_t>(1, upstreams))
    , m_state(move.state)
    , m_share(move.share)
    , m_stepBegan(now)
{
}

std::optional<MoveDecision> MoveRamp::advance(const Move &move, const Look &look, WallTime now)
{
    // Step 1. A closed move needs nothing.
    if (!move.isOpen()) {
        return {};
    }
    if (move.state != m_state || move.share != m_share) {
        beginStep(move, now);
    }
    // Step 2. A bad version is taken back, whatever the time.
    m_verdict.look(look);
    count(look);
    if (const std::optional<Finding> &finding = m_verdict.finding()) {
        return MoveDecision{.state = MoveState::TakenBack, .share = {}, .reason = std::string(toString(finding->kind)) + " (" + finding->where + ")"};
    }
    // Step 3. A deadline that can't be met is said at once; one that has come without evidence ends the move.
    if (move.share == Permille{0} && move.deadline.value - now.value < ShortestMoveMs) {
        return MoveDecision{.state = MoveState::TakenBack, .share = {}, .reason = "the deadline is too tight: a move needs at least 40 s"};
    }
    // Step 4. The next share, when its time has come and the evidence is there.
    if (move.share > Permille{0} && now.value - m_stepBegan.value >= stepLength(move) && coveredEnough() && m_verdict.evidence() < Calm) {
        return nextStep(move, now);
    }
    if (move.share == Permille{0}) {
        return now.value - m_stepBegan.value >= WatchOldMs ? nextStep(move, now) : std::nullopt;
    }
    if (now >= move.deadline) {
        const std::string why = coveredEnough() ? "the new version looks worse, but not clearly" : missing();
        return MoveDecision{.state = MoveState::TakenBack, .share = {}, .reason = "no evidence by the deadline: " + why};
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

/// The time that is left is divided evenly among the steps that are left, so a step that waited for evidence shortens the later ones.
std::int64_t MoveRamp::stepLength(const Move &move) const
{
    int stepsLeft = 1;
    for (const Permille share : {MiddleShare, HalfShare, SoakShare}) {
        stepsLeft += move.share < share ? 1 : 0;
    }
    const std::int64_t window = move.deadline.value - move.started.value;
    const auto reserve = static_cast<std::int64_t>((1 - 4 * StepPart) / 2 * static_cast<double>(window));
    const std::int64_t left = move.deadline.value - reserve - m_stepBegan.value;
    const auto planned = std::min(left / stepsLeft, static_cast<std::int64_t>(StepPart * static_cast<double>(window)));
    return std::clamp(planned, ShortestStepMs, LongestStepMs);
}

Permille MoveRamp::firstShare() const
{
    // A third over an even part, so that the one upstream is fuller than the old version's: a fault under load shows here already.
    const auto oneUpstream = static_cast<std::uint32_t>(WholeShare.value * 4 / 3 / (m_upstreams + 1));
    return std::min(MostWithoutEvidence, Permille{std::max<std::uint32_t>(1, oneUpstream)});
}

void MoveRamp::beginStep(const Move &move, WallTime now)
{
    m_state = move.state;
    m_share = move.share;
    m_stepBegan = now;
    m_newAnswers = 0;
    m_byRoute.clear();
    m_byLength.clear();
    m_byLoad = {};
}

void MoveRamp::count(const Look &look)
{
    for (const auto &[stratum, seen] : look) {
        m_newAnswers += seen.newVersion.answered();
        const Coverage seenHere{.newAnswers = seen.newVersion.answered(), .oldAnswers = seen.oldVersion.answered()};
        for (Coverage *coverage : {&m_byRoute[stratum.route], &m_byLength[stratum.lengthClass], &m_byLoad.at(std::min<std::uint8_t>(3, stratum.loadClass))}) {
            coverage->newAnswers += seenHere.newAnswers;
            coverage->oldAnswers += seenHere.oldAnswers;
        }
    }
}

bool MoveRamp::coveredEnough() const
{
    return missing().empty();
}

std::string MoveRamp::missing() const
{
    if (m_newAnswers < LeastAnswers) {
        return std::to_string(m_newAnswers) + " answers of the new version, " + std::to_string(LeastAnswers) + " needed";
    }
    std::uint64_t all = 0;
    for (const auto &[route, coverage] : m_byRoute) {
        all += coverage.newAnswers + coverage.oldAnswers;
    }
    const auto isMissing = [all](const Coverage &coverage) {
        const auto part = static_cast<double>(coverage.newAnswers + coverage.oldAnswers);
        return coverage.newAnswers < LeastInPart && part >= PartThatCounts * static_cast<double>(all);
    };
    for (const auto &[route, coverage] : m_byRoute) {
        if (isMissing(coverage)) {
            return "too few answers on route " + route;
        }
    }
    for (const auto &[length, coverage] : m_byLength) {
        if (isMissing(coverage)) {
            return "too few answers of up to " + std::to_string(1ULL << std::min<unsigned>(length, 40)) + " tokens";
        }
    }
    // A higher load than the old version's proves as much as an equal one. Not asked where the new version can't be as full: in a soak,
    // and where one upstream gets less than an even part because the old version has few.
    const bool canBeFull = EvenPart * (WholeShare.value - m_share.value) <= static_cast<double>(m_upstreams) * m_share.value;
    if (m_state == MoveState::Soaking || !canBeFull) {
        return {};
    }
    Coverage atLeast;
    for (std::size_t load = m_byLoad.size(); load-- > 0;) {
        atLeast.newAnswers += m_byLoad[load].newAnswers;
        atLeast.oldAnswers += m_byLoad[load].oldAnswers;
        if (isMissing(atLeast)) {
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
