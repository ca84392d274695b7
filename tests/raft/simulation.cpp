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

constexpr Duration Step = 1ms;
constexpr Duration TickInterval = 50ms;
constexpr Duration FaultyPart = 30s;
constexpr Duration HealedPart = 90s;
constexpr std::size_t Voters = 5;
constexpr std::size_t Vms = 7;
constexpr SnapshotPolicy Snapshots{.every = 40, .keep = 10};

VmName vmName(std::size_t number)
{
    return VmName{"vm-" + std::to_string(number)};
}

template<typename Order>
class Simulation
{
public:
    Simulation(std::uint64_t seed, Planted planted, Faults faults)
        : m_random(seed)
        , m_planted(planted)
        , m_faults(faults)
        , m_network(m_random)
    {
        v1::Membership first;
        for (std::size_t i = 0; i < Voters; ++i) {
            first.add_voters(vmName(i).value);
        }
        for (std::size_t i = 0; i < Vms; ++i) {
            auto node = std::make_unique<Node>();
            node->name = vmName(i);
            node->disk.random = &m_random.generator();
            node->clockOffset = Duration(static_cast<Duration::rep>(m_random.below(100'000'000)));
            node->clockRate = 960 + static_cast<Duration::rep>(m_random.below(81));
            newFolder(*node, i < Voters ? first : v1::Membership{}, i < Voters);
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
            m_result.fault = failed.what();
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
        std::unique_ptr<Repair> repair;
        Duration clockOffset{};
        /// Thousandths of real time.
        Duration::rep clockRate = 1000;
        TimePoint nextTick;
        TimePoint startAt;
        TimePoint crashAt = TimePoint::max();
        Duration downFor{};
        TimePoint heardLeader;
        /// Its own proposals by index, to acknowledge when they are applied.
        std::map<Index, std::pair<Term, std::size_t>> proposed;
    };

    static TimePoint localTime(const Node &node, TimePoint now)
    {
        return TimePoint(node.clockOffset + now.time_since_epoch() * node.clockRate / 1000);
    }

    void newFolder(Node &node, const v1::Membership &membership, bool admitted)
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
        if (m_planted == Planted::ForgetVote) {
            content.vote.votedFor = {};
        }
        node.disk.crashInNextSync = false;
        node.transport.deliver = [this](v1::RaftMessage &&message) { post(std::move(message)); };
        node.state = SimulatedState{};
        node.state.applied = [this, &node](const v1::LogEntry &entry, std::uint64_t sum) { applied(node, entry, sum); };
        node.state.installed = [this](Index index, std::uint64_t sum) { installed(index, sum); };
        const CoreOptions options{.self = node.name, .maxBatchBytes = 64, .maxInFlight = 4, .chunkBytes = 24, .maxPromotionLag = 8};
        node.replica = std::make_unique<Replica<SimulatedDisk, SimulatedTransport, SimulatedState, Order>>(
            options, content, m_random.generator()(), bootTime(node), Snapshots, node.disk, node.transport, node.state);
        node.repair = std::make_unique<Repair>(RepairOptions{.voters = Voters, .lostAfter = 4s, .offerHolds = 3s});
        node.nextTick = m_now;
        node.heardLeader = m_now;
    }

    TimePoint bootTime(const Node &node) const
    {
        const TimePoint now = localTime(node, m_now);
        return m_planted == Planted::ForgetVote || m_planted == Planted::ForgetPromise ? now - 10s : now;
    }

    void crash(Node &node, Duration downFor)
    {
        node.replica.reset();
        node.proposed.clear();
        node.crashAt = TimePoint::max();
        node.startAt = m_now + downFor;
    }

