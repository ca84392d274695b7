#include "bench/oraclepolicy.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Part of an engine's time that goes to other requests' prefill at full load.
constexpr double PrefillShare = 0.12;

}

OraclePolicy::OraclePolicy(World &world)
    : m_world(world)
{
    world.arrived = [this](const BenchRequest &request, TimePoint now) { arrived(request, now); };
    world.dispatchEnded = [this](const BenchRequest &request, const BenchUpstream &, DispatchEnd end, TimePoint now) {
        if (end == DispatchEnd::NotSent) {
            m_queues[request.service].emplace(request.tier, request.deadline, request.index);
        }
        serve(request.service, now);
    };
}

void OraclePolicy::arrived(const BenchRequest &request, TimePoint now)
{
    m_queues[request.service].emplace(request.tier, request.deadline, request.index);
    serve(request.service, now);
}

/// Step 1. What can't finish in time on any live upstream is refused, the lower tiers before it. Step 2. The others get the free place
/// where they finish first; one that only a full upstream could serve in time waits for it and lets the next go ahead.
void OraclePolicy::serve(const ServiceName &service, TimePoint now)
{
    std::set<Order> &queue = m_queues[service];
    for (auto at = queue.begin(); at != queue.end() && anyFree(service);) {
        const Order order = *at;
        const BenchRequest &request = m_world.requests()[std::get<std::uint32_t>(order)];
        if (m_world.records()[request.index].end != BenchEnd::None) {
            at = queue.erase(at);
            continue;
        }
        if (!bestUpstream(request, false, now)) {
            shedWithLower(request, now);
            at = queue.lower_bound(order);
            continue;
        }
        const auto free = bestUpstream(request, true, now);
        if (!free) {
            ++at;
            continue;
        }
        m_world.dispatch(request, *free, now);
        at = queue.erase(at);
    }
}

bool OraclePolicy::anyFree(const ServiceName &service)
{
    return std::ranges::any_of(m_world.upstreams(), [&service](const BenchUpstream &upstream) {
        return upstream.alive && upstream.service == service && upstream.running.size() < upstream.speed.maxBatch;
    });
}

/// It keeps the rules of the product: nothing lower waits while a higher tier is shed.
void OraclePolicy::shedWithLower(const BenchRequest &request, TimePoint now)
{
    std::set<Order> &queue = m_queues[request.service];
    while (!queue.empty() && std::get<TierRank>(*queue.rbegin()) > request.tier) {
        m_world.shed(m_world.requests()[std::get<std::uint32_t>(*queue.rbegin())], now);
        queue.erase(std::prev(queue.end()));
    }
    m_world.shed(request, now);
    queue.erase(Order(request.tier, request.deadline, request.index));
}

Duration OraclePolicy::predictedRun(const BenchRequest &request, const BenchUpstream &upstream) const
{
    const EngineSpeed &speed = upstream.speed;
    const std::uint32_t hit = upstream.engine.cached(request.prefix) ? request.sharedPrefix.value : 0;
    const std::uint64_t ahead = upstream.engine.load(TimePoint{}).pendingPrefill;
    const double prefill = static_cast<double>((speed.prefillPerToken * (request.prompt.value - hit + ahead)).count());
    const double step = static_cast<double>((speed.stepBase + speed.stepPerSequence * speed.maxBatch).count()) / (1 - PrefillShare);
    return Duration(static_cast<Duration::rep>((prefill + step * request.answer.value) * upstream.slowness));
}

/// The upstream on which the request would finish first, in time; among those with a free place, or among all.
std::optional<std::uint32_t> OraclePolicy::bestUpstream(const BenchRequest &request, bool onlyFree, TimePoint now)
{
    std::optional<std::uint32_t> best;
    Duration bestRun = request.deadline - now;
    for (std::uint32_t i = 0; i < m_world.upstreams().size(); ++i) {
        const BenchUpstream &upstream = m_world.upstreams()[i];
        if (!upstream.alive || upstream.service != request.service || (onlyFree && upstream.running.size() >= upstream.speed.maxBatch)) {
            continue;
        }
        // The emptier of two equal ones.
        const Duration run = predictedRun(request, upstream) + Duration(upstream.running.size());
        if (run < bestRun) {
            best = i;
            bestRun = run;
        }
    }
    return best;
}

}
