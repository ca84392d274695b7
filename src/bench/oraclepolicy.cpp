#include "bench/oraclepolicy.h"

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

void OraclePolicy::serve(const ServiceName &service, TimePoint now)
{
    std::set<Order> &queue = m_queues[service];
    while (!queue.empty()) {
        const BenchRequest &request = m_world.requests()[std::get<std::uint32_t>(*queue.begin())];
        if (m_world.records()[request.index].end == BenchEnd::None && !dispatchOrShed(request, now)) {
            return;
        }
        queue.erase(queue.begin());
    }
}

Duration OraclePolicy::predictedRun(const BenchRequest &request, const BenchUpstream &upstream) const
{
    const EngineSpeed &speed = upstream.speed;
    const std::uint32_t hit = upstream.engine.cached(request.prefix) ? request.sharedPrefix.value : 0;
    const double prefill = static_cast<double>((speed.prefillPerToken * (request.prompt.value - hit)).count());
    const double step = static_cast<double>((speed.stepBase + speed.stepPerSequence * speed.maxBatch).count()) / (1 - PrefillShare);
    return Duration(static_cast<Duration::rep>((prefill + step * request.answer.value) * upstream.slowness));
}

/// False when the request must wait for a free place.
bool OraclePolicy::dispatchOrShed(const BenchRequest &request, TimePoint now)
{
    std::optional<std::uint32_t> best;
    Duration bestRun = Duration::max();
    for (std::uint32_t i = 0; i < m_world.upstreams().size(); ++i) {
        const BenchUpstream &upstream = m_world.upstreams()[i];
        if (!upstream.alive || upstream.service != request.service || upstream.running.size() >= upstream.speed.maxBatch) {
            continue;
        }
        // The emptier of two equal ones.
        const Duration run = predictedRun(request, upstream) + Duration(upstream.running.size());
        if (run < bestRun) {
            best = i;
            bestRun = run;
        }
    }
    if (!best) {
        return false;
    }
    if (now + bestRun > request.deadline) {
        m_world.shed(request, now);
    } else {
        m_world.dispatch(request, *best, now);
    }
    return true;
}

}