    /// Often so short that messages from before the crash are still on their way.
    Duration downTime()
    {
        return Duration(static_cast<Duration::rep>(m_random.below(m_random.chance(500) ? 20'000 : 3'000'000)));
    }

    void flush(Node &node)
    {
        if (!ok(node.replica->flush(localTime(node, m_now)))) {
            crash(node, downTime());
            return;
        }
        m_checks.leads(node.name, node.replica->core());
    }

    /// In slow times several replicas ask for votes at once, and some that voted restart before the other requests come.
    void crashAfterVote(const v1::RaftMessage &message)
    {
        if (message.kind() != v1::RaftMessage::VOTE_REPLY || !message.granted() || !m_network.isSlow() || !m_random.chance(400)) {
            return;
        }
        Node &voter = nodeOf(message.from());
        voter.crashAt = m_now + Step;
        voter.downFor = Step;
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

    void deliverDue()
    {
        std::set<Node *> touched;
        while (const std::optional<v1::RaftMessage> message = m_network.arrived(m_now)) {
            Node &to = nodeOf(message->to());
            if (!to.replica) {
                continue;
            }
            to.replica->core().step(*message, localTime(to, m_now));
            touched.insert(&to);
        }
        // In the order of the VMs, not of their addresses in memory: the same seed gives the same history.
        for (const auto &node : m_nodes) {
            if (touched.contains(node.get()) && node->replica) {
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
            node.heardLeader = m_now;
        } else if (m_now - node.heardLeader > 2s) {
            offer(node);
        }
        if (const auto change = node.repair->next(node.replica->core(), now)) {
            m_result.membershipChanges += ok(node.replica->core().changeMembership(*change, now)) ? 1 : 0;
        }
        flush(node);
    }

    /// Stands for the offers that the daemon sends to all VMs.
    void offer(const Node &node)
    {
        for (const auto &other : m_nodes) {
            if (other->replica && !m_network.isBlocked(node.name, other->name)) {
                other->repair->offered(node.name, node.disk.content.identity.incarnation, localTime(*other, m_now));
            }
        }
    }

    void step()
    {
        m_now += Step;
        deliverDue();
        for (const auto &node : m_nodes) {
            if (!node->replica && m_now >= node->startAt) {
                start(*node);
            }
            if (node->replica && m_now >= node->crashAt) {
                crash(*node, node->downFor);
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
            if (node.replica->readable(now)) {
                m_checks.read(node.replica->applied(), m_now);
            }
            return;
        }
        const std::string command = "command-" + std::to_string(m_checks.appends());
        const auto index = node.replica->core().propose(command);
        if (!index) {
            return;
        }
        node.proposed[*index] = {node.replica->core().term(), m_checks.invoked(command, m_now)};
        if (m_random.chance(500)) {
            flush(node);
        }
    }

    void applied(Node &node, const v1::LogEntry &entry, std::uint64_t sum)
    {
        m_checks.applied(entry, sum);
        const auto mine = node.proposed.find(entry.index());
        if (mine == node.proposed.end()) {
            return;
        }
        if (mine->second.first == entry.term()) {
            m_checks.acknowledged(mine->second.second, m_now);
        }
        node.proposed.erase(mine);
    }

    void installed(Index index, std::uint64_t sum)
    {
        ++m_result.installs;
        m_checks.holds(index, sum);
    }

    void fault()
    {
        if (m_faults == Faults::CommonRestarts && m_random.chance(400)) {
            commonRestart();
            return;
        }
        Node &node = *m_nodes[m_random.below(m_nodes.size())];
        const std::uint64_t kind = m_random.below(20);
        if (kind < 4 && node.replica) {
            crash(node, downTime());
        } else if (kind < 8) {
            node.disk.crashInNextSync = node.replica != nullptr;
        } else if (kind < 10) {
            m_network.cutOff(node.name, names(), true, true);
        } else if (kind < 12) {
            cutOffPartly(node);
        } else if (kind < 14) {
            m_network.split(names());
        } else if (kind < 16) {
            wipe(node);
        } else if (kind < 17 && node.replica && allUp()) {
            crash(node, 8s);
        } else if (kind < 19) {
            transfer();
        } else {
            powerFailure();
        }
    }

    /// All restart at once, or all but one, which is cut off: if it leads, it reads under what the others promised before they restarted.
    void commonRestart()
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
            m_network.cutOff(spared->name, names(), true, true);
        }
    }

    /// All but the leader fail in their next sync; the leader a moment later, and it stays away longer. What it acknowledged
    /// meanwhile must be on the others' disks.
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
                node->downFor = 4s;
            }
        }
    }

    void cutOffPartly(const Node &node)
    {
        // The compiler may evaluate arguments in any order; the history may not depend on it.
        const bool out = m_random.chance(500);
        const bool in = m_random.chance(500);
        m_network.cutOff(node.name, names(), in, out);
    }

    std::vector<VmName> names() const
    {
        std::vector<VmName> names;
        for (const auto &node : m_nodes) {
            names.push_back(node->name);
        }
        return names;
    }

    bool allUp() const
    {
        return std::ranges::all_of(m_nodes, [](const auto &node) { return node->replica != nullptr; });
    }

    /// The data folder is lost; only while no other voter waits to be admitted, since each one takes a vote away. Often the network splits
    /// just then: if the empty replica voted, the side that lacks what it had acknowledged could win.
    void wipe(Node &node)
    {
        const bool repairing
            = std::ranges::any_of(m_nodes, [this](const auto &other) { return !other->disk.content.identity.admitted && somebodyCountsOn(other->name.value); });
        if (repairing || !allUp()) {
            return;
        }
        if (m_random.chance(500)) {
            m_network.split(names());
        }
        newFolder(node, v1::Membership{}, m_planted == Planted::WipeKeepsVoting);
        crash(node, downTime());
    }

    bool somebodyCountsOn(const std::string &voter) const
    {
        return std::ranges::any_of(
            m_nodes, [&voter](const auto &node) { return node->replica && std::ranges::count(node->replica->core().membership().voters(), voter) > 0; });
    }

    void transfer()
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
        while (m_now < TimePoint(FaultyPart)) {
            step();
            if (m_now >= nextFault) {
                nextFault = m_now + Duration(static_cast<Duration::rep>(m_random.below(1'500'000)));
                m_network.turn();
                fault();
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

    /// A command proposed after the healing must reach every voter.
    void runUntilConverged()
    {
        const TimePoint end = m_now + HealedPart;
        TimePoint next = m_now;
        while (m_now < end) {
            step();
            if (m_now < next) {
                continue;
            }
            next = m_now + 200ms;
            clientStep();
            if (converged()) {
                return;
            }
        }
        throw CheckFailed("no agreement after the network healed: " + describe());
    }

    /// What stands still, for the reader of a failed seed.
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
                + std::to_string(core.log().last()) + "/" + std::to_string(core.log().lastTerm()) + " commit " + std::to_string(core.commit())
                + (core.identity().admitted ? " admitted" : "") + " members " + core.membership().ShortDebugString();
            for (const auto &[member, progress] : core.progress()) {
                text += "; " + member.value + " state " + std::to_string(static_cast<int>(progress.state)) + " match " + std::to_string(progress.match);
            }
        }
        return text;
    }

    bool converged()
    {
        for (const auto &node : m_nodes) {
            if (!node->replica || !node->replica->readable(localTime(*node, m_now)) || !m_checks.lastIsAcknowledged()) {
                continue;
            }
            const Core &core = node->replica->core();
            return core.membership().voters_size() == static_cast<int>(Voters)
                && std::ranges::all_of(core.membership().voters(), [&](const std::string &voter) {
                       const Node &other = nodeOf(voter);
                       return other.replica && other.replica->applied() == node->replica->applied() && other.disk.content.identity.admitted;
                   });
        }
        return false;
    }

    SeededRandom m_random;
    const Planted m_planted;
    const Faults m_faults;
    TimePoint m_now{};
    SimulatedNetwork m_network;
    std::vector<std::unique_ptr<Node>> m_nodes;
    SimulationChecks m_checks;
    SimulationResult m_result;
};

}

template<typename Order>
SimulationResult simulate(std::uint64_t seed, Planted planted, Faults faults)
{
    return Simulation<Order>(seed, planted, faults).run();
}

template SimulationResult simulate<SyncThenPromise>(std::uint64_t seed, Planted planted, Faults faults);
template SimulationResult simulate<PromiseThenSync>(std::uint64_t seed, Planted planted, Faults faults);

}
