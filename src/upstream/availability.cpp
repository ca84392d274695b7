#include "upstream/availability.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

constexpr Duration MinEjectionTime = std::chrono::milliseconds(500);
constexpr Duration MaxEjectionTime = std::chrono::seconds(15);
/// A probe without a result by then is followed by another one.
constexpr Duration ProbeTimeout = std::chrono::seconds(1);

}

void Availability::recordRefusal(const UpstreamName &upstream, TimePoint now, Duration pause)
{
    Ejection &ejection = m_ejections[upstream];
    // Requests that were sent together are refused together and count as one refusal.
    if (!ejection.isProbing && now < ejection.ejectedUntil) {
        ejection.ejectedUntil = std::max(ejection.ejectedUntil, now + pause);
        return;
    }
    ejection.isProbing = false;
    ejection.ejectionTime = ejection.ejectionTime == Duration::zero() ? MinEjectionTime : std::min(ejection.ejectionTime * 2, MaxEjectionTime);
    ejection.ejectedUntil = now + std::max(ejection.ejectionTime, pause);
}

void Availability::recordAcceptance(const UpstreamName &upstream)
{
    m_ejections.erase(upstream);
}

void Availability::recordDispatch(const UpstreamName &upstream, TimePoint now)
{
    const auto ejection = m_ejections.find(upstream);
    if (ejection != m_ejections.end()) {
        ejection->second.isProbing = true;
        ejection->second.ejectedUntil = now + ProbeTimeout;
    }
}

void Availability::setDraining(std::set<UpstreamName> draining)
{
    m_draining = std::move(draining);
}

bool Availability::isUsable(const UpstreamName &upstream, TimePoint now) const
{
    const auto ejection = m_ejections.find(upstream);
    return !m_draining.contains(upstream) && (ejection == m_ejections.end() || ejection->second.ejectedUntil <= now);
}

std::set<UpstreamName> Availability::unusableUpstreams(TimePoint now) const
{
    std::set<UpstreamName> names = m_draining;
    for (const auto &[upstream, ejection] : m_ejections) {
        if (ejection.ejectedUntil > now) {
            names.insert(upstream);
        }
    }
    return names;
}

}
