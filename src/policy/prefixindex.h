#pragma once

#include "common/types.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace cumindyke
{

/// Which upstreams of a cell hold a prompt's beginning in their cache, as far as is known: from placements made, corrected by cache
/// events. Events come late and with gaps, so the index is a guess: a wrong entry costs a miss, never an error.
class PrefixIndex
{
public:
    /// Upstreams are numbered in the cell; those from MaxUpstreams on have no place in the index.
    static constexpr std::uint32_t MaxUpstreams = 64;
    using Mask = std::uint64_t;

    explicit PrefixIndex(std::size_t capacity);

    /// The upstreams that probably have the prefix, as a bit for each.
    Mask holders(std::uint64_t prefix) const;
    void stored(std::uint64_t prefix, std::uint32_t upstream);
    void evicted(std::uint64_t prefix, std::uint32_t upstream);
    /// The upstream restarted or left: its cache is empty.
    void forget(std::uint32_t upstream);
    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Entry
    {
        Mask holders = 0;
        std::list<std::uint64_t>::iterator age;
    };

    std::size_t m_capacity;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    /// Most recently stored first.
    std::list<std::uint64_t> m_ages;
};

}
