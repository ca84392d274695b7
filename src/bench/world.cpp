#include "bench/world.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Delay until an entry VM learns that a connection was refused or reset.
constexpr Duration ConnectionDelay = std::chrono::milliseconds(1);

}

World::World(const Scenario &scenario, std::uint64_t seed)
    : m_scenario(scenario)
    , m_requests(makeWorkload(scenario, seed))
    , m_records(m_requests.size())
    , m_vmAlive(scenario.entryVms, true)
{
    makeUpstreams();
    for (const BenchRequest &request : m_requests) {
        at(request.arrival, [this, index = request.index](TimePoint now) { arrive(index, now); });
    }
    for (const ScenarioFault &fault : m_scenario.faults) {
        scheduleFault(fault);
    }
}

void World::makeUpstreams()
{
    for (const ScenarioUpstreams &group : m_scenario.upstreams) {
        for (std::uint32_t i = 0; i < group.count; ++i) {
            m_upstreams.push_back(BenchUpstream{
                .name = UpstreamName{group.prefix + "-" + std::to_string(i + 1)},
                .service = group.service,
                .version = group.version,
                .dataCentre = i % m_scenario.dataCentres,
                .slots = group.slots,
                .speed = group.speed,
                .engine = EngineModel(group.speed),
            });
            m_upstreamIndex.emplace(m_upstreams.back().name, m_upstreams.size() - 1);
        }
    }
}

void World::scheduleFault(const ScenarioFault &fault)
{
    switch (fault.kind) {
    case ScenarioFault::Kind::Slow: {
        const std::uint32_t upstream = m_upstreamIndex.at(UpstreamName{fault.target});
        at(TimePoint(fault.at), [this, upstream, factor = fault.factor](TimePoint) { setSlowness(upstream, factor); });
        if (fault.until > Duration::zero()) {
            at(TimePoint(fault.until), [this, upstream](TimePoint) { setSlowness(upstream, 1); });
        }
        return;
    }
    case ScenarioFault::Kind::Lost: {
        const std::uint32_t upstream = m_upstreamIndex.at(UpstreamName{fault.target});
        at(TimePoint(fault.at), [this, upstream](TimePoint now) { loseUpstream(upstream, now); });
        if (fault.until > Duration::zero()) {
            at(TimePoint(fault.until), [this, upstream](TimePoint) { m_upstreams[upstream].alive = true; });
        }
        return;
    }
    case ScenarioFault::Kind::EntryLost:
        at(TimePoint(fault.at), [this, vm = static_cast<std::uint32_t>(std::stoul(fault.target))](TimePoint now) { loseVm(vm, now); });
        return;
    case ScenarioFault::Kind::SchedulerLost:
        at(TimePoint(fault.at), [this, cell = fault.target](TimePoint now) {
            if (schedulerLost) {
                schedulerLost(cell, now);
            }
        });
        return;
    }
}

void World::at(TimePoint when, std::function<void(TimePoint now)> event)
{
    m_events.push(Event{.when = std::max(when, m_now), .number = m_eventCount++, .run = std::move(event)});
}

void World::send(std::uint32_t fromDataCentre, std::uint32_t toDataCentre, std::size_t bytes, std::function<void(TimePoint now)> deliver)
{
    ++m_counters.controlMessages;
    m_counters.controlBytes += bytes;
    at(m_now + (fromDataCentre == toDataCentre ? m_scenario.oneWay / 4 : m_scenario.oneWay), std::move(deliver));
}

void World::run()
{
    while (!m_events.empty() && busy()) {
        // The event is moved out before it runs, for it may add others.
        Event event = std::move(const_cast<Event &>(m_events.top()));
        m_events.pop();
        m_now = event.when;
        event.run(m_now);
    }
}

void World::arrive(std::uint32_t index, TimePoint now)
{
    BenchRequest &request = m_requests[index];
    // The balancer gives a lost VM's share to the next one.
    while (!m_vmAlive[request.vm]) {
        request.vm = (request.vm + 1) % m_scenario.entryVms;
    }
    ++m_waiting[{request.service, request.tier}];
    arrived(request, now);
}

void World::dispatch(const BenchRequest &request, std::uint32_t upstream, TimePoint now)
{
    BenchRecord &record = m_records[request.index];
    if (record.upstream || record.end != BenchEnd::None) {
        ++m_counters.dispatchedTwice;
        return;
    }
    record.upstream = upstream;
    record.dispatched = now;
    --m_waiting[{request.service, request.tier}];
    m_lastDispatch[{request.service, request.tier}] = now;
    BenchUpstream &target = m_upstreams[upstream];
    if (!target.alive) {
        at(now + ConnectionDelay, [this, upstream, index = request.index](TimePoint then) { finishDispatch(upstream, index, DispatchEnd::NotSent, then); });
        return;
    }
    const std::uint32_t hit = target.engine.cached(request.prefix) ? request.sharedPrefix.value : 0;
    record.prefilled = request.prompt.value - hit;
    record.cachedElsewhere = hit > 0 ? 0 : cachedElsewhere(request, upstream);
    target.running.emplace(request.id, request.index);
    target.engine.submit(
        EngineRequest{.id = request.id, .prompt = request.prompt, .sharedPrefix = request.sharedPrefix, .prefix = request.prefix, .answer = request.answer},
        now);
    scheduleStep(upstream);
}

