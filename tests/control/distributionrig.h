#pragma once

#include "control/follower.h"
#include "control/leadership.h"
#include "peer/outgoingqueue.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

/// How configurations reach many VMs over narrow links, in virtual time: the real leader's part, followers and send queues; links
/// that carry so many bytes a second and calls that are given up at their deadline. The log itself is taken as given.
namespace cumindyke::test
{

struct DistributionRigOptions
{
    /// The first one leads.
    int coreVms = 9;
    int entryVms = 78;
    /// 10 Mbit/s.
    double entryBytesPerSecond = 1'250'000;
    /// Less than the link of a core VM: what 0.15 of a core puts into messages.
    double coreBytesPerSecond = 10'000'000;
    Duration oneWay = std::chrono::milliseconds(1);
    std::uint64_t seed = 1;
};

class DistributionRig
{
public:
    explicit DistributionRig(DistributionRigOptions options);

    void run(Duration time);
    /// Nothing reaches the VM or comes from it from now on, and nobody is told.
    void silence(int vm);
    /// New processes of all VMs but the leader, with nothing: their first beats go out within the time.
    void restartFollowers(Duration within);
    /// The VM leads from now on; the one before does not.
    void elect(int vm);
    /// A newer table is in the log, and applied by the leader.
    void publish(const v1::RouteTable &table);
    /// Until when the VM may admit work.
    TimePoint admitUntil(int vm) const
    {
        return m_vms.at(static_cast<std::size_t>(vm)).follower->admitUntil();
    }
    std::uint64_t routesOn(int vm) const;
    const Follower &follower(int vm) const
    {
        return *m_vms.at(static_cast<std::size_t>(vm)).follower;
    }
    Leadership &leadership()
    {
        return *m_leadership;
    }
    int size() const
    {
        return static_cast<int>(m_vms.size());
    }
    TimePoint now() const
    {
        return m_now;
    }

    /// From the publication until each VM that is not silent had the table in force, sorted; the end of the run for one that has not.
    std::vector<Duration> timesInForce() const;
    /// Sent by the leader, and by the entry VM that sent most, since the last publication.
    std::size_t bytesFromLeader() const
    {
        return m_vms.front().bytesSent;
    }
    std::size_t mostBytesFromEntryVm() const;
    /// VMs that the leader had calls to since the last restart of the followers or publication.
    std::size_t peersOfLeader() const
    {
        return m_vms.front().peers.size();
    }
    /// The most that the leader's messages took at a time since the last publication: those that wait and those under way.
    std::size_t peakHeldByLeader() const
    {
        return peakHeldBy(0);
    }
    std::size_t peakHeldBy(int vm) const
    {
        return m_vms.at(static_cast<std::size_t>(vm)).peakHeld;
    }

private:
    struct Vm
    {
        std::unique_ptr<Follower> follower;
        std::shared_ptr<SendBudget> budget = std::make_shared<SendBudget>();
        std::map<int, OutgoingQueue> queues;
        double bytesPerSecond = 0;
        TimePoint nextHeartbeatAt{};
        TimePoint uplinkFree{};
        TimePoint downlinkFree{};
        bool silent = false;
        std::size_t bytesSent = 0;
        /// Reached with updates.
        std::set<int> peers;
        std::size_t peakHeld = 0;
        Duration inForceAfter = Duration::max();
    };
    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> happen;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    Vm &vm(int number)
    {
        return m_vms.at(static_cast<std::size_t>(number));
    }
    static VmName nameOf(int vm);
    static int numberOf(const VmName &name);
    std::unique_ptr<Follower> newFollower(int number);
    void at(TimePoint time, std::function<void()> happen);
    void send(int from, const VmName &to, v1::Envelope envelope);
    void startCalls(int from, int to);
    void startCall(int from, int to, OutgoingBatch batch);
    void deliver(int from, int to, const v1::Envelope &envelope);
    void sendHeartbeat(int vm);
    void takeUpdate(int vm, const v1::ConfigUpdate &update);

    DistributionRigOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{std::chrono::hours(1)};
    TimePoint m_publishedAt{};
    std::uint64_t m_published = 0;
    StateMachine m_state;
    std::vector<Vm> m_vms;
    int m_leader = 0;
    std::unique_ptr<Leadership> m_leadership;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventCount = 0;
};

/// A table with a service and so many routes, with names of the length that operators' tools make.
v1::RouteTable routeTable(std::uint64_t version, int routes);

}
