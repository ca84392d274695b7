#include "raft/replicatedlog.h"

#include "common/log.h"
#include "raft/filestorage.h"
#include "raft/formation.h"
#include "raft/standbyoffers.h"

#include <algorithm>
#include <random>
#include <utility>

namespace cumindyke::raft
{

namespace
{

constexpr Duration FormationInterval = std::chrono::milliseconds(200);
/// For a log whose number of voters follows the number of VMs: the smallest number that tolerates the loss of one.
constexpr std::size_t MinVoters = 3;

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
        std::function<void(const VmName &, v1::Envelope)> sendEnvelope;

        void send(v1::RaftMessage message) const
        {
            const VmName to{message.to()};
            v1::Envelope envelope;
            *envelope.mutable_raft() = std::move(message);
            sendEnvelope(to, std::move(envelope));
        }
    };

    /// Forwards committed entries and snapshots to the signals.
    struct State
    {
        sigc::signal<void, Index, Term, const std::string &> applied;
        sigc::signal<std::string> snapshotRequested;
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
            return snapshotRequested.emit();
        }
    };
    using LogReplica = Replica<FileStorage<PosixFileSystem>, Sender, State>;

    explicit Private(ReplicatedLogOptions logOptions)
        : options(std::move(logOptions))
        , storage(files, options.dataFolder)
        , sender{options.send}
        , membershipRepair(MembershipRepairOptions{.targetVoters = std::max<std::size_t>({options.initialVoters.size(), options.wantedVoters, 1}),
                                                   .minVoters = options.wantedVoters == 0 ? 0 : MinVoters,
                                                   .memberTimeout = options.replacementTimeout})
    {
    }

    struct FormationResult
    {
        v1::Membership membership;
        bool isMember = false;
    };

    void recoverOrForm(TimePoint now);
    void finishFormation(const v1::Membership &membership, bool isMember, TimePoint now);
    void startReplica(TimePoint now);
    void handleFormation(const v1::RaftMessage &message, TimePoint now);
    void offerIfNotMember(TimePoint now);
    void proposeMembershipChange(TimePoint now);
    void requestFlush();
    void flush(TimePoint now);
    void reportChanges();
    void handleStorageError(const Error &error);

    const ReplicatedLogOptions options;
    PosixFileSystem files;
    FileStorage<PosixFileSystem> storage;
    Sender sender;
    State state;
    MembershipRepair membershipRepair;
    Recovered recovered;
    std::unique_ptr<Formation> formation;
    /// The disk takes no writes: tried again at each tick.
    std::optional<FormationResult> unsavedFormation;
    std::unique_ptr<LogReplica> replica;
    TimePoint nextFormRequestAt = TimePoint::min();
    std::optional<StandbyOffers> offers;
    bool flushPending = false;
    bool isStopped = false;
    std::optional<VmName> reportedLeader;
    std::string reportedMembership;
    sigc::signal<void, const std::optional<VmName> &> leaderChanged;
    sigc::signal<void> flushRequested;
    sigc::signal<void, const Error &> failed;
};

void ReplicatedLog::Private::recoverOrForm(TimePoint now)
{
    if (recovered.snapshot) {
        startReplica(now);
        return;
    }
    if (!options.formCluster || std::ranges::find(options.initialVoters, options.vm) == options.initialVoters.end()) {
        finishFormation({}, false, now);
        return;
    }
    formation = std::make_unique<Formation>(options.vm, options.initialVoters, recovered.identity.incarnation);
    if (formation->membership()) {
        finishFormation(*formation->membership(), true, now);
    }
}

/// Ends the formation and starts the replica. A replica that isn't a member starts with an empty membership: it grants no vote until the
/// leader admits it.
void ReplicatedLog::Private::finishFormation(const v1::Membership &membership, bool isMember, TimePoint now)
{
    auto first = std::make_shared<Snapshot>();
    if (isMember) {
        first->membership = membership;
    }
    recovered.identity.admitted = isMember;
    if (const auto done = storage.persist(Writes{.identity = recovered.identity, .vote = {}, .snapshot = first}); !ok(done)) {
        if (errorOf(done).kind != ErrorKind::StorageFull) {
            handleStorageError(errorOf(done));
        } else if (!std::exchange(unsavedFormation, FormationResult{.membership = membership, .isMember = isMember})) {
            logWarning("raft", "storage-full", {{"error", errorOf(done).message}});
        }
        return;
    }
    recovered.snapshot = first;
    unsavedFormation.reset();
    logChange("raft", isMember ? "cluster-formed" : "waiting-to-be-admitted", {{"vm", options.vm.value}});
    startReplica(now);
}

