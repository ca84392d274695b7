#pragma once

#include "placement/placementtypes.h"
#include "placement/requestwindow.h"
#include "policy/requestrate.h"

#include <map>
#include <memory>
#include <optional>

namespace cumindyke
{

/// An upstream's named request limit, and the recent requests to it, as known to one placement server.
struct UpstreamRates
{
    /// The limit that the upstream names.
    RequestRate named;
    /// All requests to the upstream that are known here.
    RequestWindow granted;
};

/// The rates of requests that upstreams bear, as kept by one placement server: the limits that they name in their answers, and the rate that they bear
/// while cold. Pure: time is an argument.
///
/// Each placement server of the upstream's data centre uses its share of a rate, the part of that data centre's entry VMs whose requests it places, so that
/// several servers do not exceed the rate together. Kept apart from the list of upstreams: a server that takes over may learn of a limit, or of requests
/// granted by others, before it has read the list.
class RequestRates
{
public:
    /// Returns the rates of an upstream. They stay up to date while the pointer is held, so that choosing among many upstreams needs no look-ups.
    std::shared_ptr<UpstreamRates> ratesOf(const InstanceName &upstream)
    {
        std::shared_ptr<UpstreamRates> &rates = m_rates[upstream];
        if (!rates) {
            rates = std::make_shared<UpstreamRates>();
        }
        return rates;
    }
    /// See RequestRate::setLimit().
    void record(const InstanceName &upstream, std::optional<double> perSecond, TimePoint answeredAt, TimePoint now)
    {
        ratesOf(upstream)->named.setLimit(perSecond, answeredAt, now);
    }
    /// Forgets an upstream: another process has its name now.
    void forget(const InstanceName &upstream)
    {
        m_rates.erase(upstream);
    }
    /// Whether the upstream names a limit.
    bool isLimited(const InstanceName &upstream) const
    {
        const auto found = m_rates.find(upstream);
        return found != m_rates.end() && found->second->named.isLimited();
    }
    /// Whether one more request may be sent now. "share": part of the data centre's entry VMs whose requests this server places, 0 to 1.
    bool maySend(const InstanceName &upstream, double share, TimePoint now) const
    {
        const auto found = m_rates.find(upstream);
        return found == m_rates.end() || found->second->named.maySend(share, now);
    }
    void recordSent(const InstanceName &upstream, double share, TimePoint now)
    {
        const std::shared_ptr<UpstreamRates> rates = ratesOf(upstream);
        rates->named.recordSent(share, now);
        rates->granted.recordGranted(now);
    }
    /// Records requests that another server granted.
    void recordSentElsewhere(const InstanceName &upstream, std::uint64_t count, TimePoint now)
    {
        const std::shared_ptr<UpstreamRates> rates = ratesOf(upstream);
        for (std::uint64_t i = 0; i < std::min(count, MaxRecordedAtOnce); ++i) {
            rates->granted.recordGranted(now);
        }
    }
    /// Forgets upstreams that are in no list and have had no limit and no requests for a while. A late report of an older answer is ignored until then.
    void expire(TimePoint now)
    {
        std::erase_if(m_rates, [now](const auto &pair) {
            const UpstreamRates &rates = *pair.second;
            const bool isHeld = pair.second.use_count() > 1;
            return !isHeld && !rates.named.isLimited() && now - rates.named.answeredAt() > KeepTime && rates.granted.isIdle(now);
        });
    }

private:
    static constexpr Duration KeepTime = std::chrono::seconds(60);
    static constexpr std::uint64_t MaxRecordedAtOnce = 256;

    std::map<InstanceName, std::shared_ptr<UpstreamRates>> m_rates;
};

}
