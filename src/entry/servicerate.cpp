#include "entry/servicerate.h"

#include <algorithm>
#include <cmath>

namespace cumindyke
{

namespace
{

/// After this long an ended request counts 1/e.
constexpr double MemorySeconds = 10;
constexpr double LeastKnown = 0.5;
constexpr std::chrono::seconds Unknown{5};
constexpr double Longest = 60;

}

void ServiceRate::ended(TimePoint now)
{
    m_weight = weightAt(now) + 1;
    m_updatedAt = now;
}

std::chrono::seconds ServiceRate::timeFor(std::size_t requests, TimePoint now) const
{
    const double weight = weightAt(now);
    if (weight < LeastKnown) {
        return Unknown;
    }
    const double seconds = std::ceil(static_cast<double>(requests) * MemorySeconds / weight);
    return std::chrono::seconds(static_cast<std::int64_t>(std::clamp(seconds, 1.0, Longest)));
}

double ServiceRate::weightAt(TimePoint now) const
{
    return m_weight * std::exp(-std::chrono::duration<double>(now - m_updatedAt).count() / MemorySeconds);
}

}
