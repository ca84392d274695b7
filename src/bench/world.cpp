#include "bench/world.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Delay until an entry VM detects that a connection was refused or reset.
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
        schedule(request.arrival, [this, index = request.index](TimePoint now) { handleArrival(index, now); });
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
            m_upstreamIndexes.emplace(m_upstreams.back().name, m_upstreams.size() - 1);
        }
    }
}

void World::scheduleFault(const ScenarioFault &fault)
{
    switch (fault.kind) {
    case ScenarioFault::Kind::Slow: {
        const std::uint32_t upstream = m_upstreamIndexes.at(UpstreamName{fault.target});
        schedule(TimePoint(fault.at), [this, upstream, factor = fault.factor](TimePoint) { setSlowness(upstream, factor); });
        if (fault.until > Duration::zero()) {
            schedule(TimePoint(fault.until), [this, upstream](TimePoint) { setSlowness(upstream, 1); });
        }
        return;
    }
    case ScenarioFault::Kind::UpstreamFailed: {
        const std::uint32_t upstream = m_upstreamIndexes.at(UpstreamName{fault.target});
        schedule(TimePoint(fault.at), [this, upstream](TimePoint now) { failUpstream(upstream, now); });
        if (fault.until > Duration::zero()) {
            schedule(TimePoint(fault.until), [this, upstream](TimePoint) { m_upstreams[upstream].alive = true; });
        }
        return;
    }
    case ScenarioFault::Kind::EntryVmFailed:
        schedule(TimePoint(fault.at), [this, vm = static_cast<std::uint32_t>(std::stoul(fault.target))](TimePoint now) { failVm(vm, now); });
        return;
    case ScenarioFault::Kind::SchedulerFailed:
        schedule(TimePoint(fault.at), [this, cell = fault.target](TimePoint now) {
            if (onSchedulerFailed) {
                onSchedulerFailed(cell, now);
            }
        });
        return;
    }
}

void World::schedule(TimePoint when, std::function<void(TimePoint now)> event)
{
    m_events.push(Event{.when = std::max(when, m_now), .sequence = m_eventSequence++, .callback = std::move(event)});
}

void World::send(std::uint32_t fromDataCentre, std::uint32_t toDataCentre, std::size_t bytes, std::function<void(TimePoint now)> deliver)
{
    ++m_counters.controlMessages;
    m_counters.controlBytes += bytes;
    schedule(m_now + (fromDataCentre == toDataCentre ? m_scenario.oneWay / 4 : m_scenario.oneWay), std::move(deliver));
}

void World::run()
{
    while (!m_events.empty() && hasUnfinishedRequests()) {
        // The event is moved out before it runs, since it may add others.
        Event event = std::move(const_cast<Event &>(m_events.top()));
        m_events.pop();
        m_now = event.when;
        event.callback(m_now);
    }
}

void World::handleArrival(std::uint32_t index, TimePoint now)
{
    BenchRequest &request = m_requests[index];
    // The balancer sends requests of a dead VM to the next one.
    while (!m_vmAlive[request.vm]) {
        request.vm = (request.vm + 1) % m_scenario.entryVms;
    }
    ++m_waitingCounts[{request.service, request.tier}];
    onArrival(request, now);
}

void World::dispatch(const BenchRequest &request, std::uint32_t upstream, TimePoint now)
{
    BenchRecord &record = m_records[request.index];
    if (record.upstream || record.result != RequestResult::Pending) {
        ++m_counters.dispatchedTwice;
        return;
    }
    record.upstream = upstream;
    record.dispatchedAt = now;
    --m_waitingCounts[{request.service, request.tier}];
    m_lastDispatchedAt[{request.service, request.tier}] = now;
    BenchUpstream &target = m_upstreams[upstream];
    if (!target.alive) {
        schedule(now + ConnectionDelay,
                 [this, upstream, index = request.index](TimePoint then) { finishDispatch(upstream, index, DispatchResult::ConnectionRefused, then); });
        return;
    }
    const std::uint32_t cachedTokens = target.engine.isCached(request.prefix) ? request.sharedPrefix.value : 0;
    record.prefilled = request.prompt.value - cachedTokens;
    record.cachedOnOtherUpstream = cachedTokens > 0 ? 0 : cachedOnOtherUpstream(request, upstream);
    target.running.emplace(request.id, request.index);
    target.engine.submit(
        EngineRequest{.id = request.id, .prompt = request.prompt, .sharedPrefix = request.sharedPrefix, .prefix = request.prefix, .answer = request.answer},
        now);
    scheduleEngineStep(upstream);
}

