#include "placement/returnschedule.h"

#include <algorithm>
#include <cmath>

namespace cumindyke
{

namespace
{

constexpr Duration IntervalLength = std::chrono::milliseconds(100);
/// How far ahead returns are booked.
constexpr Duration Horizon = std::chrono::seconds(5);
/// A request has its claim from this long before its time, since callers' clocks and timers are imprecise, until this long after it.
constexpr Duration EarlyTolerance = std::chrono::milliseconds(50);
constexpr Duration LateTolerance = std::chrono::milliseconds(500);
/// The other half of the grants is left for first attempts.
constexpr double ClaimShare = 0.5;
/// Bounds the memory: 4,096 entries of about 300 bytes.
constexpr std::size_t MaxEntries = 4096;
constexpr std::size_t MaxEntriesPerOrganisation = MaxEntries / 8;

/// Returns within an interval are spread over it too, in steps of three tenths, so that successive ones do not arrive together.
constexpr std::uint32_t SpreadParts = 10;
constexpr std::uint32_t SpreadStep = 3;

std::int64_t intervalOf(TimePoint time)
{
    return time.time_since_epoch() / IntervalLength;
}

/// Claims that the interval has room for: the whole numbers of a slow service, with less than one in each interval, add up to its share.
std::uint32_t claimsOf(std::int64_t number, double grantsPerSecond)
{
    const double room = ClaimShare * grantsPerSecond * std::chrono::duration<double>(IntervalLength).count();
    const auto position = static_cast<double>(number);
    return static_cast<std::uint32_t>(std::floor((position + 1) * room) - std::floor(position * room));
}

}

/// Numbers of intervals within the horizon and the late tolerance differ in their places of the ring.
ReturnSchedule::Interval &ReturnSchedule::intervalAt(std::int64_t number)
{
    static_assert(IntervalCount > static_cast<std::size_t>((Horizon + LateTolerance) / IntervalLength + 2));
    Interval &interval = m_intervals[static_cast<std::size_t>(number) % IntervalCount];
    if (interval.number != number) {
        interval = Interval{.number = number};
    }
    return interval;
}

void ReturnSchedule::release(const Entry &entry)
{
    Interval &interval = m_intervals[static_cast<std::size_t>(entry.interval) % IntervalCount];
    if (interval.number != entry.interval) {
        return;
    }
    interval.bookings -= 1;
    interval.claims -= entry.hasClaim ? 1 : 0;
}

void ReturnSchedule::erase(Entries::iterator entry)
{
    release(entry->second);
    m_entriesByTime.erase({entry->second.at, entry->second.sequence});
    const auto count = m_organisationCounts.find(entry->first.organisation);
    if (--count->second == 0) {
        m_organisationCounts.erase(count);
    }
    m_entries.erase(entry);
}

bool ReturnSchedule::mayTrack(const ReturnKey &key) const
{
    const auto count = m_organisationCounts.find(key.organisation);
    const bool isOrganisationFull = count != m_organisationCounts.end() && count->second >= MaxEntriesPerOrganisation;
    return key.contentHash != 0 && !isOrganisationFull && m_entries.size() < MaxEntries;
}

ReturnSchedule::Booking ReturnSchedule::book(const ReturnKey &key, const Range &range, bool hasReturned, std::optional<double> grantsPerSecond, TimePoint now)
{
    expire(now);
    // A request that came early has left its entry behind.
    if (const auto previous = m_entries.find(key); previous != m_entries.end() && hasReturned) {
        erase(previous);
    }
    // If there is an entry, a copy of the request was refused while this one waited: they have one claim together.
    const bool isTracked = !m_entries.contains(key) && mayTrack(key);
    const bool mayClaim = isTracked && !hasReturned;
    const std::int64_t last = std::clamp(intervalOf(range.latest), intervalOf(now), intervalOf(now + Horizon));
    const std::int64_t first = std::clamp(intervalOf(range.earliest), intervalOf(now), last);
    std::int64_t chosen = first;
    bool hasRoom = false;
    for (std::int64_t number = first; number <= last && !hasRoom; ++number) {
        const Interval &interval = intervalAt(number);
        hasRoom = mayClaim && interval.claims < claimsOf(number, grantsPerSecond.value_or(0));
        // Among equal ones the latest: the overload is more likely to be over.
        if (hasRoom || interval.bookings <= intervalAt(chosen).bookings) {
            chosen = number;
        }
    }
    Interval &interval = intervalAt(chosen);
    interval.bookings += 1;
    interval.claims += hasRoom ? 1 : 0;
    const TimePoint spread = TimePoint(chosen * IntervalLength) + IntervalLength * (interval.bookings * SpreadStep % SpreadParts) / SpreadParts;
    const TimePoint latest = std::max(now, range.latest);
    const TimePoint at = std::clamp(spread, std::clamp(range.earliest, now, latest), latest);
    if (isTracked) {
        const std::uint64_t sequence = ++m_lastSequence;
        const auto entry = m_entries.emplace(key, Entry{.interval = chosen, .at = at, .hasClaim = hasRoom, .sequence = sequence}).first;
        m_entriesByTime.emplace(std::pair{at, sequence}, entry);
        ++m_organisationCounts[key.organisation];
    }
    return Booking{.at = at, .hasClaim = hasRoom};
}

ReturnSchedule::Arrival ReturnSchedule::recordArrival(const ReturnKey &key, TimePoint now)
{
    expire(now);
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        return {};
    }
    Entry &entry = found->second;
    if (now < entry.at - EarlyTolerance) {
        m_counts.early += entry.hasClaim ? 1 : 0;
        intervalAt(entry.interval).claims -= entry.hasClaim ? 1 : 0;
        entry.hasClaim = false;
        return Arrival{.isReturn = true};
    }
    const bool hasClaim = entry.hasClaim;
    m_counts.kept += hasClaim ? 1 : 0;
    erase(found);
    return Arrival{.isReturn = true, .hasClaim = hasClaim};
}

void ReturnSchedule::expire(TimePoint now)
{
    while (!m_entriesByTime.empty() && now - m_entriesByTime.begin()->first.first > LateTolerance) {
        const auto entry = m_entriesByTime.begin()->second;
        m_counts.expired += entry->second.hasClaim ? 1 : 0;
        erase(entry);
    }
}

}
