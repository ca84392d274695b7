#pragma once

#include "common/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cumindyke
{

/// Handle of a request of this VM.
using LocalRequest = Strong<struct LocalRequestTag, std::uint64_t>;

/// 0 is the highest; made of the organisation's priority, then the route's.
using WaitingRank = Strong<struct WaitingRankTag, std::uint32_t>;

/// Requests of one service that wait for room at its upstreams, most urgent first and in order of arrival within a rank. Engines know
/// no priorities and admit in order of arrival, so a request that waits there can't be overtaken by a more urgent one: waiting is done here.
class WaitingLine
{
public:
    void add(LocalRequest request, WaitingRank rank, TimePoint giveUpAt)
    {
        const Place place{rank, m_next++};
        m_places.emplace(request, place);
        m_waiting.emplace(place, Waiting{request, giveUpAt});
    }
    void remove(LocalRequest request)
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
    /// The most urgent one.
    std::optional<LocalRequest> first() const
    {
        return m_waiting.empty() ? std::nullopt : std::optional(m_waiting.begin()->second.request);
    }
    /// All, most urgent first.
    std::vector<LocalRequest> inOrder() const
    {
        std::vector<LocalRequest> requests;
        for (const auto &[place, waiting] : m_waiting) {
            requests.push_back(waiting.request);
        }
        return requests;
    }
    /// Takes out those that have waited as long as they may, and with each of them all that wait at a lower rank: they would be served
    /// after it, and a higher rank is never refused while a lower one goes on waiting. Least urgent first.
    std::vector<LocalRequest> takeOverdue(TimePoint now)
    {
        std::vector<LocalRequest> overdue;
        std::optional<WaitingRank> highest;
        for (const auto &[place, waiting] : m_waiting) {
            const bool below = highest && *highest < place.rank;
            if (now < waiting.giveUpAt && !below) {
                continue;
            }
            overdue.push_back(waiting.request);
            highest = highest ? highest : place.rank;
        }
        for (const LocalRequest request : overdue) {
            remove(request);
        }
        return {overdue.rbegin(), overdue.rend()};
    }

private:
    struct Place
    {
        WaitingRank rank;
        std::uint64_t order = 0;

        auto operator<=>(const Place &) const = default;
    };
    struct Waiting
    {
        LocalRequest request;
        TimePoint giveUpAt;
    };

    std::uint64_t m_next = 0;
    std::map<Place, Waiting> m_waiting;
    std::map<LocalRequest, Place> m_places;
};

}
