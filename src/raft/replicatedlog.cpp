#include "raft/replicatedlog.h"

#include "common/log.h"
#include "raft/filestorage.h"
#include "raft/formation.h"

#include <algorithm>
#include <random>

namespace cumindyke::raft
{

namespace
{

constexpr Duration FormationInterval = std::chrono::milliseconds(200);
/// Of a log that grows and shrinks with the VMs there are: the fewest that bear the loss of one.
constexpr std::size_t FewestVoters = 3;
constexpr Duration OfferInterval = std::chrono::seconds(2);

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device() | 1U;
}

}

struct ReplicatedLog::Private
{
    struct Sender
    {
        std::function<void(const VmName &, v1::Envelope)> envelope;

        void send(v1::RaftMessage message) const
        {
            const VmName to{message.to()};
            v1::Envelope wrapped;
            *wrapped.mutable_raft() = std::move(message);
            envelope(to, std::move(wrapped));
        }
    };

    /// Hands what is applied to the signals.
    struct State
    {
        sigc::signal<void, Index, Term, const std::string &> applied;
        sigc::signal<std::string> snapshotWanted;
        sigc::signal<void, const std::string &> installed;

        void install(const Snapshot &snapshot)
        {
            installed.emit(snapshot.state);
        }
        void apply(const v1::LogEntry &entry)
        {
            applied.emit(entry.index(), entry.term(), entry.command());
        }
        std::string snapshot()
        {
            return snapshotWanted.emit();
        }
    };
    using LogReplica = Replica<FileStorage<PosixFileSystem>, Sender, State>;

    explicit Private(ReplicatedLogOptions given)
        : options(std::move(given))
        , storage(files, options.dataFolder)
        , sender{options.send}
        , repair(RepairOptions{.voters = std::max<std::size_t>({options.initialVoters.size(), options.wantedVoters, 1}),
                               .leastVoters = options.wantedVoters == 0 ? 0 : FewestVoters,
                               .lostAfter = options.replaceAfter})
    {
    }

    void prepare(TimePoint now);
    void formed(const v1::Membership &membership, bool belongs, TimePoint now);
    void startReplica(TimePoint now);
    void stepForming(const v1::RaftMessage &message, TimePoint now);
    void offerIfIdle(TimePoint now);
    void mendMembers(TimePoint now);
    void wantFlush();
    void flush(TimePoint now);
    void noteChanges();
    void fail(const Error &error);

    const ReplicatedLogOptions options;
    PosixFileSystem files;
    FileStorage<PosixFileSystem> storage;
    Sender sender;
    State state;
    Repair repair;
    Recovered recovered;
    std::unique_ptr<Formation> formation;
    std::unique_ptr<LogReplica> replica;
    TimePoint nextQuestion = TimePoint::min();
    TimePoint nextOffer = TimePoint::min();
    TimePoint heardLeader;
    bool flushPending = false;
    bool stopped = false;
    std::optional<VmName> knownLeader;
    std::string knownMembers;
    sigc::signal<void, const std::optional<VmName> &> leaderChanged;
    sigc::signal<void> flushWanted;
    sigc::signal<void, const Error &> failed;
};

void ReplicatedLog::Private::prepare(TimePoint now)
{
    heardLeader = now;
    if (recovered.snapshot) {
        startReplica(now);
        return;
    }
    if (!options.formCluster || std::ranges::find(options.initialVoters, options.vm) == options.initialVoters.end()) {
        formed({}, false, now);
        return;
    }
    formation = std::make_unique<Formation>(options.vm, options.initialVoters, recovered.identity.incarnation);
    if (formation->formed()) {
        formed(*formation->formed(), true, now);
    }
}

/// A replica that doesn't belong starts with no members: it votes for nobody until the leader admits it.
void ReplicatedLog::Private::formed(const v1::Membership &membership, bool belongs, TimePoint now)
{
    auto first = std::make_shared<Snapshot>();
    if (belongs) {
        first->membership = membership;
    }
    recovered.identity.admitted = belongs;
    recovered.snapshot = first;
    if (const auto done = storage.persist(Writes{.identity = recovered.identity, .vote = {}, .snapshot = first}); !ok(done)) {
        fail(errorOf(done));
        return;
    }
    logChange("raft", belongs ? "cluster-formed" : "waiting-to-be-admitted", {{"vm", options.vm.value}});
    startReplica(now);
}

