#pragma once

#include "common/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Outcomes of requests, counted per version. Every count only grows during a process's incarnation, so that reports of them may be lost
/// or repeated, and summed.
namespace cumindyke
{

/// Number of bounds in each histogram of waits.
constexpr std::size_t WaitBoundCount = 24;
/// Tokens after the first over which an answer's pace is measured.
constexpr std::uint32_t PaceSampleTokens = 16;

/// Returns bound k of the waits for a first token: 20 ms for k = 0, each further bound 1.41 times the previous one, up to 58 s.
Duration firstTokenBound(std::size_t k);
/// Returns bound k of the mean time between tokens: 1 ms for k = 0, each further bound 1.41 times the previous one, up to 2.9 s.
Duration betweenTokensBound(std::size_t k);

/// The attributes by which outcomes are grouped. Two versions are compared only within the same route, length class and load class.
struct OutcomeKey
{
    ServiceName service;
    VersionName version;
    std::string route;
    /// Class of the requested answer length: 2 to this power is the upper bound in tokens.
    std::uint8_t lengthClass = 0;
    /// Share of the upstream's slots in use when the request was sent: 0 (under a quarter) to 3 (over three quarters).
    std::uint8_t loadClass = 0;
    TierRank tier;

    auto operator<=>(const OutcomeKey &) const = default;
};

/// Counters of the requests with one key. onTime and late count answered requests, by their deadline; unknown counts requests whose outcome
/// is unknown.
struct OutcomeCounts
{
    std::uint64_t sent = 0;
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    /// Requests whose wait for the first token exceeded bound k. Counted when the bound is exceeded, not when the token arrives, so that an
    /// engine that stops answering shows as slow before any timeout.
    std::array<std::uint64_t, WaitBoundCount> firstTokenOver{};
    /// Answers whose mean time between tokens exceeded bound k. Bound 0 counts every answer whose pace was measured.
    std::array<std::uint64_t, WaitBoundCount> betweenTokensOver{};

    OutcomeCounts &operator+=(const OutcomeCounts &other);
    /// Returns the difference to an earlier reading of the same counters.
    OutcomeCounts growthSince(const OutcomeCounts &earlierCounts) const;
    std::uint64_t answered() const
    {
        return onTime + late;
    }
    /// Answers whose pace was measured.
    std::uint64_t paceCount() const
    {
        return betweenTokensOver[0];
    }
    /// Sent requests that ended in a failure. Refusals that say "not run" are excluded: they show a lack of capacity, not a fault of the
    /// version.
    std::uint64_t bad() const
    {
        return failed + unknown;
    }
    bool operator==(const OutcomeCounts &) const = default;
};

using OutcomeMap = std::map<OutcomeKey, OutcomeCounts>;

/// The counters of one entry VM.
class OutcomeCounters
{
public:
    /// Records that a request was sent.
    void sent(const OutcomeKey &key);
    /// Records how long a request has waited for its first token, while it still waits or when the token has arrived. "boundsExceeded" is
    /// the request's own count of the bounds exceeded so far, which this call updates.
    void recordFirstTokenWait(const OutcomeKey &key, std::uint8_t &boundsExceeded, Duration waited);
    /// Records the mean time between an answer's first tokens, PaceSampleTokens of them or all if it has fewer. The whole answer is not
    /// measured, since a slow engine would then show only when its answers end.
    void recordTokenInterval(const OutcomeKey &key, Duration mean);
    /// Returns the counters to which the caller adds the outcome of a request that has ended.
    OutcomeCounts &ended(const OutcomeKey &key)
    {
        return m_counts[key];
    }
    const OutcomeMap &counts() const
    {
        return m_counts;
    }

private:
    OutcomeMap m_counts;
};

/// Aggregates the outcome reports of all entry VMs.
///
/// Reports may be lost, repeated and reordered: only the growth since the newest report of the same incarnation is added, so a lost report
/// costs nothing. The counts of a VM that restarted begin at zero. The first report of an unknown VM serves only as the base for its next
/// one, since its counts date from an earlier leader's term.
class OutcomeCollector
{
public:
    /// Handles a VM's report; one that is not newer than the last report of the same incarnation is ignored.
    void take(const VmName &vm, const std::string &incarnation, std::uint64_t sequence, const OutcomeMap &counts);
    /// Returns the growth since the last call, and resets it.
    OutcomeMap takeGrowth();

private:
    struct LastReport
    {
        std::string incarnation;
        std::uint64_t sequence = 0;
        OutcomeMap counts;
    };
    std::map<VmName, LastReport> m_lastReports;
    OutcomeMap m_growth;
};

}
