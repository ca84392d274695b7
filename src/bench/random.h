#pragma once

#include "common/types.h"

#include <cstdint>
#include <random>
#include <vector>

namespace cumindyke
{

/// The experiments' random numbers: std::mt19937_64, which the C++ standard fixes bit for bit, mapped to distributions by the
/// formulas below. They use only integer arithmetic and IEEE addition, multiplication and division, no library function whose
/// last bit differs between machines, so that a seed gives the same experiment everywhere.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Uniform in [0, 1): the top 53 bits.
    double uniform()
    {
        return static_cast<double>(m_engine() >> 11U) * 0x1.0p-53;
    }

    /// Uniform in [0, bound).
    std::uint32_t below(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(uniform() * bound);
    }

    /// Exponential with mean 1, by von Neumann's comparisons ("Various techniques used in connection with random digits", 1951).
    double exponential()
    {
        for (std::uint32_t whole = 0;; ++whole) {
            const double first = uniform();
            double last = first;
            std::uint32_t descents = 0;
            for (double next = uniform(); next < last; next = uniform()) {
                last = next;
                ++descents;
            }
            if (descents % 2 == 0) {
                return whole + first;
            }
        }
    }

    /// Linear between equally spaced quantiles: {least, ..., greatest}, two or more.
    double fromQuantiles(const std::vector<double> &quantiles)
    {
        const double place = uniform() * static_cast<double>(quantiles.size() - 1);
        const auto below = static_cast<std::size_t>(place);
        return quantiles[below] + (place - static_cast<double>(below)) * (quantiles[below + 1] - quantiles[below]);
    }

    /// An index with a probability in proportion to its weight.
    std::size_t weighted(const std::vector<double> &weights)
    {
        double sum = 0;
        for (const double weight : weights) {
            sum += weight;
        }
        double left = uniform() * sum;
        for (std::size_t i = 0; i < weights.size(); ++i) {
            left -= weights[i];
            if (left < 0) {
                return i;
            }
        }
        return weights.size() - 1;
    }

private:
    std::mt19937_64 m_engine;
};

}
