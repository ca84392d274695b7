#include "entry/servicerate.h"

#include <algorithm>
#include <cmath>

namespace cumindyke
{

namespace
{

/// Time in which the weight of an ended request decays to 1/e.
constexpr double DecaySeconds = 10;
/// With a smaller weight the rate counts as not known.
constexpr double MinWeight = 0.5;
constexpr std::chrono::seconds DefaultTime{5};
constexpr double MaxSeconds = 60;

}

void ServiceRate::recordEnd(TimePoint now)
{
    m_endedWeight = endedWeightAt(now) + 1;
    m_updatedAt = now;
}

std::chrono::seconds ServiceRate::estimatedTime(std::size_t requests, TimePoint now) const
{
    const double weight = endedWeightAt(now);
    if (weight < MinWeight) {
        return DefaultTime;
    }
    const double seconds = std::ceil(static_cast<double>(requests) * DecaySeconds / weight);
    return std::chrono::seconds(static_cast<std::int64_t>(std::clamp(seconds, 1.0, MaxSeconds)));
}

double ServiceRate::endedWeightAt(TimePoint now) const
{
    return m_endedWeight * std::exp(-std::chrono::duration<double>(now - m_updatedAt).count() / DecaySeconds);
}

}
