#pragma once

#include "policy/outcomecounters.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cumindyke
{

/// What was seen of both versions at the same time in one route, length class and load class.
struct Comparison
{
    OutcomeCounts oldVersion;
    OutcomeCounts newVersion;
};

/// Where a comparison was made.
struct Stratum
{
    std::string route;
    std::uint8_t lengthClass = 0;
    std::uint8_t loadClass = 0;

    auto operator<=>(const Stratum &) const = default;
};

using Look = std::map<Stratum, Comparison>;

/// The part of the growth of all counters that concerns a move.
Look compareVersions(const OutcomeMap &growth, const ServiceName &service, const VersionName &from, const VersionName &to);

enum class FaultKind { Fails, FailsMore, SlowFirstToken, SlowTokens };

/// "answers fail", "answers fail more often than the old version's", …
const char *toString(FaultKind kind);

/// A finding against the new version.
struct Finding
{
    FaultKind kind = FaultKind::Fails;
    /// "all requests", "route chat", "answers up to 128 tokens", "load class 3"
    std::string where;
    /// How often a good version would look as bad as this, at most: 1 in this number of moves.
    double oneIn = 0;
};

/// A test of "the new version is no worse than the old one", valid however often it is looked at.
///
/// Each look multiplies likelihood ratios of an alternative against the null, given what the old version did at the same time; under the
/// null their product is a test martingale, and by Ville's inequality it ever passes 1/a with probability at most a. So a good version is
/// taken back with probability at most a, with any number of looks. (Ramdas, Grünwald, Vovk, Shafer: Game-theoretic statistics and safe
/// anytime-valid inference, 2023; Turner, Ly, Grünwald: Generic E-variables for exact sequential k-sample tests that allow for optional
/// stopping, 2024.)
///
/// - Events (a failure; a wait over a bound) are split between the versions like the requests that were sent, if both are alike: given
///   their sum, the new version's are binomial with its part of the requests. A fleet that slows down as a whole moves both, and proves nothing.
/// - Waits: the new version's waits over bound k+1 are compared with the old one's over bound k, so a good version may be up to 1.41 times
///   slower (a cold prefix cache); k is where the old version's last minutes had about one wait in eight.
/// - Plain failures are tested against a fixed small rate too, as long as the old version has none: it needs fewer of them.
/// - Faults that begin later: the martingale is a mixture over starting times (half of the prior on the first look, the rest spread evenly
///   over the move), because good answers before the fault would outweigh the first bad ones.
/// - Faults of one route, length or load only: a mixture over each of them and all together, weighted by a prior.
/// - A slow version fills its upstreams, so that the old one may show nothing at the same load to compare with. So versions are compared
///   over all loads too, and there the new one may be twice as slow: its few upstreams may be fuller than the old one's.
class MoveVerdict
{
public:
    /// "looks" is about how many looks the move will have.
    explicit MoveVerdict(std::size_t looks);

    /// Takes what was seen since the last look.
    void look(const Look &look);
    /// Set once the evidence against the new version is enough.
    const std::optional<Finding> &finding() const
    {
        return m_finding;
    }
    /// The evidence against the new version: about 1 while nothing is wrong. The share must not grow while it is high.
    double evidence() const
    {
        return m_evidence;
    }

private:
    /// One hypothesis: a kind of fault, a set of strata, a size of the effect.
    struct Group
    {
        enum class By { All, Route, Length, Load, AllAnyLoad, RouteAnyLoad, LengthAnyLoad };
        By by = By::All;
        std::string route;
        std::uint8_t value = 0;

        auto operator<=>(const Group &) const = default;
    };
    /// Mixture over starting times, one for each size of the effect.
    struct Martingales
    {
        std::array<double, 3> started{};
    };
    using Factors = std::array<double, 3>;

    using FactorMap = std::map<std::pair<FaultKind, Group>, Factors>;

    void noteLoads(const Look &look);
    void compare(FactorMap &factors, const Stratum &stratum, const Comparison &seen);
    static void multiply(FactorMap &factors, FaultKind kind, const Stratum &stratum, const Factors &logs);
    void judge();
    void learnBounds(const Look &look);
    struct Recent;
    const Recent &recentFor(const Stratum &stratum);
    static std::string describe(const Group &group);

    double m_lookWeight;
    bool m_firstLook = true;
    std::map<std::pair<FaultKind, Group>, Martingales> m_martingales;
    /// Requests of the recent looks, by stratum: what events of this look are split like.
    std::map<Stratum, std::pair<double, double>> m_exposure;
    /// Answers whose pace was measured lately, by stratum.
    std::map<Stratum, std::pair<double, double>> m_paced;
    /// The old version's recent counts by stratum, fading; the bounds are chosen from them.
    struct Recent
    {
        double sent = 0;
        double bad = 0;
        std::array<double, WaitBoundCount> firstTokenOver{};
        std::array<double, WaitBoundCount> betweenTokensOver{};

        void fade();
        void add(const OutcomeCounts &counts);
    };
    std::map<Stratum, Recent> m_recent;
    /// Over all strata: for those where the old version has shown too little yet.
    Recent m_recentOfAll;
    /// Mean load classes at which the versions' requests were sent lately.
    double m_newLoad = 0;
    double m_oldLoad = 0;
    double m_evidence = 1;
    std::optional<Finding> m_finding;
};

}
