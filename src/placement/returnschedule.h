#pragma once

#include "common/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace cumindyke
{

/// Identifies a refused request when it returns.
struct ReturnKey
{
    std::string organisation;
    /// Of organisation, method, host, target and body; 0: unknown.
    std::uint64_t contentHash = 0;

    auto operator<=>(const ReturnKey &) const = default;
};

/// How bookings with a claim have ended, and how many requests were refused at arrival.
struct ReturnCounts
{
    std::uint64_t kept = 0;
    std::uint64_t early = 0;
    std::uint64_t expired = 0;
    std::uint64_t arrivalRefusals = 0;
};

/// The times at which refused requests of one service are told to return. Pure: time is an argument.
///
/// Guards against returns that meet the overload in which they were refused: if all refused callers are told the same time, they come back together and
/// most of them are refused again.
///
/// A caller gains nothing by returning early or often: that ends its claim, and its next time comes without one. Copies of a request, which have the same
/// content, count as one request.
class ReturnSchedule
{
public:
    struct Booking
    {
        TimePoint at;
        /// A request that returns at its time precedes first attempts of its rank.
        bool hasClaim = false;
    };
    /// How a request arrives.
    struct Arrival
    {
        /// It was refused before, and told when to return.
        bool isReturn = false;
        bool hasClaim = false;
    };
    /// Times at which a refused request may return.
    struct Range
    {
        TimePoint earliest;
        TimePoint latest;
    };

    /// Books the return of a refused request: the first interval of the range in which less than half of the grants are booked, otherwise the one with the
    /// fewest bookings, without a claim. "hasReturned": it was refused before, which leaves it no further claim. "grantsPerSecond": none: unknown, and no
    /// booking has a claim.
    Booking book(const ReturnKey &key, const Range &range, bool hasReturned, std::optional<double> grantsPerSecond, TimePoint now);
    /// Records that a request arrived.
    Arrival recordArrival(const ReturnKey &key, TimePoint now);
    /// Removes the bookings whose time has passed.
    void expire(TimePoint now);
    /// Number of requests that are expected to return.
    std::size_t size() const
    {
        return m_entries.size();
    }
    /// Returns the ends of bookings since the last call.
    ReturnCounts takeCounts()
    {
        return std::exchange(m_counts, {});
    }

private:
    struct Entry
    {
        std::int64_t interval = 0;
        TimePoint at;
        bool hasClaim = false;
        /// Distinguishes entries of the same time.
        std::uint64_t sequence = 0;
    };
    struct Interval
    {
        std::int64_t number = -1;
        std::uint32_t claims = 0;
        std::uint32_t bookings = 0;
    };
    using Entries = std::map<ReturnKey, Entry>;

    Interval &intervalAt(std::int64_t number);
    void release(const Entry &entry);
    void erase(Entries::iterator entry);
    bool mayTrack(const ReturnKey &key) const;

    static constexpr std::size_t IntervalCount = 64;

    std::array<Interval, IntervalCount> m_intervals{};
    Entries m_entries;
    /// Entries of each organisation; no entry for 0.
    std::map<std::string, std::size_t> m_organisationCounts;
    /// The entries by their times.
    std::map<std::pair<TimePoint, std::uint64_t>, Entries::iterator> m_entriesByTime;
    std::uint64_t m_lastSequence = 0;
    ReturnCounts m_counts;
};

}
