#include "bench/cumindykepolicy.h"

#include "bench/baselinepolicy.h"
#include "cell/convert.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// As in the daemon: changes within these delays are sent or decided together.
constexpr Duration FlushDelay = std::chrono::milliseconds(2);
constexpr Duration StepDelay = std::chrono::milliseconds(1);
constexpr Duration SweepInterval = std::chrono::milliseconds(20);
constexpr Duration PollInterval = std::chrono::milliseconds(200);
/// Time until another VM takes over a cell whose scheduler died: the lease's expiry and the election.
constexpr Duration TakeoverDelay = std::chrono::milliseconds(2500);

}

CumindykePolicy::CumindykePolicy(World &world, const CumindykeOptions &options)
    : m_world(world)
    , m_options(options)
    , m_declarations(Declarations::restored(Revision{1}, scenarioDeclarations(world)))
{
    world.onArrival = [this](const BenchRequest &request, TimePoint now) { handleArrival(request, now); };
    world.onDispatchEnded = [this](const BenchRequest &request, const BenchUpstream &upstream, DispatchResult result, TimePoint now) {
        handleDispatchEnd(request, upstream, result, now);
    };
    world.onVmFailed = [this](std::uint32_t vm, TimePoint now) { handleVmFailure(vm, now); };
    world.onSchedulerFailed = [this](const std::string &cell, TimePoint now) { handleSchedulerFailure(cell, now); };
    for (const BenchRequest &request : world.requests()) {
        m_requestIndexes.emplace(request.id, request.index);
    }
    makeCells();
}

void CumindykePolicy::makeCells()
{
    std::vector<PooledUpstream> bookUpstreams;
    for (std::uint32_t i = 0; i < m_world.upstreams().size(); ++i) {
        const BenchUpstream &upstream = m_world.upstreams()[i];
        m_versions.emplace(upstream.service, upstream.version);
        const CellName name{upstream.cell()};
        Cell &cell = m_cells[name];
        cell.name = name;
        cell.service = upstream.service;
        cell.dataCentre = upstream.dataCentre;
        cell.hostVm = upstream.dataCentre % m_world.scenario().entryVms;
        cell.upstreams.push_back(i);
        bookUpstreams.push_back(
            PooledUpstream{.name = upstream.name, .service = upstream.service, .version = upstream.version, .cell = name, .slots = upstream.slots});
    }
    const std::uint32_t vms = m_world.scenario().entryVms;
    for (std::uint32_t i = 0; i < vms; ++i) {
        const VmName name{"entry-" + std::to_string(i)};
        m_vms.push_back(Vm{.name = name, .queues = {}, .book = GrantPool(name), .lengths = {}, .slots = {}});
        m_vms.back().book.setUpstreams(bookUpstreams, VmShare{.index = i, .count = vms});
        m_world.schedule(TimePoint(SweepInterval * (i + 1) / vms), [this, i](TimePoint now) { sweepQueues(i, now); });
    }
    for (auto &[name, cell] : m_cells) {
        startScheduler(cell, TimePoint{});
        m_world.schedule(TimePoint(PollInterval), [this, target = &cell](TimePoint now) { pollEngines(*target, now); });
    }
}

void CumindykePolicy::startScheduler(Cell &cell, TimePoint now)
{
    if (!m_options.useSchedulers) {
        return;
    }
    CellOptions options{
        .cell = cell.name,
        .epoch = cell.epoch,
        .entryVms = {},
        .placement = m_options.placement,
        .adaptWindows = m_options.adaptWindows,
        .useCacheEvents = m_options.useCacheEvents,
        .fairByWork = m_options.fairByWork,
        .keepSlots = m_options.keepSlots,
    };
    for (std::uint32_t i = 0; i < m_vms.size(); ++i) {
        if (m_world.vmAlive(i) && now > TimePoint{}) {
            options.entryVms.insert(m_vms[i].name);
        }
    }
    cell.scheduler.emplace(std::move(options), now);
    std::vector<CellUpstream> upstreams;
    for (const std::uint32_t upstream : cell.upstreams) {
        const BenchUpstream &upstreamInfo = m_world.upstreams()[upstream];
        upstreams.push_back(CellUpstream{.name = upstreamInfo.name, .version = upstreamInfo.version, .slots = upstreamInfo.slots});
    }
    cell.scheduler->setUpstreams(upstreams, now);
    std::map<OrganisationName, std::uint32_t> weights;
    for (const ScenarioOrganisation &organisation : m_world.scenario().organisations) {
        weights[organisation.name] = organisation.weight;
    }
    cell.scheduler->setWeights(weights);
    cell.cacheSequences.clear();
}

