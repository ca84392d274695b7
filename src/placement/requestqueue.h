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
    void enqueue(const Key &request, PriorityRank rank, TimePoint latestStart, TimePoint expiresAt)
    {
        const Position position{rank, latestStart, m_nextArrival++};
        m_positions.emplace(request, position);
        m_entries.emplace(position, Entry{request, expiresAt});
    }
    void remove(const Key &request)
    {
        const auto found = m_positions.find(request);
        if (found == m_positions.end()) {
            return;
        }
        m_entries.erase(found->second);
        m_positions.erase(found);
    }
    bool empty() const
    {
        return m_entries.empty();
    }
    std::size_t size() const
    {
        return m_entries.size();
    }
    /// All, most urgent first. Within a rank those that can still be on time come before those that can't: served in order of arrival
    /// alone, a line that is once too long makes everybody late.
    std::vector<Key> inOrder(TimePoint now) const
    {
        std::vector<Key> ordered;
        std::vector<Key> late;
        std::optional<PriorityRank> rank;
        const auto appendLate = [&] {
            ordered.insert(ordered.end(), late.begin(), late.end());
            late.clear();
        };
        for (const auto &[position, entry] : m_entries) {
            if (rank != position.rank) {
                appendLate();
                rank = position.rank;
            }
            (position.latestStart < now ? late : ordered).push_back(entry.request);
        }
        appendLate();
        return ordered;
    }
    /// Takes out those that have waited as long as they may, and with each of them all that wait at a lower rank: they would be served
    /// after it, and a higher rank is never refused while a lower one goes on waiting. Least urgent first.
    std::vector<Key> removeExpired(TimePoint now)
    {
        std::vector<Key> expired;
        std::optional<PriorityRank> highestExpired;
        for (const auto &[position, entry] : m_entries) {
            const bool isLowerRank = highestExpired && *highestExpired < position.rank;
            if (now < entry.expiresAt && !isLowerRank) {
                continue;
            }
            expired.push_back(entry.request);
            highestExpired = highestExpired ? highestExpired : position.rank;
        }
        for (const Key &request : expired) {
            remove(request);
        }
        return {expired.rbegin(), expired.rend()};
    }

private:
    struct Position
    {
        PriorityRank rank;
        TimePoint latestStart;
        std::uint64_t arrival = 0;

        auto operator<=>(const Position &) const = default;
    };
    struct Entry
    {
        Key request;
        TimePoint expiresAt;
    };

    std::uint64_t m_nextArrival = 0;
    std::map<Position, Entry> m_entries;
    std::map<Key, Position> m_positions;
};

}