/// Returns the prompt tokens that another live upstream of the same version has cached while its batch has a free slot; 0 if none.
std::uint32_t World::cachedOnOtherUpstream(const BenchRequest &request, std::uint32_t upstream) const
{
    for (const BenchUpstream &other : m_upstreams) {
        if (&other == &m_upstreams[upstream] || !other.alive || other.service != request.service || other.version != m_upstreams[upstream].version) {
            continue;
        }
        if (other.running.size() < other.speed.maxBatch && other.engine.isCached(request.prefix)) {
            return request.sharedPrefix.value;
        }
    }
    return 0;
}

void World::shed(const BenchRequest &request, TimePoint now)
{
    if (m_records[request.index].result != RequestResult::Pending) {
        return;
    }
    if (m_records[request.index].upstream) {
        // A dispatched request may have run, so the answer "not run" would be wrong.
        ++m_counters.dispatchedTwice;
        return;
    }
    --m_waitingCounts[{request.service, request.tier}];
    m_counters.tierInversions += lowerTierDispatchedOrWaiting(request) ? 1 : 0;
    finishRequest(request.index, RequestResult::Shed, now);
}

/// Returns whether a request of a lower tier of the service waits or was dispatched since this one arrived.
bool World::lowerTierDispatchedOrWaiting(const BenchRequest &request) const
{
    for (const auto &[key, waiting] : m_waitingCounts) {
        if (key.first != request.service || key.second <= request.tier) {
            continue;
        }
        const auto last = m_lastDispatchedAt.find(key);
        if (waiting > 0 || (last != m_lastDispatchedAt.end() && last->second > request.arrival)) {
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

void World::failUpstream(std::uint32_t upstream, TimePoint now)
{
    BenchUpstream &failed = m_upstreams[upstream];
    failed.alive = false;
    failed.engine = EngineModel(failed.speed);
    failed.engine.setSlowness(failed.slowness);
    std::vector<std::uint32_t> running;
    for (const auto &[id, index] : failed.running) {
        running.push_back(index);
    }
    failed.running.clear();
    std::ranges::sort(running);
    for (const std::uint32_t index : running) {
        schedule(now + ConnectionDelay, [this, upstream, index](TimePoint then) { finishDispatch(upstream, index, DispatchResult::Failed, then); });
    }
}

void World::failVm(std::uint32_t vm, TimePoint now)
{
    m_vmAlive[vm] = false;
    for (const BenchRequest &request : m_requests) {
        BenchRecord &record = m_records[request.index];
        if (request.arrival > now || request.vm != vm || record.result != RequestResult::Pending) {
            continue;
        }
        if (record.upstream) {
            m_upstreams[*record.upstream].engine.cancel(request.id);
            m_upstreams[*record.upstream].running.erase(request.id);
        } else {
            --m_waitingCounts[{request.service, request.tier}];
        }
        finishRequest(request.index, RequestResult::Failed, now);
    }
    if (onVmFailed) {
        onVmFailed(vm, now);
    }
}

void World::scheduleEngineStep(std::uint32_t upstream)
{
    BenchUpstream &target = m_upstreams[upstream];
    const auto next = target.engine.nextEventAt();
    if (!next || target.scheduledStepAt == next) {
        return;
    }
    target.scheduledStepAt = next;
    schedule(*next, [this, upstream](TimePoint now) { advanceEngine(upstream, now); });
}

void World::advanceEngine(std::uint32_t upstream, TimePoint now)
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
                m_records[index].firstTokenAt = event.at;
            }
            continue;
        }
        target.running.erase(found);
        ++target.finishedCount;
        const bool fails = target.failureInterval > 0 && target.finishedCount % target.failureInterval == 0;
        finishDispatch(upstream, index, fails ? DispatchResult::Failed : DispatchResult::Completed, now);
    }
    scheduleEngineStep(upstream);
}

void World::finishDispatch(std::uint32_t upstream, std::uint32_t index, DispatchResult result, TimePoint now)
{
    const BenchRequest &request = m_requests[index];
    BenchRecord &record = m_records[index];
    if (record.result != RequestResult::Pending) {
        return;
    }
    if (result == DispatchResult::ConnectionRefused) {
        record.upstream.reset();
        ++record.refusedConnections;
        ++m_waitingCounts[{request.service, request.tier}];
    } else if (result == DispatchResult::Failed) {
        finishRequest(index, RequestResult::Failed, now);
    } else {
        finishRequest(index, now <= request.deadline ? RequestResult::OnTime : RequestResult::Late, now);
    }
    onDispatchEnded(request, m_upstreams[upstream], result, now);
}

void World::finishRequest(std::uint32_t index, RequestResult result, TimePoint now)
{
    BenchRecord &record = m_records[index];
    record.result = result;
    record.endedAt = now;
    ++m_finishedCount;
    for (const auto &observer : observers) {
        observer(m_requests[index], record, now);
    }
}

}
