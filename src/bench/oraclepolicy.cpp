#include "bench/oraclepolicy.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Share of an engine's time that prefill of other requests takes at full load.
constexpr double PrefillShare = 0.12;

}

OraclePolicy::OraclePolicy(World &world)
    : m_world(world)
{
    world.onArrival = [this](const BenchRequest &request, TimePoint now) { handleArrival(request, now); };
    world.onDispatchEnded = [this](const BenchRequest &request, const BenchUpstream &, DispatchResult result, TimePoint now) {
        if (result == DispatchResult::ConnectionRefused) {
            m_queues[request.service].emplace(request.tier, request.deadline, request.index);
        }
        dispatchQueued(request.service, now);
    };
}

void OraclePolicy::handleArrival(const BenchRequest &request, TimePoint now)
{
    m_queues[request.service].emplace(request.tier, request.deadline, request.index);
    dispatchQueued(request.service, now);
}

/// Dispatches queued requests in order. Step 1. A request that can't finish in time on any live upstream is refused, after all requests of
/// lower tiers. Step 2. The others get the free slot where they finish first. A request that only a full upstream could serve in time stays
/// queued, and later requests may be dispatched before it.
void OraclePolicy::dispatchQueued(const ServiceName &service, TimePoint now)
{
    std::set<QueueKey> &queue = m_queues[service];
    for (auto entry = queue.begin(); entry != queue.end() && hasFreeSlot(service);) {
        const QueueKey key = *entry;
        const BenchRequest &request = m_world.requests()[std::get<std::uint32_t>(key)];
        if (m_world.records()[request.index].result != RequestResult::Pending) {
            entry = queue.erase(entry);
            continue;
        }
        if (!bestUpstream(request, false, now)) {
            shedWithLowerTiers(request, now);
            entry = queue.lower_bound(key);
            continue;
        }
        const auto free = bestUpstream(request, true, now);
        if (!free) {
            ++entry;
            continue;
        }
        m_world.dispatch(request, *free, now);
        entry = queue.erase(entry);
    }
}

bool OraclePolicy::hasFreeSlot(const ServiceName &service)
{
    return std::ranges::any_of(m_world.upstreams(), [&service](const BenchUpstream &upstream) {
        return upstream.alive && upstream.service == service && upstream.running.size() < upstream.speed.maxBatch;
    });
}

/// Sheds the request and, before it, all queued requests of lower tiers: as in the product, none may wait while a higher tier is shed.
void OraclePolicy::shedWithLowerTiers(const BenchRequest &request, TimePoint now)
{
    std::set<QueueKey> &queue = m_queues[request.service];
    while (!queue.empty() && std::get<TierRank>(*queue.rbegin()) > request.tier) {
        m_world.shed(m_world.requests()[std::get<std::uint32_t>(*queue.rbegin())], now);
        queue.erase(std::prev(queue.end()));
    }
    m_world.shed(request, now);
    queue.erase(QueueKey(request.tier, request.deadline, request.index));
}

Duration OraclePolicy::predictedDuration(const BenchRequest &request, const BenchUpstream &upstream) const
{
    const EngineSpeed &speed = upstream.speed;
    const std::uint32_t cachedTokens = upstream.engine.isCached(request.prefix) ? request.sharedPrefix.value : 0;
    const std::uint64_t pendingPrefill = upstream.engine.load(TimePoint{}).pendingPrefill;
    const double prefill = static_cast<double>((speed.prefillPerToken * (request.prompt.value - cachedTokens + pendingPrefill)).count());
    const double step = static_cast<double>((speed.stepBase + speed.stepPerSequence * speed.maxBatch).count()) / (1 - PrefillShare);
    return Duration(static_cast<Duration::rep>((prefill + step * request.answer.value) * upstream.slowness));
}

/// Returns the upstream on which the request would finish first and in time, among all or only among those with a free slot.
std::optional<std::uint32_t> OraclePolicy::bestUpstream(const BenchRequest &request, bool requireFreeSlot, TimePoint now)
{
    std::optional<std::uint32_t> best;
    Duration bestDuration = request.deadline - now;
    for (std::uint32_t i = 0; i < m_world.upstreams().size(); ++i) {
        const BenchUpstream &upstream = m_world.upstreams()[i];
        if (!upstream.alive || upstream.service != request.service || (requireFreeSlot && upstream.running.size() >= upstream.speed.maxBatch)) {
            continue;
        }
        // Adding one microsecond per running request breaks ties in favour of the less loaded upstream.
        const Duration duration = predictedDuration(request, upstream) + Duration(upstream.running.size());
        if (duration < bestDuration) {
            best = i;
            bestDuration = duration;
        }
    }
    return best;
}

}
