#include "proxy/bufferbudget.h"

#include <algorithm>
#include <tuple>

namespace cumindyke
{

namespace
{

/// A connection is judged by its pace only after this time. Before that, every answer that was just written would be a slow reader's.
constexpr Duration ObservationTime = std::chrono::seconds(1);
/// Part of the budget that is freed at once. Without it, each further byte would look for a connection to drop.
constexpr std::size_t FreedDivisor = 16;

}

const char *toString(EvictionKind kind)
{
    return kind == EvictionKind::Reader ? "reader" : "body";
}

void BufferBudget::Progress::add(std::size_t bytes, TimePoint now)
{
    const Duration elapsed = now - m_startedAt;
    if (elapsed >= ObservationTime) {
        m_previous = elapsed < 2 * ObservationTime ? m_current : 0;
        m_startedAt = elapsed < 2 * ObservationTime ? m_startedAt + ObservationTime : now;
        m_current = 0;
    }
    m_current += bytes;
}

std::size_t BufferBudget::Progress::lastSecond(TimePoint now) const
{
    // Of the interval before, the part that is within the last second.
    const auto part = [](std::size_t bytes, Duration left) {
        return left <= Duration::zero() ? 0 : static_cast<std::size_t>(static_cast<double>(bytes) * std::chrono::duration<double>(left).count());
    };
    const Duration elapsed = now - m_startedAt;
    return elapsed < ObservationTime ? m_current + part(m_previous, ObservationTime - elapsed) : part(m_current, 2 * ObservationTime - elapsed);
}

/// Candidates are dropped in ascending order.
struct BufferBudget::Candidate
{
    enum class Group { SlowReader, SlowBody, Other };

    BufferEviction eviction;
    Group group = Group::Other;
    /// Of a body.
    std::size_t receivedLastSecond = 0;
    /// Of a slow reader those that it won't have read in a second, otherwise all.
    std::size_t bytes = 0;

    bool operator<(const Candidate &other) const
    {
        return std::tuple(group, receivedLastSecond, other.bytes, eviction.id) < std::tuple(other.group, other.receivedLastSecond, bytes, other.eviction.id);
    }
};

BufferBudget::BufferBudget(std::size_t bytes)
    : m_budget(bytes)
{
}

void BufferBudget::update(CallerId id, const CallerBuffers &buffers, TimePoint now)
{
    Connection &connection = m_connections[id.value];
    const CallerBuffers before = connection.buffers;
    if (!connection.isEvicted) {
        m_used = m_used - before.total() + buffers.total();
    }
    if (buffers.total() == 0) {
        m_connections.erase(id.value);
        return;
    }
    connection.buffers = buffers;
    if (before.receiving == 0) {
        connection.receivingSince = now;
        connection.received = {};
    }
    if (before.unread == 0) {
        connection.unreadSince = now;
        connection.read = {};
    }
    if (buffers.receiving > before.receiving) {
        connection.received.add(buffers.receiving - before.receiving, now);
    }
    if (buffers.unread < before.unread) {
        connection.read.add(before.unread - buffers.unread, now);
    }
}

BufferBudget::Candidate BufferBudget::candidateOf(CallerId id, const Connection &connection, TimePoint now)
{
    const CallerBuffers &buffers = connection.buffers;
    const std::size_t total = buffers.total();
    Candidate candidate{.eviction = BufferEviction{.id = id, .kind = EvictionKind::Body, .bytes = total}, .bytes = total};
    if (buffers.unread > 0) {
        candidate.eviction.kind = EvictionKind::Reader;
        const std::size_t read = connection.read.lastSecond(now);
        if (now - connection.unreadSince >= ObservationTime && total > read) {
            candidate.group = Candidate::Group::SlowReader;
            candidate.bytes = total - read;
        }
    } else if (now - connection.receivingSince >= ObservationTime) {
        candidate.group = Candidate::Group::SlowBody;
        candidate.receivedLastSecond = connection.received.lastSecond(now);
    }
    return candidate;
}

std::vector<BufferEviction> BufferBudget::evict(TimePoint now)
{
    std::vector<BufferEviction> evictions;
    if (!isExceeded()) {
        return evictions;
    }
    std::vector<Candidate> candidates;
    for (const auto &[id, connection] : m_connections) {
        // Bytes of a next request that arrived with one that is still running don't make the running one a body.
        const bool isIdle = connection.buffers.unread == 0 && (connection.buffers.receiving == 0 || connection.buffers.held > 0);
        if (!connection.isEvicted && !isIdle) {
            candidates.push_back(candidateOf(CallerId{id}, connection, now));
        }
    }
    std::ranges::sort(candidates, [](const Candidate &a, const Candidate &b) { return a < b; });
    for (const Candidate &candidate : candidates) {
        const std::size_t target = candidate.group == Candidate::Group::Other ? m_budget : m_budget - m_budget / FreedDivisor;
        if (m_used <= target) {
            break;
        }
        m_connections[candidate.eviction.id.value].isEvicted = true;
        m_used -= candidate.eviction.bytes;
        evictions.push_back(candidate.eviction);
    }
    return evictions;
}

}
