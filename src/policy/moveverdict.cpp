#include "policy/moveverdict.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace cumindyke
{

namespace
{

/// Evidence at which the new version is rolled back: a good version is rolled back in at most one move of this many. The requirement is
/// 200; the rest is a margin for what the model leaves out.
constexpr double FindingThreshold = 400;
/// The prior is divided evenly among the kinds of fault, and again among the ways to group the strata.
constexpr double KindPrior = 0.25;
constexpr double GroupingPrior = 1.0 / 7;
/// Number of routes, length classes or load classes that share their grouping's prior; further ones get none.
constexpr std::size_t MaxGroupsPerGrouping = 4;
/// Versions are compared over all loads only while the new version's mean load class is at most this much higher than the old version's.
/// Otherwise a fleet that is short of slots, while the old version has idle upstreams, would look like a slow new version.
constexpr double MaxLoadClassDifference = 1.25;
/// Load class of a stratum that covers all load classes.
constexpr std::uint8_t AnyLoad = 0xff;
/// Share of the prior on faults that exist from the start of the move; the rest is spread over later starting times.
constexpr double FromStartPrior = 0.5;
/// Alternatives tested: how many times as likely an event is on a bad version as on the old one.
constexpr std::array<double, 3> EffectSizes{2.5, 6, 30};
/// Alternatives tested: failure rates of a faulty version.
constexpr std::array<double, 3> FailureRates{0.1, 0.4, 0.95};
/// A failure rate up to this is tolerated, whatever the old version's rate.
constexpr double ToleratedFailureRate = 0.005;
/// Decay per update of the recently sent requests: a time constant of about two seconds at four updates a second.
constexpr double ExposureDecay = 0.88;
/// Decay per update of the answers whose pace was measured: about half a second, so that both versions have some in most updates.
constexpr double PacedDecay = 0.65;
/// Decay per update of the old version's distribution of waits: a time constant of about two minutes.
constexpr double BaselineDecay = 0.998;
/// Share of the old version's waits that exceed the bound chosen for the comparison.
constexpr double TargetTailShare = 0.125;
/// Recent requests of the old version that a stratum needs before waits are compared in it; with fewer, the baseline of all strata is used.
constexpr double MinBaselineRequests = 20;

/// Returns the lowest bound that at most the target share of the old version's waits exceeds. The highest two bounds are never returned, since
/// the new version's waits are compared with a bound one or two above.
std::size_t baselineBound(const std::array<double, WaitBoundCount> &overBound, double sent)
{
    for (std::size_t k = 0; k + 3 < WaitBoundCount; ++k) {
        if (overBound[k] <= TargetTailShare * sent) {
            return k;
        }
    }
    return WaitBoundCount - 3;
}

/// Returns the logarithms of the binomial likelihood ratios of "events are `effect` times as likely on the new version" against "events are
/// equally likely".
std::array<double, 3> logSplitRatios(double newEvents, double oldEvents, double newSent, double oldSent)
{
    std::array<double, 3> logs{};
    const double sum = newSent + oldSent;
    // Without requests of both versions at the same time nothing can be compared.
    if (newSent < 0.5 || oldSent < 0.5) {
        return logs;
    }
    for (std::size_t i = 0; i < logs.size(); ++i) {
        const double effect = EffectSizes[i];
        logs[i] = newEvents * std::log(effect) + (newEvents + oldEvents) * std::log(sum / (effect * newSent + oldSent));
    }
    return logs;
}

/// Returns the logarithms of the Poisson likelihood ratios of "fails at one of the failure rates" against "fails at the tolerated rate".
std::array<double, 3> logFailureRateRatios(double failures, double sent, double toleratedRate)
{
    std::array<double, 3> logs{};
    for (std::size_t i = 0; i < logs.size(); ++i) {
        if (FailureRates[i] > 2 * toleratedRate) {
            logs[i] = failures * std::log(FailureRates[i] / toleratedRate) - sent * (FailureRates[i] - toleratedRate);
        }
    }
    return logs;
}

}

Comparisons compareVersions(const OutcomeMap &outcomes, const ServiceName &service, const VersionName &from, const VersionName &to)
{
    Comparisons comparisons;
    for (const auto &[key, counts] : outcomes) {
        if (key.service != service || (key.version != from && key.version != to)) {
            continue;
        }
        Comparison &comparison = comparisons[Stratum{.route = key.route, .lengthClass = key.lengthClass, .loadClass = key.loadClass}];
        (key.version == to ? comparison.newVersion : comparison.oldVersion) += counts;
    }
    return comparisons;
}

const char *toString(FaultKind kind)
{
    switch (kind) {
    case FaultKind::Failures:
        return "answers fail";
    case FaultKind::ExcessFailures:
        return "answers fail more often than the old version's";
    case FaultKind::SlowFirstToken:
        return "first tokens come later than the old version's";
    case FaultKind::SlowTokens:
        return "tokens come slower than the old version's";
    }
    return "unknown";
}

MoveVerdict::MoveVerdict(std::size_t expectedUpdates)
    : m_laterStartPrior((1 - FromStartPrior) / static_cast<double>(std::max<std::size_t>(1, expectedUpdates)))
{
}

void MoveVerdict::update(const Comparisons &comparisons)
{
    // Step 1. Decay the recent requests: the events of this update belong to requests of the last seconds.
    for (auto &[stratum, exposure] : m_exposure) {
        exposure.first *= ExposureDecay;
        exposure.second *= ExposureDecay;
    }
    for (auto &[stratum, answers] : m_pacedAnswers) {
        answers.first *= PacedDecay;
        answers.second *= PacedDecay;
    }
    LogRatioMap logRatios;
    Comparisons overAllLoads;
    for (const auto &[stratum, comparison] : comparisons) {
        addEvidence(logRatios, stratum, comparison);
        Comparison &merged = overAllLoads[Stratum{.route = stratum.route, .lengthClass = stratum.lengthClass, .loadClass = AnyLoad}];
        merged.oldVersion += comparison.oldVersion;
        merged.newVersion += comparison.newVersion;
    }
    recordLoadClasses(comparisons);
    if (m_newLoadClass <= m_oldLoadClass + MaxLoadClassDifference) {
        for (const auto &[stratum, comparison] : overAllLoads) {
            addEvidence(logRatios, stratum, comparison);
        }
    }

    // Step 2. Add to each martingale the prior of a fault that starts now, then multiply by this update's likelihood ratio.
    const double startingPrior = m_firstUpdate ? FromStartPrior : m_laterStartPrior;
    m_firstUpdate = false;
    for (auto &[hypothesis, martingales] : m_martingales) {
        for (double &mixture : martingales.mixtures) {
            mixture += startingPrior;
        }
    }
    for (const auto &[hypothesis, logs] : logRatios) {
        const auto [found, isNew] = m_martingales.try_emplace(hypothesis);
        Martingales &martingales = found->second;
        for (std::size_t i = 0; i < logs.size(); ++i) {
            martingales.mixtures[i] = std::min(1e30, (isNew ? FromStartPrior : martingales.mixtures[i]) * std::exp(logs[i]));
        }
    }
    m_overallBaseline.decay();
    for (auto &[stratum, baseline] : m_baselines) {
        baseline.decay();
    }
    recordBaseline(comparisons);
    recordBaseline(overAllLoads);
    updateFinding();
}

void MoveVerdict::recordLoadClasses(const Comparisons &comparisons)
{
    double newSent = 0;
    double oldSent = 0;
    double newLoadSum = 0;
    double oldLoadSum = 0;
    for (const auto &[stratum, comparison] : comparisons) {
        newSent += static_cast<double>(comparison.newVersion.sent);
        oldSent += static_cast<double>(comparison.oldVersion.sent);
        newLoadSum += static_cast<double>(comparison.newVersion.sent) * stratum.loadClass;
        oldLoadSum += static_cast<double>(comparison.oldVersion.sent) * stratum.loadClass;
    }
    m_newLoadClass = newSent > 0 ? m_newLoadClass * ExposureDecay + (1 - ExposureDecay) * newLoadSum / newSent : m_newLoadClass;
    m_oldLoadClass = oldSent > 0 ? m_oldLoadClass * ExposureDecay + (1 - ExposureDecay) * oldLoadSum / oldSent : m_oldLoadClass;
}

/// Adds the log-likelihood ratios of one stratum to those of the hypotheses that it belongs to.
void MoveVerdict::addEvidence(LogRatioMap &logRatios, const Stratum &stratum, const Comparison &comparison)
{
    auto &[newSent, oldSent] = m_exposure[stratum];
    newSent += static_cast<double>(comparison.newVersion.sent);
    oldSent += static_cast<double>(comparison.oldVersion.sent);
    const Baseline &baseline = baselineFor(stratum);
    const auto toDouble = [](std::uint64_t count) { return static_cast<double>(count); };

    // Failures: the new version's share of all failures, and its rate against the tolerated rate.
    const double newBad = toDouble(comparison.newVersion.bad());
    const double oldBad = toDouble(comparison.oldVersion.bad());
    addLogRatios(logRatios, FaultKind::ExcessFailures, stratum, logSplitRatios(newBad, oldBad, newSent, oldSent));
    const double oldRate = (baseline.bad + 2 * oldBad + 0.25) / (baseline.sent + 25);
    addLogRatios(logRatios,
                 FaultKind::Failures,
                 stratum,
                 logFailureRateRatios(newBad, toDouble(comparison.newVersion.sent), std::max(ToleratedFailureRate, 2 * oldRate)));

    // Waits over a bound, which is higher for the new version.
    if (baseline.sent < MinBaselineRequests) {
        return;
    }
    const std::size_t extraBounds = stratum.loadClass == AnyLoad ? 2 : 1;
    const std::size_t firstTokenBoundIndex = baselineBound(baseline.firstTokenOver, baseline.sent);
    addLogRatios(logRatios,
                 FaultKind::SlowFirstToken,
                 stratum,
                 logSplitRatios(toDouble(comparison.newVersion.firstTokenOver[firstTokenBoundIndex + extraBounds]),
                                toDouble(comparison.oldVersion.firstTokenOver[firstTokenBoundIndex]),
                                newSent,
                                oldSent));
    // Relative to the answers whose pace was measured in the same interval, not to the requests sent recently: when a whole fleet slows down,
    // the two versions' requests move to another load class at different moments, and requests sent just before would count as exposure.
    const std::size_t tokenBoundIndex = baselineBound(baseline.betweenTokensOver, baseline.betweenTokensOver[0]);
    auto &[newPaced, oldPaced] = m_pacedAnswers[stratum];
    newPaced += toDouble(comparison.newVersion.paceCount());
    oldPaced += toDouble(comparison.oldVersion.paceCount());
    addLogRatios(logRatios,
                 FaultKind::SlowTokens,
                 stratum,
                 logSplitRatios(toDouble(comparison.newVersion.betweenTokensOver[tokenBoundIndex + extraBounds]),
                                toDouble(comparison.oldVersion.betweenTokensOver[tokenBoundIndex]),
                                newPaced,
                                oldPaced));
}

void MoveVerdict::addLogRatios(LogRatioMap &logRatios, FaultKind kind, const Stratum &stratum, const LogRatios &logs)
{
    const bool overAllLoads = stratum.loadClass == AnyLoad;
    const Group groups[] = {
        Group{.by = overAllLoads ? Group::By::AllAnyLoad : Group::By::All, .route = {}, .value = 0},
        Group{.by = overAllLoads ? Group::By::RouteAnyLoad : Group::By::Route, .route = stratum.route, .value = 0},
        Group{.by = overAllLoads ? Group::By::LengthAnyLoad : Group::By::Length, .route = {}, .value = stratum.lengthClass},
        Group{.by = Group::By::Load, .route = {}, .value = stratum.loadClass},
    };
    for (const Group &group : std::span(groups, overAllLoads ? 3 : 4)) {
        LogRatios &sum = logRatios[{kind, group}];
        for (std::size_t i = 0; i < sum.size(); ++i) {
            sum[i] += logs[i];
        }
    }
}

const MoveVerdict::Baseline &MoveVerdict::baselineFor(const Stratum &stratum)
{
    const Baseline &stratumBaseline = m_baselines[stratum];
    return stratumBaseline.sent >= MinBaselineRequests ? stratumBaseline : m_overallBaseline;
}

void MoveVerdict::Baseline::decay()
{
    sent *= BaselineDecay;
    bad *= BaselineDecay;
    for (std::size_t k = 0; k < WaitBoundCount; ++k) {
        firstTokenOver[k] *= BaselineDecay;
        betweenTokensOver[k] *= BaselineDecay;
    }
}

void MoveVerdict::Baseline::add(const OutcomeCounts &counts)
{
    sent += static_cast<double>(counts.sent);
    bad += static_cast<double>(counts.bad());
    for (std::size_t k = 0; k < WaitBoundCount; ++k) {
        firstTokenOver[k] += static_cast<double>(counts.firstTokenOver[k]);
        betweenTokensOver[k] += static_cast<double>(counts.betweenTokensOver[k]);
    }
}

/// Records the old version's counts, from which the next update's bounds and rates are chosen. The test stays valid because bounds are
/// never chosen from the data to which they are applied.
void MoveVerdict::recordBaseline(const Comparisons &comparisons)
{
    for (const auto &[stratum, comparison] : comparisons) {
        m_baselines[stratum].add(comparison.oldVersion);
        m_overallBaseline.add(comparison.oldVersion);
    }
}

void MoveVerdict::updateFinding()
{
    std::map<std::pair<FaultKind, Group::By>, std::size_t> groupCounts;
    double sum = 0;
    double highestWeight = 0;
    const std::pair<FaultKind, Group> *strongestHypothesis = nullptr;
    for (const auto &[hypothesis, martingales] : m_martingales) {
        const Group::By by = hypothesis.second.by;
        if (++groupCounts[{hypothesis.first, by}] > MaxGroupsPerGrouping) {
            continue;
        }
        const double sharingGroups = by == Group::By::All || by == Group::By::AllAnyLoad ? 1 : static_cast<double>(MaxGroupsPerGrouping);
        double meanMixture = 0;
        for (const double mixture : martingales.mixtures) {
            meanMixture += mixture / static_cast<double>(EffectSizes.size());
        }
        const double weight = meanMixture * KindPrior * GroupingPrior / sharingGroups;
        sum += weight;
        if (weight > highestWeight) {
            highestWeight = weight;
            strongestHypothesis = &hypothesis;
        }
    }
    m_evidence = sum;
    if (!m_finding && strongestHypothesis && sum >= FindingThreshold) {
        m_finding = Finding{.kind = strongestHypothesis->first, .where = describe(strongestHypothesis->second), .evidence = sum};
    }
}

std::string MoveVerdict::describe(const Group &group)
{
    switch (group.by) {
    case Group::By::All:
    case Group::By::AllAnyLoad:
        return "all requests";
    case Group::By::Route:
    case Group::By::RouteAnyLoad:
        return "route " + group.route;
    case Group::By::Length:
    case Group::By::LengthAnyLoad:
        return "answers of up to " + std::to_string(1ULL << std::min<unsigned>(group.value, 40)) + " tokens";
    case Group::By::Load:
        return group.value >= 3 ? "full upstreams" : "upstreams at a load of " + std::to_string(group.value + 1) + " quarters";
    }
    return "all requests";
}

}
