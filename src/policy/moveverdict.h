#pragma once

#include "policy/outcomecounters.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cumindyke
{

/// The outcomes of both versions in the same interval, within one stratum.
struct Comparison
{
    OutcomeCounts oldVersion;
    OutcomeCounts newVersion;
};

/// The requests within which versions are compared: one route, length class and load class.
struct Stratum
{
    std::string route;
    std::uint8_t lengthClass = 0;
    std::uint8_t loadClass = 0;

    auto operator<=>(const Stratum &) const = default;
};

/// The outcomes of one interval by stratum.
using Comparisons = std::map<Stratum, Comparison>;

/// Selects the outcomes of the two versions of a service, and groups them by stratum.
Comparisons compareVersions(const OutcomeMap &outcomes, const ServiceName &service, const VersionName &from, const VersionName &to);

enum class FaultKind {
    Failures, ///< the failure rate is over a fixed tolerated rate
    ExcessFailures, ///< the failure rate is over the old version's
    SlowFirstToken, ///< first tokens come later than the old version's
    SlowTokens ///< the time between tokens is longer than the old version's
};

/// Returns the kind as operators read it: "answers fail", "answers fail more often than the old version's", …
const char *toString(FaultKind kind);

/// A fault found in the new version.
struct Finding
{
    FaultKind kind = FaultKind::Failures;
    /// "all requests", "route chat", "answers up to 128 tokens", "load class 3"
    std::string where;
    /// Strength of the evidence: a good version shows this much in at most 1 of this number of moves.
    double evidence = 0;
};

/// A sequential test of the null hypothesis "the new version is no worse than the old one", valid after any number of updates.
///
/// Each update multiplies in the likelihood ratio of an alternative against the null, given the old version's outcomes in the same interval.
/// Under the null the product is a test martingale, and by Ville's inequality it ever exceeds 1/a with probability at most a. So a good
/// version is rolled back with probability at most a, after any number of updates. (Ramdas, Grünwald, Vovk, Shafer: Game-theoretic
/// statistics and safe anytime-valid inference, 2023; Turner, Ly, Grünwald: Generic E-variables for exact sequential k-sample tests that
/// allow for optional stopping, 2024.)
///
/// - Events (a failure; a wait over a bound) are split between the versions in proportion to the requests sent, if the versions are equal:
///   given the sum of events, the new version's number is binomial with its share of the requests. When a whole fleet slows down, the events
///   of both versions increase, which is no evidence.
/// - Waits: the new version's waits over bound k+1 are compared with the old version's over bound k, so a good version may be up to 1.41
///   times slower (a cold prefix cache); k is the bound that about one in eight of the old version's waits exceeded in the last minutes.
/// - Failures are also tested against a fixed small rate, which rises with the old version's own rate: this test needs fewer failures.
/// - Faults that begin later: the martingale is a mixture over starting times (half of the prior on the first update, the rest spread evenly
///   over the move), because good answers before the fault would outweigh the first bad ones.
/// - Faults of a single route, length or load: a mixture over each of them and over all requests, weighted by a prior.
/// - A slow version fills its upstreams, so the old version may have no outcomes at the same load to compare with. Versions are therefore
///   also compared over all loads. There the new version may be twice as slow, since its few upstreams may be fuller than the old version's.
class MoveVerdict
{
public:
    /// "expectedUpdates" is the approximate number of updates during the move.
    explicit MoveVerdict(std::size_t expectedUpdates);

    /// Adds the outcomes since the last update.
    void update(const Comparisons &comparisons);
    /// Returns the fault once the evidence against the new version suffices, else nothing.
    const std::optional<Finding> &finding() const
    {
        return m_finding;
    }
    /// Returns the evidence against the new version: about 1 while no fault shows. The share must not grow while it is high.
    double evidence() const
    {
        return m_evidence;
    }

private:
    /// A set of strata. A hypothesis is a kind of fault in a group.
    struct Group
    {
        enum class By { All, Route, Length, Load, AllAnyLoad, RouteAnyLoad, LengthAnyLoad };
        By by = By::All;
        std::string route;
        /// The length or load class of a grouping by class.
        std::uint8_t value = 0;

        auto operator<=>(const Group &) const = default;
    };
    /// Test martingales of one hypothesis: a mixture over starting times for each effect size.
    struct Martingales
    {
        std::array<double, 3> mixtures{};
    };
    using LogRatios = std::array<double, 3>;

    using LogRatioMap = std::map<std::pair<FaultKind, Group>, LogRatios>;

    void recordLoadClasses(const Comparisons &comparisons);
    void addEvidence(LogRatioMap &logRatios, const Stratum &stratum, const Comparison &comparison);
    static void addLogRatios(LogRatioMap &logRatios, FaultKind kind, const Stratum &stratum, const LogRatios &logs);
    void updateFinding();
    void recordBaseline(const Comparisons &comparisons);
    struct Baseline;
    const Baseline &baselineFor(const Stratum &stratum);
    static std::string describe(const Group &group);

    double m_laterStartPrior;
    bool m_firstUpdate = true;
    std::map<std::pair<FaultKind, Group>, Martingales> m_martingales;
    /// Recently sent requests of the new and the old version by stratum: the expected proportion of their events.
    std::map<Stratum, std::pair<double, double>> m_exposure;
    /// Recent answers of the new and the old version whose pace was measured, by stratum.
    std::map<Stratum, std::pair<double, double>> m_pacedAnswers;
    /// Decaying counts of the old version, from which the bounds are chosen.
    struct Baseline
    {
        double sent = 0;
        double bad = 0;
        std::array<double, WaitBoundCount> firstTokenOver{};
        std::array<double, WaitBoundCount> betweenTokensOver{};

        void decay();
        void add(const OutcomeCounts &counts);
    };
    std::map<Stratum, Baseline> m_baselines;
    /// Baseline of all strata, used for those in which the old version has too few requests.
    Baseline m_overallBaseline;
    /// Decaying mean load classes at which the versions' requests were sent.
    double m_newLoadClass = 0;
    double m_oldLoadClass = 0;
    double m_evidence = 1;
    std::optional<Finding> m_finding;
};

}
