#include "raft/core.h"

#include <algorithm>

namespace cumindyke::raft
{

namespace
{

/// No cluster reaches this term by elections. The limit keeps the next term from overflowing.
constexpr Term MaxTerm = Term(1) << 62;
/// Covers several round trips and syncs, and is short compared with the election timeout.
constexpr Duration RestartElectionInterval = std::chrono::milliseconds(80);

}

Core::Core(CoreOptions options, const Recovered &recovered, std::uint64_t seed, TimePoint now)
    : m_options(std::move(options))
    , m_random(seed)
    , m_identity(recovered.identity)
    , m_vote(recovered.vote)
    , m_log(recovered.baseIndex, recovered.baseTerm, recovered.entries)
    , m_snapshot(recovered.snapshot)
    , m_commitIndex(m_snapshot->index)
    , m_lastReturnedIndex(m_snapshot->index)
    , m_writtenIndex(m_log.lastIndex())
    , m_durableIndex(m_log.lastIndex())
    // Before a restart, this replica may have promised a leader to withhold its vote (hasRecentLeaderContact). It keeps that promise for
    // the longest time it can have been made for, or until it knows that no leader is left (queryForLeader). Otherwise a new leader could
    // be elected while the old one still serves reads under its lease.
    , m_lastLeaderContactAt(now)
    , m_processId(m_random())
{
    refreshMembership();
    resetElectionDeadline(now);
    if (quorum() == 1 && isVoter(m_options.self)) {
        m_electionDeadline = now;
    }
}

bool Core::isVoter(const VmName &vm) const
{
    return std::ranges::find(m_membership.voters(), vm.value) != m_membership.voters().end();
}

std::size_t Core::quorum() const
{
    return static_cast<std::size_t>(m_membership.voters_size()) / 2 + 1;
}

void Core::resetElectionDeadline(TimePoint now)
{
    const auto range = static_cast<std::uint64_t>(m_options.electionTimeout.count());
    m_electionDeadline = now + m_options.electionTimeout + Duration(static_cast<Duration::rep>(m_random() % range));
}

void Core::setVote(Term term, const VmName &votedFor)
{
    m_vote = Vote{.term = term, .votedFor = votedFor};
    m_effects.writes.vote = m_vote;
}

void Core::becomeFollower(Term term, std::optional<VmName> leader, TimePoint now)
{
    if (term > m_vote.term) {
        setVote(term, {});
    }
    m_role = Role::Follower;
    m_leader = std::move(leader);
    m_progress.clear();
    m_transfer.reset();
    m_votes.clear();
    resetElectionDeadline(now);
}

v1::RaftMessage Core::message(v1::RaftMessage::Kind kind, const VmName &to) const
{
    v1::RaftMessage message;
    message.set_kind(kind);
    message.set_from(m_options.self.value);
    message.set_to(to.value);
    message.set_term(m_vote.term);
    message.set_incarnation(m_identity.incarnation);
    message.set_admitted(m_identity.admitted);
    return message;
}

void Core::sendAfterSync(v1::RaftMessage &&message)
{
    m_effects.messagesAfterSync.push_back(std::move(message));
}

void Core::append(v1::LogEntry &&entry)
{
    const Index index = entry.index();
    std::vector<EntryPointer> &pendingEntries = m_effects.writes.entries;
    while (!pendingEntries.empty() && pendingEntries.back()->index() >= index) {
        pendingEntries.pop_back();
    }
    auto pointer = std::make_shared<const v1::LogEntry>(std::move(entry));
    pendingEntries.push_back(pointer);
    m_log.append(pointer);
    if (pointer->has_membership()) {
        m_membership = pointer->membership();
        m_membershipIndex = index;
    }
}

/// Reloads the newest membership from the log after a restart, a truncation or a snapshot.
void Core::refreshMembership()
{
    for (Index index = m_log.lastIndex(); index > std::max(m_snapshot->index, m_log.baseIndex()); --index) {
        if (m_log.at(index)->has_membership()) {
            m_membership = m_log.at(index)->membership();
            m_membershipIndex = index;
            return;
        }
    }
    m_membership = m_snapshot->membership;
    m_membershipIndex = m_snapshot->index;
}

v1::Membership Core::membershipAt(Index index) const
{
    for (; index > std::max(m_snapshot->index, m_log.baseIndex()); --index) {
        if (m_log.at(index)->has_membership()) {
            return m_log.at(index)->membership();
        }
    }
    return m_snapshot->membership;
}

void Core::commitTo(Index index)
{
    m_commitIndex = std::max(m_commitIndex, std::min(index, m_log.lastIndex()));
    // A replica with a new data folder may vote once its admission is committed: the quorum that committed the admission counts no vote
    // made from the lost folder.
    if (!m_identity.admitted && m_membershipIndex <= m_commitIndex) {
        const auto known = m_membership.incarnations().find(m_options.self.value);
        if (known != m_membership.incarnations().end() && known->second == m_identity.incarnation) {
            m_identity.admitted = true;
            m_effects.writes.identity = m_identity;
        }
    }
}

std::optional<Index> Core::propose(std::string command)
{
    if (m_role != Role::Leader || m_transfer) {
        return {};
    }
    v1::LogEntry entry;
    entry.set_term(m_vote.term);
    entry.set_index(m_log.lastIndex() + 1);
    entry.set_command(std::move(command));
    append(std::move(entry));
    return m_log.lastIndex();
}

void Core::replicate(TimePoint now)
{
    if (m_role != Role::Leader) {
        return;
    }
    for (const auto &[member, progress] : m_progress) {
        sendPendingEntries(member, now);
    }
}

Result<Index> Core::changeMembership(const v1::Membership &next, TimePoint now)
{
    // A leader changes the membership only after it has committed an entry of its own term. Otherwise changes of two leaders could overlap
    // without a common quorum (Ongaro's correction of 2015).
    const bool canChange = m_role == Role::Leader && !m_transfer && membershipCommitted() && m_commitIndex >= m_termStartIndex;
    if (!canChange) {
        return Error{ErrorKind::Unavailable, "not the leader, or a membership change is in progress: try again in a second"};
    }
    const std::set<std::string> oldVoters(m_membership.voters().begin(), m_membership.voters().end());
    const std::set<std::string> newVoters(next.voters().begin(), next.voters().end());
    std::vector<std::string> changed;
    std::ranges::set_symmetric_difference(oldVoters, newVoters, std::back_inserter(changed));
    if (changed.size() > 1 || newVoters.empty()) {
        return Error{ErrorKind::Invalid, "more than one voter would change: change one at a time"};
    }
    if (!changed.empty() && newVoters.contains(changed[0])) {
        const auto learner = m_progress.find(VmName{changed[0]});
        const bool hasReplicated = learner != m_progress.end() && learner->second.state == Progress::State::Replicate && learner->second.admitted;
        if (!hasReplicated || learner->second.matchIndex + m_options.maxPromotionLag < m_log.lastIndex()) {
            return Error{ErrorKind::Invalid, "'" + changed[0] + "' has not caught up: add it as a learner and wait"};
        }
    }
    v1::LogEntry entry;
    entry.set_term(m_vote.term);
    entry.set_index(m_log.lastIndex() + 1);
    *entry.mutable_membership() = next;
    append(std::move(entry));
    updateProgressTable(now);
    return m_log.lastIndex();
}

Effects Core::takeEffects()
{
    while (m_lastReturnedIndex < m_commitIndex) {
        m_effects.committedEntries.push_back(m_log.at(++m_lastReturnedIndex));
    }
    m_writtenIndex = m_log.lastIndex();
    // Messages carry the term. A term that is not durable must not reach other replicas: after a crash it would be used a second time.
    if (m_effects.writes.vote) {
        m_effects.messagesAfterSync.insert(m_effects.messagesAfterSync.begin(), m_effects.messages.begin(), m_effects.messages.end());
        m_effects.messages.clear();
    }
    Effects effects;
    std::swap(effects, m_effects);
    return effects;
}

void Core::onSynced(TimePoint now)
{
    m_durableIndex = m_writtenIndex;
    if (m_role == Role::Leader) {
        maybeCommit(now);
    }
}

void Core::compact(SnapshotPointer snapshot, Index keepAfter)
{
    m_snapshot = std::move(snapshot);
    m_log.compact(std::min(keepAfter, m_snapshot->index));
}

void Core::tick(TimePoint now)
{
    if (m_role == Role::Leader) {
        tickLeader(now);
        return;
    }
    queryForLeader(now);
    if (now < m_electionDeadline) {
        return;
    }
    resetElectionDeadline(now);
    if (isVoter(m_options.self) && m_identity.admitted) {
        campaign(quorum() > 1, false, now);
    } else {
        // Nobody tells a replica that is no voter about the end of its leader: the next leader may not know this replica. While it names
        // a leader, its VM asks no other VM for a lease and makes no offer.
        m_leader.reset();
    }
    if (m_isFreshlyRestarted) {
        // The other voters' promises expire at different times after the restart. A pre-vote is cheap, so the election is retried soon.
        m_electionDeadline
            = now + RestartElectionInterval + Duration(static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(RestartElectionInterval.count())));
    }
}

