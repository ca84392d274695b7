#include "raft/simulation.h"

#include "raft/simulatednetwork.h"
#include "raft/simulationchecks.h"

#include <algorithm>
#include <set>

namespace cumindyke::raft::test
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration StepInterval = 1ms;
constexpr Duration TickInterval = 50ms;
constexpr Duration FaultDuration = 30s;
constexpr Duration ConvergenceTimeout = 90s;
constexpr std::size_t VoterCount = 5;
constexpr std::size_t VmCount = 7;
constexpr SnapshotPolicy Snapshots{.intervalEntries = 40, .keptEntries = 10};

VmName vmName(std::size_t number)
{
    return VmName{"vm-" + std::to_string(number)};
}

template<typename Order>
class Simulation
{
public:
    Simulation(std::uint64_t seed, InjectedFault injectedFault, FaultProfile faultProfile)
        : m_random(seed)
        , m_injectedFault(injectedFault)
        , m_faultProfile(faultProfile)
        , m_network(m_random)
    {
        v1::Membership first;
        for (std::size_t i = 0; i < VoterCount; ++i) {
            first.add_voters(vmName(i).value);
        }
        for (std::size_t i = 0; i < VmCount; ++i) {
            auto node = std::make_unique<Node>();
            node->name = vmName(i);
            node->disk.random = &m_random.generator();
            node->clockOffset = Duration(static_cast<Duration::rep>(m_random.below(100'000'000)));
            node->clockRate = 960 + static_cast<Duration::rep>(m_random.below(81));
            resetFolder(*node, i < VoterCount ? first : v1::Membership{}, i < VoterCount);
            m_nodes.push_back(std::move(node));
        }
        for (const auto &node : m_nodes) {
            start(*node);
        }
    }

    SimulationResult run()
    {
        try {
            runFaults();
            heal();
            runUntilConverged();
            m_result.acknowledged = m_checks.checkAll();
            m_result.reads = m_checks.reads();
        } catch (const CheckFailed &failed) {
            m_result.failedCheck = failed.what();
        }
        m_result.leaders = m_checks.leaders();
        return m_result;
    }

private:
    struct Node
    {
        VmName name;
        SimulatedDisk disk;
        SimulatedTransport transport;
        SimulatedState state;
        std::unique_ptr<Replica<SimulatedDisk, SimulatedTransport, SimulatedState, Order>> replica;
        std::unique_ptr<MembershipRepair> membershipRepair;
        Duration clockOffset{};
        /// Clock rate in thousandths of real time.
        Duration::rep clockRate = 1000;
        TimePoint nextTick;
        TimePoint startAt;
        TimePoint crashAt = TimePoint::max();
        Duration downTime{};
        TimePoint lastLeaderSeenAt;
        /// Term and number of this node's own proposals by index; acknowledged when they are applied.
        std::map<Index, std::pair<Term, std::size_t>> proposed;
    };

    static TimePoint localTime(const Node &node, TimePoint now)
    {
        return TimePoint(node.clockOffset + now.time_since_epoch() * node.clockRate / 1000);
    }

    void resetFolder(Node &node, const v1::Membership &membership, bool admitted)
    {
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->membership = membership;
        node.disk.content = Recovered{.identity = {.incarnation = m_random.generator()() | 1U, .admitted = admitted}, .vote = {}, .snapshot = snapshot};
    }

    void start(Node &node)
    {
        Recovered &content = node.disk.content;
        const bool covered = content.snapshot->index <= content.baseIndex + content.entries.size();
        const bool agrees = covered
            && (content.snapshot->index <= content.baseIndex
                || content.entries[content.snapshot->index - content.baseIndex - 1]->term() == content.snapshot->term);
        if (!agrees) {
            content.entries.clear();
            content.baseIndex = content.snapshot->index;
            content.baseTerm = content.snapshot->term;
        }
        if (m_injectedFault == InjectedFault::VoteLost) {
            content.vote.votedFor = {};
        }
        node.disk.crashInNextSync = false;
        node.transport.deliver = [this](v1::RaftMessage &&message) { post(std::move(message)); };
        node.state = SimulatedState{};
        node.state.applied = [this, &node](const v1::LogEntry &entry, std::uint64_t sum) { applied(node, entry, sum); };
        node.state.installed = [this](Index index, std::uint64_t sum) { installed(index, sum); };
        const CoreOptions options{.self = node.name, .maxBatchBytes = 64, .maxInFlightAppends = 4, .maxChunkBytes = 24, .maxPromotionLag = 8};
        node.replica = std::make_unique<Replica<SimulatedDisk, SimulatedTransport, SimulatedState, Order>>(
            options, content, m_random.generator()(), perceivedStartTime(node), Snapshots, node.disk, node.transport, node.state);
        node.membershipRepair
            = std::make_unique<MembershipRepair>(MembershipRepairOptions{.targetVoters = VoterCount, .memberTimeout = 4s, .offerTimeout = 3s});
        node.nextTick = m_now;
        node.lastLeaderSeenAt = m_now;
    }

