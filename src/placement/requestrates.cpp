#include "placement/requestrates.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Requests that a limited upstream gets at least: only its answers tell that the limit is lifted.
constexpr double MinRequestsPerSecond = 0.5;
/// Requests that may be saved up, as a part of a second's rate. More would overrun the limit when a wave follows a pause.
constexpr double MaxSavedSeconds = 0.5;
constexpr Duration KeepTime = std::chrono::seconds(60);

}

void RequestRates::record(const InstanceName &upstream, std::optional<double> perSecond, TimePoint answeredAt, TimePoint now)
{
    const auto known = m_limits.find(upstream);
    if (known == m_limits.end()) {
        m_limits[upstream] = Limit{.perSecond = perSecond, .answeredAt = answeredAt, .refilledAt = now};
        return;
    }
    Limit &limit = known->second;
    if (answeredAt < limit.answeredAt) {
        return;
    }
    if (!limit.perSecond) {
        limit.level = 0;
        limit.refilledAt = now;
    }
    limit.perSecond = perSecond;
    limit.answeredAt = answeredAt;
}

bool RequestRates::isLimited(const InstanceName &upstream) const
{
    const auto found = m_limits.find(upstream);
    return found != m_limits.end() && found->second.perSecond;
}

double RequestRates::rate(const Limit &limit, double share)
{
    return std::max(*limit.perSecond, MinRequestsPerSecond) * share;
}

double RequestRates::levelAt(const Limit &limit, double share, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - limit.refilledAt).count();
    return std::min(limit.level + rate(limit, share) * seconds, std::max(1.0, MaxSavedSeconds * rate(limit, share)));
}

bool RequestRates::maySend(const InstanceName &upstream, double share, TimePoint now) const
{
    const auto found = m_limits.find(upstream);
    return found == m_limits.end() || !found->second.perSecond || levelAt(found->second, share, now) >= 1;
}

void RequestRates::recordSent(const InstanceName &upstream, double share, TimePoint now)
{
    const auto found = m_limits.find(upstream);
    if (found == m_limits.end() || !found->second.perSecond) {
        return;
    }
    Limit &limit = found->second;
    limit.level = std::max(levelAt(limit, share, now) - 1, -std::max(1.0, rate(limit, share)));
    limit.refilledAt = now;
}

void RequestRates::expire(TimePoint now)
{
    std::erase_if(m_limits, [now](const auto &pair) { return !pair.second.perSecond && now - pair.second.answeredAt > KeepTime; });
}

}
