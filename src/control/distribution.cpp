#include "control/distribution.h"

#include "peer/transfertime.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Two heartbeat intervals: the first heartbeat after a repair may have been sent before the repair arrived.
constexpr Duration RepairInterval = std::chrono::seconds(1);
/// Limit on the doublings of RepairInterval; it doubles with each repair without effect.
constexpr int MaxDoublings = 3;

}

Distribution::Distribution(LeaseOptions options, const std::vector<VmName> &vms)
    : m_options(options)
{
    for (const VmName &vm : vms) {
        m_vms.emplace(vm, Vm{});
    }
}

void Distribution::startLeading(std::uint64_t version, TimePoint now)
{
    m_leadingSince = now;
    // The acceptance times of the versions are unknown, so no VM gets the grace: each needs the newest version for its first lease.
    m_publications = {Publication{.version = version, .publishedAt = now - m_options.grace, .expectedBy = now}};
    m_confirmedVersion = 0;
    for (auto &[name, vm] : m_vms) {
        vm.lastGrantedAt.reset();
        vm.lastSeenAt.reset();
        vm.version = 0;
        vm.nextRepairAt.reset();
        vm.ineffectiveRepairs = 0;
    }
}

void Distribution::recordPublication(std::uint64_t version, TimePoint now, std::size_t updateBytes)
{
    m_publications.push_back(Publication{.version = version, .publishedAt = now, .expectedBy = now + m_options.repairDelay + transferTimeout(updateBytes)});
    expireOldVersions(now);
}

void Distribution::expireOldVersions(TimePoint now)
{
    while (m_publications.size() > 1 && m_publications[1].publishedAt + m_options.grace <= now) {
        m_publications.pop_front();
    }
}

TimePoint Distribution::leaseEnd(const Vm &vm) const
{
    return (vm.lastGrantedAt ? *vm.lastGrantedAt : m_leadingSince) + m_options.maxLength();
}

/// Returns the version that a VM needs for a lease. A VM that renews its lease has the grace to apply new versions. Any other VM may have had a newer
/// version in force (in an earlier process, or under another leader) than the grace would ask for: it needs the newest one, so that its configuration
/// never goes back.
std::uint64_t Distribution::requiredVersion(const Vm &vm, TimePoint now) const
{
    const bool renewsLease = vm.lastGrantedAt && vm.grantedIncarnation == vm.incarnation && now < leaseEnd(vm);
    if (!renewsLease) {
        return m_publications.back().version;
    }
    std::uint64_t required = m_confirmedVersion;
    for (const Publication &publication : m_publications) {
        if (publication.publishedAt + m_options.grace <= now) {
            required = std::max(required, publication.version);
        }
    }
    return required;
}

std::optional<v1::ConfigLease> Distribution::handleHeartbeat(const v1::ConfigHeartbeat &heartbeat, bool hasQuorum, TimePoint now)
{
    Vm &vm = m_vms[VmName{heartbeat.vm()}];
    if (vm.incarnation == heartbeat.incarnation() && heartbeat.beat() <= vm.lastHeartbeat) {
        return {};
    }
    if (vm.incarnation != heartbeat.incarnation() || heartbeat.version() >= vm.repairedToVersion) {
        vm.nextRepairAt.reset();
        vm.ineffectiveRepairs = 0;
    }
    vm.incarnation = heartbeat.incarnation();
    vm.reportsGap = heartbeat.gap();
    vm.lastHeartbeat = heartbeat.beat();
    vm.version = heartbeat.version();
    vm.revision = Revision{heartbeat.revision()};
    vm.dataCentre = DataCentreName{heartbeat.data_centre()};
    vm.draining = heartbeat.draining();
    vm.keepAdmitting = std::chrono::milliseconds(heartbeat.keep_admitting_ms());
    vm.lastSeenAt = now;
    expireOldVersions(now);
    if (!hasQuorum || heartbeat.version() < requiredVersion(vm, now)) {
        return {};
    }
    vm.lastGrantedAt = now;
    vm.grantedIncarnation = vm.incarnation;
    v1::ConfigLease lease;
    lease.set_beat(heartbeat.beat());
    lease.set_length_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_options.length).count()));
    lease.set_version(m_publications.back().version);
    return lease;
}