void CumindykePolicy::handleArrival(const BenchRequest &request, TimePoint now)
{
    const auto refuseFrom = m_vms[request.vm].book.refuseFrom(request.service, now);
    if (refuseFrom && request.tier >= *refuseFrom) {
        m_world.shed(request, now);
        return;
    }
    enqueue(request, now);
}

void CumindykePolicy::enqueue(const BenchRequest &request, TimePoint now)
{
    Vm &vm = m_vms[request.vm];
    const TokenCount answer = vm.lengths.answer(request.service, request.route, request.answerLimit);
    PendingRequest pending{
        .id = request.id,
        .tier = request.tier,
        .organisation = request.organisation,
        .service = request.service,
        .arrival = request.arrival,
        .deadline = request.deadline,
        .work = TokenCount{request.prompt.value + answer.value},
        .promptTokens = request.prompt,
        .answerTokens = answer,
        .prefix = request.prefix,
        .version = {},
    };
    pending.answerTokens = feasibleAnswer(vm.book, pending, now);
    vm.queues[request.service].add(std::move(pending));
    dispatchQueued(request.vm, now);
    scheduleFlush(request.vm, now);
}

void CumindykePolicy::dispatchQueued(std::uint32_t index, TimePoint now)
{
    Vm &vm = m_vms[index];
    for (auto &[service, queue] : vm.queues) {
        serveQueue(queue, vm.book, m_declarations, m_versions[service], now, [&](const PendingRequest &request, const Slot &slot) {
            const std::uint32_t requestIndex = m_requestIndexes.at(request.id);
            vm.slots[requestIndex] = slot;
            m_world.dispatch(m_world.requests()[requestIndex], m_world.upstreamIndex(slot.upstream), now);
        });
    }
}

void CumindykePolicy::handleDispatchEnd(const BenchRequest &request, const BenchUpstream &upstream, DispatchResult result, TimePoint now)
{
    Vm &vm = m_vms[request.vm];
    vm.book.release(vm.slots.at(request.index), now);
    vm.slots.erase(request.index);
    if (result == DispatchResult::ConnectionRefused) {
        vm.book.recordUnreachable(upstream.name, now);
        enqueue(request, now);
    } else if (result == DispatchResult::Completed) {
        vm.lengths.recordAnswer(request.service, request.route, request.answerLimit, request.answer);
    }
    dispatchQueued(request.vm, now);
    scheduleFlush(request.vm, now);
}

void CumindykePolicy::handleVmFailure(std::uint32_t vm, TimePoint now)
{
    for (auto &[name, cell] : m_cells) {
        if (cell.hostVm == vm) {
            handleSchedulerFailure(name.value, now);
        }
    }
}

void CumindykePolicy::handleSchedulerFailure(const std::string &name, TimePoint now)
{
    Cell &cell = m_cells.at(CellName{name});
    cell.scheduler.reset();
    ++cell.epoch.value;
    m_world.schedule(now + TakeoverDelay, [this, target = &cell](TimePoint then) {
        const auto vms = static_cast<std::uint32_t>(m_vms.size());
        do {
            target->hostVm = (target->hostVm + 1) % vms;
        } while (!m_world.vmAlive(target->hostVm));
        target->dataCentre = m_world.dataCentreOfVm(target->hostVm);
        startScheduler(*target, then);
    });
}

