#pragma once

#include "common/types.h"

#include <array>
#include <bit>
#include <cstdint>

namespace cumindyke
{

/// Counts durations in buckets whose width grows with the value, as in HdrHistogram. Values up to an hour are exact within 1.6%;
/// the size is a fixed 16 KB and recording allocates nothing.
class Histogram
{
public:
    void record(Duration value);
    void add(const Histogram &other);
    /// Returns the smallest bucket limit that the given ratio of all values (0 to 1) does not exceed, or zero without values.
    Duration percentile(double ratio) const;
    std::uint64_t count() const
    {
        return m_count;
    }
    Duration max() const
    {
        return m_max;
    }

private:
    /// Values below 2^SubBucketBits microseconds have buckets of their own; above, each power of two has 2^(SubBucketBits - 1).
    static constexpr unsigned SubBucketBits = 7;
    static constexpr std::size_t BucketCount = std::size_t{64} << (SubBucketBits - 1);

    static std::size_t bucketIndex(std::uint64_t value);
    static std::uint64_t highestValue(std::size_t bucket);

    std::array<std::uint64_t, BucketCount> m_counts{};
    std::uint64_t m_count = 0;
    Duration m_max{};
};

}
