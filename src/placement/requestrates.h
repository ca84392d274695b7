#pragma once

#include "placement/placementtypes.h"
#include "policy/requestrate.h"

#include <map>
#include <optional>

namespace cumindyke
{

/// The request limits that upstreams name in their answers, as kept by one placement server. Pure: time is an argument.
///
/// Only a placement server of the upstream's data centre sends to a limited upstream, at the whole rate if it places the requests of all entry VMs there
/// and at its share of them otherwise, so that several servers do not exceed the limit together. Kept apart from the list of upstreams: a server
/// that takes over may learn of a limit before it has read the list.
class RequestRates
{
public:
    /// See RequestRate::setLimit().
    void record(const InstanceName &upstream, std::optional<double> perSecond, TimePoint answeredAt, TimePoint now)
    {
        m_rates[upstream].setLimit(perSecond, answeredAt, now);
    }
    /// Forgets an upstream: another process has its name now.
    void forget(const InstanceName &upstream)
    {
        m_rates.erase(upstream);
    }
    bool isLimited(const InstanceName &upstream) const
    {
        const auto found = m_rates.find(upstream);
        return found != m_rates.end() && found->second.isLimited();
    }
    /// Whether one more request may be sent now. "share": part of the data centre's entry VMs whose requests this server places, 0 to 1.
    bool maySend(const InstanceName &upstream, double share, TimePoint now) const
    {
        const auto found = m_rates.find(upstream);
        return found == m_rates.end() || found->second.maySend(share, now);
    }
    void recordSent(const InstanceName &upstream, double share, TimePoint now)
    {
        if (const auto found = m_rates.find(upstream); found != m_rates.end()) {
            found->second.recordSent(share, now);
        }
    }
    /// Forgets upstreams that have had no limit for a while. A late report of an older answer is ignored until then.
    void expire(TimePoint now)
    {
        std::erase_if(m_rates, [now](const auto &pair) { return !pair.second.isLimited() && now - pair.second.answeredAt() > KeepTime; });
    }

private:
    static constexpr Duration KeepTime = std::chrono::seconds(60);

    std::map<InstanceName, RequestRate> m_rates;
};

}
