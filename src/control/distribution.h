#pragma once

#include "common/types.h"

#include "control.pb.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cumindyke
{

struct LeaseOptions
{
    /// Length of a configuration lease, counted from when the VM sent its heartbeat.
    Duration length = std::chrono::seconds(2);
    /// How long the lease of a VM that lacks a new version is still renewed.
    Duration grace = std::chrono::seconds(1);
    /// Time allowed for the fan-out tree before the leader sends a version to a VM directly.
    Duration repairDelay = std::chrono::milliseconds(300);
    /// How long a live VM may take to find a new leader: a second without replies of the former leader, then the other candidates in turn.
    Duration leaderSearchTimeout = std::chrono::seconds(3);
    /// Bound on the difference of two VMs' monotonic clocks over a lease. Quartz is within 0.1 in a thousand.
    std::uint32_t clockMarginPermille = 10;
    /// How long the VMs of this fleet admit work after their leases; assumed for VMs that have not sent a heartbeat to this leader.
    Duration keepAdmitting = Duration::zero();

    /// Returns the time by the leader's clock after which a lease has certainly ended by the clock of its VM.
    Duration maxLength() const
    {
        return withClockMargin(length);
    }
    /// Returns the time by the leader's clock in which the given time has certainly passed by a VM's clock.
    Duration withClockMargin(Duration time) const
    {
        return time + time * clockMarginPermille / 1000;
    }
    /// Returns the time after which an accepted version is in force on a VM or the VM's lease has ended.
    Duration maxDistributionTime() const
    {
        return grace + maxLength();
    }
};

/// A VM as the leader sees it.
struct VmStatus
{
    VmName vm;
    DataCentreName dataCentre;
    Revision revision;
    std::uint64_t version = 0;
    std::uint64_t incarnation = 0;
    bool draining = false;
    /// The VM was granted a lease that may not have ended yet.
    bool live = false;
};

/// The leader's side of configuration leases: which VMs may hold one, and which version each VM has in force.
///
/// Safety: a VM is granted a lease only if its heartbeat shows the versions that it must have, and a lease counts from when the VM sent that
/// heartbeat. So once a version is older than the grace, no lease is granted without it, and maxDistributionTime() after its acceptance no VM holds a
/// lease without it.
class Distribution
{
public:
    /// vms: the VMs of the settings; other VMs are added with their first heartbeat.
    Distribution(LeaseOptions options, const std::vector<VmName> &vms);

    /// Starts the leadership of this VM, which has applied the given version. The leases that earlier leaders granted are unknown, so every VM is
    /// assumed to hold one until the longest lease has ended.
    void startLeading(std::uint64_t version, TimePoint now);
    /// Records that a newer version was accepted, and the size of its update.
    void recordPublication(std::uint64_t version, TimePoint now, std::size_t updateBytes = 0);

    /// Records a heartbeat and returns a lease if one is granted. None is granted without proof of a quorum: another leader may have been elected and
    /// may have accepted commands that this one does not have.
    std::optional<v1::ConfigLease> handleHeartbeat(const v1::ConfigHeartbeat &heartbeat, bool hasQuorum, TimePoint now);
    /// Returns whether the leader should send the newest configuration to the VM directly, after a heartbeat of the VM: the VM lacks the version, and
    /// earlier copies have had time to arrive. Without the second condition, a slower link would have to carry more copies.
    bool needsRepair(const VmName &vm, TimePoint now) const;
    void recordRepair(const VmName &vm, std::size_t updateBytes, TimePoint now);
    /// Returns whether the VM was sent a repair that has had no effect yet.
    bool wasRepairedInVain(const VmName &vm) const;
    /// Returns the VMs that sent a heartbeat lately, for the fan-out tree.
    std::vector<std::string> reachableVms(TimePoint now) const;

    /// Returns false only if the VM certainly holds no lease.
    bool mayHoldLease(const VmName &vm, TimePoint now) const;
    bool hasInForce(const VmName &vm, std::uint64_t version) const;

    /// Returns whether no VM will admit work under an older version after the time "within": each VM either has this version in force or will have
    /// stopped admitting work by then.
    bool isInForceWithin(std::uint64_t version, Duration within, TimePoint now) const;
    /// Records that the version was confirmed to an operator: from now on no lease is granted without it.
    void recordConfirmation(std::uint64_t version);

    struct Progress
    {
        /// VMs that may admit work under an older version.
        std::vector<std::string> pending;
        /// VMs that have stopped admitting work.
        std::vector<std::string> lapsed;
    };
    Progress progress(std::uint64_t version, TimePoint now) const;
    std::vector<VmStatus> statuses(TimePoint now) const;

private:
    struct Vm
    {
        DataCentreName dataCentre;
        Revision revision;
        std::uint64_t version = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t lastHeartbeat = 0;
        bool draining = false;
        Duration keepAdmitting = Duration::zero();
        std::optional<TimePoint> lastSeenAt;
        std::optional<TimePoint> lastGrantedAt;
        std::uint64_t grantedIncarnation = 0;
        /// The last heartbeat reported that an update started at a later version than the one in force.
        bool reportsGap = false;
        /// The version that the last repair brought, the earliest time of the next one, and the number of repairs without effect.
        std::uint64_t repairedToVersion = 0;
        std::optional<TimePoint> nextRepairAt;
        int ineffectiveRepairs = 0;
    };

    TimePoint leaseEnd(const Vm &vm) const;
    std::uint64_t requiredVersion(const Vm &vm, TimePoint now) const;
    void expireOldVersions(TimePoint now);

    struct Publication
    {
        std::uint64_t version;
        TimePoint publishedAt;
        /// Time by which the fan-out tree should have delivered the version.
        TimePoint expectedBy;
    };

    const LeaseOptions m_options;
    std::map<VmName, Vm> m_vms;
    TimePoint m_leadingSince{};
    /// In ascending order; the first is older than the grace, unless it is the only one.
    std::deque<Publication> m_publications;
    std::uint64_t m_confirmedVersion = 0;
};

/// A child of the fan-out tree and the VMs to which it relays the message.
struct Branch
{
    VmName child;
    std::vector<std::string> relay;
};

/// Splits targets evenly over at most FanOut children. The depth of the tree grows with the logarithm of the number of targets, and no VM sends more
/// than FanOut copies.
constexpr std::size_t FanOut = 4;
std::vector<Branch> splitFanOut(const std::vector<std::string> &targets);

}
