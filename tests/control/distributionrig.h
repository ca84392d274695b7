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

/// Simulates in virtual time how configurations reach many VMs over narrow links: the real leadership, followers and send queues; links with a
/// limited bandwidth, and calls that fail at their deadline. The log itself is not simulated.
namespace cumindyke::test
{

struct DistributionRigOptions
{
    /// The first one leads.
    int coreVms = 9;
    int entryVms = 78;
    /// 10 Mbit/s.
    double entryBytesPerSecond = 1'250'000;
    /// Less than the link of a core VM: what 0.15 of a core can send as messages.
    double coreBytesPerSecond = 10'000'000;
    Duration oneWayDelay = std::chrono::milliseconds(1);
    std::uint64_t seed = 1;
};

class DistributionRig
{
public:
    explicit DistributionRig(DistributionRigOptions options);

    void run(Duration time);
    /// Drops everything from and to the VM from now on, without an error for the senders.
    void makeUnreachable(int vm);
    /// Restarts all VMs but the leader with empty state; their first heartbeats are sent within the given time.
    void restartFollowers(Duration within);
    /// Makes the VM the leader instead of the one before.
    void elect(int vm);
    /// Applies a newer table at the leader, as after its commit to the log.
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

    /// Returns for each VM that is not unreachable the time from the publication until the table was in force, sorted; the time until now if it is
    /// not.
    std::vector<Duration> timesInForce() const;
    /// Bytes sent since the last publication by the leader, and by the entry VM that sent most.
    std::size_t bytesFromLeader() const
    {
        return m_vms.front().bytesSent;
    }
    std::size_t maxBytesFromEntryVm() const;
    /// VMs to which the leader sent updates since the last restart of the followers or publication.
    std::size_t updatePeersOfLeader() const
    {
        return m_vms.front().updatePeers.size();
    }
    /// Largest size of the leader's messages at a time since the last publication, queued and in flight.
    std::size_t peakBufferedByLeader() const
    {
        return peakBufferedBy(0);
    }
    std::size_t peakBufferedBy(int vm) const
    {
        return m_vms.at(static_cast<std::size_t>(vm)).peakBufferedBytes;
    }

private:
    struct Vm
    {
        std::unique_ptr<Follower> follower;
        std::shared_ptr<SendBudget> budget = std::make_shared<SendBudget>();
        std::map<int, OutgoingQueue> queues;
        double bytesPerSecond = 0;
        TimePoint nextHeartbeatAt{};
        TimePoint uplinkFreeAt{};
        TimePoint downlinkFreeAt{};
        bool unreachable = false;
        std::size_t bytesSent = 0;
        /// VMs to which it sent updates.
        std::set<int> updatePeers;
        std::size_t peakBufferedBytes = 0;
        Duration inForceAfter = Duration::max();
    };
    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> action;

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
    void at(TimePoint time, std::function<void()> action);
    SendEnvelope senderOf(int vm);
    google::protobuf::RepeatedPtrField<std::string> replicas() const;
    void send(int from, const VmName &to, v1::Envelope envelope);
    void startCalls(int from, int to);
    void startCall(int from, int to, OutgoingBatch batch);
    void deliver(int from, int to, const v1::Envelope &envelope);
    void sendHeartbeat(int vm);
    void handleUpdate(int vm, const v1::ConfigUpdate &update);

    DistributionRigOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{std::chrono::hours(1)};
    TimePoint m_publishedAt{};
    std::uint64_t m_publishedVersion = 0;
    StateMachine m_state;
    std::vector<Vm> m_vms;
    int m_leader = 0;
    std::unique_ptr<Leadership> m_leadership;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventCount = 0;
};

/// Returns a table with one service and the given number of routes, with names as long as those of operators' tools.
v1::RouteTable routeTable(std::uint64_t version, int routes);

/// Returns a table with a few routes and organisations with keys of their own. The first organisation's keys are those from "firstKey" on, so tables that
/// differ in it have most of its keys in common.
v1::RouteTable keyTable(std::uint64_t version, int organisations, int keysOfEach, int firstKey);

}