void ReplicatedLog::Private::startReplica(TimePoint now)
{
    formation.reset();
    const CoreOptions coreOptions{.self = options.vm, .electionTimeout = options.electionTimeout, .heartbeatInterval = options.heartbeatInterval};
    replica = std::make_unique<LogReplica>(coreOptions, recovered, randomNumber(), now, options.snapshots, storage, sender, state);
    recovered.entries.clear();
    offers.emplace(options.vm, recovered.identity.incarnation, options.electionTimeout, now);
    replica->core().tick(now);
    requestFlush();
}

void ReplicatedLog::Private::handleFormation(const v1::RaftMessage &message, TimePoint now)
{
    if (message.kind() == v1::RaftMessage::FORM) {
        const std::optional<v1::Membership> members
            = replica ? std::optional(replica->core().membershipAt(replica->appliedIndex())) : std::optional<v1::Membership>();
        // A replica that waits to be admitted knows no members; its reply would wrongly say that there is no cluster yet.
        if ((replica && members->voters().empty()) || (unsavedFormation && !unsavedFormation->isMember)) {
            return;
        }
        sender.send(Formation::makeReply(message, options.vm, recovered.identity.incarnation, members ? &*members : nullptr));
        return;
    }
    if (formation && !unsavedFormation && message.kind() == v1::RaftMessage::FORM_REPLY) {
        formation->handleReply(message);
        if (formation->membership()) {
            const v1::Membership members = *formation->membership();
            finishFormation(members, formation->isMember(), now);
        }
    }
}

/// Offers this VM as a replica if it is not a member.
void ReplicatedLog::Private::offerIfNotMember(TimePoint now)
{
    const VmName presumedLeader = options.leaderHint ? options.leaderHint() : options.vm;
    if (std::optional<v1::RaftMessage> offer = offers->due(replica->core().leader().has_value(), presumedLeader, now)) {
        sender.send(std::move(*offer));
    }
}

void ReplicatedLog::Private::proposeMembershipChange(TimePoint now)
{
    if (const auto change = membershipRepair.nextChange(replica->core(), now)) {
        replica->core().changeMembership(*change, now);
    }
}

void ReplicatedLog::Private::requestFlush()
{
    if (!flushPending) {
        flushPending = true;
        flushRequested.emit();
    }
}

void ReplicatedLog::Private::flush(TimePoint now)
{
    flushPending = false;
    if (!replica || isStopped) {
        return;
    }
    const bool wasStalled = replica->isStalled();
    if (const auto done = replica->flush(now); !ok(done)) {
        if (errorOf(done).kind != ErrorKind::StorageFull) {
            handleStorageError(errorOf(done));
        } else if (!wasStalled) {
            logWarning("raft", "storage-full", {{"error", errorOf(done).message}});
        }
        return;
    }
    if (wasStalled) {
        logChange("raft", "storage-regained", {{"vm", options.vm.value}});
    }
    reportChanges();
}

void ReplicatedLog::Private::reportChanges()
{
    const Core &core = replica->core();
    if (core.identity().admitted != recovered.identity.admitted) {
        recovered.identity = core.identity();
        logChange("raft", "admitted", {{"vm", options.vm.value}});
    }
    if (const std::string members = core.membership().SerializeAsString(); members != reportedMembership) {
        reportedMembership = members;
        std::string voters;
        for (const std::string &voter : core.membership().voters()) {
            voters += (voters.empty() ? "" : ",") + voter;
        }
        logChange("raft", "members", {{"voters", voters}, {"learners", std::to_string(core.membership().learners_size())}});
    }
    if (core.leader() == reportedLeader) {
        return;
    }
    reportedLeader = core.leader();
    logChange("raft", "leader", {{"leader", reportedLeader ? reportedLeader->value : "none"}, {"term", std::to_string(core.term())}});
    leaderChanged.emit(reportedLeader);
}

