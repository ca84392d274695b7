#include "bench/baselinepolicy.h"

namespace cumindyke
{

namespace
{

constexpr std::uint32_t MaxRefusedConnections = 3;
constexpr Duration LeftOut = std::chrono::seconds(1);

}

std::vector<Change> declarationsOf(World &world)
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
    , m_changes(declarationsOf(world))
    , m_vms(world.scenario().entryVms)
{
    for (Vm &vm : m_vms) {
        vm.declarations = Declarations::restored(Revision{1}, m_changes);
    }
    for (const BenchUpstream &upstream : world.upstreams()) {
        m_versions.emplace(upstream.service, upstream.version);
    }
    world.arrived = [this](const BenchRequest &request, TimePoint now) { arrived(request, now); };
    world.dispatchEnded
        = [this](const BenchRequest &request, const BenchUpstream &upstream, DispatchEnd end, TimePoint now) { dispatchEnded(request, upstream, end, now); };
}

void BaselinePolicy::arrived(const BenchRequest &request, TimePoint now)
{
    m_vms[request.vm].queues[request.service].push_back(request.index);
    m_world.at(request.deadline, [this, &request](TimePoint then) {
        if (!m_world.records()[request.index].upstream) {
            m_world.shed(request, then);
        }
    });
    serve(request.vm, request.service, now);
}

void BaselinePolicy::serve(std::uint32_t index, const ServiceName &service, TimePoint now)
{
    Vm &vm = m_vms[index];
    std::deque<std::uint32_t> &queue = vm.queues[service];
    while (!queue.empty()) {
        const BenchRequest &request = m_world.requests()[queue.front()];
        if (m_world.records()[request.index].end != BenchEnd::None) {
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

void BaselinePolicy::dispatchEnded(const BenchRequest &request, const BenchUpstream &upstream, DispatchEnd end, TimePoint now)
{
    Vm &vm = m_vms[request.vm];
    vm.capacity.release(Slot{.upstream = upstream.name}, now);
    if (end == DispatchEnd::NotSent) {
        leaveOut(vm, upstream.name, now);
        m_world.at(now + LeftOut, [this, index = request.vm](TimePoint then) { takeBack(index, then); });
        if (m_world.records()[request.index].refusedConnections >= MaxRefusedConnections) {
            m_world.shed(request, now);
        } else {
            vm.queues[request.service].push_front(request.index);
        }
    }
    serve(request.vm, request.service, now);
}

void BaselinePolicy::leaveOut(Vm &vm, const UpstreamName &upstream, TimePoint now)
{
    vm.refusedUntil[upstream] = now + LeftOut;
    takeBack(static_cast<std::uint32_t>(&vm - m_vms.data()), now);
}

/// The declarations without the upstreams that are still left out.
void BaselinePolicy::takeBack(std::uint32_t index, TimePoint now)
{
    Vm &vm = m_vms[index];
    std::erase_if(vm.refusedUntil, [now](const auto &refused) { return refused.second <= now; });
    std::vector<Change> changes;
    for (const Change &change : m_changes) {
        const auto *upstream = std::get_if<Upstream>(&change);
        if (!upstream || !vm.refusedUntil.contains(upstream->name)) {
            changes.push_back(change);
        }
    }
    vm.declarations = Declarations::restored(Revision{1}, changes);
}

}
