#include "upstream/availability.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

constexpr Duration FirstPause = std::chrono::milliseconds(500);
constexpr Duration LongestPause = std::chrono::seconds(15);
/// A trial whose result is not known by then makes room for the next one.
constexpr Duration TrialPatience = std::chrono::seconds(1);

}

void Availability::refused(const UpstreamName &upstream, TimePoint now)
{
    Sign &sign = m_signs[upstream];
    // Requests that went out together are refused together: that is one sign, not many.
    if (!sign.onTrial && now < sign.until) {
        return;
    }
    sign.onTrial = false;
    sign.pause = sign.pause == Duration::zero() ? FirstPause : std::min(sign.pause * 2, LongestPause);
    sign.until = now + sign.pause;
}

void Availability::took(const UpstreamName &upstream)
{
    m_signs.erase(upstream);
}

void Availability::granted(const UpstreamName &upstream, TimePoint now)
{
    const auto sign = m_signs.find(upstream);
    if (sign != m_signs.end()) {
        sign->second.onTrial = true;
        sign->second.until = now + TrialPatience;
    }
}

void Availability::setLeaving(std::set<UpstreamName> leaving)
{
    m_leaving = std::move(leaving);
}

bool Availability::isUsable(const UpstreamName &upstream, TimePoint now) const
{
    const auto sign = m_signs.find(upstream);
    return !m_leaving.contains(upstream) && (sign == m_signs.end() || sign->second.until <= now);
}

std::set<UpstreamName> Availability::unusable(TimePoint now) const
{
    std::set<UpstreamName> names = m_leaving;
    for (const auto &[upstream, sign] : m_signs) {
        if (sign.until > now) {
            names.insert(upstream);
        }
    }
    return names;
}

}
