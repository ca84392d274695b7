#include "raft/simulation.h"

#include "raft/history.h"

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
constexpr std::uint64_t FastDelay = 4'000;
constexpr std::uint64_t SlowDelay = 300'000;
constexpr std::size_t Voters = 5;
constexpr std::size_t Vms = 7;
constexpr SnapshotPolicy Snapshots{.every = 40, .keep = 10};

VmName vmName(std::size_t number)
{
    return VmName{"vm-" + std::to_string(number)};
}

}

namespace
{

struct InFlight
{
    TimePoint at;
    std::uint64_t sequence;
    v1::RaftMessage message;

    bool operator>(const InFlight &other) const
    {
        return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
};

template<typename Order>
class Simulation
{
public:
    Simulation(std::uint64_t seed, Planted planted)
        : m_random(seed)
        , m_planted(planted)
    {
        v1::Membership first;
        for (std::size_t i = 0; i < Voters; ++i) {
            first.add_voters(vmName(i).value);
        }
        for (std::size_t i = 0; i < Vms; ++i) {
            auto node = std::make_unique<Node>();
            node->name = vmName(i);
            node->disk.random = &m_random;
            node->clockOffset = Duration(static_cast<Duration::rep>(below(100'000'000)));
            node->clockRate = 960 + static_cast<Duration::rep>(below(81));
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
            m_result.acknowledged = checkHistory(m_commands, m_appends, m_reads);
            m_result.reads = m_reads.size();
        } catch (const CheckFailed &failed) {
            m_result.fault = failed.what();
        }
        m_result.leaders = m_leaders.size();
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

    std::uint64_t below(std::uint64_t limit)
    {
        return m_random() % limit;
    }
    bool chance(std::uint64_t inThousand)
    {
        return below(1000) < inThousand;
    }
    static TimePoint localTime(const Node &node, TimePoint now)
    {
        return TimePoint(node.clockOffset + now.time_since_epoch() * node.clockRate / 1000);
    }

    void newFolder(Node &node, const v1::Membership &membership, bool admitted)
    {
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->membership = membership;
        node.disk.content = Recovered{.identity = {.incarnation = m_random() | 1U, .admitted = admitted}, .vote = {}, .snapshot = snapshot};
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
            options, content, m_random(), bootTime(node), Snapshots, node.disk, node.transport, node.state);
        node.repair = std::make_unique<Repair>(RepairOptions{.voters = Voters, .lostAfter = 4s, .offerHolds = 3s});
        node.nextTick = m_now;
        node.heardLeader = m_now;
    }

