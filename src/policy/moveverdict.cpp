#include "policy/moveverdict.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace cumindyke
{

namespace
{

/// A good version may be taken back in one move of this many. The bar is 200; the rest covers what the model leaves out.
constexpr double OneWrongIn = 400;
/// Kinds of fault share the prior evenly, and so do the ways to group the strata.
constexpr double KindPrior = 0.25;
constexpr double GroupingPrior = 1.0 / 7;
/// Routes, length classes or load classes that get a part of their grouping's prior; later ones get none.
constexpr std::size_t MostGroups = 4;
/// Versions are compared over all loads while the new one's mean load class is at most this much higher: else a fleet that is short of
/// room, whose old version has idle upstreams, would look like a slow new version.
constexpr double MostLoadDifference = 1.25;
/// Stands in a stratum's load class for all of them together.
constexpr std::uint8_t AnyLoad = 0xff;
/// Half of the prior on "from the start".
constexpr double StartPrior = 0.5;
/// Odds by which a bad version's events exceed the old one's.
constexpr std::array<double, 3> EffectSizes{2.5, 6, 30};
/// Rates of a version that plainly fails.
constexpr std::array<double, 3> PlainRates{0.1, 0.4, 0.95};
/// A version that fails less than this is not plainly failing, whatever the old one does.
constexpr double ToleratedRate = 0.005;
/// Requests and events fade by this a look: a time constant of about two seconds at four looks a second.
constexpr double ExposureFade = 0.88;
/// The same for answers whose pace was measured: about half a second, so that both versions have some in most looks.
constexpr double PacedFade = 0.65;
/// The old version's distribution of waits fades over about two minutes.
constexpr double RecentFade = 0.998;
/// Part of the old version's waits that lie over the bound that is compared.
constexpr double WantedTail = 0.125;
/// Waits are compared in strata where the old version has shown at least this many, recently.
constexpr double LeastRecent = 20;

std::size_t boundFor(const std::array<double, WaitBoundCount> &over, double sent)
{
    for (std::size_t k = 0; k + 3 < WaitBoundCount; ++k) {
        if (over[k] <= WantedTail * sent) {
            return k;
        }
    }
    return WaitBoundCount - 3;
}

/// Logarithms of the binomial likelihood ratios: "events are `effect` times as likely on the new version" against "equally likely".
std::array<double, 3> logSplitRatios(double newEvents, double oldEvents, double newSent, double oldSent)
{
    std::array<double, 3> logs{};
    const double sum = newSent + oldSent;
    // Without requests on both sides at the same time nothing can be compared.
    if (newSent < 0.5 || oldSent < 0.5) {
        return logs;
    }
    for (std::size_t i = 0; i < logs.size(); ++i) {
        const double effect = EffectSizes[i];
        logs[i] = newEvents * std::log(effect) + (newEvents + oldEvents) * std::log(sum / (effect * newSent + oldSent));
    }
    return logs;
}

/// Logarithms of the Poisson likelihood ratios: "fails at a plain rate" against "fails at the tolerated rate".
std::array<double, 3> logPlainRatios(double failures, double sent, double tolerated)
{
    std::array<double, 3> logs{};
    for (std::size_t i = 0; i < logs.size(); ++i) {
        if (PlainRates[i] > 2 * tolerated) {
            logs[i] = failures * std::log(PlainRates[i] / tolerated) - sent * (PlainRates[i] - tolerated);
        }
    }
    return logs;
}

}

Look compareVersions(const OutcomeMap &growth, const ServiceName &service, const VersionName &from, const VersionName &to)
{
    Look look;
    for (const auto &[key, counts] : growth) {
        if (key.service != service || (key.version != from && key.version != to)) {
            continue;
        }
        Comparison &comparison = look[Stratum{.route = key.route, .lengthClass = key.lengthClass, .loadClass = key.loadClass}];
        (key.version == to ? comparison.newVersion : comparison.oldVersion) += counts;
    }
    return look;
}

const char *toString(FaultKind kind)
{
    switch (kind) {
    case FaultKind::Fails:
        return "answers fail";
    case FaultKind::FailsMore:
        return "answers fail more often than the old version's";
    case FaultKind::SlowFirstToken:
        return "first tokens come later than the old version's";
    case FaultKind::SlowTokens:
        return "tokens come slower than the old version's";
    }
    return "unknown";
}

MoveVerdict::MoveVerdict(std::size_t looks)
    : m_lookWeight((1 - StartPrior) / static_cast<double>(std::max<std::size_t>(1, looks)))
{
}

void MoveVerdict::look(const Look &look)
{
    // Step 1. Requests that the events of this look may belong to: those of the last seconds.
    for (auto &[stratum, exposure] : m_exposure) {
        exposure.first *= ExposureFade;
        exposure.second *= ExposureFade;
    }
    for (auto &[stratum, paced] : m_paced) {
        paced.first *= PacedFade;
        paced.second *= PacedFade;
    }
    FactorMap factors;
    Look anyLoad;
    for (const auto &[stratum, seen] : look) {
        compare(factors, stratum, seen);
        Comparison &merged = anyLoad[Stratum{.route = stratum.route, .lengthClass = stratum.lengthClass, .loadClass = AnyLoad}];
        merged.oldVersion += seen.oldVersion;
        merged.newVersion += seen.newVersion;
    }
    noteLoads(look);
    if (m_newLoad <= m_oldLoad + MostLoadDifference) {
        for (const auto &[stratum, seen] : anyLoad) {
            compare(factors, stratum, seen);
        }
    }

    // Step 2. Each martingale gets its part of the prior that starts now, then this look's ratio.
    const double starting = m_firstLook ? StartPrior : m_lookWeight;
    m_firstLook = false;
    for (auto &[hypothesis, martingales] : m_martingales) {
        for (double &started : martingales.started) {
            started += starting;
        }
    }
    for (const auto &[hypothesis, logs] : factors) {
        const auto [found, isNew] = m_martingales.try_emplace(hypothesis);
        Martingales &martingales = found->second;
        for (std::size_t i = 0; i < logs.size(); ++i) {
            martingales.started[i] = std::min(1e30, (isNew ? StartPrior : martingales.started[i]) * std::exp(logs[i]));
        }
    }
    m_recentOfAll.fade();
    for (auto &[stratum, recent] : m_recent) {
        recent.fade();
    }
    learnBounds(look);
    learnBounds(anyLoad);
    judge();
}

void MoveVerdict::noteLoads(const Look &look)
{
    double newSent = 0;
    double oldSent = 0;
    double newLoads = 0;
    double oldLoads = 0;
    for (const auto &[stratum, seen] : look) {
        newSent += static_cast<double>(seen.newVersion.sent);
        oldSent += static_cast<double>(seen.oldVersion.sent);
        newLoads += static_cast<double>(seen.newVersion.sent) * stratum.loadClass;
        oldLoads += static_cast<double>(seen.oldVersion.sent) * stratum.loadClass;
    }
    m_newLoad = newSent > 0 ? m_newLoad * ExposureFade + (1 - ExposureFade) * newLoads / newSent : m_newLoad;
    m_oldLoad = oldSent > 0 ? m_oldLoad * ExposureFade + (1 - ExposureFade) * oldLoads / oldSent : m_oldLoad;
}

/// Puts the ratios of one stratum into those of the hypotheses that it belongs to.
void MoveVerdict::compare(FactorMap &factors, const Stratum &stratum, const Comparison &seen)
{
    auto &[newSent, oldSent] = m_exposure[stratum];
    newSent += static_cast<double>(seen.newVersion.sent);
    oldSent += static_cast<double>(seen.oldVersion.sent);
    const Recent &recent = recentFor(stratum);
    const auto real = [](std::uint64_t count) { return static_cast<double>(count); };

    // Failures: as a part of all failures, and against the tolerated rate.
    const double newBad = real(seen.newVersion.bad());
    const double oldBad = real(seen.oldVersion.bad());
    multiply(factors, FaultKind::FailsMore, stratum, logSplitRatios(newBad, oldBad, newSent, oldSent));
    const double oldRate = (recent.bad + 2 * oldBad + 0.25) / (recent.sent + 25);
    multiply(factors, FaultKind::Fails, stratum, logPlainRatios(newBad, real(seen.newVersion.sent), std::max(ToleratedRate, 2 * oldRate)));

    // Waits over a bound, a higher one for the new version.
    if (recent.sent < LeastRecent) {
        return;
    }
    const std::size_t margin = stratum.loadClass == AnyLoad ? 2 : 1;
    const std::size_t first = boundFor(recent.firstTokenOver, recent.sent);
    multiply(factors,
             FaultKind::SlowFirstToken,
             stratum,
             logSplitRatios(real(seen.newVersion.firstTokenOver[first + margin]), real(seen.oldVersion.firstTokenOver[first]), newSent, oldSent));
    // Against the answers whose pace was measured at the same time, not those sent lately: when a whole fleet slows down, the versions'
    // requests leave a load class at different moments, and what was sent just before would count as if it should have been slow.
    const std::size_t between = boundFor(recent.betweenTokensOver, recent.betweenTokensOver[0]);
    auto &[newPaced, oldPaced] = m_paced[stratum];
    newPaced += real(seen.newVersion.paced());
    oldPaced += real(seen.oldVersion.paced());
    multiply(factors,
             FaultKind::SlowTokens,
             stratum,
             logSplitRatios(real(seen.newVersion.betweenTokensOver[between + margin]), real(seen.oldVersion.betweenTokensOver[between]), newPaced, oldPaced));
}

void MoveVerdict::multiply(FactorMap &factors, FaultKind kind, const Stratum &stratum, const Factors &logs)
{
    const bool anyLoad = stratum.loadClass == AnyLoad;
    const Group groups[] = {
        Group{.by = anyLoad ? Group::By::AllAnyLoad : Group::By::All, .route = {}, .value = 0},
        Group{.by = anyLoad ? Group::By::RouteAnyLoad : Group::By::Route, .route = stratum.route, .value = 0},
        Group{.by = anyLoad ? Group::By::LengthAnyLoad : Group::By::Length, .route = {}, .value = stratum.lengthClass},
        Group{.by = Group::By::Load, .route = {}, .value = stratum.loadClass},
    };
    for (const Group &group : std::span(groups, anyLoad ? 3 : 4)) {
        Factors &sum = factors[{kind, group}];
        for (std::size_t i = 0; i < sum.size(); ++i) {
            sum[i] += logs[i];
        }
    }
}

const MoveVerdict::Recent &MoveVerdict::recentFor(const Stratum &stratum)
{
    const Recent &own = m_recent[stratum];
    return own.sent >= LeastRecent ? own : m_recentOfAll;
}

void MoveVerdict::Recent::fade()
{
    sent *= RecentFade;
    bad *= RecentFade;
    for (std::size_t k = 0; k < WaitBoundCount; ++k) {
        firstTokenOver[k] *= RecentFade;
        betweenTokensOver[k] *= RecentFade;
    }
}

void MoveVerdict::Recent::add(const OutcomeCounts &counts)
{
    sent += static_cast<double>(counts.sent);
    bad += static_cast<double>(counts.bad());
    for (std::size_t k = 0; k < WaitBoundCount; ++k) {
        firstTokenOver[k] += static_cast<double>(counts.firstTokenOver[k]);
        betweenTokensOver[k] += static_cast<double>(counts.betweenTokensOver[k]);
    }
}

/// The bounds and rates for the next look come from this one and earlier ones only: the test stays valid because they are not chosen
/// after the data they are applied to.
void MoveVerdict::learnBounds(const Look &look)
{
    for (const auto &[stratum, seen] : look) {
        m_recent[stratum].add(seen.oldVersion);
        m_recentOfAll.add(seen.oldVersion);
    }
}

void MoveVerdict::judge()
{
    std::map<std::pair<FaultKind, Group::By>, std::size_t> places;
    double sum = 0;
    double strongest = 0;
    const std::pair<FaultKind, Group> *against = nullptr;
    for (const auto &[hypothesis, martingales] : m_martingales) {
        const Group::By by = hypothesis.second.by;
        if (++places[{hypothesis.first, by}] > MostGroups) {
            continue;
        }
        const double divided = by == Group::By::All || by == Group::By::AllAnyLoad ? 1 : static_cast<double>(MostGroups);
        double mixed = 0;
        for (const double started : martingales.started) {
            mixed += started / static_cast<double>(EffectSizes.size());
        }
        const double weighted = mixed * KindPrior * GroupingPrior / divided;
        sum += weighted;
        if (weighted > strongest) {
            strongest = weighted;
            against = &hypothesis;
        }
    }
    m_evidence = sum;
    if (!m_finding && against && sum >= OneWrongIn) {
        m_finding = Finding{.kind = against->first, .where = describe(against->second), .oneIn = sum};
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
