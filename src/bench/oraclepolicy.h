#pragma once

#include "bench/world.h"

#include <map>
#include <set>
#include <tuple>

namespace cumindyke
{

/// The limit to compare with: one queue for all entry VMs, answered at once, that knows every request's true length and every
/// engine's true speed, load and cache. Strict tiers, earliest deadline first, the upstream with the earliest finish; what can't
/// finish in time is refused before any prefill.
class OraclePolicy
{
public:
    explicit OraclePolicy(World &world);

private:
    using Order = std::tuple<TierRank, TimePoint, std::uint32_t>;

    void arrived(const BenchRequest &request, TimePoint now);
    void serve(const ServiceName &service, TimePoint now);
    /// How long the request would take on the upstream from now on.
    Duration predictedRun(const BenchRequest &request, const BenchUpstream &upstream) const;
    bool anyFree(const ServiceName &service);
    void shedWithLower(const BenchRequest &request, TimePoint now);
    std::optional<std::uint32_t> bestUpstream(const BenchRequest &request, bool onlyFree, TimePoint now);

    World &m_world;
    std::map<ServiceName, std::set<Order>> m_queues;
};

}
