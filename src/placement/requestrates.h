#pragma once

#include "placement/placementtypes.h"

#include <map>
#include <optional>

namespace cumindyke
{

/// The request limits that upstreams name in their answers, as kept by one placement server. Pure: time is an argument.
///
/// A limit holds for all VMs together. Only the placement server of the upstream's data centre sends to a limited upstream, at the whole rate if it knows
/// of all entry VMs and at its share of them otherwise, so that servers that are cut off from each other do not exceed the limit together.
class RequestRates
{
public:
    /// Records what an upstream named in an answer; no value: it names no limit any more. An older answer than the last one is ignored.
    void record(const InstanceName &upstream, std::optional<double> perSecond, TimePoint answeredAt, TimePoint now);
    /// Forgets an upstream: another process has its name now.
    void forget(const InstanceName &upstream)
    {
        m_limits.erase(upstream);
    }
    bool isLimited(const InstanceName &upstream) const;
    /// Whether one more request may be sent now. "share": part of all entry VMs that this server knows of, 0 to 1.
    bool maySend(const InstanceName &upstream, double share, TimePoint now) const;
    void recordSent(const InstanceName &upstream, double share, TimePoint now);
    /// Forgets upstreams whose last answer with news of a limit is long ago and that name none.
    void expire(TimePoint now);

private:
    struct Limit
    {
        std::optional<double> perSecond;
        TimePoint answeredAt;
        /// Requests that may be sent; negative after requests that another server placed.
        double level = 0;
        TimePoint refilledAt;
    };

    static double rate(const Limit &limit, double share);
    static double levelAt(const Limit &limit, double share, TimePoint now);

    std::map<InstanceName, Limit> m_limits;
};

}