    TimePoint perceivedStartTime(const Node &node) const
    {
        const TimePoint now = localTime(node, m_now);
        return m_injectedFault == InjectedFault::VoteLost || m_injectedFault == InjectedFault::PromiseLost ? now - 10s : now;
    }

    void crash(Node &node, Duration downTime)
    {
        node.replica.reset();
        node.proposed.clear();
        node.crashAt = TimePoint::max();
        node.startAt = m_now + downTime;
    }

    /// Returns a random time, often so short that messages from before the crash are still in flight.
    Duration randomDownTime()
    {
        return Duration(static_cast<Duration::rep>(m_random.below(m_random.chance(500) ? 20'000 : 3'000'000)));
    }

    void flush(Node &node)
    {
        if (!ok(node.replica->flush(localTime(node, m_now)))) {
            crash(node, randomDownTime());
            return;
        }
        m_checks.recordLeader(node.name, node.replica->core());
    }

    /// Schedules crashes right after votes. On a slow network several replicas request votes at once, and a voter can restart before the
    /// other requests arrive.
    void crashAfterVote(const v1::RaftMessage &message)
    {
        if (message.kind() != v1::RaftMessage::VOTE_REPLY || !message.granted() || !m_network.isSlow() || !m_random.chance(400)) {
            return;
        }
        Node &voter = nodeOf(message.from());
        voter.crashAt = m_now + StepInterval;
        voter.downTime = StepInterval;
    }

    void post(v1::RaftMessage &&message)
    {
        crashAfterVote(message);
        m_network.post(message, m_now);
    }

    Node &nodeOf(const std::string &name)
    {
        return *m_nodes[std::stoul(name.substr(3))];
    }

    void deliverArrived()
    {
        std::set<Node *> steppedNodes;
        while (const std::optional<v1::RaftMessage> message = m_network.nextArrived(m_now)) {
            Node &to = nodeOf(message->to());
            if (!to.replica) {
                continue;
            }
            to.replica->core().step(*message, localTime(to, m_now));
            steppedNodes.insert(&to);
        }
        // Ordered by VM, not by memory address, so that the same seed gives the same history.
        for (const auto &node : m_nodes) {
            if (steppedNodes.contains(node.get()) && node->replica) {
                flush(*node);
            }
        }
    }

    void tick(Node &node)
    {
        node.nextTick = m_now + TickInterval;
        const TimePoint now = localTime(node, m_now);
        node.replica->core().tick(now);
        if (node.replica->core().leader()) {
            node.lastLeaderSeenAt = m_now;
        } else if (m_now - node.lastLeaderSeenAt > 2s) {
            offer(node);
        }
        if (const auto change = node.membershipRepair->nextChange(node.replica->core(), now)) {
            m_result.membershipChanges += ok(node.replica->core().changeMembership(*change, now)) ? 1 : 0;
        }
        flush(node);
    }

    /// Models the offers that the daemon sends to all VMs.
    void offer(const Node &node)
    {
        for (const auto &other : m_nodes) {
            if (other->replica && !m_network.isBlocked(node.name, other->name)) {
                other->membershipRepair->recordOffer(node.name, node.disk.content.identity.incarnation, localTime(*other, m_now));
            }
        }
    }

    void step()
    {
        m_now += StepInterval;
        deliverArrived();
        for (const auto &node : m_nodes) {
            if (!node->replica && m_now >= node->startAt) {
                start(*node);
            }
            if (node->replica && m_now >= node->crashAt) {
                crash(*node, node->downTime);
            }
            if (node->replica && m_now >= node->nextTick) {
                tick(*node);
            }
        }
    }

    void clientStep()
    {
        Node &node = *m_nodes[m_random.below(m_nodes.size())];
        if (!node.replica || node.replica->core().role() != Core::Role::Leader) {
            return;
        }
        const TimePoint now = localTime(node, m_now);
        if (m_random.chance(400)) {
            if (node.replica->isReadable(now)) {
                m_checks.recordRead(node.replica->appliedIndex(), m_now);
            }
            return;
        }
        const std::string command = "command-" + std::to_string(m_checks.appends());
        const auto index = node.replica->core().propose(command);
        if (!index) {
            return;
        }
        node.proposed[*index] = {node.replica->core().term(), m_checks.recordInvoked(command, m_now)};
        if (m_random.chance(500)) {
            flush(node);
        }
    }

    void applied(Node &node, const v1::LogEntry &entry, std::uint64_t sum)
    {
        m_checks.recordApplied(entry, sum);
        const auto proposal = node.proposed.find(entry.index());
        if (proposal == node.proposed.end()) {
            return;
        }
        if (proposal->second.first == entry.term()) {
            m_checks.recordAcknowledged(proposal->second.second, m_now);
        }
        node.proposed.erase(proposal);
    }

    void installed(Index index, std::uint64_t sum)
    {
        ++m_result.installs;
        m_checks.checkState(index, sum);
    }

    void injectFault()
    {
        if (m_faultProfile == FaultProfile::SimultaneousRestarts && m_random.chance(400)) {
            restartSimultaneously();
            return;
        }
        Node &node = *m_nodes[m_random.below(m_nodes.size())];
        const std::uint64_t kind = m_random.below(20);
        if (kind < 4 && node.replica) {
            crash(node, randomDownTime());
        } else if (kind < 8) {
            node.disk.crashInNextSync = node.replica != nullptr;
        } else if (kind < 10) {
            m_network.isolate(node.name, vmNames(), true, true);
        } else if (kind < 12) {
            isolatePartly(node);
        } else if (kind < 14) {
            m_network.partition(vmNames());
        } else if (kind < 16) {
            wipe(node);
        } else if (kind < 17 && node.replica && allRunning()) {
            crash(node, 8s);
        } else if (kind < 19) {
            transferLeadership();
        } else {
            powerFailure();
        }
    }

    /// Restarts all replicas at once, or all but one, which is partitioned: if that one leads, it serves reads under the promises that the
    /// others made before they restarted.
    void restartSimultaneously()
    {
        const bool allRestart = m_random.chance(400);
        const bool sparesLeader = m_random.chance(700);
        const Node *spared = allRestart ? nullptr : m_nodes[m_random.below(m_nodes.size())].get();
        for (const auto &node : m_nodes) {
            const bool leads = node->replica && node->replica->core().role() == Core::Role::Leader;
            spared = spared && sparesLeader && leads ? node.get() : spared;
        }
        for (const auto &node : m_nodes) {
            if (node.get() != spared) {
                crash(*node, Duration(static_cast<Duration::rep>(m_random.below(300'000))));
            }
        }
        if (spared) {
            m_network.isolate(spared->name, vmNames(), true, true);
        }
    }

    /// Crashes all replicas but the leader in their next sync; the leader crashes a moment later and stays down longer. Everything it
    /// acknowledged meanwhile must be on the other replicas' disks.
    void powerFailure()
    {
        for (const auto &node : m_nodes) {
            if (!node->replica) {
                continue;
            }
            const bool leads = node->replica->core().role() == Core::Role::Leader;
            node->disk.crashInNextSync = !leads;
            if (leads) {
                node->crashAt = m_now + Duration(static_cast<Duration::rep>(m_random.below(100'000)));
                node->downTime = 4s;
            }
        }
    }

    void isolatePartly(const Node &node)
    {
        // Separate statements, since the compiler may evaluate arguments in any order and the history must not depend on it.
        const bool out = m_random.chance(500);
        const bool in = m_random.chance(500);
        m_network.isolate(node.name, vmNames(), in, out);
    }

    std::vector<VmName> vmNames() const
    {
        std::vector<VmName> vmNames;
        for (const auto &node : m_nodes) {
            vmNames.push_back(node->name);
        }
        return vmNames;
    }

    bool allRunning() const
    {
        return std::ranges::all_of(m_nodes, [](const auto &node) { return node->replica != nullptr; });
    }

    /// Wipes a data folder, but only while no other voter waits to be admitted, since each wiped voter takes a vote away. Often the network
    /// is partitioned at the same time: if the empty replica voted, the side that lacks the entries it had acknowledged could win.
    void wipe(Node &node)
    {
        const bool isVoterMissing
            = std::ranges::any_of(m_nodes, [this](const auto &other) { return !other->disk.content.identity.admitted && isKnownVoter(other->name.value); });
        if (isVoterMissing || !allRunning()) {
            return;
        }
        if (m_random.chance(500)) {
            m_network.partition(vmNames());
        }
        resetFolder(node, v1::Membership{}, m_injectedFault == InjectedFault::WipedReplicaVotes);
        crash(node, randomDownTime());
    }

    bool isKnownVoter(const std::string &voter) const
    {
        return std::ranges::any_of(
            m_nodes, [&voter](const auto &node) { return node->replica && std::ranges::count(node->replica->core().membership().voters(), voter) > 0; });
    }

    void transferLeadership()
    {
        for (const auto &node : m_nodes) {
            if (node->replica && node->replica->core().role() == Core::Role::Leader) {
                if (const auto successor = node->replica->core().bestSuccessor()) {
                    node->replica->core().transferLeadership(*successor, localTime(*node, m_now));
                    flush(*node);
                    return;
                }
            }
        }
    }

    void runFaults()
    {
        m_network.setFaulty(true);
        TimePoint nextFault = m_now + 2s;
        while (m_now < TimePoint(FaultDuration)) {
            step();
            if (m_now >= nextFault) {
                nextFault = m_now + Duration(static_cast<Duration::rep>(m_random.below(1'500'000)));
                m_network.changeConditions();
                injectFault();
            }
            if (m_random.chance(100)) {
                clientStep();
            }
        }
    }

    void heal()
    {
        m_network.setFaulty(false);
        for (const auto &node : m_nodes) {
            node->disk.crashInNextSync = false;
            node->startAt = std::min(node->startAt, m_now);
        }
    }

    /// A command proposed after the network healed must reach every voter.
    void runUntilConverged()
    {
        const TimePoint end = m_now + ConvergenceTimeout;
        TimePoint next = m_now;
        while (m_now < end) {
            step();
            if (m_now < next) {
                continue;
            }
            next = m_now + 200ms;
            clientStep();
            if (hasConverged()) {
                return;
            }
        }
        throw CheckFailed("no agreement after the network healed: " + describe());
    }

    /// Describes the state of all nodes, for the analysis of a failed seed.
    std::string describe() const
    {
        std::string text;
        for (const auto &node : m_nodes) {
            text += "\n" + node->name.value;
            if (!node->replica) {
                text += " down";
                continue;
            }
            const Core &core = node->replica->core();
            text += " role " + std::to_string(static_cast<int>(core.role())) + " term " + std::to_string(core.term()) + " last "
                + std::to_string(core.log().lastIndex()) + "/" + std::to_string(core.log().lastTerm()) + " commit " + std::to_string(core.commitIndex())
                + (core.identity().admitted ? " admitted" : "") + " members " + core.membership().ShortDebugString();
            for (const auto &[member, progress] : core.progress()) {
                text += "; " + member.value + " state " + std::to_string(static_cast<int>(progress.state)) + " match " + std::to_string(progress.matchIndex);
            }
        }
        return text;
    }

    bool hasConverged()
    {
        for (const auto &node : m_nodes) {
            if (!node->replica || !node->replica->isReadable(localTime(*node, m_now)) || !m_checks.isLastAcknowledged()) {
                continue;
            }
            const Core &core = node->replica->core();
            return core.membership().voters_size() == static_cast<int>(VoterCount)
                && std::ranges::all_of(core.membership().voters(), [&](const std::string &voter) {
                       const Node &other = nodeOf(voter);
                       return other.replica && other.replica->appliedIndex() == node->replica->appliedIndex() && other.disk.content.identity.admitted;
                   });
        }
        return false;
    }

    SeededRandom m_random;
    const InjectedFault m_injectedFault;
    const FaultProfile m_faultProfile;
    TimePoint m_now{};
    SimulatedNetwork m_network;
    std::vector<std::unique_ptr<Node>> m_nodes;
    SimulationChecks m_checks;
    SimulationResult m_result;
};

}

template<typename Order>
SimulationResult simulate(std::uint64_t seed, InjectedFault injectedFault, FaultProfile faultProfile)
{
    return Simulation<Order>(seed, injectedFault, faultProfile).run();
}

template SimulationResult simulate<SyncThenSend>(std::uint64_t seed, InjectedFault injectedFault, FaultProfile faultProfile);
template SimulationResult simulate<SendThenSync>(std::uint64_t seed, InjectedFault injectedFault, FaultProfile faultProfile);

}