void ReplicatedLog::Private::startReplica(TimePoint now)
{
    formation.reset();
    const CoreOptions coreOptions{.self = options.vm, .electionTimeout = options.electionTimeout, .heartbeat = options.heartbeat};
    replica = std::make_unique<LogReplica>(coreOptions, recovered, randomNumber(), now, options.snapshots, storage, sender, state);
    recovered.entries.clear();
    replica->core().tick(now);
    wantFlush();
}

void ReplicatedLog::Private::stepForming(const v1::RaftMessage &message, TimePoint now)
{
    if (message.kind() == v1::RaftMessage::FORM) {
        const std::optional<v1::Membership> members
            = replica ? std::optional(replica->core().membershipAt(replica->applied())) : std::optional<v1::Membership>();
        // A replica that waits to be admitted itself knows no members and must not answer as if there were no cluster yet.
        if (replica && members->voters().empty()) {
            return;
        }
        sender.send(Formation::answer(message, options.vm, recovered.identity.incarnation, members ? &*members : nullptr));
        return;
    }
    if (formation && message.kind() == v1::RaftMessage::FORM_REPLY) {
        formation->take(message);
        if (formation->formed()) {
            const v1::Membership members = *formation->formed();
            formed(members, formation->belongs(), now);
        }
    }
}

/// A VM with a disk that hears no leader is no member: it offers itself, and the leader takes it when a voter is lost.
void ReplicatedLog::Private::offerIfIdle(TimePoint now)
{
    if (replica->core().leader()) {
        heardLeader = now;
    }
    if (now - heardLeader < 2 * options.electionTimeout || now < nextOffer) {
        return;
    }
    nextOffer = now + OfferInterval;
    const VmName leader = options.leaderHint ? options.leaderHint() : options.vm;
    if (leader == options.vm) {
        return;
    }
    v1::RaftMessage offer;
    offer.set_kind(v1::RaftMessage::STANDBY);
    offer.set_from(options.vm.value);
    offer.set_to(leader.value);
    offer.set_incarnation(recovered.identity.incarnation);
    sender.send(std::move(offer));
}

void ReplicatedLog::Private::mendMembers(TimePoint now)
{
    if (const auto change = repair.next(replica->core(), now)) {
        replica->core().changeMembership(*change, now);
    }
}

void ReplicatedLog::Private::wantFlush()
{
    if (!flushPending) {
        flushPending = true;
        flushWanted.emit();
    }
}

void ReplicatedLog::Private::flush(TimePoint now)
{
    flushPending = false;
    if (!replica || stopped) {
        return;
    }
    if (const auto done = replica->flush(now); !ok(done)) {
        fail(errorOf(done));
        return;
    }
    noteChanges();
}

void ReplicatedLog::Private::noteChanges()
{
    const Core &core = replica->core();
    if (core.identity().admitted != recovered.identity.admitted) {
        recovered.identity = core.identity();
        logChange("raft", "admitted", {{"vm", options.vm.value}});
    }
    if (const std::string members = core.membership().SerializeAsString(); members != knownMembers) {
        knownMembers = members;
        std::string voters;
        for (const std::string &voter : core.membership().voters()) {
            voters += (voters.empty() ? "" : ",") + voter;
        }
        logChange("raft", "members", {{"voters", voters}, {"learners", std::to_string(core.membership().learners_size())}});
    }
    if (core.leader() == knownLeader) {
        return;
    }
    knownLeader = core.leader();
    logChange("raft", "leader", {{"leader", knownLeader ? knownLeader->value : "none"}, {"term", std::to_string(core.term())}});
    leaderChanged.emit(knownLeader);
}

void ReplicatedLog::Private::fail(const Error &error)
{
    stopped = true;
    logWarning("raft", "storage-failed", {{"error", error.message}});
    failed.emit(error);
}

