#pragma once

#include "raft/types.h"

#include <deque>

namespace cumindyke::raft
{

/// The log entries after a base index, in memory: from some entries before the last snapshot to the end of the log.
class MemoryLog
{
public:
    MemoryLog(Index baseIndex, Term baseTerm, const std::vector<EntryPointer> &entries);

    Index baseIndex() const
    {
        return m_baseIndex;
    }
    Index lastIndex() const
    {
        return m_baseIndex + m_entries.size();
    }
    Term lastTerm() const
    {
        return *termAt(lastIndex());
    }
    /// Returns an entry's term; empty before the base and after the end of the log.
    std::optional<Term> termAt(Index index) const;
    const EntryPointer &at(Index index) const
    {
        return m_entries[index - m_baseIndex - 1];
    }
    /// Returns the entries from an index on, with at most maxBytes of commands, but at least one entry if there is any.
    std::vector<EntryPointer> entriesFrom(Index first, std::size_t maxBytes) const;

    void append(EntryPointer entry);
    /// Removes the entries after an index.
    void truncateAfter(Index index);
    /// Removes the entries up to an index.
    void compact(Index upTo);
    void reset(Index baseIndex, Term baseTerm);

private:
    Index m_baseIndex;
    Term m_baseTerm;
    std::deque<EntryPointer> m_entries;
};

}
