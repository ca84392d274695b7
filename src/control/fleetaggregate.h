#pragma once

#include "common/types.h"

#include "control.pb.h"

#include <map>
#include <string>

namespace cumindyke
{

/// The leader's sums over what entry VMs tell with their beats: which VMs there are, and the answers of each version. Soft state: a new leader has the same
/// sums again after one beat of each VM.
class FleetAggregate
{
public:
    /// The first of them are asked for places, the others in their stead. Leases that named all VMs would make the leader's bytes grow with the square of
    /// the VMs.
    static constexpr std::size_t MostNamedOfDataCentre = 8;

    /// A VM's tally. An older process of the VM counts as gone.
    void take(const VmName &vm, std::uint64_t incarnation, const v1::EntryTally &tally, TimePoint now);
    /// The VMs heard of lately; one that fell silent may still count for LookInterval.
    const v1::FleetTally &fleet(TimePoint now);
    /// Growth of all VMs' counts of a service's versions since the rollout that is watched began here, by version.
    std::map<std::string, v1::VersionCounts> versionsSince(const std::string &service, const std::string &mark);
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
        TimePoint heard;
        std::map<VersionKey, v1::VersionCounts> counts;
    };

    /// How late a VM's silence may be noticed.
    static constexpr Duration LookInterval = std::chrono::milliseconds(200);

    static void remember(Vm &vm, const v1::EntryTally &tally);
    void grow(Vm &vm, const v1::EntryTally &tally);
    v1::FleetTally makeFleet(TimePoint now) const;

    std::map<VmName, Vm> m_vms;
    v1::FleetTally m_fleet;
    /// When m_fleet is made again, at the latest.
    TimePoint m_nextLook{};
    /// What all VMs counted since this leader began, by service and version.
    std::map<VersionKey, v1::VersionCounts> m_totals;
    /// The totals when each rollout was first looked at.
    std::map<std::string, std::map<std::string, v1::VersionCounts>> m_marks;
};

}
