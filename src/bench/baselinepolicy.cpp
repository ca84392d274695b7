#include "bench/baselinepolicy.h"

namespace cumindyke
{

namespace
{

constexpr std::uint32_t MaxRefusedConnections = 3;
constexpr Duration EjectionTime = std::chrono::seconds(1);

}

std::vector<Change> scenarioDeclarations(World &world)
{
    std::vector<Change> changes;
    for (const ScenarioOrganisation &organisation : world.scenario().organisations) {
        changes.emplace_back(Organisation{.name = organisation.name, .weight = organisation.weight});
    }
    for (const BenchUpstream &upstream : world.upstreams()) {
        changes.emplace_back(Upstream{
            .name = upstream.name,
            .service = upstream.service,
            .version = upstream.version,
            .dataCentre = DataCentreName{"dc" + std::to_string(upstream.dataCentre)},
            .slots = upstream.slots,
        });
    }
    return changes;
}

BaselinePolicy::BaselinePolicy(World &world)
    : m_world(world)
    , m_declarationChanges(scenarioDeclarations(world))
    , m_vms(world.scenario().entryVms)
{
    for (Vm &vm : m_vms) {
        vm.declarations = Declarations::restored(Revision{1}, m_declarationChanges);
    }
    for (const BenchUpstream &upstream : world.upstreams()) {
        m_versions.emplace(upstream.service, upstream.version);
    }
    world.onArrival = [this](const BenchRequest &request, TimePoint now) { handleArrival(request, now); };
    world.onDispatchEnded = [this](const BenchRequest &request, const BenchUpstream &upstream, DispatchResult result, TimePoint now) {
        handleDispatchEnd(request, upstream, result, now);
    };
}

void BaselinePolicy::handleArrival(const BenchRequest &request, TimePoint now)
{
    m_vms[request.vm].queues[request.service].push_back(request.index);
    m_world.schedule(request.deadline, [this, &request](TimePoint then) {
        if (!m_world.records()[request.index].upstream) {
            m_world.shed(request, then);
        }
    });
    dispatchQueued(request.vm, request.service, now);
}

void BaselinePolicy::dispatchQueued(std::uint32_t index, const ServiceName &service, TimePoint now)
{
    Vm &vm = m_vms[index];
    std::deque<std::uint32_t> &queue = vm.queues[service];
    while (!queue.empty()) {
        const BenchRequest &request = m_world.requests()[queue.front()];
        if (m_world.records()[request.index].result != RequestResult::Pending) {
            queue.pop_front();
            continue;
        }
        const PendingRequest pending{.id = request.id, .tier = request.tier, .organisation = request.organisation, .service = service};
        const auto slot = vm.capacity.acquire(pending, vm.declarations, m_versions[service], now);
        if (!slot) {
            return;
        }
        queue.pop_front();
        m_world.dispatch(request, m_world.upstreamIndex(slot->upstream), now);
    }
}

void BaselinePolicy::handleDispatchEnd(const BenchRequest &request, const BenchUpstream &upstream, DispatchResult result, TimePoint now)
{
    Vm &vm = m_vms[request.vm];
    vm.capacity.release(Slot{.upstream = upstream.name}, now);
    if (result == DispatchResult::ConnectionRefused) {
        eject(vm, upstream.name, now);
        m_world.schedule(now + EjectionTime, [this, index = request.vm](TimePoint then) { updateDeclarations(index, then); });
        if (m_world.records()[request.index].refusedConnections >= MaxRefusedConnections) {
            m_world.shed(request, now);
        } else {
            vm.queues[request.service].push_front(request.index);
        }
    }
    dispatchQueued(request.vm, request.service, now);
}

void BaselinePolicy::eject(Vm &vm, const UpstreamName &upstream, TimePoint now)
{
    vm.ejectedUntil[upstream] = now + EjectionTime;
    updateDeclarations(static_cast<std::uint32_t>(&vm - m_vms.data()), now);
}

/// Rebuilds the VM's declarations without the upstreams that are still ejected.
void BaselinePolicy::updateDeclarations(std::uint32_t index, TimePoint now)
{
    Vm &vm = m_vms[index];
    std::erase_if(vm.ejectedUntil, [now](const auto &ejected) { return ejected.second <= now; });
    std::vector<Change> changes;
    for (const Change &change : m_declarationChanges) {
        const auto *upstream = std::get_if<Upstream>(&change);
        if (!upstream || !vm.ejectedUntil.contains(upstream->name)) {
            changes.push_back(change);
        }
    }
    vm.declarations = Declarations::restored(Revision{1}, changes);
}

}
