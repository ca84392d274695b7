#include "raft/recoverysimulation.h"

#include "control/leaderdiscovery.h"
#include "raft/simulatednetwork.h"
#include "raft/simulation.h"
#include "raft/simulationchecks.h"
#include "raft/standbyoffers.h"

#include "peer.pb.h"

#include <algorithm>

namespace cumindyke::raft::test
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration StepInterval = 2ms;
constexpr Duration TickInterval = 50ms;
constexpr Duration LeaseLength = 2s;
/// The stated aim: every living VM knows the leader this long after the last fault.
constexpr Duration RecoveryLimit = 5s;
constexpr std::size_t SeedCount = 3;
constexpr std::size_t WantedVoters = 7;
constexpr std::size_t MaxLostAtOnce = 2;
constexpr std::size_t EdgeCount = 4;
constexpr Duration ElectionTimeout = 500ms;
constexpr Duration ReplacementTimeout = 1500ms;
constexpr SnapshotPolicy Snapshots{.intervalEntries = 40, .keptEntries = 10};

class RecoverySimulation
{
public:
    explicit RecoverySimulation(std::uint64_t seed)
        : m_random(seed)
    {
        // With more machines that stand by, lost seeds seldom become voters again.
        const std::size_t cores = 9 + m_random.below(6) + (m_targetsSeeds ? 4 : 0);
        v1::Membership first;
        for (std::size_t i = 0; i < cores; ++i) {
            m_nodes.push_back(makeNode(true));
            if (i < SeedCount) {
                m_seeds.push_back(m_nodes.back()->name);
                first.add_voters(m_seeds.back().value);
            }
        }
        for (std::size_t i = 0; i < cores; ++i) {
            const bool isFirstVoter = i < SeedCount;
            resetFolder(*m_nodes[i], isFirstVoter ? first : v1::Membership{}, isFirstVoter);
        }
        for (std::size_t i = 0; i < EdgeCount; ++i) {
            m_nodes.push_back(makeNode(false));
        }
        for (const auto &node : m_nodes) {
            node->startAt = m_now + randomTime(300ms);
        }
    }

    RecoveryResult run()
    {
        try {
            runFor(8s);
            const std::size_t rounds = 2 + m_random.below(4);
            for (std::size_t round = 0; round < rounds; ++round) {
                playRound();
            }
            for (std::size_t extra = 0; m_targetsSeeds && extra < 6 && anySeedVotes(); ++extra) {
                playRound();
            }
            playKillOfAll();
            awaitRecovery("kill of all at the end");
        } catch (const CheckFailed &failed) {
            m_result.failedCheck = failed.what();
        }
        m_result.seconds = std::chrono::duration_cast<std::chrono::seconds>(m_now.time_since_epoch()).count();
        return m_result;
    }

private:
    using LogReplica = Replica<SimulatedDisk, SimulatedTransport, SimulatedState>;
    struct Node
    {
        VmName name;
        bool hasDisk = false;
        SimulatedDisk disk;
        SimulatedTransport transport;
        SimulatedState state;
        bool running = false;
        bool removed = false;
        bool isCutOff = false;
        TimePoint startAt = TimePoint::max();
        TimePoint nextTick;
        std::unique_ptr<LogReplica> replica;
        std::unique_ptr<MembershipRepair> repair;
        std::unique_ptr<StandbyOffers> offers;
        std::unique_ptr<LeaderDiscovery> discovery;
        /// The seeds of the settings when the process started.
        std::vector<VmName> seeds;
        std::optional<VmName> reportedLeader;
        std::uint64_t beat = 0;
        std::map<std::uint64_t, TimePoint> beatSentAt;
        VmName leaseFrom;
        TimePoint leaseUntil{};
    };
    struct InFlight
    {
        TimePoint arrivesAt;
        std::uint64_t sequence;
        VmName from;
        VmName to;
        v1::Envelope envelope;

