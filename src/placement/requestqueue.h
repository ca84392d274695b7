#pragma once

#include "common/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cumindyke
{

/// 0 is the highest; made of the organisation's priority, then the route's.
using PriorityRank = Strong<struct PriorityRankTag, std::uint32_t>;

/// Requests of one service that wait for room at its upstreams, most urgent first and within a rank the one that must go soonest. Engines know
/// no priorities and admit in order of arrival, so a request that waits there can't be overtaken by a more urgent one: waiting is done here.
template<typename Key>
class RequestQueue
{
public:
    /// Until when a start is early enough for an answer on time, and when waiting ends.
    void add(const Key &request, PriorityRank rank, TimePoint latestStart, TimePoint giveUpAt)
    {
        const Place place{rank, latestStart, m_next++};
        m_places.emplace(request, place);
        m_waiting.emplace(place, Waiting{request, giveUpAt});
    }
    void remove(const Key &request)
    {
        const auto found = m_places.find(request);
        if (found == m_places.end()) {
            return;
        }
        m_waiting.erase(found->second);
        m_places.erase(found);
    }
    bool empty() const
    {
        return m_waiting.empty();
    }
    std::size_t size() const
    {
        return m_waiting.size();
    }
    /// All, most urgent first. Within a rank those that can still be on time come before those that can't: served in order of arrival
    /// alone, a line that is once too long makes everybody late.
    std::vector<Key> inOrder(TimePoint now) const
    {
        std::vector<Key> ordered;
        std::vector<Key> late;
        std::optional<PriorityRank> rank;
        const auto addLate = [&] {
            ordered.insert(ordered.end(), late.begin(), late.end());
            late.clear();
        };
        for (const auto &[place, waitingCount] : m_waiting) {
            if (rank != place.rank) {
                addLate();
                rank = place.rank;
            }
            (place.latestStart < now ? late : ordered).push_back(waitingCount.request);
        }
        addLate();
        return ordered;
    }
    /// Takes out those that have waited as long as they may, and with each of them all that wait at a lower rank: they would be served
    /// after it, and a higher rank is never refused while a lower one goes on waiting. Least urgent first.
    std::vector<Key> takeOverdue(TimePoint now)
    {
        std::vector<Key> overdue;
        std::optional<PriorityRank> highest;
        for (const auto &[place, waitingCount] : m_waiting) {
            const bool below = highest && *highest < place.rank;
            if (now < waitingCount.giveUpAt && !below) {
                continue;
            }
            overdue.push_back(waitingCount.request);
            highest = highest ? highest : place.rank;
        }
        for (const Key &request : overdue) {
            remove(request);
        }
        return {overdue.rbegin(), overdue.rend()};
    }

private:
    struct Place
    {
        PriorityRank rank;
        TimePoint latestStart;
        std::uint64_t order = 0;

        auto operator<=>(const Place &) const = default;
    };
    struct Waiting
    {
        Key request;
        TimePoint giveUpAt;
    };

    std::uint64_t m_next = 0;
    std::map<Place, Waiting> m_waiting;
    std::map<Key, Place> m_places;
};

}
