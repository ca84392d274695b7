#pragma once

#include "raft/types.h"

#include <deque>

namespace cumindyke::raft
{

/// The entries after a base, in memory: from some way before the last snapshot to the end of the log.
class MemoryLog
{
public:
    MemoryLog(Index baseIndex, Term baseTerm, const std::vector<EntryPointer> &entries);

    Index base() const
    {
        return m_baseIndex;
    }
    Index last() const
    {
        return m_baseIndex + m_entries.size();
    }
    Term lastTerm() const
    {
        return *term(last());
    }
    /// None before the base and after the end.
    std::optional<Term> term(Index index) const;
    const EntryPointer &at(Index index) const
    {
        return m_entries[index - m_baseIndex - 1];
    }
    /// Entries from an index on, at least one if there is one, at most maxBytes of commands.
    std::vector<EntryPointer> from(Index first, std::size_t maxBytes) const;

    void append(EntryPointer entry);
    /// Drops the entries after an index.
    void truncateAfter(Index index);
    /// Drops the entries up to an index.
    void compact(Index upTo);
    void reset(Index baseIndex, Term baseTerm);

private:
    Index m_baseIndex;
    Term m_baseTerm;
    std::deque<EntryPointer> m_entries;
};

}
