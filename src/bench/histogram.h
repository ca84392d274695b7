#pragma once

#include "common/types.h"

#include <array>
#include <bit>
#include <cstdint>

namespace cumindyke
{

/// Counts of durations in buckets whose width grows with the value, as in HdrHistogram: every value up to an hour within 1.6%,
/// in a fixed 16 KB, with no allocation when recording.
class Histogram
{
public:
    void record(Duration value);
    void add(const Histogram &other);
    /// The least recorded value that a part of all values, from 0 to 1, does not exceed; zero when there are none.
    Duration percentile(double part) const;
    std::uint64_t count() const
    {
        return m_count;
    }
    Duration greatest() const
    {
        return m_greatest;
    }

private:
    /// Values below 2^SubBits microseconds have buckets of their own; above, each power of two has 2^(SubBits - 1).
    static constexpr unsigned SubBits = 7;
    static constexpr std::size_t Buckets = std::size_t{64} << (SubBits - 1);

    static std::size_t bucketOf(std::uint64_t value);
    static std::uint64_t highestIn(std::size_t bucket);

    std::array<std::uint64_t, Buckets> m_counts{};
    std::uint64_t m_count = 0;
    Duration m_greatest{};
};

}
