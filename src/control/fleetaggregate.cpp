#include "control/fleetaggregate.h"

#include "placement/placementorder.h"

#include <algorithm>
#include <utility>

namespace cumindyke
{

namespace
{

/// As long as a VM may admit work after its last beat: until then its requests in flight and its demand count.
constexpr Duration HeardLately = std::chrono::seconds(4);

v1::VersionCounts growth(const v1::VersionCounts &now, const v1::VersionCounts &before)
{
    v1::VersionCounts grown = now;
    grown.set_sent(now.sent() - before.sent());
    grown.set_good(now.good() - before.good());
    grown.set_bad(now.bad() - before.bad());
    grown.set_head_ms(now.head_ms() - before.head_ms());
    grown.set_heads(now.heads() - before.heads());
    return grown;
}

void add(v1::VersionCounts &total, const v1::VersionCounts &more)
{
    total.set_service(more.service());
    total.set_version(more.version());
    total.set_sent(total.sent() + more.sent());
    total.set_good(total.good() + more.good());
    total.set_bad(total.bad() + more.bad());
    total.set_head_ms(total.head_ms() + more.head_ms());
    total.set_heads(total.heads() + more.heads());
}

}

void FleetAggregate::take(const VmName &vm, std::uint64_t incarnation, const v1::EntryTally &tally, TimePoint now)
{
    const bool isNew = !m_vms.contains(vm);
    Vm &known = m_vms[vm];
    if (isNew) {
        // What it counted before belongs to another leader's time: a new leader that took it for the present would find every limit spent.
        known.incarnation = incarnation;
        remember(known, tally);
    } else if (known.incarnation != incarnation) {
        // Its counts begin at zero again; what the process before it had counted is in the totals.
        known = Vm{.incarnation = incarnation};
    }
    if (isNew || known.dataCentre != tally.data_centre() || known.draining != tally.draining()) {
        m_nextLook = now;
    }
    known.dataCentre = tally.data_centre();
    known.draining = tally.draining();
    grow(known, tally);
    known.heard = now;
}

void FleetAggregate::remember(Vm &vm, const v1::EntryTally &tally)
{
    for (const v1::VersionCounts &counts : tally.versions()) {
        vm.counts[{counts.service(), counts.version()}] = counts;
    }
}

void FleetAggregate::grow(Vm &vm, const v1::EntryTally &tally)
{
    for (const v1::VersionCounts &counts : tally.versions()) {
        const VersionKey key{counts.service(), counts.version()};
        add(m_totals[key], growth(counts, vm.counts[key]));
    }
    remember(vm, tally);
}

const v1::FleetTally &FleetAggregate::fleet(TimePoint now)
{
    if (now >= m_nextLook) {
        m_fleet = makeFleet(now);
        m_nextLook = now + LookInterval;
    }
    return m_fleet;
}

v1::FleetTally FleetAggregate::makeFleet(TimePoint now) const
{
    v1::FleetTally fleet;
    std::map<std::string, std::vector<VmName>> placing;
    std::uint32_t count = 0;
    for (const auto &[name, vm] : m_vms) {
        if (now - vm.heard > HeardLately) {
            continue;
        }
        ++count;
        if (!vm.draining) {
            placing[vm.dataCentre].push_back(name);
        }
    }
    fleet.set_entry_vm_count(count);
    for (auto &[dataCentre, vms] : placing) {
        std::ranges::sort(vms, {}, placementOrder);
        vms.resize(std::min(vms.size(), MostNamedOfDataCentre));
        for (const VmName &vm : vms) {
            v1::PlacementVm &placement = *fleet.add_placement_vms();
            placement.set_vm(vm.value);
            placement.set_data_centre(dataCentre);
        }
    }
    fleet.set_digest(std::max<std::uint64_t>(1, checksum(fleet.SerializeAsString())));
    return fleet;
}

std::map<std::string, v1::VersionCounts> FleetAggregate::versionsSince(const std::string &service, const std::string &mark)
{
    const bool isNew = !m_marks.contains(mark);
    auto &base = m_marks[mark];
    std::map<std::string, v1::VersionCounts> grown;
    for (const auto &[key, total] : m_totals) {
        if (key.first != service) {
            continue;
        }
        if (isNew) {
            base[key.second] = total;
        }
        grown[key.second] = growth(total, base[key.second]);
    }
    return grown;
}

}