        bool operator>(const InFlight &other) const
        {
            return std::tie(arrivesAt, sequence) > std::tie(other.arrivesAt, other.sequence);
        }
    };

    std::unique_ptr<Node> makeNode(bool hasDisk)
    {
        auto node = std::make_unique<Node>();
        node->name = VmName{"vm-" + std::to_string(++m_nodeCount)};
        node->hasDisk = hasDisk;
        node->disk.random = &m_random.generator();
        return node;
    }

    Duration randomTime(Duration limit)
    {
        return Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(limit.count()))));
    }

    void resetFolder(Node &node, const v1::Membership &membership, bool admitted)
    {
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->membership = membership;
        node.disk.content = Recovered{.identity = {.incarnation = m_random.generator()() | 1U, .admitted = admitted}, .vote = {}, .snapshot = snapshot};
    }

    Node *find(const VmName &name) const
    {
        const auto found = std::ranges::find_if(m_nodes, [&name](const auto &node) { return node->name == name; });
        return found == m_nodes.end() || (*found)->removed ? nullptr : found->get();
    }

    void start(Node &node)
    {
        node.startAt = TimePoint::max();
        node.running = true;
        node.nextTick = m_now;
        node.beat = m_random.generator()() >> 1;
        node.beatSentAt.clear();
        node.leaseUntil = {};
        node.reportedLeader.reset();
        node.seeds = m_seeds;
        std::vector<VmName> candidates = m_seeds;
        std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(m_random.below(candidates.size())), candidates.end());
        node.discovery = std::make_unique<LeaderDiscovery>(
            LeaderDiscoveryOptions{.vm = node.name, .candidates = candidates, .seeds = m_seeds, .usesDatagrams = true, .hasReplica = node.hasDisk});
        if (node.hasDisk) {
            startReplica(node);
        }
        node.discovery->start(m_now);
    }

    void startReplica(Node &node)
    {
        node.transport.deliver = [this, &node](v1::RaftMessage &&message) {
            v1::Envelope envelope;
            const VmName to{message.to()};
            *envelope.mutable_raft() = std::move(message);
            send(node, to, std::move(envelope));
        };
        node.state = SimulatedState{};
        node.state.applied = [this](const v1::LogEntry &entry, std::uint64_t sum) { checkApplied(entry.index(), sum); };
        node.state.installed = [](Index, std::uint64_t) {};
        const CoreOptions options{.self = node.name, .electionTimeout = ElectionTimeout};
        node.replica
            = std::make_unique<LogReplica>(options, node.disk.content, m_random.generator()(), m_now, Snapshots, node.disk, node.transport, node.state);
        node.repair = std::make_unique<MembershipRepair>(
            MembershipRepairOptions{.targetVoters = WantedVoters, .minVoters = SeedCount, .memberTimeout = ReplacementTimeout});
        node.offers = std::make_unique<StandbyOffers>(node.name, node.disk.content.identity.incarnation, ElectionTimeout, m_now);
    }

    void kill(Node &node, Duration downTime)
    {
        node.replica.reset();
        node.discovery.reset();
        node.running = false;
        node.startAt = m_now + downTime;
    }

    void send(const Node &from, const VmName &to, v1::Envelope envelope)
    {
        if (m_random.chance(5)) {
            return;
        }
        const Duration delay = from.name == to ? Duration::zero() : Duration(500us) + randomTime(4ms);
        m_inFlight.push(InFlight{.arrivesAt = m_now + delay, .sequence = ++m_sequence, .from = from.name, .to = to, .envelope = std::move(envelope)});
    }

    void deliver(const InFlight &message)
    {
        Node *to = find(message.to);
        const Node *from = find(message.from);
        if (to && !to->running && message.envelope.has_raft()) {
            holdUntilStart(*to, message);
            return;
        }
        if (!to || !to->running || !from || (message.from != message.to && (to->isCutOff || from->isCutOff))) {
            return;
        }
        if (message.envelope.has_raft()) {
            handleRaft(*to, message.envelope.raft());
        } else if (message.envelope.has_config_heartbeat()) {
            handleHeartbeat(*to, message.from, message.envelope.config_heartbeat());
        } else if (message.envelope.has_config_lease()) {
            handleLease(*to, message.from, message.envelope.config_lease());
        }
    }

    /// Messages of the log wait in the sender's queue for some seconds while their receiver is down, and reach its next process.
    void holdUntilStart(const Node &to, InFlight message)
    {
        if (to.startAt < m_now + 3s && m_random.chance(300)) {
            message.arrivesAt = std::max(to.startAt, m_now) + 50ms + randomTime(500ms);
            m_inFlight.push(std::move(message));
        }
    }

    void handleRaft(Node &node, const v1::RaftMessage &message)
    {
        if (!node.replica) {
            return;
        }
        if (message.kind() == v1::RaftMessage::STANDBY) {
            node.repair->recordOffer(VmName{message.from()}, message.incarnation(), m_now);
            return;
        }
        node.replica->core().step(message, m_now);
        flush(node);
    }

    void flush(Node &node)
    {
        if (!ok(node.replica->flush(m_now))) {
            throw CheckFailed("the simulated disk failed");
        }
        const Core &core = node.replica->core();
        if (core.role() == Core::Role::Leader) {
            const auto [known, added] = m_leaders.emplace(core.term(), node.name);
            if (known->second != node.name) {
                throw CheckFailed("two leaders in term " + std::to_string(core.term()));
            }
        }
        if (core.leader() != node.reportedLeader) {
            node.reportedLeader = core.leader();
            node.discovery->setFollowedLeader(core.leader(), core.term());
        }
    }

    bool leads(const Node &node) const
    {
        return node.running && node.replica && node.replica->core().role() == Core::Role::Leader;
    }

    void handleHeartbeat(Node &node, const VmName &from, const v1::ConfigHeartbeat &heartbeat)
    {
        v1::Envelope reply;
        if (leads(node)) {
            v1::ConfigLease &lease = *reply.mutable_config_lease();
            lease.set_beat(heartbeat.beat());
            lease.set_leader(node.name.value);
            if (node.replica->isReadable(m_now)) {
                lease.set_length_ms(2000);
            }
            const Index applied = node.replica->appliedIndex();
            *lease.mutable_replicas() = node.replica->core().membershipAt(applied).voters();
            lease.set_leader_term(node.replica->core().term());
            lease.set_replicas_term(node.replica->core().log().termAt(applied).value_or(0));
            lease.set_replicas_index(applied);
        } else {
            *reply.mutable_config_lease() = node.discovery->refuse(from, heartbeat);
        }
        send(node, from, std::move(reply));
    }

    void handleLease(Node &node, const VmName &from, const v1::ConfigLease &lease)
    {
        if (lease.length_ms() == 0) {
            if (node.discovery->handleRefusal(lease, m_now)) {
                sendHeartbeat(node);
            }
            return;
        }
        node.discovery->handleGrant(from, lease, m_now);
        if (const auto sent = node.beatSentAt.find(lease.beat()); sent != node.beatSentAt.end()) {
            node.leaseFrom = from;
            node.leaseUntil = sent->second + LeaseLength;
        }
    }

    void sendHeartbeat(Node &node)
    {
        node.discovery->onHeartbeatSent(m_now);
        v1::Envelope envelope;
        envelope.mutable_config_heartbeat()->set_vm(node.name.value);
        envelope.mutable_config_heartbeat()->set_beat(++node.beat);
        node.beatSentAt[node.beat] = m_now;
        send(node, node.discovery->leader(), std::move(envelope));
    }

    void tick(Node &node)
    {
        node.nextTick = m_now + TickInterval;
        if (node.replica) {
            tickReplica(node);
        }
        for (const VmName &seed : node.discovery->seedsToTell(m_now)) {
            ++m_result.announcements;
            v1::Envelope envelope;
            *envelope.mutable_config_lease() = node.discovery->announcementFor(seed);
            send(node, seed, std::move(envelope));
        }
        if (node.discovery->isHeartbeatDue(m_now)) {
            sendHeartbeat(node);
        }
        for (const auto &[vm, heartbeat] : node.discovery->takeAnswerable(leads(node))) {
            handleHeartbeat(node, vm, heartbeat);
        }
    }

    void tickReplica(Node &node)
    {
        Core &core = node.replica->core();
        core.tick(m_now);
        if (std::optional<v1::RaftMessage> offer = node.offers->due(core.leader().has_value(), node.discovery->leader(), m_now)) {
            node.transport.send(std::move(*offer));
        }
        if (const auto change = node.repair->nextChange(core, m_now)) {
            m_result.membershipChanges += ok(core.changeMembership(*change, m_now)) ? 1 : 0;
        }
        if (core.role() == Core::Role::Leader && m_random.chance(20)) {
            core.propose("command-" + std::to_string(m_now.time_since_epoch().count()));
        }
        flush(node);
        node.discovery->setMembership(core.membership(), {.term = core.log().lastTerm(), .index = core.log().lastIndex()});
    }

    void step()
    {
        m_now += StepInterval;
        while (!m_inFlight.empty() && m_inFlight.top().arrivesAt <= m_now) {
            const InFlight message = m_inFlight.top();
            m_inFlight.pop();
            deliver(message);
        }
        if (m_now >= m_seedsChangeAt) {
            m_seedsChangeAt = TimePoint::max();
            m_seeds = m_nextSeeds;
        }
        for (const auto &node : m_nodes) {
            if (!node->removed && !node->running && m_now >= node->startAt) {
                start(*node);
            }
            if (node->running && m_now >= node->nextTick) {
                tick(*node);
            }
        }
    }

    void runFor(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end;) {
            step();
        }
    }

    /// Entries that any replica applied are the same on every replica: nothing committed is lost or replaced.
    void checkApplied(Index index, std::uint64_t sum)
    {
        const auto [known, added] = m_applied.emplace(index, sum);
        if (known->second != sum) {
            throw CheckFailed("two states at index " + std::to_string(index));
        }
    }

    /// Returns the voters of the most up-to-date log of all disks.
    std::vector<VmName> newestVoters() const
    {
        std::vector<VmName> voters;
        std::pair<Term, Index> newest;
        for (const auto &node : m_nodes) {
            if (!node->running || !node->replica) {
                continue;
            }
            const Core &core = node->replica->core();
            const std::pair<Term, Index> position{core.log().lastTerm(), core.log().lastIndex()};
            if (position <= newest) {
                continue;
            }
            newest = position;
            voters.clear();
            for (const std::string &voter : core.membership().voters()) {
                voters.push_back(VmName{voter});
            }
        }
        return voters;
    }

    bool canVote(const VmName &voter) const
    {
        const Node *node = find(voter);
        return node && node->running && !node->isCutOff && node->replica->core().identity().admitted;
    }

    bool majorityLives() const
    {
        const std::vector<VmName> voters = newestVoters();
        return static_cast<std::size_t>(std::ranges::count_if(voters, [this](const VmName &voter) { return canVote(voter); })) > voters.size() / 2;
    }

    const Node *leader() const
    {
        for (const auto &node : m_nodes) {
            if (leads(*node) && !node->isCutOff && node->replica->isReadable(m_now)) {
                return node.get();
            }
        }
        return nullptr;
    }

    /// Returns the living VMs that hold no lease of the leader.
    std::string vmsWithoutLease() const
    {
        const Node *leading = leader();
        if (!leading) {
            return "no leader";
        }
        std::string missing;
        for (const auto &node : m_nodes) {
            const bool holdsLease
                = node->leaseFrom == leading->name && m_now < node->leaseUntil && node->discovery && node->discovery->leader() == leading->name;
            if (node->running && !node->isCutOff && !holdsLease && hasLivingSeed(*node)) {
                missing += " " + node->name.value;
            }
        }
        return missing;
    }

    /// A VM all of whose seeds are gone can ask nobody after a restart.
    bool hasLivingSeed(const Node &node) const
    {
        return std::ranges::any_of(node.seeds, [this, &node](const VmName &name) {
            const Node *seed = find(name);
            return seed && seed != &node && seed->running && !seed->isCutOff;
        });
    }

    bool anyDown() const
    {
        return std::ranges::any_of(m_nodes, [](const auto &node) { return !node->removed && (!node->running || node->isCutOff); });
    }

    /// "some majority lives, so within 5 s every living VM knows the leader", counted from the last fault or the last start of a VM.
    void awaitRecovery(const std::string &after)
    {
        const TimePoint begin = m_now;
        std::string missing;
        while (m_now < begin + RecoveryLimit) {
            runFor(20ms);
            if (!majorityLives()) {
                ++m_result.skipped;
                return;
            }
            missing = vmsWithoutLease();
            if (missing.empty()) {
                ++m_result.checks;
                m_result.longestRecoveryMs
                    = std::max<std::int64_t>(m_result.longestRecoveryMs, std::chrono::duration_cast<std::chrono::milliseconds>(m_now - begin).count());
                return;
            }
        }
        throw CheckFailed("no lease 5 s after " + after + ": " + missing + describe());
    }

    std::string describe() const
    {
        std::string text = "\nseeds";
        for (const VmName &vm : m_seeds) {
            text += " " + vm.value;
        }
        text += "\nvoters";
        for (const VmName &voter : newestVoters()) {
            text += " " + voter.value + (canVote(voter) ? "" : "(dark)");
        }
        for (const auto &node : m_nodes) {
            if (node->running) {
                text += "\n" + node->name.value + " asks " + node->discovery->leader().value;
                text += node->replica && node->replica->core().leader() ? " follows " + node->replica->core().leader()->value : "";
            }
        }
        return text;
    }

    /// Returns a machine with a disk that can be lost, mostly a seed that votes: once the three seeds were lost, none of them may vote any more.
    Node *victim()
    {
        const std::vector<VmName> voters = newestVoters();
        std::vector<Node *> nodes;
        for (const auto &node : m_nodes) {
            const bool isVotingSeed = std::ranges::find(m_seeds, node->name) != m_seeds.end() && std::ranges::find(voters, node->name) != voters.end();
            if (node->hasDisk && node->running && !node->isCutOff) {
                nodes.insert(nodes.end(), !isVotingSeed ? 1 : m_targetsSeeds ? 500 : 10, node.get());
            }
        }
        return nodes.empty() ? nullptr : nodes[m_random.below(nodes.size())];
    }

    /// Returns a time that is often long enough for another machine to vote in the lost one's place.
    Duration randomDownTime()
    {
        return !m_targetsSeeds && m_random.chance(400) ? 100ms + randomTime(2s) : 4s + randomTime(5s);
    }

    bool anySeedVotes() const
    {
        const std::vector<VmName> voters = newestVoters();
        return std::ranges::any_of(m_seeds, [&voters](const VmName &vm) { return std::ranges::find(voters, vm) != voters.end(); });
    }

    std::size_t lostCount() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_nodes, [](const auto &node) { return node->hasDisk && !node->removed && (!node->running || node->isCutOff); }));
    }

    /// Whether one more disk may be lost: all voters are there and may vote, besides the one.
    bool mayLoseDisk() const
    {
        const std::vector<VmName> voters = newestVoters();
        const auto lost = std::ranges::count_if(voters, [this](const VmName &voter) { return !canVote(voter); });
        return voters.size() >= 5 && lost < static_cast<std::ptrdiff_t>(MaxLostAtOnce) && static_cast<std::size_t>(lost) + 1 < (voters.size() + 1) / 2;
    }

    void wipe(Node &node)
    {
        ++m_result.wipes;
        resetFolder(node, {}, false);
        kill(node, randomDownTime());
    }

    /// Removes a machine for good; an empty one at a new address takes its place.
    void replace(Node &node)
    {
        ++m_result.replacements;
        kill(node, Duration::zero());
        node.removed = true;
        auto successor = makeNode(true);
        resetFolder(*successor, {}, false);
        successor->startAt = m_now + randomTime(2s);
        const VmName old = node.name;
        m_nextSeeds = m_seeds;
        std::ranges::replace(m_nextSeeds, old, successor->name);
        m_seedsChangeAt = m_now + randomTime(3s);
        m_nodes.push_back(std::move(successor));
    }

    void losePower(Node &node)
    {
        ++m_result.powerLosses;
        kill(node, randomDownTime());
    }

    void playRound()
    {
        const std::size_t faults = 1 + m_random.below(MaxLostAtOnce);
        for (std::size_t i = 0; i < faults && lostCount() < MaxLostAtOnce; ++i) {
            Node *node = victim();
            if (!node) {
                break;
            }
            const std::uint64_t kind = m_random.below(10);
            const bool losesDisk = kind < 5 && mayLoseDisk();
            if (losesDisk && kind < 3) {
                wipe(*node);
            } else if (losesDisk && m_seedsChangeAt == TimePoint::max()) {
                replace(*node);
            } else if (kind < 9) {
                losePower(*node);
            } else {
                ++m_result.partitions;
                node->isCutOff = true;
            }
            runFor(randomTime(500ms));
        }
        if (m_random.chance(150)) {
            playKillOfAll();
        }
        // While some are still down, the others must be served all the same.
        awaitRecovery("losses");
        runFor(randomTime(8s));
        for (const auto &node : m_nodes) {
            node->isCutOff = false;
        }
        while (anyDown()) {
            runFor(100ms);
        }
        awaitRecovery("the return of the lost");
        runFor(2s + randomTime(4s));
    }

    void playKillOfAll()
    {
        ++m_result.killsOfAll;
        m_result.killsWithoutVotingSeed += anySeedVotes() ? 0 : 1;
        const bool withDark = m_random.chance(400);
        for (const auto &node : m_nodes) {
            if (!node->removed) {
                kill(*node, 100ms + randomTime(1300ms));
            }
        }
        // As many machines as are tolerated stay without power, but one seed lives.
        std::size_t dark = withDark ? MaxLostAtOnce : 0;
        for (const auto &node : m_nodes) {
            const bool isFirstSeed = node->name == m_seeds.front();
            if (dark > 0 && node->hasDisk && !node->removed && !isFirstSeed && m_random.chance(250)) {
                --dark;
                node->startAt = m_now + 8s;
            }
        }
        runFor(1400ms);
    }

    SeededRandom m_random;
    /// Faults hit the voting seeds nearly always.
    const bool m_targetsSeeds = m_random.chance(500);
    TimePoint m_now{};
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::size_t m_nodeCount = 0;
    std::vector<VmName> m_seeds;
    std::vector<VmName> m_nextSeeds;
    TimePoint m_seedsChangeAt = TimePoint::max();
    std::priority_queue<InFlight, std::vector<InFlight>, std::greater<>> m_inFlight;
    std::uint64_t m_sequence = 0;
    std::map<Term, VmName> m_leaders;
    std::map<Index, std::uint64_t> m_applied;
    RecoveryResult m_result;
};

}

RecoveryResult simulateRecovery(std::uint64_t seed)
{
    return RecoverySimulation(seed).run();
}

}