void ReplicatedLog::Private::handleStorageError(const Error &error)
{
    isStopped = true;
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
    d->recoverOrForm(now);
    d->flush(now);
}

void ReplicatedLog::step(const v1::RaftMessage &message, TimePoint now)
{
    const bool isFormation = message.kind() == v1::RaftMessage::FORM || message.kind() == v1::RaftMessage::FORM_REPLY;
    if (d->isStopped) {
        return;
    }
    if (isFormation) {
        d->handleFormation(message, now);
    } else if (message.kind() == v1::RaftMessage::STANDBY) {
        d->membershipRepair.recordOffer(VmName{message.from()}, message.incarnation(), now);
    } else if (d->replica) {
        d->replica->core().step(message, now);
        d->requestFlush();
    }
}

void ReplicatedLog::tick(TimePoint now)
{
    if (d->isStopped) {
        return;
    }
    if (d->formation && now >= d->nextFormRequestAt) {
        d->nextFormRequestAt = now + FormationInterval;
        for (v1::RaftMessage &request : d->formation->requests()) {
            d->sender.send(std::move(request));
        }
    }
    if (d->unsavedFormation) {
        const Private::FormationResult unsaved = *d->unsavedFormation;
        d->finishFormation(unsaved.membership, unsaved.isMember, now);
    }
    if (!d->replica) {
        return;
    }
    d->replica->core().tick(now);
    d->offerIfNotMember(now);
    d->proposeMembershipChange(now);
    d->requestFlush();
}

std::optional<Index> ReplicatedLog::propose(std::string command, TimePoint /*now*/)
{
    if (!d->replica || d->isStopped) {
        return {};
    }
    const auto index = d->replica->core().propose(std::move(command));
    d->requestFlush();
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
    return d->replica ? d->replica->appliedIndex() : 0;
}

bool ReplicatedLog::hasReadableState(TimePoint now) const
{
    return d->replica && !d->isStopped && !d->replica->isStalled() && d->replica->isReadable(now);
}

v1::Membership ReplicatedLog::membership() const
{
    return d->replica ? d->replica->core().membershipAt(d->replica->appliedIndex()) : v1::Membership();
}

LogPosition ReplicatedLog::appliedPosition() const
{
    if (!d->replica) {
        return {};
    }
    const Index index = d->replica->appliedIndex();
    return LogPosition{.term = d->replica->core().log().termAt(index).value_or(0), .index = index};
}

v1::Membership ReplicatedLog::newestMembership() const
{
    return d->replica ? d->replica->core().membership() : v1::Membership();
}

LogPosition ReplicatedLog::lastPosition() const
{
    if (!d->replica) {
        return {};
    }
    const MemoryLog &log = d->replica->core().log();
    return LogPosition{.term = log.lastTerm(), .index = log.lastIndex()};
}

Result<Index> ReplicatedLog::changeMembership(const v1::Membership &next, TimePoint now)
{
    if (!d->replica || d->isStopped) {
        return Error{ErrorKind::Unavailable, "the cluster is not formed yet: start all initial replicas"};
    }
    auto index = d->replica->core().changeMembership(next, now);
    d->requestFlush();
    return index;
}

bool ReplicatedLog::transferLeadership(TimePoint now)
{
    if (!d->replica || d->isStopped) {
        return false;
    }
    const auto successor = d->replica->core().bestSuccessor();
    const bool started = successor && d->replica->core().transferLeadership(*successor, now);
    d->requestFlush();
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

sigc::signal<std::string> &ReplicatedLog::snapshotRequested()
{
    return d->state.snapshotRequested;
}

sigc::signal<void, const std::string &> &ReplicatedLog::snapshotInstalled()
{
    return d->state.installed;
}

sigc::signal<void> &ReplicatedLog::flushRequested()
{
    return d->flushRequested;
}

sigc::signal<void, const Error &> &ReplicatedLog::failed()
{
    return d->failed;
}

}