void CumindykePolicy::sweepQueues(std::uint32_t index, TimePoint now)
{
    if (!m_world.vmAlive(index)) {
        return;
    }
    Vm &vm = m_vms[index];
    for (auto &[service, queue] : vm.queues) {
        for (const PendingRequest &hopeless : shedRequests(queue, vm.book, service, now)) {
            m_world.shed(m_world.requests()[m_requestIndexes.at(hopeless.id)], now);
        }
    }
    dispatchQueued(index, now);
    flush(index, now);
    m_world.schedule(now + SweepInterval, [this, index](TimePoint then) { sweepQueues(index, then); });
}

void CumindykePolicy::scheduleFlush(std::uint32_t index, TimePoint now)
{
    if (std::exchange(m_vms[index].flushScheduled, true)) {
        return;
    }
    m_world.schedule(now + FlushDelay, [this, index](TimePoint then) {
        m_vms[index].flushScheduled = false;
        if (m_world.vmAlive(index)) {
            flush(index, then);
        }
    });
}

void CumindykePolicy::flush(std::uint32_t index, TimePoint now)
{
    Vm &vm = m_vms[index];
    for (const auto &[service, queue] : vm.queues) {
        for (CellMessages &message : vm.book.messages(service, queue, m_versions[service], now)) {
            Cell &cell = m_cells.at(message.demand.cell);
            const std::size_t bytes = toProto(message.demand).ByteSizeLong() + toProto(message.report).ByteSizeLong();
            m_world.send(m_world.dataCentreOfVm(index), cell.dataCentre, bytes, [this, target = &cell, message = std::move(message)](TimePoint then) {
                if (!target->scheduler) {
                    return;
                }
                target->scheduler->handleReport(message.report.vm, message.report, then);
                target->scheduler->handleDemand(message.demand.vm, message.demand, then);
                scheduleSchedulerStep(*target, then);
            });
        }
    }
}

void CumindykePolicy::scheduleSchedulerStep(Cell &cell, TimePoint now)
{
    if (std::exchange(cell.stepScheduled, true)) {
        return;
    }
    m_world.schedule(now + StepDelay, [this, target = &cell](TimePoint then) {
        target->stepScheduled = false;
        stepScheduler(*target, then);
    });
}

void CumindykePolicy::stepScheduler(Cell &cell, TimePoint now)
{
    if (!cell.scheduler) {
        return;
    }
    for (auto &[vm, grants] : cell.scheduler->step(now)) {
        const auto index = static_cast<std::uint32_t>(std::ranges::find(m_vms, vm, &Vm::name) - m_vms.begin());
        const std::size_t bytes = toProto(grants).ByteSizeLong();
        m_world.send(cell.dataCentre, m_world.dataCentreOfVm(index), bytes, [this, index, message = std::move(grants)](TimePoint then) {
            if (!m_world.vmAlive(index)) {
                return;
            }
            m_vms[index].book.handleGrants(message, then);
            dispatchQueued(index, then);
            scheduleFlush(index, then);
        });
    }
}

/// Reads the load reports and cache events of the cell's engines, as the daemon's scheduler does.
void CumindykePolicy::pollEngines(Cell &cell, TimePoint now)
{
    m_world.schedule(now + PollInterval, [this, target = &cell](TimePoint then) { pollEngines(*target, then); });
    if (!cell.scheduler) {
        return;
    }
    for (const std::uint32_t index : cell.upstreams) {
        const BenchUpstream &upstream = m_world.upstreams()[index];
        cell.scheduler->setUsable(upstream.name, upstream.alive);
        if (!upstream.alive) {
            cell.cacheSequences.erase(index);
            continue;
        }
        const EngineLoad load = upstream.engine.reportedLoad(now);
        cell.scheduler->handleLoad(
            upstream.name, UpstreamLoad{.running = load.running, .waiting = load.waiting, .generatedTokens = load.generatedTokens, .at = load.at}, now);
        for (const CacheEvent &event : upstream.engine.cacheEvents(cell.cacheSequences[index], now)) {
            cell.scheduler->handleCacheEvent(upstream.name, event.prefix, event.stored);
            cell.cacheSequences[index] = event.sequence;
        }
    }
    stepScheduler(cell, now);
}

}
