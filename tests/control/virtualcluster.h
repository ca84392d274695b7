#pragma once

#include "control/follower.h"
#include "control/leadership.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

/// VMs with configuration leases in virtual time: one leads, all follow, and messages between them are lost, late, repeated and
/// reordered. The log itself is taken as given: an accepted command is there for every leader after.
namespace cumindyke::test
{

struct VirtualClusterOptions
{
    int vms = 7;
    std::uint64_t seed = 1;
    /// Messages lost and repeated, in thousandths.
    int lossPermille = 50;
    int repeatPermille = 30;
    /// Most messages take up to 5 ms; this share, in thousandths, takes up to 3 s.
    int latePermille = 20;
    /// After their leases.
    Duration keepAdmitting = Duration::zero();
};

class VirtualCluster
{
public:
    explicit VirtualCluster(VirtualClusterOptions options);

    /// One step of 10 ms on every VM, then the check of what must always hold.
    void step();
    void run(Duration time);
    std::uint64_t random(std::uint64_t below);

    void accept(v1::Change change);
    void accept(std::vector<v1::Change> changes);
    /// Cuts a VM off: nothing it sends arrives, or nothing reaches it, or both.
    void cut(int vm, bool out, bool in);
    void heal();
    /// A new process of the VM; if it led, it leads again from what the log holds.
    void restart(int vm);
    void crash(int vm);
    /// Another VM is elected; the one before can prove no quorum from now on, but does not know yet that it is no leader.
    void elect(int vm);
    void makeReliable();
    void drain(int vm);

    const Follower &follower(int vm) const
    {
        return *m_vms[static_cast<std::size_t>(vm)].follower;
    }
    const StateMachine &state() const
    {
        return m_state;
    }
    int leader() const
    {
        return m_leader;
    }
    bool admits(int vm) const;
    /// The VM that acts as the cell's scheduler now, or -1.
    int holderOf(const std::string &cell) const;
    TimePoint now() const
    {
        return m_now;
    }
    /// How many versions were confirmed.
    std::size_t confirmations() const
    {
        return m_confirmedAt.size();
    }
    /// How often a VM admitted work in a step: shows that a history exercised anything.
    std::uint64_t admittedSteps() const
    {
        return m_admittedSteps;
    }

private:
    struct Vm
    {
        std::unique_ptr<Follower> follower;
        double clockRate = 1;
        Duration clockOffset{};
        TimePoint nextHeartbeatAt{};
        bool cutOut = false;
        bool cutIn = false;
        bool up = true;
        std::uint64_t admittedVersion = 0;
    };
    struct Message
    {
        TimePoint at;
        std::uint64_t number;
        int from;
        int to;
        v1::Envelope envelope;

        bool operator<(const Message &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    static VmName nameOf(int vm);
    TimePoint clockOf(int vm) const;
    void startFollower(int vm);
    void startLeader(int vm);
    void send(int from, const VmName &to, const v1::Envelope &envelope);
    void deliver(const Message &message);
    void sendHeartbeat(int vm);
    void takeUpdate(int vm, const v1::ConfigUpdate &update);
    void apply(v1::Command command);
    void check();
    /// The newest version of those that were due by now.
    std::uint64_t newestDue(const std::map<std::uint64_t, TimePoint> &since, Duration bound) const;

    VirtualClusterOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{std::chrono::hours(1)};
    StateMachine m_state;
    std::vector<Vm> m_vms;
    int m_leader = 0;
    std::unique_ptr<Leadership> m_leadership;
    std::priority_queue<Message> m_messages;
    std::uint64_t m_messageCount = 0;
    std::uint64_t m_commandCount = 0;
    /// When each version was accepted.
    std::map<std::uint64_t, TimePoint> m_acceptedAt;
    /// When each version was confirmed.
    std::map<std::uint64_t, TimePoint> m_confirmedAt;
    std::uint64_t m_admittedSteps = 0;
};

/// A small office: two data centres, a tier, a service and an upstream in each data centre.
std::vector<v1::Change> smallOffice();
v1::Change organisationChange(int number);

}