bool Distribution::needsRepair(const VmName &name, TimePoint now) const
{
    const auto found = m_vms.find(name);
    if (found == m_vms.end() || found->second.version >= m_publications.back().version) {
        return false;
    }
    const Vm &vm = found->second;
    if (vm.nextRepairAt && now < *vm.nextRepairAt) {
        return false;
    }
    return vm.reportsGap || m_publications.back().expectedBy <= now || vm.version < m_publications.front().version;
}

void Distribution::recordRepair(const VmName &name, std::size_t updateBytes, TimePoint now)
{
    Vm &vm = m_vms[name];
    const int doublings = std::min(vm.ineffectiveRepairs, MaxDoublings);
    vm.repairedToVersion = m_publications.back().version;
    vm.nextRepairAt = now + (RepairInterval + transferTimeout(updateBytes)) * (1 << doublings);
    vm.ineffectiveRepairs += 1;
}

bool Distribution::wasRepairedInVain(const VmName &name) const
{
    const auto found = m_vms.find(name);
    return found != m_vms.end() && found->second.ineffectiveRepairs > 0;
}

std::vector<std::string> Distribution::reachableVms(TimePoint now) const
{
    std::vector<std::string> names;
    for (const auto &[name, vm] : m_vms) {
        if (vm.lastSeenAt && now < *vm.lastSeenAt + m_options.length) {
            names.push_back(name.value);
        }
    }
    return names;
}

bool Distribution::mayHoldLease(const VmName &name, TimePoint now) const
{
    const auto found = m_vms.find(name);
    return now < (found == m_vms.end() ? m_leadingSince + m_options.maxLength() : leaseEnd(found->second));
}

bool Distribution::hasInForce(const VmName &name, std::uint64_t version) const
{
    const auto found = m_vms.find(name);
    return found != m_vms.end() && found->second.version >= version;
}

bool Distribution::isInForceWithin(std::uint64_t version, Duration within, TimePoint now) const
{
    const TimePoint end = now + within;
    // VMs that have not sent a heartbeat to this leader may hold leases of the leader before it.
    if (end < m_leadingSince + m_options.maxLength() + m_options.withClockMargin(m_options.keepAdmitting)) {
        return false;
    }
    return std::ranges::all_of(m_vms, [this, version, end](const auto &item) {
        const Vm &vm = item.second;
        const Duration keepAdmitting = vm.lastSeenAt ? vm.keepAdmitting : m_options.keepAdmitting;
        return vm.version >= version || end >= leaseEnd(vm) + m_options.withClockMargin(keepAdmitting);
    });
}

void Distribution::recordConfirmation(std::uint64_t version)
{
    m_confirmedVersion = std::max(m_confirmedVersion, version);
}

Distribution::Progress Distribution::progress(std::uint64_t version, TimePoint now) const
{
    Progress progress;
    for (const auto &[name, vm] : m_vms) {
        if (vm.version >= version) {
            continue;
        }
        // A VM that still searches for this leader has lapsed too, but only for a moment: listing it would make operators look into a healthy VM.
        const Duration searchAllowance = vm.lastSeenAt ? Duration::zero() : m_options.leaderSearchTimeout;
        const bool mayAdmit = now < leaseEnd(vm) + vm.keepAdmitting + searchAllowance;
        (mayAdmit ? progress.pending : progress.lapsed).push_back(name.value);
    }
    return progress;
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
            .live = vm.lastGrantedAt && now < leaseEnd(vm),
        });
    }
    return statuses;
}

std::vector<Branch> splitFanOut(const std::vector<std::string> &targets)
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
