#include "placement/namedlimits.h"

#include <algorithm>

namespace cumindyke
{

bool NamedLimits::record(const InstanceName &upstream, std::optional<double> perSecond, TimePoint now)
{
    const auto known = m_limits.find(upstream);
    if (known == m_limits.end() && !perSecond) {
        return false;
    }
    if (known == m_limits.end() && m_limits.size() >= MaxLimits) {
        m_limits.erase(std::ranges::min_element(m_limits, {}, [](const auto &pair) { return pair.second.answeredAt; }));
    }
    Limit &limit = m_limits[upstream];
    const bool hasChanged = known == m_limits.end() || limit.perSecond != perSecond;
    if (hasChanged || now - limit.reportedAt >= RepeatTime) {
        limit.firstSentInState = 0;
    }
    limit.perSecond = perSecond;
    limit.answeredAt = now;
    return hasChanged;
}

std::optional<double> NamedLimits::find(const InstanceName &upstream) const
{
    const auto found = m_limits.find(upstream);
    return found == m_limits.end() ? std::nullopt : found->second.perSecond;
}

void NamedLimits::write(v1::EntryState &state, std::uint64_t confirmedSequence, TimePoint now)
{
    for (auto &[upstream, limit] : m_limits) {
        if (limit.firstSentInState > 0 && limit.firstSentInState <= confirmedSequence) {
            continue;
        }
        if (limit.firstSentInState == 0) {
            limit.firstSentInState = state.sequence();
            limit.reportedAt = now;
        }
        v1::RequestLimit &message = *state.add_limits();
        message.set_upstream(upstream.value);
        if (limit.perSecond) {
            message.set_per_second(*limit.perSecond);
        }
        message.set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, wholeMilliseconds(now - limit.answeredAt))));
    }
}

void NamedLimits::resetConfirmed()
{
    for (auto &[upstream, limit] : m_limits) {
        limit.firstSentInState = 0;
    }
}

}
