#include "raft/memorylog.h"

namespace cumindyke::raft
{

MemoryLog::MemoryLog(Index baseIndex, Term baseTerm, const std::vector<EntryPointer> &entries)
    : m_baseIndex(baseIndex)
    , m_baseTerm(baseTerm)
    , m_entries(entries.begin(), entries.end())
{
}

std::optional<Term> MemoryLog::termAt(Index index) const
{
    if (index == m_baseIndex) {
        return m_baseTerm;
    }
    if (index < m_baseIndex || index > lastIndex()) {
        return {};
    }
    return at(index)->term();
}

std::vector<EntryPointer> MemoryLog::entriesFrom(Index first, std::size_t maxBytes) const
{
    std::vector<EntryPointer> entries;
    std::size_t bytes = 0;
    for (Index index = first; index <= lastIndex(); ++index) {
        bytes += at(index)->command().size();
        if (!entries.empty() && bytes > maxBytes) {
            break;
        }
        entries.push_back(at(index));
    }
    return entries;
}

void MemoryLog::append(EntryPointer entry)
{
    m_entries.push_back(std::move(entry));
}

void MemoryLog::truncateAfter(Index index)
{
    m_entries.resize(index - m_baseIndex);
}

void MemoryLog::compact(Index upTo)
{
    if (upTo <= m_baseIndex) {
        return;
    }
    m_baseTerm = *termAt(upTo);
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(upTo - m_baseIndex));
    m_baseIndex = upTo;
}

void MemoryLog::reset(Index baseIndex, Term baseTerm)
{
    m_entries.clear();
    m_baseIndex = baseIndex;
    m_baseTerm = baseTerm;
}

}
