#pragma once

#include "placement/requestqueue.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace cumindyke
{

/// Counts events in intervals of 50 ms over the last second. Pure: time is an argument.
class RecentEvents
{
public:
    static constexpr Duration Interval = std::chrono::milliseconds(50);
    static constexpr Duration Window = std::chrono::seconds(1);

    void record(TimePoint now);
    /// Events since the start of the interval that contains "since".
    std::uint32_t countSince(TimePoint since, TimePoint now) const;

private:
    struct Count
    {
        std::int64_t interval = 0;
        std::uint32_t events = 0;
    };

    std::array<Count, Window / Interval + 1> m_counts{};
};

/// The rate at which the waiting requests of one service get slots, and the wait that a new request has to expect at this rate. Pure: time is an argument.
///
/// Guards against requests that wait for the whole of their waiting time before they are refused although the queue was too long when they arrived:
/// their callers learn too late that they have to come back, and lose the time in which another attempt would have been served.
class DrainRate
{
public:
    void recordArrival(PriorityRank rank, TimePoint now);
    void recordGrant(PriorityRank rank, TimePoint now);
    /// Records whether requests still wait after a pass that granted all free slots.
    void recordWaiting(bool anyWaiting, TimePoint now);

    /// Grants per second while requests have been waiting, over a second at most; none if requests have not been waiting for long enough, or too few were
    /// granted.
    std::optional<double> grantsPerSecond(TimePoint now) const;
    /// Time until "waitingBefore" requests have been granted, if those of more urgent ranks that arrive meanwhile are granted first; none as above.
    std::optional<Duration> predictedWait(PriorityRank rank, std::size_t waitingBefore, TimePoint now) const;
    /// Whether a request of a less urgent rank was granted lately.
    bool hasGrantedLower(PriorityRank rank, TimePoint now) const;

private:
    struct Rank
    {
        RecentEvents arrivals;
        std::optional<TimePoint> lastGrantAt;
    };

    Rank *rankOf(PriorityRank rank);
    /// Start of the interval from which on rates are measured.
    TimePoint measuredSince(TimePoint now) const;

    std::optional<TimePoint> m_waitingSince;
    RecentEvents m_grants;
    std::map<PriorityRank, Rank> m_ranks;
};

}
