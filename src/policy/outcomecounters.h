#pragma once

#include "common/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// How requests went, counted per version in a form that may be lost, repeated and summed: every count only grows while a process lives.
namespace cumindyke
{

constexpr std::size_t WaitBoundCount = 24;
/// Tokens after the first that an answer's pace is taken from.
constexpr std::uint32_t PaceSampleTokens = 16;

/// Bound k of the waits for a first token: 20 ms, and each bound 1.41 times the one before, up to 58 s.
Duration firstTokenBound(std::size_t k);
/// Bound k of the mean time between tokens: 1 ms, and each bound 1.41 times the one before, up to 2.9 s.
Duration betweenTokensBound(std::size_t k);

/// What requests are told apart by. Two versions are compared only within the same route, length class and load class.
struct OutcomeKey
{
    ServiceName service;
    VersionName version;
    std::string route;
    /// Requested length of the answer: 2 to this power is its upper bound in tokens.
    std::uint8_t lengthClass = 0;
    /// Part of the upstream's slots in use when the request was sent: 0 (under a quarter) to 3 (over three quarters).
    std::uint8_t loadClass = 0;
    TierRank tier;

    auto operator<=>(const OutcomeKey &) const = default;
};

struct OutcomeCounts
{
    std::uint64_t sent = 0;
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    /// Requests whose wait for the first token went over the bound. Counted when the bound is passed, not when the token comes, so that an
    /// engine that falls silent shows as a slow one without waiting for a timeout.
    std::array<std::uint64_t, WaitBoundCount> firstTokenOver{};
    /// Bound 0 counts every answer whose pace is known, whatever it is.
    std::array<std::uint64_t, WaitBoundCount> betweenTokensOver{};

    OutcomeCounts &operator+=(const OutcomeCounts &other);
    /// The growth since an earlier reading of the same counters.
    OutcomeCounts since(const OutcomeCounts &earlier) const;
    std::uint64_t answered() const
    {
        return onTime + late;
    }
    std::uint64_t paced() const
    {
        return betweenTokensOver[0];
    }
    /// Ended badly after being sent. Refusals that say "not run" are capacity, not a fault of the version.
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
    void sent(const OutcomeKey &key);
    /// A request still waits for its first token, or has just got it. "passed" is the request's own count of bounds passed so far.
    void recordFirstTokenWait(const OutcomeKey &key, std::uint8_t &passed, Duration waited);
    /// The mean time between an answer's first tokens, PaceSampleTokens of them or fewer if it has fewer. Not the whole answer: a slow engine
    /// would show itself only when its answers end.
    void recordTokenInterval(const OutcomeKey &key, Duration mean);
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

/// Puts the reports of all entry VMs together.
///
/// Reports may be lost, repeated and overtaken: only the growth since the newest report of the same incarnation counts, so a lost one costs
/// nothing. A VM that restarted begins again from zero. The first report of a VM that was never heard of is only the base for its next one:
/// what it counted before belongs to another leader's time.
class OutcomeCollector
{
public:
    void take(const VmName &vm, const std::string &incarnation, std::uint64_t sequence, const OutcomeMap &counts);
    /// The growth since the last call.
    OutcomeMap takeGrowth();

private:
    struct Reported
    {
        std::string incarnation;
        std::uint64_t sequence = 0;
        OutcomeMap counts;
    };
    std::map<VmName, Reported> m_reported;
    OutcomeMap m_growth;
};

}
