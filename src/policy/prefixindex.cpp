#include "policy/prefixindex.h"

namespace cumindyke
{

PrefixIndex::PrefixIndex(std::size_t capacity)
    : m_capacity(capacity)
{
}

PrefixIndex::Mask PrefixIndex::holders(std::uint64_t prefix) const
{
    const auto found = m_entries.find(prefix);
    return found == m_entries.end() ? 0 : found->second.holders;
}

void PrefixIndex::recordStored(std::uint64_t prefix, std::uint32_t upstream)
{
    if (prefix == 0 || upstream >= MaxUpstreams) {
        return;
    }
    const auto [found, added] = m_entries.try_emplace(prefix);
    if (added) {
        m_recency.push_front(prefix);
        found->second.recency = m_recency.begin();
    } else {
        m_recency.splice(m_recency.begin(), m_recency, found->second.recency);
    }
    found->second.holders |= Mask{1} << upstream;
    if (m_entries.size() > m_capacity) {
        m_entries.erase(m_recency.back());
        m_recency.pop_back();
    }
}

void PrefixIndex::recordEvicted(std::uint64_t prefix, std::uint32_t upstream)
{
    const auto found = m_entries.find(prefix);
    if (found == m_entries.end() || upstream >= MaxUpstreams) {
        return;
    }
    found->second.holders &= ~(Mask{1} << upstream);
    if (found->second.holders == 0) {
        m_recency.erase(found->second.recency);
        m_entries.erase(found);
    }
}

void PrefixIndex::removeUpstream(std::uint32_t upstream)
{
    if (upstream >= MaxUpstreams) {
        return;
    }
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        entry->second.holders &= ~(Mask{1} << upstream);
        if (entry->second.holders != 0) {
            ++entry;
            continue;
        }
        m_recency.erase(entry->second.recency);
        entry = m_entries.erase(entry);
    }
}

}