Result<std::unique_ptr<ReplicatedLog>> ReplicatedLog::open(ReplicatedLogOptions options)
{
    std::unique_ptr<ReplicatedLog> log(new ReplicatedLog(std::move(options)));
    auto recovered = log->d->storage.open(randomNumber());
    if (!ok(recovered)) {
        return errorOf(recovered);
    }
    log->d->recovered = std::move(valueOf(recovered));
    return log;
}

ReplicatedLog::ReplicatedLog(ReplicatedLogOptions options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

ReplicatedLog::~ReplicatedLog() = default;

void ReplicatedLog::start(TimePoint now)
{
    d->prepare(now);
    d->flush(now);
}

void ReplicatedLog::step(const v1::RaftMessage &message, TimePoint now)
{
    const bool forming = message.kind() == v1::RaftMessage::FORM || message.kind() == v1::RaftMessage::FORM_REPLY;
    if (d->stopped) {
        return;
    }
    if (forming) {
        d->stepForming(message, now);
    } else if (message.kind() == v1::RaftMessage::STANDBY) {
        d->repair.offered(VmName{message.from()}, message.incarnation(), now);
    } else if (d->replica) {
        d->replica->core().step(message, now);
        d->wantFlush();
    }
}

void ReplicatedLog::tick(TimePoint now)
{
    if (d->stopped) {
        return;
    }
    if (d->formation && now >= d->nextQuestion) {
        d->nextQuestion = now + FormationInterval;
        for (v1::RaftMessage &question : d->formation->ask()) {
            d->sender.send(std::move(question));
        }
    }
    if (!d->replica) {
        return;
    }
    d->replica->core().tick(now);
    d->offerIfIdle(now);
    d->mendMembers(now);
    d->wantFlush();
}

std::optional<Index> ReplicatedLog::propose(std::string command, TimePoint /*now*/)
{
    if (!d->replica || d->stopped) {
        return {};
    }
    const auto index = d->replica->core().propose(std::move(command));
    d->wantFlush();
    return index;
}

void ReplicatedLog::flush(TimePoint now)
{
    d->flush(now);
}

bool ReplicatedLog::isLeader() const
{
    return d->replica && d->replica->core().role() == Core::Role::Leader;
}

std::optional<VmName> ReplicatedLog::leader() const
{
    return d->replica ? d->replica->core().leader() : std::nullopt;
}

Term ReplicatedLog::term() const
{
    return d->replica ? d->replica->core().term() : 0;
}

Index ReplicatedLog::appliedIndex() const
{
    return d->replica ? d->replica->applied() : 0;
}

bool ReplicatedLog::hasReadableState(TimePoint now) const
{
    return d->replica && !d->stopped && d->replica->readable(now);
}

v1::Membership ReplicatedLog::membership() const
{
    return d->replica ? d->replica->core().membershipAt(d->replica->applied()) : v1::Membership();
}

Result<Index> ReplicatedLog::changeMembership(const v1::Membership &next, TimePoint now)
{
    if (!d->replica || d->stopped) {
        return Error{ErrorKind::Unavailable, "the first replicas have not met yet: start all of them"};
    }
    auto index = d->replica->core().changeMembership(next, now);
    d->wantFlush();
    return index;
}

bool ReplicatedLog::transferLeadership(TimePoint now)
{
    if (!d->replica || d->stopped) {
        return false;
    }
    const auto successor = d->replica->core().bestSuccessor();
    const bool started = successor && d->replica->core().transferLeadership(*successor, now);
    d->wantFlush();
    return started;
}

sigc::signal<void, Index, Term, const std::string &> &ReplicatedLog::applied()
{
    return d->state.applied;
}

sigc::signal<void, const std::optional<VmName> &> &ReplicatedLog::leaderChanged()
{
    return d->leaderChanged;
}

sigc::signal<std::string> &ReplicatedLog::snapshotWanted()
{
    return d->state.snapshotWanted;
}

sigc::signal<void, const std::string &> &ReplicatedLog::snapshotInstalled()
{
    return d->state.installed;
}

sigc::signal<void> &ReplicatedLog::flushWanted()
{
    return d->flushWanted;
}

sigc::signal<void, const Error &> &ReplicatedLog::failed()
{
    return d->failed;
}

}
