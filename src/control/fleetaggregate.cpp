#include "control/fleetaggregate.h"

#include "placement/placementorder.h"

#include <algorithm>
#include <utility>

namespace cumindyke
{

namespace
{

/// Time for which a VM may admit work after its last heartbeat: until then its requests in flight and its demand count.
constexpr Duration VmTimeout = std::chrono::seconds(4);

v1::VersionCounts growth(const v1::VersionCounts &current, const v1::VersionCounts &before)
{
    v1::VersionCounts grown = current;
    grown.set_sent(current.sent() - before.sent());
    grown.set_good(current.good() - before.good());
    grown.set_bad(current.bad() - before.bad());
    grown.set_head_ms(current.head_ms() - before.head_ms());
    grown.set_heads(current.heads() - before.heads());
    return grown;
}

void add(v1::VersionCounts &total, const v1::VersionCounts &counts)
{
    total.set_service(counts.service());
    total.set_version(counts.version());
    total.set_sent(total.sent() + counts.sent());
    total.set_good(total.good() + counts.good());
    total.set_bad(total.bad() + counts.bad());
    total.set_head_ms(total.head_ms() + counts.head_ms());
    total.set_heads(total.heads() + counts.heads());
}

}

void FleetAggregate::recordTally(const VmName &vm, std::uint64_t incarnation, const v1::EntryTally &tally, TimePoint now)
{
    const bool isNew = !m_vms.contains(vm);
    Vm &known = m_vms[vm];
    if (isNew) {
        // Earlier counts of the VM belong to the time of another leader: a new leader that counted them as current would find every limit spent.
        known.incarnation = incarnation;
        setCounts(known, tally);
    } else if (known.incarnation != incarnation) {
        // The counts of the new process begin at zero; those of the process before it are in the totals.
        known = Vm{.incarnation = incarnation};
    }
    if (isNew || known.dataCentre != tally.data_centre() || known.draining != tally.draining()) {
        m_nextRefreshAt = now;
    }
    known.dataCentre = tally.data_centre();
    known.draining = tally.draining();
    addGrowth(known, tally);
    known.lastSeenAt = now;
}

void FleetAggregate::setCounts(Vm &vm, const v1::EntryTally &tally)
{
    for (const v1::VersionCounts &counts : tally.versions()) {
        vm.counts[{counts.service(), counts.version()}] = counts;
    }
}

void FleetAggregate::addGrowth(Vm &vm, const v1::EntryTally &tally)
{
    for (const v1::VersionCounts &counts : tally.versions()) {
        const VersionKey key{counts.service(), counts.version()};
        add(m_totals[key], growth(counts, vm.counts[key]));
    }
    setCounts(vm, tally);
}

const v1::FleetTally &FleetAggregate::fleetTally(TimePoint now)
{
    if (now >= m_nextRefreshAt) {
        m_fleetTally = buildFleetTally(now);
        m_nextRefreshAt = now + RefreshInterval;
    }
    return m_fleetTally;
}

v1::FleetTally FleetAggregate::buildFleetTally(TimePoint now) const
{
    v1::FleetTally fleet;
    std::map<std::string, std::vector<VmName>> placementVms;
    std::uint32_t count = 0;
    for (const auto &[name, vm] : m_vms) {
        if (now - vm.lastSeenAt > VmTimeout) {
            continue;
        }
        ++count;
        if (!vm.draining) {
            placementVms[vm.dataCentre].push_back(name);
        }
    }
    fleet.set_entry_vm_count(count);
    for (auto &[dataCentre, vms] : placementVms) {
        std::ranges::sort(vms, {}, placementOrder);
        vms.resize(std::min(vms.size(), MaxPlacementVmsPerDataCentre));
        for (const VmName &vm : vms) {
            v1::PlacementVm &placement = *fleet.add_placement_vms();
            placement.set_vm(vm.value);
            placement.set_data_centre(dataCentre);
        }
    }
    fleet.set_digest(std::max<std::uint64_t>(1, checksum(fleet.SerializeAsString())));
    return fleet;
}

std::map<std::string, v1::VersionCounts> FleetAggregate::countsSinceStart(const std::string &service, const std::string &rolloutId)
{
    const bool isNew = !m_baselines.contains(rolloutId);
    auto &baseline = m_baselines[rolloutId];
    std::map<std::string, v1::VersionCounts> grown;
    for (const auto &[key, total] : m_totals) {
        if (key.first != service) {
            continue;
        }
        if (isNew) {
            baseline[key.second] = total;
        }
        grown[key.second] = growth(total, baseline[key.second]);
    }
    return grown;
}

}