/// Returns whether a message can come from a replica that follows the protocol. Peers are trusted, but another version of the program may
/// be faulty: an implausible message is dropped like a lost one, so that it can neither crash this replica nor corrupt its log.
bool Core::isPlausible(const v1::RaftMessage &message) const
{
    if (message.term() > MaxTerm || message.from() == m_options.self.value) {
        return false;
    }
    if (message.kind() == v1::RaftMessage::APPEND_REPLY && message.term() == m_vote.term && message.granted()) {
        return message.match_index() <= m_log.lastIndex();
    }
    Index index = message.previous_index();
    Term term = message.previous_term();
    for (const v1::LogEntry &entry : message.entries()) {
        if (entry.index() != ++index || entry.term() < term || entry.term() > message.term()) {
            return false;
        }
        term = entry.term();
    }
    return true;
}

void Core::step(const v1::RaftMessage &message, TimePoint now)
{
    using Kind = v1::RaftMessage;
    if (!isPlausible(message)) {
        return;
    }
    const VmName from{message.from()};
    if (message.kind() == Kind::PRE_VOTE) {
        handlePreVote(message, now);
        return;
    }
    if (message.kind() == Kind::PRE_VOTE_REPLY) {
        recordNotLeading(message, now);
    }
    if (message.term() > m_vote.term) {
        if (message.kind() == Kind::PRE_VOTE_REPLY && message.granted()) {
            handleVoteReply(message, now);
            return;
        }
        // An election started by a removed or partitioned replica must not end a healthy leader's term; otherwise the leader would change
        // each time that replica reconnects. Only an election that the leader itself requested is accepted.
        if (message.kind() == Kind::VOTE && !message.forced() && hasRecentLeaderContact(now)) {
            return;
        }
        const bool fromLeader = message.kind() == Kind::APPEND || message.kind() == Kind::SNAPSHOT;
        becomeFollower(message.term(), fromLeader ? std::optional(from) : std::nullopt, now);
    }
    if (message.term() < m_vote.term) {
        if (message.kind() == Kind::APPEND || message.kind() == Kind::SNAPSHOT) {
            rejectAppend(message);
        }
        return;
    }
    stepCurrentTerm(message, now);
}

void Core::stepCurrentTerm(const v1::RaftMessage &message, TimePoint now)
{
    using Kind = v1::RaftMessage;
    switch (message.kind()) {
    case Kind::VOTE:
        handleVote(message, now);
        break;
    case Kind::VOTE_REPLY:
        handleVoteReply(message, now);
        break;
    case Kind::APPEND:
        handleAppend(message, now);
        break;
    case Kind::SNAPSHOT:
        handleSnapshot(message, now);
        break;
    case Kind::APPEND_REPLY:
        handleAppendReply(message, now);
        break;
    case Kind::SNAPSHOT_REPLY:
        handleSnapshotReply(message, now);
        break;
    case Kind::TIMEOUT_NOW:
        if (m_role == Role::Follower && isVoter(m_options.self) && m_identity.admitted) {
            campaign(false, true, now);
        }
        break;
    default:
        break;
    }
}

}
