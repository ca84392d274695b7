#include "bench/histogram.h"

#include <algorithm>

namespace cumindyke
{

std::size_t Histogram::bucketIndex(std::uint64_t value)
{
    const unsigned width = std::bit_width(value);
    const unsigned shift = width > SubBucketBits ? width - SubBucketBits : 0;
    return std::min<std::size_t>((std::size_t{shift} << (SubBucketBits - 1)) + (value >> shift), BucketCount - 1);
}

std::uint64_t Histogram::highestValue(std::size_t bucket)
{
    constexpr std::size_t Half = std::size_t{1} << (SubBucketBits - 1);
    if (bucket < 2 * Half) {
        return bucket;
    }
    const std::size_t shift = bucket / Half - 1;
    const std::uint64_t head = bucket % Half + Half;
    return ((head + 1) << shift) - 1;
}

void Histogram::record(Duration value)
{
    ++m_counts[bucketIndex(static_cast<std::uint64_t>(std::max<Duration::rep>(value.count(), 0)))];
    ++m_count;
    m_max = std::max(m_max, value);
}

void Histogram::add(const Histogram &other)
{
    for (std::size_t i = 0; i < BucketCount; ++i) {
        m_counts[i] += other.m_counts[i];
    }
    m_count += other.m_count;
    m_max = std::max(m_max, other.m_max);
}

Duration Histogram::percentile(double ratio) const
{
    std::uint64_t remaining = static_cast<std::uint64_t>(ratio * static_cast<double>(m_count));
    for (std::size_t i = 0; i < BucketCount; ++i) {
        if (m_counts[i] > remaining) {
            return std::min(Duration(static_cast<Duration::rep>(highestValue(i))), m_max);
        }
        remaining -= m_counts[i];
    }
    return m_max;
}

}
