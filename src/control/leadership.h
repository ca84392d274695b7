#pragma once

#include "control/distribution.h"
#include "control/distributionlog.h"
#include "control/fleetaggregate.h"
#include "control/forwarder.h"
#include "control/statemachine.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cumindyke
{

struct LeadershipOptions
{
    VmName vm;
    /// Every VM of the settings, this one too.
    std::map<VmName, Address> vms;
    LeaseOptions lease;
    /// A confirmed version is in force everywhere this long after the confirmation.
    Duration confirmWithin = std::chrono::seconds(2);
    std::function<void(const VmName &to, v1::Envelope envelope)> send;
    /// Whether this VM can prove at this time that no other leader has been elected.
    std::function<bool(TimePoint now)> hasQuorum;
    /// The voting replicas of the log; may be left out.
    std::function<google::protobuf::RepeatedPtrField<std::string>()> replicas = {};
    std::optional<DistributionMetrics> metrics = {};
};

/// What the leader does besides the log: it brings each accepted version to every VM, grants configuration leases, and assigns cells.
/// Lives as long as the task; begins anew with each lead().
class Leadership
{
public:
    using WaitAnswer = std::function<void(const std::vector<std::string> &lapsedVms)>;

    Leadership(LeadershipOptions options, const StateMachine &state);

    void lead(TimePoint now);
    void stopLeading();
    bool leads() const
    {
        return m_leads;
    }

    /// Call after every applied command: pushes the version when it is new.
    void applied(TimePoint now);
    /// A VM's beat: answers with a lease, a repair, or both.
    void heartbeat(const VmName &from, const v1::ConfigHeartbeat &heartbeat, TimePoint now);
    /// Answers when every VM has the present version in force or has certainly stopped admitting work.
    void waitUntilInForce(WaitAnswer answer, TimePoint now);
    /// Answers as soon as it is certain that every VM will have the present version in force, or have stopped admitting work, in time.
    void waitUntilConfirmed(std::function<void()> answer, TimePoint now);
    /// Answers waits, and returns the cell assignments to propose.
    std::vector<v1::CellAssignment> tick(TimePoint now);
    v1::MembersReply members(TimePoint now) const;
    /// What entry VMs count, for decisions on rollouts.
    FleetAggregate &tallies()
    {
        return m_tallies;
    }

private:
    struct Wait
    {
        std::uint64_t version;
        WaitAnswer answer;
    };
    struct Confirmation
    {
        std::uint64_t version;
        TimePoint since;
        std::function<void()> answer;
    };

    /// What a VM holds: VMs that hold the same lack the same.
    struct Holding
    {
        bool needsWhole = false;
        std::uint64_t revision = 0;
        std::uint64_t routesVersion = 0;

        auto operator<=>(const Holding &) const = default;
    };

    void sendRepairs(TimePoint now);
    void answerWaits(TimePoint now);
    void confirmDue(TimePoint now);
    std::vector<std::string> spreadOrder(TimePoint now) const;
    void logSpread(TimePoint now);

    const LeadershipOptions m_options;
    const StateMachine &m_state;
    Distribution m_distribution;
    FleetAggregate m_tallies;
    bool m_leads = false;
    std::uint64_t m_pushedVersion = 0;
    std::uint64_t m_pushedRoutes = 0;
    Revision m_pushedRevision;
    /// VMs to be repaired at the next tick.
    std::map<VmName, Holding> m_repairs;
    std::vector<Wait> m_waits;
    std::vector<Confirmation> m_confirmations;
    DistributionLog m_spreadLog;
};

}
