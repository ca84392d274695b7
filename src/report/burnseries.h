#pragma once

#include "domain/declarations.h"
#include "policy/outcomecounters.h"

#include <deque>
#include <map>
#include <vector>

namespace cumindyke
{

/// How requests of one service and tier went in a span of time, against the service's objectives.
struct BurnCounts
{
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    /// Requests sent to an upstream, and those of them whose first token or pace was over the objective.
    std::uint64_t sent = 0;
    std::uint64_t firstTokenLate = 0;
    std::uint64_t tokensSlow = 0;

    BurnCounts &operator+=(const BurnCounts &other);
    std::uint64_t all() const
    {
        return onTime + late + failed + refused + unknown;
    }
    std::uint64_t notOnTime() const
    {
        return all() - onTime;
    }
    bool operator==(const BurnCounts &) const = default;
};

using ServiceTier = std::pair<ServiceName, TierRank>;
using BurnCountMap = std::map<ServiceTier, BurnCounts>;

/// The counts of one span of time.
struct BurnBucket
{
    WallTime start;
    BurnCountMap counts;

    bool operator==(const BurnBucket &) const = default;
};

constexpr std::int64_t MinuteMs = 60'000;
constexpr std::int64_t HourMs = 60 * MinuteMs;

/// The series that the burn report is made from: minutes for the last hours, hours for a month. Part of the replicated state, so that it
/// outlives leaders and restarts; fed once a minute, so that it costs the log little.
class BurnSeries
{
public:
    /// Adds what was counted in a minute that ends at "at".
    void record(const BurnCountMap &counts, WallTime at);
    /// The sum over the buckets that began at most "lengthMs" before now.
    BurnCounts sum(const ServiceTier &of, WallTime now, std::int64_t lengthMs) const;

    const std::deque<BurnBucket> &minutes() const
    {
        return m_minutes;
    }
    const std::deque<BurnBucket> &hours() const
    {
        return m_hours;
    }
    void restore(std::deque<BurnBucket> minutes, std::deque<BurnBucket> hours);
    bool operator==(const BurnSeries &) const = default;

private:
    std::deque<BurnBucket> m_minutes;
    std::deque<BurnBucket> m_hours;
};

/// Sums the growth of all counters into what the report needs. An objective's time is rounded up to the next bound of the counters.
BurnCountMap aggregateBurnCounts(const OutcomeMap &growth, const Declarations &declarations);

}
