#pragma once

#include "common/types.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cumindyke
{

/// Rank of a request; 0 is the most urgent. Derived from the organisation's priority, then the route's.
using PriorityRank = Strong<struct PriorityRankTag, std::uint32_t>;

/// Requests of one service that wait for a free slot. The order is by rank; within a rank requests that can still be on time precede those that can't:
/// served in order of arrival alone, every request would be late once the queue is too long. Requests with a claim precede both. Within each of these groups
/// the organisation with the smallest usage goes first, and within an organisation the request with the earliest latest start. Requests that are enqueued
/// without an organisation count as those of a single one.
///
/// Engines know no priorities and admit in order of arrival, so a request queued at an engine can't be overtaken by a more urgent one. Requests
/// therefore queue here.
template<typename Key>
class RequestQueue
{
private:
    struct Organisation;
    enum class Urgency : std::uint8_t {
        Claimed,
        OnTime,
        Late, ///< can't be on time any more
    };
    /// Requests of one rank that are equally urgent.
    struct GroupKey
    {
        PriorityRank rank;
        Urgency urgency = Urgency::OnTime;

        auto operator<=>(const GroupKey &) const = default;
    };
    /// Orders the organisations of a group. The number makes the key unique.
    struct LineKey
    {
        double usage = 0;
        std::uint64_t number = 0;

        auto operator<=>(const LineKey &) const = default;
    };
    struct Waiting
    {
        GroupKey group;
        TimePoint latestStart;
        std::uint64_t arrival = 0;
        TimePoint expiresAt;
        Organisation *organisation = nullptr;
    };
    using Record = std::pair<const Key, Waiting>;
    /// A time of the request, its arrival number, and the request.
    struct Place
    {
        TimePoint time;
        std::uint64_t arrival = 0;
        Record *record = nullptr;

        bool operator<(const Place &other) const
        {
            return time != other.time ? time < other.time : arrival < other.arrival;
        }
    };
    /// Requests of one organisation in a group, by their latest start.
    using Line = std::set<Place>;
    using Lines = std::map<LineKey, Line>;
    struct Organisation
    {
        std::string name;
        LineKey key;
        std::size_t waiting = 0;
        std::vector<GroupKey> groups;
    };

public:
    /// Iterates over the queue, most urgent first. Requests may be removed and usages raised during the iteration; a raised usage applies to the next
    /// request. Each request is visited at most once.
    class Iterator
    {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = Key;
        using difference_type = std::ptrdiff_t;
        using pointer = const Key *;
        using reference = const Key &;

        explicit Iterator(const RequestQueue &queue)
            : m_queue(&queue)
        {
            advance();
        }
        const Key &operator*() const
        {
            return *m_current;
        }
        Iterator &operator++()
        {
            advance();
            return *this;
        }
        void operator++(int)
        {
            advance();
        }
        bool operator==(std::default_sentinel_t) const
        {
            return !m_current;
        }

    private:
        void advance()
        {
            m_current.reset();
            for (auto group = m_queue->m_groups.lower_bound(m_group); group != m_queue->m_groups.end(); ++group) {
                if (group->first != m_group) {
                    m_group = group->first;
                    m_line.reset();
                    m_isExhausted = false;
                    m_resumeAfter.clear();
                }
                if (advanceIn(group->second)) {
                    return;
                }
            }
        }
        bool advanceIn(const Lines &group)
        {
            for (auto line = m_line ? group.lower_bound(*m_line) : group.begin(); line != group.end(); ++line) {
                if (m_line && line->first != *m_line && !m_isExhausted) {
                    // The organisation's requests that were visited before its usage rose are not visited again.
                    m_resumeAfter.insert_or_assign(m_line->number, m_place);
                }
                const bool continues = m_line == line->first;
                const auto resume = m_resumeAfter.find(line->first.number);
                const bool isResumed = !continues && resume != m_resumeAfter.end();
                m_place = continues ? m_place : isResumed ? resume->second : Place{.time = TimePoint::min()};
                m_line = line->first;
                const auto next = line->second.upper_bound(m_place);
                m_isExhausted = next == line->second.end();
                if (!m_isExhausted) {
                    m_place = Place{.time = next->time, .arrival = next->arrival};
                    m_current = next->record->first;
                    return true;
                }
            }
            return false;
        }

        const RequestQueue *m_queue;
        std::optional<Key> m_current;
        GroupKey m_group{.rank = {}, .urgency = Urgency::Claimed};
        std::optional<LineKey> m_line;
        /// The last visited request of the line.
        Place m_place;
        /// All requests of the line were visited.
        bool m_isExhausted = false;
        /// By the numbers of organisations.
        std::map<std::uint64_t, Place> m_resumeAfter;
    };
    class Range
    {
    public:
        explicit Range(const RequestQueue &queue)
            : m_queue(queue)
        {
        }
        Iterator begin() const
        {
            return Iterator(m_queue);
        }
        std::default_sentinel_t end() const
        {
            return {};
        }

    private:
        const RequestQueue &m_queue;
    };

    /// Adds a request. A negative usage puts it before all organisations of its group, without being one. "latestStart" is the last time at which a start gives
    /// an answer on time, "expiresAt" the end of its waiting time, "usage" the organisation's current usage. One with a claim precedes the others of its rank,
    /// also after its latest start.
    void enqueue(const Key &request,
                 PriorityRank rank,
                 TimePoint latestStart,
                 TimePoint expiresAt,
                 const std::string &organisation = {},
                 double usage = 0,
                 bool hasClaim = false)
    {
        const auto [record, isNew] = m_records.try_emplace(request);
        if (!isNew) {
            return;
        }
        setUsage(organisation, usage);
        Organisation &owner = m_organisations[organisation];
        if (owner.waiting++ == 0) {
            owner.name = organisation;
            owner.key = LineKey{.usage = usage, .number = m_nextNumber++};
        }
        record->second = Waiting{.group = {.rank = rank, .urgency = hasClaim ? Urgency::Claimed : Urgency::OnTime},
                                 .latestStart = latestStart,
                                 .arrival = m_nextNumber++,
                                 .expiresAt = expiresAt,
                                 .organisation = &owner};
        addToLine(*record);
        if (!hasClaim) {
            m_latestStarts.insert(latestStartOf(*record));
        }
        m_expiries.insert(expiryOf(*record));
        ++m_countsByRank[rank];
    }
    void remove(const Key &request)
    {
        const auto record = m_records.find(request);
        if (record == m_records.end()) {
            return;
        }
        removeFromLine(*record);
        m_latestStarts.erase(latestStartOf(*record));
        m_expiries.erase(expiryOf(*record));
        Organisation &owner = *record->second.organisation;
        if (--owner.waiting == 0) {
            m_organisations.erase(m_organisations.find(owner.name));
        }
        const auto count = m_countsByRank.find(record->second.group.rank);
        if (--count->second == 0) {
            m_countsByRank.erase(count);
        }
        m_records.erase(record);
    }
    /// Number of requests of each rank; no entry for 0.
    const std::map<PriorityRank, std::size_t> &countsByRank() const
    {
        return m_countsByRank;
    }
    bool empty() const
    {
        return m_records.empty();
    }
    std::size_t size() const
    {
        return m_records.size();
    }
    /// Moves the organisation's requests to the place that its usage gives them.
    void setUsage(const std::string &organisation, double usage)
    {
        const auto found = m_organisations.find(organisation);
        if (found == m_organisations.end() || found->second.key.usage == usage) {
            return;
        }
        Organisation &owner = found->second;
        const LineKey before = owner.key;
        owner.key.usage = usage;
        for (const GroupKey &group : owner.groups) {
            Lines &lines = m_groups.at(group);
            auto line = lines.extract(before);
            line.key() = owner.key;
            lines.insert(std::move(line));
        }
    }
    /// Sets the usages of all organisations with waiting requests; "usageOf" takes the name of an organisation.
    template<typename UsageOf>
    void refreshUsages(UsageOf usageOf)
    {
        for (const auto &[name, organisation] : m_organisations) {
            setUsage(name, usageOf(name));
        }
    }
    /// Number of organisations with waiting requests.
    std::size_t organisationCount() const
    {
        return m_organisations.size();
    }
    /// Number of waiting requests of the organisation.
    std::size_t waitingOf(const std::string &organisation) const
    {
        const auto found = m_organisations.find(organisation);
        return found == m_organisations.end() ? 0 : found->second.waiting;
    }
    /// The smallest usage among the organisations with requests of this rank; none if there are none.
    std::optional<double> smallestUsage(PriorityRank rank) const
    {
        std::optional<double> smallest;
        for (const Urgency urgency : {Urgency::Claimed, Urgency::OnTime, Urgency::Late}) {
            const auto group = m_groups.find(GroupKey{.rank = rank, .urgency = urgency});
            if (group == m_groups.end()) {
                continue;
            }
            const auto line = group->second.lower_bound(LineKey{});
            if (line != group->second.end()) {
                smallest = std::min(smallest.value_or(line->first.usage), line->first.usage);
            }
        }
        return smallest;
    }
    struct LastServed
    {
        std::string organisation;
        double usage = 0;
        /// Of the organisation that is served first.
        double smallestUsage = 0;
    };
    /// The organisation that is served last within the most urgent group in which several wait; none if there is no such group.
    std::optional<LastServed> lastServed() const
    {
        for (const auto &[key, lines] : m_groups) {
            if (lines.size() > 1) {
                const auto last = std::prev(lines.end());
                const auto first = lines.lower_bound(LineKey{});
                return LastServed{.organisation = last->second.begin()->record->second.organisation->name,
                                  .usage = last->first.usage,
                                  .smallestUsage = first == lines.end() ? last->first.usage : first->first.usage};
            }
        }
        return {};
    }
    /// Returns all requests, most urgent first, without a copy: only requests that are visited cost time.
    Range inOrder(TimePoint now)
    {
        while (!m_latestStarts.empty() && m_latestStarts.begin()->time < now) {
            Record &record = *m_latestStarts.begin()->record;
            m_latestStarts.erase(m_latestStarts.begin());
            removeFromLine(record);
            record.second.group.urgency = Urgency::Late;
            addToLine(record);
        }
        return Range(*this);
    }
    /// The requests of a rank that wait.
    struct RankedCount
    {
        PriorityRank rank;
        std::uint32_t count = 0;
        /// Of the most urgent one: the earliest that has not passed, or if all have passed, the earliest.
        TimePoint latestStart;
    };
    /// Returns what waits, most urgent rank first, counting only requests for which "isCounted" returns true. Requests that can still be on time are
    /// counted first. Examines at most "limit" requests of each rank, so that the cost does not grow with the queue.
    template<typename Filter>
    std::vector<RankedCount> countByRank(TimePoint now, std::size_t limit, Filter isCounted) const
    {
        std::vector<RankedCount> counts;
        std::size_t examined = 0;
        std::optional<PriorityRank> rank;
        for (const auto &[key, lines] : m_groups) {
            if (rank != key.rank) {
                rank = key.rank;
                examined = 0;
            }
            for (auto line = lines.begin(); line != lines.end() && examined < limit; ++line) {
                for (const Place &place : line->second) {
                    if (examined == limit) {
                        break;
                    }
                    ++examined;
                    if (isCounted(place.record->first)) {
                        count(counts, key.rank, place.time, now);
                    }
                }
            }
        }
        return counts;
    }
    /// Removes the expired requests, and for each of them all requests of lower ranks: these would be served after it, and a higher rank is never
    /// refused while a lower one keeps waiting. Returns the removed requests, least urgent first.
    std::vector<Key> removeExpired(TimePoint now)
    {
        std::vector<const Record *> expired;
        std::optional<PriorityRank> highestExpired;
        for (auto place = m_expiries.begin(); place != m_expiries.end() && place->time <= now; ++place) {
            expired.push_back(place->record);
            const PriorityRank rank = place->record->second.group.rank;
            highestExpired = std::min(highestExpired.value_or(rank), rank);
        }
        if (!highestExpired) {
            return {};
        }
        for (auto group = m_groups.upper_bound(GroupKey{.rank = *highestExpired, .urgency = Urgency::Late}); group != m_groups.end(); ++group) {
            for (const auto &[key, line] : group->second) {
                for (const Place &place : line) {
                    if (place.record->second.expiresAt > now) {
                        expired.push_back(place.record);
                    }
                }
            }
        }
        std::ranges::sort(expired, [](const Record *one, const Record *two) {
            const auto position = [](const Record &record) { return std::tuple(record.second.group.rank, record.second.latestStart, record.second.arrival); };
            return position(*two) < position(*one);
        });
        std::vector<Key> keys;
        for (const Record *record : expired) {
            keys.push_back(record->first);
        }
        for (const Key &key : keys) {
            remove(key);
        }
        return keys;
    }

private:
    static void count(std::vector<RankedCount> &counts, PriorityRank rank, TimePoint latestStart, TimePoint now)
    {
        if (counts.empty() || counts.back().rank != rank) {
            counts.push_back(RankedCount{.rank = rank, .count = 0, .latestStart = latestStart});
        }
        RankedCount &counted = counts.back();
        ++counted.count;
        const bool isMoreUrgent = std::pair(latestStart < now, latestStart) < std::pair(counted.latestStart < now, counted.latestStart);
        counted.latestStart = isMoreUrgent ? latestStart : counted.latestStart;
    }
    static Place latestStartOf(Record &record)
    {
        return Place{.time = record.second.latestStart, .arrival = record.second.arrival, .record = &record};
    }
    static Place expiryOf(Record &record)
    {
        return Place{.time = record.second.expiresAt, .arrival = record.second.arrival, .record = &record};
    }
    void addToLine(Record &record)
    {
        Organisation &owner = *record.second.organisation;
        Line &line = m_groups[record.second.group][owner.key];
        if (line.empty()) {
            owner.groups.push_back(record.second.group);
        }
        line.insert(latestStartOf(record));
    }
    void removeFromLine(Record &record)
    {
        Organisation &owner = *record.second.organisation;
        const auto group = m_groups.find(record.second.group);
        const auto line = group->second.find(owner.key);
        line->second.erase(latestStartOf(record));
        if (!line->second.empty()) {
            return;
        }
        std::erase(owner.groups, group->first);
        group->second.erase(line);
        if (group->second.empty()) {
            m_groups.erase(group);
        }
    }

    std::uint64_t m_nextNumber = 0;
    std::map<Key, Waiting> m_records;
    std::unordered_map<std::string, Organisation> m_organisations;
    std::map<GroupKey, Lines> m_groups;
    /// The requests that were not moved to the late ones yet.
    std::set<Place> m_latestStarts;
    std::set<Place> m_expiries;
    std::map<PriorityRank, std::size_t> m_countsByRank;
};

}
