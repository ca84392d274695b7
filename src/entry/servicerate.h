#pragma once

#include "common/types.h"

#include <chrono>
#include <cstddef>

namespace cumindyke
{

/// How fast requests of a service end on this VM, for a Retry-After that tells when the present queue will be gone.
class ServiceRate
{
public:
    void ended(TimePoint now);
    /// The time for this many requests at the present rate: 1 to 60 s; 5 s when nothing is known.
    std::chrono::seconds timeFor(std::size_t requests, TimePoint now) const;

private:
    double weightAt(TimePoint now) const;

    /// Requests ended, older ones counting less.
    double m_weight = 0;
    TimePoint m_updatedAt;
};

}
