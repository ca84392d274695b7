#pragma once

#include "common/types.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace cumindyke
{

/// Maps prompt prefixes to the upstreams of a cell that probably have them cached. Entries come from placements and are corrected by
/// cache events. Events arrive late and with gaps, so the index is approximate: a wrong entry costs a cache miss, never an error.
/// Holds at most a given number of prefixes; the least recently stored one is evicted.
class PrefixIndex
{
public:
    /// Upstreams are numbered within the cell; those numbered MaxUpstreams or higher are not indexed.
    static constexpr std::uint32_t MaxUpstreams = 64;
    /// A set of upstreams, one bit each.
    using Mask = std::uint64_t;

    explicit PrefixIndex(std::size_t capacity);

    /// Returns the upstreams that probably have the prefix cached.
    Mask holders(std::uint64_t prefix) const;
    /// Records that an upstream has stored the prefix in its cache; a prefix of 0 (none) is ignored.
    void recordStored(std::uint64_t prefix, std::uint32_t upstream);
    /// Records that an upstream has evicted the prefix from its cache.
    void recordEvicted(std::uint64_t prefix, std::uint32_t upstream);
    /// Removes all entries of an upstream that restarted or became unusable, since its cache is empty.
    void removeUpstream(std::uint32_t upstream);
    /// Returns the number of prefixes in the index.
    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Entry
    {
        Mask holders = 0;
        std::list<std::uint64_t>::iterator recency;
    };

    std::size_t m_capacity;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    /// Most recently stored first.
    std::list<std::uint64_t> m_recency;
};

}
