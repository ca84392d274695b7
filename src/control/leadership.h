#pragma once

#include "control/distribution.h"
#include "control/distributionlog.h"
#include "control/fleetaggregate.h"
#include "control/forwarder.h"
#include "control/repairs.h"
#include "control/statemachine.h"
#include "raft/types.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cumindyke
{

struct LeadershipOptions
{
    VmName vm;
    /// All VMs of the settings, including this one.
    std::map<VmName, Address> vms;
    LeaseOptions lease;
    std::function<void(const VmName &to, v1::Envelope envelope)> send;
    /// Returns whether this VM can prove now that no other leader has been elected.
    std::function<bool(TimePoint now)> hasQuorum;
    /// Returns the voting replicas of the log; optional.
    std::function<google::protobuf::RepeatedPtrField<std::string>()> replicas = {};
    /// Returns the term in which this VM leads, and the position in the log of the state that replicas() comes from.
    std::function<raft::Term()> term = {};
    std::function<raft::LogPosition()> replicasPosition = {};
    std::optional<DistributionMetrics> metrics = {};
};

/// The duties of the leader besides the log: distributes each accepted version to every VM, grants configuration leases and assigns cells. Lives as
/// long as the control task; startLeading() resets the state.
class Leadership
{
public:
    using InForceCallback = std::function<void(const std::vector<std::string> &lapsedVms)>;

    Leadership(LeadershipOptions options, const StateMachine &state);

    void startLeading(TimePoint now);
    void stopLeading();
    bool isLeading() const
    {
        return m_isLeading;
    }

    /// Distributes the newest version if it was not distributed yet. To be called after each batch of applied commands.
    void publishIfChanged(TimePoint now);
    /// Handles a heartbeat: replies with a lease or a refusal, and schedules a repair if the VM needs one.
    void handleHeartbeat(const VmName &from, const v1::ConfigHeartbeat &heartbeat, TimePoint now);
    /// Calls back when every VM has the current version in force or has certainly stopped admitting work.
    void notifyWhenInForce(InForceCallback answer, TimePoint now);
    /// Calls back as soon as it is certain that within the given time every VM will have the current version in force or will have stopped admitting
    /// work.
    void notifyWhenConfirmed(std::function<void()> answer, Duration within, TimePoint now);
    /// Sends repairs, calls back for waits that are over, and returns the cell assignments to propose.
    std::vector<v1::CellAssignment> tick(TimePoint now);
    v1::MembersReply members(TimePoint now) const;
    /// The counts of the entry VMs, for decisions on rollouts.
    FleetAggregate &fleetAggregate()
    {
        return m_fleetAggregate;
    }

private:
    struct InForceWait
    {
        std::uint64_t version;
        InForceCallback answer;
    };
    struct ConfirmationWait
    {
        std::uint64_t version;
        Duration within;
        TimePoint since;
        std::function<void()> answer;
    };

    void sendRepairs(TimePoint now);
    void sendRepair(const HeldState &heldState, const std::vector<std::string> &vms, TimePoint now);
    void nameReplicas(v1::ConfigLease &lease) const;
    std::vector<VmName> reachableReplicas(TimePoint now) const;
    void answerInForceWaits(TimePoint now);
    void answerConfirmationWaits(TimePoint now);
    std::vector<std::string> distributionOrder(TimePoint now) const;
    void logProgress(TimePoint now);

    const LeadershipOptions m_options;
    const StateMachine &m_state;
    Distribution m_distribution;
    FleetAggregate m_fleetAggregate;
    bool m_isLeading = false;
    std::uint64_t m_publishedVersion = 0;
    std::uint64_t m_publishedRoutesVersion = 0;
    Revision m_publishedRevision;
    /// VMs that get a repair at the next tick.
    std::map<VmName, HeldState> m_pendingRepairs;
    std::vector<InForceWait> m_inForceWaits;
    std::vector<ConfirmationWait> m_confirmationWaits;
    DistributionLog m_distributionLog;
};

}
