#pragma once

#include "common/types.h"

#include "control.pb.h"

#include <map>
#include <string>

namespace cumindyke
{

/// The leader's aggregate of the tallies that entry VMs send with their heartbeats: which VMs there are, and the answers of each version. Soft state:
/// a new leader has the same aggregate after one heartbeat of each VM.
class FleetAggregate
{
public:
    /// VMs of a data centre that leases name as placement servers: the first ones get the placement requests, the others replace them on failure. If
    /// leases named all VMs, the leader's traffic would grow with the square of the number of VMs.
    static constexpr std::size_t MaxPlacementVmsPerDataCentre = 8;

    /// Records the tally of a VM. A tally of another incarnation replaces the counts of the one before.
    void recordTally(const VmName &vm, std::uint64_t incarnation, const v1::EntryTally &tally, TimePoint now);
    /// Returns the VMs that sent a heartbeat within their timeout; a VM that has timed out may be included for RefreshInterval longer.
    const v1::FleetTally &fleetTally(TimePoint now);
    /// Returns by version how much all VMs' counts of a service have grown since the first call with this rollout id.
    std::map<std::string, v1::VersionCounts> countsSinceStart(const std::string &service, const std::string &rolloutId);
    void reset()
    {
        *this = FleetAggregate();
    }

private:
    using VersionKey = std::pair<std::string, std::string>;
    struct Vm
    {
        std::uint64_t incarnation = 0;
        std::string dataCentre;
        bool draining = false;
        TimePoint lastSeenAt;
        std::map<VersionKey, v1::VersionCounts> counts;
    };

    /// Bound on how late the timeout of a VM is noticed.
    static constexpr Duration RefreshInterval = std::chrono::milliseconds(200);

    static void setCounts(Vm &vm, const v1::EntryTally &tally);
    void addGrowth(Vm &vm, const v1::EntryTally &tally);
    v1::FleetTally buildFleetTally(TimePoint now) const;

    std::map<VmName, Vm> m_vms;
    v1::FleetTally m_fleetTally;
    /// Time at which m_fleetTally is rebuilt at the latest.
    TimePoint m_nextRefreshAt{};
    /// Sums of the counts of all VMs since this leader began, by service and version.
    std::map<VersionKey, v1::VersionCounts> m_totals;
    /// The totals at the first evaluation of each rollout, by rollout id.
    std::map<std::string, std::map<std::string, v1::VersionCounts>> m_baselines;
};

}