    TimePoint bootTime(const Node &node) const
    {
        const TimePoint now = localTime(node, m_now);
        return m_planted == Planted::ForgetVote ? now - 10s : now;
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
        return Duration(static_cast<Duration::rep>(below(chance(500) ? 20'000 : 3'000'000)));
    }

    void flush(Node &node)
    {
        if (!ok(node.replica->flush(localTime(node, m_now)))) {
            crash(node, downTime());
            return;
        }
        noteLeader(node);
    }

    void noteLeader(const Node &node)
    {
        const Core &core = node.replica->core();
        if (core.role() != Core::Role::Leader) {
            return;
        }
        const auto [known, fresh] = m_leaders.emplace(core.term(), node.name);
        if (known->second != node.name) {
            throw CheckFailed("two leaders in term " + std::to_string(core.term()) + ": " + known->second.value + " and " + node.name.value);
        }
    }

    /// In slow times several replicas ask for votes at once, and some that voted restart before the other requests come.
    void crashAfterVote(const v1::RaftMessage &message)
    {
        if (message.kind() != v1::RaftMessage::VOTE_REPLY || !message.granted() || m_delay == FastDelay || !chance(400)) {
            return;
        }
        Node &voter = nodeOf(message.from());
        voter.crashAt = m_now + Step;
        voter.downFor = Step;
    }

    void post(v1::RaftMessage &&message)
    {
        crashAfterVote(message);
        const int copies = m_faulty && chance(20) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (m_faulty && chance(m_lossInThousand)) {
                continue;
            }
            const std::uint64_t late = !m_faulty || chance(960) ? m_delay : chance(700) ? 400'000 : 3'000'000;
            m_network.push(InFlight{.at = m_now + Duration(static_cast<Duration::rep>(500 + below(late))), .sequence = ++m_sequence, .message = message});
        }
    }

    Node &nodeOf(const std::string &name)
    {
        return *m_nodes[std::stoul(name.substr(3))];
    }

    void deliverDue()
    {
        std::set<Node *> touched;
        while (!m_network.empty() && m_network.top().at <= m_now) {
            const v1::RaftMessage message = m_network.top().message;
            m_network.pop();
            Node &to = nodeOf(message.to());
            if (!to.replica || m_blocked.contains({message.from(), message.to()})) {
                continue;
            }
            to.replica->core().step(message, localTime(to, m_now));
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
            if (other->replica && !m_blocked.contains({node.name.value, other->name.value})) {
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
        Node &node = *m_nodes[below(m_nodes.size())];
        if (!node.replica || node.replica->core().role() != Core::Role::Leader) {
            return;
        }
        const TimePoint now = localTime(node, m_now);
        if (chance(400)) {
            if (node.replica->readable(now)) {
                m_reads.push_back(ClientRead{.at = m_now, .index = node.replica->applied()});
            }
            return;
        }
        const std::size_t id = m_appends.size();
        const std::string command = "command-" + std::to_string(id);
        const auto index = node.replica->core().propose(command);
        if (!index) {
            return;
        }
        m_appends.push_back(ClientAppend{.command = command, .invoked = m_now, .acknowledged = {}});
        node.proposed[*index] = {node.replica->core().term(), id};
        if (chance(500)) {
            flush(node);
        }
    }

    void applied(Node &node, const v1::LogEntry &entry, std::uint64_t sum)
    {
        checkSum(entry.index(), sum);
        m_commands.emplace(entry.index(), entry.command());
        const auto mine = node.proposed.find(entry.index());
        if (mine == node.proposed.end()) {
            return;
        }
        if (mine->second.first == entry.term()) {
            m_appends[mine->second.second].acknowledged = m_now;
        }
        node.proposed.erase(mine);
    }

    void installed(Index index, std::uint64_t sum)
    {
        ++m_result.installs;
        checkSum(index, sum);
    }

    /// Every replica that applied up to an index must hold the same state there.
    void checkSum(Index index, std::uint64_t sum)
    {
        if (m_sums.emplace(index, sum).first->second != sum) {
            throw CheckFailed("replicas differ at index " + std::to_string(index));
        }
    }

    void fault()
    {
        Node &node = *m_nodes[below(m_nodes.size())];
        const std::uint64_t kind = below(20);
        if (kind < 4 && node.replica) {
            crash(node, downTime());
        } else if (kind < 8) {
            node.disk.crashInNextSync = node.replica != nullptr;
        } else if (kind < 10) {
            cutOff(node, true, true);
        } else if (kind < 12) {
            cutOff(node, chance(500), chance(500));
        } else if (kind < 14) {
            split();
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
                node->crashAt = m_now + Duration(static_cast<Duration::rep>(below(100'000)));
                node->downFor = 4s;
            }
        }
    }

    void cutOff(const Node &node, bool in, bool out)
    {
        for (const auto &other : m_nodes) {
            if (out) {
                m_blocked.insert({node.name.value, other->name.value});
            }
            if (in) {
                m_blocked.insert({other->name.value, node.name.value});
            }
        }
    }

    void split()
    {
        const std::uint64_t sides = m_random();
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            for (std::size_t j = 0; j < m_nodes.size(); ++j) {
                if (((sides >> i) & 1U) != ((sides >> j) & 1U)) {
                    m_blocked.insert({vmName(i).value, vmName(j).value});
                }
            }
        }
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
        if (chance(500)) {
            split();
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
        m_faulty = true;
        TimePoint nextFault = m_now + 2s;
        while (m_now < TimePoint(FaultyPart)) {
            step();
            if (m_now >= nextFault) {
                nextFault = m_now + Duration(static_cast<Duration::rep>(below(1'500'000)));
                m_lossInThousand = chance(300) ? 100 : 5;
                m_delay = chance(200) ? SlowDelay : FastDelay;
                if (chance(400)) {
                    m_blocked.clear();
                }
                fault();
            }
            if (chance(100)) {
                clientStep();
            }
        }
    }

    void heal()
    {
        m_faulty = false;
        m_delay = FastDelay;
        m_blocked.clear();
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
            if (!node->replica || !node->replica->readable(localTime(*node, m_now)) || m_appends.empty() || !m_appends.back().acknowledged) {
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

    std::mt19937_64 m_random;
    const Planted m_planted;
    TimePoint m_now{};
    bool m_faulty = false;
    std::uint64_t m_lossInThousand = 5;
    /// Microseconds.
    std::uint64_t m_delay = FastDelay;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::priority_queue<InFlight, std::vector<InFlight>, std::greater<>> m_network;
    std::uint64_t m_sequence = 0;
    std::set<std::pair<std::string, std::string>> m_blocked;
    std::map<Term, VmName> m_leaders;
    std::map<Index, std::uint64_t> m_sums;
    std::map<Index, std::string> m_commands;
    std::vector<ClientAppend> m_appends;
    std::vector<ClientRead> m_reads;
    SimulationResult m_result;
};

}

template<typename Order>
SimulationResult simulate(std::uint64_t seed, Planted planted)
{
    return Simulation<Order>(seed, planted).run();
}

template SimulationResult simulate<SyncThenPromise>(std::uint64_t seed, Planted planted);
template SimulationResult simulate<PromiseThenSync>(std::uint64_t seed, Planted planted);

}