/// Prompt tokens that another live upstream of the version holds in its cache while it has a free place in its batch.
std::uint32_t World::cachedElsewhere(const BenchRequest &request, std::uint32_t upstream) const
{
    for (const BenchUpstream &other : m_upstreams) {
        if (&other == &m_upstreams[upstream] || !other.alive || other.service != request.service || other.version != m_upstreams[upstream].version) {
            continue;
        }
        if (other.running.size() < other.speed.maxBatch && other.engine.cached(request.prefix)) {
            return request.sharedPrefix.value;
        }
    }
    return 0;
}

void World::shed(const BenchRequest &request, TimePoint now)
{
    if (m_records[request.index].end != BenchEnd::None) {
        return;
    }
    if (m_records[request.index].upstream) {
        // A request that was dispatched may have run: saying "not run" of it would be false.
        ++m_counters.dispatchedTwice;
        return;
    }
    --m_waiting[{request.service, request.tier}];
    m_counters.tierInversions += lowerTierServedOrWaiting(request) ? 1 : 0;
    finish(request.index, BenchEnd::Shed, now);
}

/// Whether a request of a lower tier of the service was served since this one arrived, or waits.
bool World::lowerTierServedOrWaiting(const BenchRequest &request) const
{
    for (const auto &[key, waiting] : m_waiting) {
        if (key.first != request.service || key.second <= request.tier) {
            continue;
        }
        const auto served = m_lastDispatch.find(key);
        if (waiting > 0 || (served != m_lastDispatch.end() && served->second > request.arrival)) {
            return true;
        }
    }
    return false;
}

void World::setSlowness(std::uint32_t upstream, double factor)
{
    m_upstreams[upstream].slowness = factor;
    m_upstreams[upstream].engine.setSlowness(factor);
}

void World::loseUpstream(std::uint32_t upstream, TimePoint now)
{
    BenchUpstream &lost = m_upstreams[upstream];
    lost.alive = false;
    lost.engine = EngineModel(lost.speed);
    lost.engine.setSlowness(lost.slowness);
    std::vector<std::uint32_t> running;
    for (const auto &[id, index] : lost.running) {
        running.push_back(index);
    }
    lost.running.clear();
    std::ranges::sort(running);
    for (const std::uint32_t index : running) {
        at(now + ConnectionDelay, [this, upstream, index](TimePoint then) { finishDispatch(upstream, index, DispatchEnd::Lost, then); });
    }
}

void World::loseVm(std::uint32_t vm, TimePoint now)
{
    m_vmAlive[vm] = false;
    for (const BenchRequest &request : m_requests) {
        BenchRecord &record = m_records[request.index];
        if (request.arrival > now || request.vm != vm || record.end != BenchEnd::None) {
            continue;
        }
        if (record.upstream) {
            m_upstreams[*record.upstream].engine.cancel(request.id);
            m_upstreams[*record.upstream].running.erase(request.id);
        } else {
            --m_waiting[{request.service, request.tier}];
        }
        finish(request.index, BenchEnd::Failed, now);
    }
    if (vmLost) {
        vmLost(vm, now);
    }
}

void World::scheduleStep(std::uint32_t upstream)
{
    BenchUpstream &target = m_upstreams[upstream];
    const auto next = target.engine.nextEventAt();
    if (!next || target.stepScheduled == next) {
        return;
    }
    target.stepScheduled = next;
    at(*next, [this, upstream](TimePoint now) { step(upstream, now); });
}

void World::step(std::uint32_t upstream, TimePoint now)
{
    BenchUpstream &target = m_upstreams[upstream];
    for (const EngineEvent &event : target.engine.advance(now)) {
        const auto found = target.running.find(event.id);
        if (found == target.running.end()) {
            continue;
        }
        const std::uint32_t index = found->second;
        if (event.kind == EngineEvent::Kind::Token) {
            if (event.index == 0) {
                m_records[index].firstToken = event.at;
            }
            continue;
        }
        target.running.erase(found);
        ++target.finished;
        const bool fails = target.failEvery > 0 && target.finished % target.failEvery == 0;
        finishDispatch(upstream, index, fails ? DispatchEnd::Lost : DispatchEnd::Whole, now);
    }
    scheduleStep(upstream);
}

void World::finishDispatch(std::uint32_t upstream, std::uint32_t index, DispatchEnd end, TimePoint now)
{
    const BenchRequest &request = m_requests[index];
    BenchRecord &record = m_records[index];
    if (record.end != BenchEnd::None) {
        return;
    }
    if (end == DispatchEnd::NotSent) {
        record.upstream.reset();
        ++record.refusedConnections;
        ++m_waiting[{request.service, request.tier}];
    } else if (end == DispatchEnd::Lost) {
        finish(index, BenchEnd::Failed, now);
    } else {
        finish(index, now <= request.deadline ? BenchEnd::OnTime : BenchEnd::Late, now);
    }
    dispatchEnded(request, m_upstreams[upstream], end, now);
}

void World::finish(std::uint32_t index, BenchEnd end, TimePoint now)
{
    BenchRecord &record = m_records[index];
    record.end = end;
    record.ended = now;
    ++m_ended;
    for (const auto &observer : observers) {
        observer(m_requests[index], record, now);
    }
}

}
