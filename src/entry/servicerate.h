#pragma once

#include "common/types.h"

#include <chrono>
#include <cstddef>

namespace cumindyke
{

/// Estimates the rate at which requests of a service end on this VM, from which Retry-After is computed.
class ServiceRate
{
public:
    /// Records the end of a request.
    void recordEnd(TimePoint now);
    /// Returns the time in which this many requests end at the present rate: 1 to 60 s, or 5 s when the rate is not known.
    std::chrono::seconds estimatedTime(std::size_t requests, TimePoint now) const;

private:
    double endedWeightAt(TimePoint now) const;

    /// Exponentially decayed count of ended requests.
    double m_endedWeight = 0;
    TimePoint m_updatedAt;
};

}
