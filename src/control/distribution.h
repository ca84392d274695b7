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
    /// Length of a configuration lease, counted from when the VM sent its beat.
    Duration length = std::chrono::seconds(2);
    /// How long a VM that holds a lease may lack a new version and still have the lease renewed.
    Duration grace = std::chrono::seconds(1);
    /// Time for the fan-out tree before the leader sends a version to a VM itself.
    Duration repairAfter = std::chrono::milliseconds(300);
    /// How long a live VM may take to find a new leader: a second of silence from the old one, then the others in turn.
    Duration findLeader = std::chrono::seconds(3);
    /// Two VMs' monotonic clocks differ by less than this over a lease. Quartz is within 0.1 in a thousand.
    std::uint32_t clockMarginPermille = 10;
    /// What the VMs of this fleet go on admitting after their leases; for those that the leader has not heard of.
    Duration keepAdmitting = Duration::zero();

    /// The leader's own time in which a lease that a VM measures by its clock has certainly ended.
    Duration longest() const
    {
        return certainlyOver(length);
    }
    /// The leader's own time in which a time that a VM measures by its clock has certainly ended.
    Duration certainlyOver(Duration time) const
    {
        return time + time * clockMarginPermille / 1000;
    }
    /// After this long, an accepted version is in force on a VM or the VM's lease is over.
    Duration bound() const
    {
        return grace + longest();
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
    /// It may hold a lease.
    bool live = false;
};

/// The leader's side of configuration leases: who may hold one, and which version each VM has in force.
///
/// Safety: a VM is granted a lease only when its beat shows the versions it must have, and a lease counts from when the VM sent the
/// beat. So once a version is older than the grace, no lease without it is granted, and bound() after its acceptance none is left.
class Distribution
{
public:
    /// The VMs of the settings; others join by their first beat.
    Distribution(LeaseOptions options, const std::vector<VmName> &vms);

    /// This VM begins to lead, with a version applied. What leaders before it granted is unknown, so every VM counts as one that may
    /// hold a lease until the longest has ended.
    void lead(std::uint64_t version, TimePoint now);
    /// A newer version was accepted; its update has so many bytes.
    void published(std::uint64_t version, TimePoint now, std::size_t updateBytes = 0);

    /// Takes a beat and grants a lease, or not. Without proof of a quorum none is granted: another leader may have been elected, and
    /// may have accepted what this one has never heard of.
    std::optional<v1::ConfigLease> heartbeat(const v1::ConfigHeartbeat &heartbeat, bool hasQuorum, TimePoint now);
    /// Whether the leader should now send the newest configuration to the VM itself, after a beat of it: it lacks it, and what was sent to it
    /// before has had its time. Without the last, the slower a VM's link is, the more copies it would have to carry.
    bool needsRepair(const VmName &vm, TimePoint now) const;
    void repairSent(const VmName &vm, std::size_t updateBytes, TimePoint now);
    /// The VMs that were heard of lately, for the fan-out tree.
    std::vector<std::string> reachable(TimePoint now) const;

    /// False only when the VM certainly holds no lease.
    bool mayHoldLease(const VmName &vm, TimePoint now) const;
    bool hasInForce(const VmName &vm, std::uint64_t version) const;

    /// Whether no VM will admit work under an older version once "within" is over: each has this one in force, or its lease will have ended.
    bool inForceWithin(std::uint64_t version, Duration within, TimePoint now) const;
    /// Somebody was told that the version is in force: from now on no lease is granted without it.
    void confirmed(std::uint64_t version);

    struct Spread
    {
        /// VMs that may admit work under an older version.
        std::vector<std::string> pending;
        /// VMs that have stopped admitting work.
        std::vector<std::string> lapsed;
    };
    Spread spread(std::uint64_t version, TimePoint now) const;
    std::vector<VmStatus> statuses(TimePoint now) const;

private:
    struct Vm
    {
        DataCentreName dataCentre;
        Revision revision;
        std::uint64_t version = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t lastBeat = 0;
        bool draining = false;
        Duration keepAdmitting = Duration::zero();
        std::optional<TimePoint> heard;
        std::optional<TimePoint> granted;
        std::uint64_t grantedIncarnation = 0;
        /// Its last beat said that an update came that starts after what it has.
        bool gap = false;
        /// What the last repair brought, when the next may go, and how many went without effect.
        std::uint64_t repairedTo = 0;
        std::optional<TimePoint> repairAgainAt;
        int repairsWithoutEffect = 0;
    };

    TimePoint leaseEnd(const Vm &vm) const;
    std::uint64_t requiredVersion(const Vm &vm, TimePoint now) const;
    void forgetOldVersions(TimePoint now);

    struct Published
    {
        std::uint64_t version;
        TimePoint at;
        /// When the fan-out tree has had time for it.
        TimePoint spreadBy;
    };

    const LeaseOptions m_options;
    std::map<VmName, Vm> m_vms;
    TimePoint m_leadSince{};
    /// Newest last; the first is older than the grace, unless it is the only one.
    std::deque<Published> m_published;
    std::uint64_t m_confirmed = 0;
};

/// One child of the fan-out tree and the VMs it passes the message on to.
struct Branch
{
    VmName child;
    std::vector<std::string> relay;
};

/// Splits targets over at most FanOut children, evenly. The depth grows with the logarithm of the targets, and no VM sends more
/// than FanOut copies.
constexpr std::size_t FanOut = 4;
std::vector<Branch> branches(const std::vector<std::string> &targets);

}
