#pragma once

#include "common/types.h"
#include "entry/callerbuffers.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cumindyke
{

enum class EvictionKind {
    Reader, ///< a caller that does not read its answer
    Body, ///< a request that is being received
};
const char *toString(EvictionKind kind);

/// A connection that must be dropped, and the bytes that this frees.
struct BufferEviction
{
    CallerId id;
    EvictionKind kind = EvictionKind::Reader;
    std::size_t bytes = 0;

    bool operator==(const BufferEviction &) const = default;
};

/// Bounds the bytes that an entry VM has read and not passed on yet, over all callers' connections. Decides how far answers are read ahead of their callers,
/// and which connections are dropped when the budget is used up.
class BufferBudget
{
public:
    /// An answer is read this far ahead of its caller, so that its upstream's slot becomes free.
    static constexpr std::size_t MaxReadAhead = 1 << 20;
    /// The same while the budget is short: what one read of a connection returns.
    static constexpr std::size_t ShortReadAhead = 16 << 10;

    explicit BufferBudget(std::size_t bytes);

    /// All counts are 0: the connection was closed, or holds nothing.
    void update(CallerId id, const CallerBuffers &buffers, TimePoint now);

    std::size_t usedBytes() const
    {
        return m_used;
    }
    /// Three quarters of the budget are used.
    bool isShort() const
    {
        return m_used >= m_budget - m_budget / 4;
    }
    bool isExceeded() const
    {
        return m_used > m_budget;
    }
    std::size_t readAheadLimit() const
    {
        return isShort() ? ShortReadAhead : MaxReadAhead;
    }

    /// Selects the connections to drop; none unless the budget is exceeded. Their bytes are no longer counted, and the caller closes them.
    ///
    /// Slow readers come first, those with the most bytes that they won't have read within a second at their current pace; then bodies that have been arriving
    /// for a second, the slowest first; until a sixteenth of the budget is free. What is left are connections that keep pace or are new. They are dropped only
    /// as far as the budget is still exceeded, those with the most bytes first. Complete requests that are waiting or running are never dropped.
    std::vector<BufferEviction> evict(TimePoint now);

private:
    /// Bytes moved in about the last second.
    class Progress
    {
    public:
        void add(std::size_t bytes, TimePoint now);
        std::size_t lastSecond(TimePoint now) const;

    private:
        TimePoint m_startedAt{};
        std::size_t m_current = 0;
        std::size_t m_previous = 0;
    };
    struct Connection
    {
        CallerBuffers buffers;
        /// Since when a request is being received, or an answer unread, without interruption.
        TimePoint receivingSince{};
        TimePoint unreadSince{};
        Progress received;
        Progress read;
        /// Was selected by evict(), and is not counted.
        bool isEvicted = false;
    };
    struct Candidate;

    static Candidate candidateOf(CallerId id, const Connection &connection, TimePoint now);

    const std::size_t m_budget;
    std::size_t m_used = 0;
    std::unordered_map<std::uint64_t, Connection> m_connections;
};

}
