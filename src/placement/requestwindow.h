#pragma once

#include "common/types.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace cumindyke
{

/// Bounds the requests that an upstream gets in any second: remembers when the last ones were granted. Pure: time is an argument.
///
/// A token bucket of the same rate would either allow more than the bound in some second, or less than it on average.
class RequestWindow
{
public:
    /// Whether one more request keeps to "perSecond" requests in any second. A bound below one means one request in a longer time.
    bool mayGrant(double perSecond, TimePoint now) const
    {
        const double bounded = std::clamp(perSecond, MinPerSecond, MaxPerSecond);
        const auto count = static_cast<std::size_t>(std::max(1.0, std::floor(bounded)));
        if (m_grantedAt.size() < count) {
            return true;
        }
        const std::chrono::duration<double> window(std::max(1.0, 1 / bounded));
        return now - m_grantedAt[m_grantedAt.size() - count] >= std::chrono::duration_cast<Duration>(window) + ArrivalSpread;
    }
    void recordGranted(TimePoint now)
    {
        m_grantedAt.push_back(now);
        while (m_grantedAt.size() > static_cast<std::size_t>(MaxPerSecond)) {
            m_grantedAt.pop_front();
        }
    }
    /// Whether nothing was granted lately.
    bool isIdle(TimePoint now) const
    {
        return m_grantedAt.empty() || now - m_grantedAt.back() > IdleTime;
    }

private:
    /// Requests granted over a longer time than a second may arrive within one: entry VMs receive grants, and send, with different delays.
    static constexpr Duration ArrivalSpread = std::chrono::milliseconds(50);
    static constexpr Duration IdleTime = std::chrono::seconds(60);
    static constexpr double MinPerSecond = 1.0 / 60;
    /// Bounds the memory. An upstream that bears more while cold is bounded by its slots.
    static constexpr double MaxPerSecond = 256;

    std::deque<TimePoint> m_grantedAt;
};

}
