#include "placement/drainrate.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// A queue that has existed for a shorter time says little: in a short peak the requests that run end soon, and all that wait are served.
constexpr Duration MinWaitingTime = std::chrono::milliseconds(300);
/// The relative error of a count is about the inverse of its root: fewer grants give no rate at which requests may be refused.
constexpr std::uint32_t MinGrants = 5;
/// Requests of more urgent ranks that arrive faster than slots become free are refused themselves in part: some slots are left.
constexpr double MinDrainShare = 0.05;
constexpr Duration LowerGrantTime = std::chrono::milliseconds(100);
/// Bounds the memory. Ranks are the product of the priorities of organisations and routes, a few tens.
constexpr std::size_t MaxRanks = 1024;

std::int64_t intervalOf(TimePoint time)
{
    return time.time_since_epoch() / RecentEvents::Interval;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

void RecentEvents::record(TimePoint now)
{
    const std::int64_t interval = intervalOf(now);
    Count &count = m_counts[static_cast<std::size_t>(interval) % m_counts.size()];
    if (count.interval != interval) {
        count = Count{.interval = interval};
    }
    ++count.events;
}

std::uint32_t RecentEvents::countSince(TimePoint since, TimePoint now) const
{
    std::uint32_t events = 0;
    for (const Count &count : m_counts) {
        events += count.interval >= intervalOf(since) && count.interval <= intervalOf(now) ? count.events : 0;
    }
    return events;
}

DrainRate::Rank *DrainRate::rankOf(PriorityRank rank)
{
    if (m_ranks.size() >= MaxRanks && !m_ranks.contains(rank)) {
        return nullptr;
    }
    return &m_ranks[rank];
}

void DrainRate::recordArrival(PriorityRank rank, TimePoint now)
{
    if (Rank *known = rankOf(rank)) {
        known->arrivals.record(now);
    }
}

void DrainRate::recordGrant(PriorityRank rank, TimePoint now)
{
    m_grants.record(now);
    if (Rank *known = rankOf(rank)) {
        known->lastGrantAt = now;
    }
}

void DrainRate::recordWaiting(bool anyWaiting, TimePoint now)
{
    if (!anyWaiting) {
        m_waitingSince.reset();
    } else if (!m_waitingSince) {
        m_waitingSince = now;
    }
}

/// The interval in which requests began to wait is left out: it contains the grants of the slots that were free until then.
TimePoint DrainRate::measuredSince(TimePoint now) const
{
    const std::int64_t first = std::max(intervalOf(*m_waitingSince) + 1, intervalOf(now - RecentEvents::Window) + 1);
    return TimePoint(first * RecentEvents::Interval);
}

std::optional<double> DrainRate::grantsPerSecond(TimePoint now) const
{
    if (!m_waitingSince || now - *m_waitingSince < MinWaitingTime) {
        return {};
    }
    const TimePoint since = measuredSince(now);
    const std::uint32_t grants = m_grants.countSince(since, now);
    if (grants < MinGrants) {
        return {};
    }
    return grants / seconds(now - since);
}

std::optional<Duration> DrainRate::predictedWait(PriorityRank rank, std::size_t waitingBefore, TimePoint now) const
{
    const std::optional<double> grants = grantsPerSecond(now);
    if (!grants) {
        return {};
    }
    const TimePoint since = measuredSince(now);
    std::uint32_t arrivals = 0;
    for (auto other = m_ranks.begin(); other != m_ranks.end() && other->first < rank; ++other) {
        arrivals += other->second.arrivals.countSince(since, now);
    }
    const double drained = std::max(*grants - arrivals / seconds(now - since), *grants * MinDrainShare);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(waitingBefore) / drained));
}

bool DrainRate::hasGrantedLower(PriorityRank rank, TimePoint now) const
{
    for (auto other = m_ranks.upper_bound(rank); other != m_ranks.end(); ++other) {
        if (other->second.lastGrantAt && now - *other->second.lastGrantAt <= LowerGrantTime) {
            return true;
        }
    }
    return false;
}

}
