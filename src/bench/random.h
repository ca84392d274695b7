#pragma once

#include "common/types.h"

#include <cstdint>
#include <random>
#include <vector>

namespace cumindyke
{

/// Random numbers of the experiments: std::mt19937_64, which the C++ standard fixes bit for bit, mapped to distributions by the
/// formulas below. The formulas use only integer arithmetic and IEEE addition, multiplication and division, and no library function
/// whose last bit differs between machines, so that a seed gives the same experiment everywhere.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Uniform in [0, 1), from the top 53 bits.
    double uniform()
    {
        return static_cast<double>(m_engine() >> 11U) * 0x1.0p-53;
    }

    /// Uniform integer in [0, bound).
    std::uint32_t uniformInteger(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(uniform() * bound);
    }

    /// Exponential with mean 1, by von Neumann's comparison method ("Various techniques used in connection with random digits", 1951).
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

    /// Interpolates linearly between two or more equally spaced quantiles, {minimum, ..., maximum}.
    double fromQuantiles(const std::vector<double> &quantiles)
    {
        const double position = uniform() * static_cast<double>(quantiles.size() - 1);
        const auto below = static_cast<std::size_t>(position);
        return quantiles[below] + (position - static_cast<double>(below)) * (quantiles[below + 1] - quantiles[below]);
    }

    /// Random index with a probability proportional to its weight.
    std::size_t weightedIndex(const std::vector<double> &weights)
    {
        double sum = 0;
        for (const double weight : weights) {
            sum += weight;
        }
        double remaining = uniform() * sum;
        for (std::size_t i = 0; i < weights.size(); ++i) {
            remaining -= weights[i];
            if (remaining < 0) {
                return i;
            }
        }
        return weights.size() - 1;
    }

private:
    std::mt19937_64 m_engine;
};

}
