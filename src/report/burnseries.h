#pragma once

#include "domain/declarations.h"
#include "policy/outcomecounters.h"

#include <deque>
#include <map>
#include <vector>

namespace cumindyke
{

/// Outcomes of the requests of one service and tier in a period, measured against the service's objectives.
struct BurnCounts
{
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    /// Requests sent to an upstream, and those among them whose first token or pace missed the objective.
    std::uint64_t sent = 0;
    std::uint64_t firstTokenLate = 0;
    std::uint64_t tokensSlow = 0;

    BurnCounts &operator+=(const BurnCounts &other);
    std::uint64_t total() const
    {
        return onTime + late + failed + refused + unknown;
    }
    std::uint64_t notOnTime() const
    {
        return total() - onTime;
    }
    bool operator==(const BurnCounts &) const = default;
};

using ServiceTier = std::pair<ServiceName, TierRank>;
using BurnCountMap = std::map<ServiceTier, BurnCounts>;

/// The counts of one period.
struct BurnBucket
{
    WallTime start;
    BurnCountMap counts;

    bool operator==(const BurnBucket &) const = default;
};

constexpr std::int64_t MinuteMs = 60'000;
constexpr std::int64_t HourMs = 60 * MinuteMs;

/// The time series behind the burn report: by minute for the last hours, by hour for a month. Part of the replicated state, so that it
/// survives leader changes and restarts; updated once a minute, to add little to the log.
class BurnSeries
{
public:
    /// Adds the counts of the minute that ends at "at".
    void record(const BurnCountMap &counts, WallTime at);
    /// Returns the sum over the buckets that began less than "windowMs" before now.
    BurnCounts sum(const ServiceTier &serviceTier, WallTime now, std::int64_t windowMs) const;

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

/// Sums the growth of all counters by service and tier. An objective's time is rounded up to the next bound of the counters.
BurnCountMap aggregateBurnCounts(const OutcomeMap &growth, const Declarations &declarations);

}
