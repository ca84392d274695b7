#include "bench/histogram.h"

#include <algorithm>

namespace cumindyke
{

std::size_t Histogram::bucketOf(std::uint64_t value)
{
    const unsigned width = std::bit_width(value);
    const unsigned shift = width > SubBits ? width - SubBits : 0;
    return std::min<std::size_t>((std::size_t{shift} << (SubBits - 1)) + (value >> shift), Buckets - 1);
}

std::uint64_t Histogram::highestIn(std::size_t bucket)
{
    constexpr std::size_t Half = std::size_t{1} << (SubBits - 1);
    if (bucket < 2 * Half) {
        return bucket;
    }
    const std::size_t shift = bucket / Half - 1;
    const std::uint64_t head = bucket % Half + Half;
    return ((head + 1) << shift) - 1;
}

void Histogram::record(Duration value)
{
    ++m_counts[bucketOf(static_cast<std::uint64_t>(std::max<Duration::rep>(value.count(), 0)))];
    ++m_count;
    m_greatest = std::max(m_greatest, value);
}

void Histogram::add(const Histogram &other)
{
    for (std::size_t i = 0; i < Buckets; ++i) {
        m_counts[i] += other.m_counts[i];
    }
    m_count += other.m_count;
    m_greatest = std::max(m_greatest, other.m_greatest);
}

Duration Histogram::percentile(double part) const
{
    std::uint64_t left = static_cast<std::uint64_t>(part * static_cast<double>(m_count));
    for (std::size_t i = 0; i < Buckets; ++i) {
        if (m_counts[i] > left) {
            return std::min(Duration(static_cast<Duration::rep>(highestIn(i))), m_greatest);
        }
        left -= m_counts[i];
    }
    return m_greatest;
}

}
