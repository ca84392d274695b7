#include "control/distribution.h"

#include "peer/transfertime.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Two beats: the first after a repair may have been sent before it came.
constexpr Duration RepairInterval = std::chrono::seconds(1);
/// The interval doubles with each repair without effect, so many times at most.
constexpr int MostDoublings = 3;

}

Distribution::Distribution(LeaseOptions options, const std::vector<VmName> &vms)
    : m_options(options)
{
    for (const VmName &vm : vms) {
        m_vms.emplace(vm, Vm{});
    }
}

void Distribution::lead(std::uint64_t version, TimePoint now)
{
    m_leadSince = now;
    // When the versions were accepted is unknown, so no grace: each VM needs the newest for its first lease.
    m_published = {Published{.version = version, .at = now - m_options.grace, .spreadBy = now}};
    m_confirmed = 0;
    for (auto &[name, vm] : m_vms) {
        vm.granted.reset();
        vm.heard.reset();
        vm.version = 0;
        vm.repairAgainAt.reset();
        vm.repairsWithoutEffect = 0;
    }
}

void Distribution::published(std::uint64_t version, TimePoint now, std::size_t updateBytes)
{
    m_published.push_back(Published{.version = version, .at = now, .spreadBy = now + m_options.repairAfter + transferTimeout(updateBytes)});
    forgetOldVersions(now);
}

void Distribution::forgetOldVersions(TimePoint now)
{
    while (m_published.size() > 1 && m_published[1].at + m_options.grace <= now) {
        m_published.pop_front();
    }
}

TimePoint Distribution::leaseEnd(const Vm &vm) const
{
    return (vm.granted ? *vm.granted : m_leadSince) + m_options.longest();
}

/// A VM that goes on with a lease has the grace to take up new versions. Any other may have had a newer one in force before (in an
/// earlier process, or under another leader) than the grace would ask for: it needs the newest, so that it never goes back.
std::uint64_t Distribution::requiredVersion(const Vm &vm, TimePoint now) const
{
    const bool goesOn = vm.granted && vm.grantedIncarnation == vm.incarnation && now < leaseEnd(vm);
    if (!goesOn) {
        return m_published.back().version;
    }
    std::uint64_t required = m_confirmed;
    for (const Published &published : m_published) {
        if (published.at + m_options.grace <= now) {
            required = std::max(required, published.version);
        }
    }
    return required;
}

std::optional<v1::ConfigLease> Distribution::heartbeat(const v1::ConfigHeartbeat &heartbeat, bool hasQuorum, TimePoint now)
{
    Vm &vm = m_vms[VmName{heartbeat.vm()}];
    if (vm.incarnation == heartbeat.incarnation() && heartbeat.beat() <= vm.lastBeat) {
        return {};
    }
    if (vm.incarnation != heartbeat.incarnation() || heartbeat.version() >= vm.repairedTo) {
        vm.repairAgainAt.reset();
        vm.repairsWithoutEffect = 0;
    }
    vm.incarnation = heartbeat.incarnation();
    vm.gap = heartbeat.gap();
    vm.lastBeat = heartbeat.beat();
    vm.version = heartbeat.version();
    vm.revision = Revision{heartbeat.revision()};
    vm.dataCentre = DataCentreName{heartbeat.data_centre()};
    vm.draining = heartbeat.draining();
    vm.keepAdmitting = std::chrono::milliseconds(heartbeat.keep_admitting_ms());
    vm.heard = now;
    forgetOldVersions(now);
    if (!hasQuorum || heartbeat.version() < requiredVersion(vm, now)) {
        return {};
    }
    vm.granted = now;
    vm.grantedIncarnation = vm.incarnation;
    v1::ConfigLease lease;
    lease.set_beat(heartbeat.beat());
    lease.set_length_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_options.length).count()));
    lease.set_version(m_published.back().version);
    return lease;
}

bool Distribution::needsRepair(const VmName &name, TimePoint now) const
{
    const auto found = m_vms.find(name);
    if (found == m_vms.end() || found->second.version >= m_published.back().version) {
        return false;
    }
    const Vm &vm = found->second;
    if (vm.repairAgainAt && now < *vm.repairAgainAt) {
        return false;
    }
    return vm.gap || m_published.back().spreadBy <= now || vm.version < m_published.front().version;
}

void Distribution::repairSent(const VmName &name, std::size_t updateBytes, TimePoint now)
{
    Vm &vm = m_vms[name];
    const int doublings = std::min(vm.repairsWithoutEffect, MostDoublings);
    vm.repairedTo = m_published.back().version;
    vm.repairAgainAt = now + (RepairInterval + transferTimeout(updateBytes)) * (1 << doublings);
    vm.repairsWithoutEffect += 1;
}

std::vector<std::string> Distribution::reachable(TimePoint now) const
{
    std::vector<std::string> names;
    for (const auto &[name, vm] : m_vms) {
        if (vm.heard && now < *vm.heard + m_options.length) {
            names.push_back(name.value);
        }
    }
    return names;
}

bool Distribution::mayHoldLease(const VmName &name, TimePoint now) const
{
    const auto found = m_vms.find(name);
    return now < (found == m_vms.end() ? m_leadSince + m_options.longest() : leaseEnd(found->second));
}

bool Distribution::hasInForce(const VmName &name, std::uint64_t version) const
{
    const auto found = m_vms.find(name);
    return found != m_vms.end() && found->second.version >= version;
}

bool Distribution::inForceWithin(std::uint64_t version, Duration within, TimePoint now) const
{
    const TimePoint end = now + within;
    // VMs that this leader has not heard of may hold leases of the one before.
    if (end < m_leadSince + m_options.longest() + m_options.certainlyOver(m_options.keepAdmitting)) {
        return false;
    }
    return std::ranges::all_of(m_vms, [this, version, end](const auto &item) {
        const Vm &vm = item.second;
        const Duration keepAdmitting = vm.heard ? vm.keepAdmitting : m_options.keepAdmitting;
        return vm.version >= version || end >= leaseEnd(vm) + m_options.certainlyOver(keepAdmitting);
    });
}

void Distribution::confirmed(std::uint64_t version)
{
    m_confirmed = std::max(m_confirmed, version);
}

Distribution::Spread Distribution::spread(std::uint64_t version, TimePoint now) const
{
    Spread spread;
    for (const auto &[name, vm] : m_vms) {
        if (vm.version >= version) {
            continue;
        }
        // A VM that is still looking for this leader has lapsed too, but only for a moment: naming it would send operators after a VM
        // that is well.
        const Duration stillLooking = vm.heard ? Duration::zero() : m_options.findLeader;
        const bool mayAdmit = now < leaseEnd(vm) + vm.keepAdmitting + stillLooking;
        (mayAdmit ? spread.pending : spread.lapsed).push_back(name.value);
    }
    return spread;
}

std::vector<VmStatus> Distribution::statuses(TimePoint now) const
{
    std::vector<VmStatus> statuses;
    for (const auto &[name, vm] : m_vms) {
        statuses.push_back(VmStatus{
            .vm = name,
            .dataCentre = vm.dataCentre,
            .revision = vm.revision,
            .version = vm.version,
            .incarnation = vm.incarnation,
            .draining = vm.draining,
            .live = vm.granted && now < leaseEnd(vm),
        });
    }
    return statuses;
}

std::vector<Branch> branches(const std::vector<std::string> &targets)
{
    std::vector<Branch> split;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (i < FanOut) {
            split.push_back(Branch{.child = VmName{targets[i]}, .relay = {}});
        } else {
            split[i % FanOut].relay.push_back(targets[i]);
        }
    }
    return split;
}

}
