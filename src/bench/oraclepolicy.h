#pragma once

#include "bench/world.h"

#include <map>
#include <set>
#include <tuple>

namespace cumindyke
{

/// An upper bound for comparison: one queue per service for all entry VMs, without network delay, that knows the true length of every
/// request and the true speed, load and cache of every engine. Orders strictly by tier, then by deadline, and chooses the upstream that
/// finishes first; refuses requests that can't finish in time before any prefill.
class OraclePolicy
{
public:
    explicit OraclePolicy(World &world);

private:
    using QueueKey = std::tuple<TierRank, TimePoint, std::uint32_t>;

    void handleArrival(const BenchRequest &request, TimePoint now);
    void dispatchQueued(const ServiceName &service, TimePoint now);
    /// Predicts how long the request would take on the upstream from now on.
    Duration predictedDuration(const BenchRequest &request, const BenchUpstream &upstream) const;
    bool hasFreeSlot(const ServiceName &service);
    void shedWithLowerTiers(const BenchRequest &request, TimePoint now);
    std::optional<std::uint32_t> bestUpstream(const BenchRequest &request, bool requireFreeSlot, TimePoint now);

    World &m_world;
    std::map<ServiceName, std::set<QueueKey>> m_queues;
};

}
