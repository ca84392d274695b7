#pragma once

#include "raft/memorylog.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace cumindyke::raft
{

struct CoreOptions
{
    VmName self;
    /// A follower that heard no leader for one to two of these asks for an election; a leader that heard no quorum for one steps down.
    Duration electionTimeout = std::chrono::milliseconds(750);
    Duration heartbeat = std::chrono::milliseconds(100);
    /// Commands in one message.
    std::size_t maxBatchBytes = 256 << 10;
    /// Appends under way to one follower; more wait for its replies.
    std::size_t maxInFlight = 16;
    std::size_t chunkBytes = 256 << 10;
    /// A chunk of a snapshot that was not answered for so long is taken for lost.
    Duration chunkResend = std::chrono::seconds(1);
    /// A learner this close to the end of the log has caught up.
    Index maxPromotionLag = 64;
};

/// What the caller must do, in this order: send messages, make writes durable, call synced(), send promises, apply.
struct Effects
{
    /// They promise nothing that is not durable already.
    std::vector<v1::RaftMessage> messages;
    Writes writes;
    /// Votes and acknowledgements: only after the writes are synced.
    std::vector<v1::RaftMessage> promises;
    /// Replaces the state before the entries are applied.
    SnapshotPointer installed;
    std::vector<EntryPointer> committed;

    bool empty() const
    {
        return messages.empty() && writes.empty() && promises.empty() && !installed && committed.empty();
    }
};

/// What the leader knows of one other member.
struct Progress
{
    enum class State {
        Probe, ///< where its log agrees is not known: one empty append at a time
        Replicate, ///< appends are sent without waiting for replies
        Snapshot, ///< it needs entries that are dropped: chunks of a snapshot are sent
    };
    State state = State::Probe;
    Index match = 0;
    Index next = 1;
    /// Last index of each append under way.
    std::deque<Index> inFlight;
    SnapshotPointer snapshot;
    std::size_t snapshotOffset = 0;
    /// When the chunk at the offset was sent last; none since the offset changed.
    std::optional<TimePoint> chunkSentAt;
    TimePoint lastReply;
    /// When the leader sent the newest round that the member has answered.
    TimePoint ackedRoundSentAt = TimePoint::min();
    std::uint64_t incarnation = 0;
    bool admitted = true;
};

/// One replica of the log, pure: messages and the time come in, messages and writes come out.
///
/// Raft with these of its published extensions (chapters of the thesis): pre-vote (9.6), a leader that steps down without a quorum
/// (6.2), lease reads (6.4.1), pipelined and batched appends (10.2), leadership transfer (3.10), snapshots (5), and membership change
/// one server at a time (4) through learners that catch up first (4.2.1).
class Core
{
public:
    enum class Role {
        Follower,
        PreCandidate,
        Candidate,
        Leader,
    };

    Core(CoreOptions options, const Recovered &recovered, std::uint64_t seed, TimePoint now);

    void step(const v1::RaftMessage &message, TimePoint now);
    void tick(TimePoint now);
    /// Only on the leader: adds a command to the log. It may still be lost until it comes back as committed.
    std::optional<Index> propose(std::string command);
    /// Sends what was proposed since, as few messages: call before takeEffects().
    void replicate(TimePoint now);
    /// Errors: Unavailable (not the leader, or a change is under way), Invalid (more than one voter differs, or a learner is behind).
    Result<Index> changeMembership(const v1::Membership &next, TimePoint now);
    /// Hands leadership over when the voter has the whole log; no commands are taken meanwhile. False: not the leader, or no such voter.
    bool transferLeadership(const VmName &to, TimePoint now);
    /// The voter with the longest log.
    std::optional<VmName> bestSuccessor() const;

    Effects takeEffects();
    /// What the last takeEffects() handed out to write is durable.
    void synced(TimePoint now);
    /// A snapshot of the applied state is durable: entries up to keepAfter may go.
    void compact(SnapshotPointer snapshot, Index keepAfter);

    Role role() const
    {
        return m_role;
    }
    Term term() const
    {
        return m_vote.term;
    }
    const std::optional<VmName> &leader() const
    {
        return m_leader;
    }
    Index commit() const
    {
        return m_commit;
    }
    const MemoryLog &log() const
    {
        return m_log;
    }
    const SnapshotPointer &snapshot() const
    {
        return m_snapshot;
    }
    /// The newest members in the log, committed or not: they are in force from the moment they are in the log.
    const v1::Membership &membership() const
    {
        return m_membership;
    }
    /// The members that the entries up to an applied index add up to.
    v1::Membership membershipAt(Index index) const;
    bool membershipCommitted() const
    {
        return m_membershipIndex <= m_commit;
    }
    const Identity &identity() const
    {
        return m_identity;
    }
    /// By member; empty on all but the leader.
    const std::map<VmName, Progress> &progress() const
    {
        return m_progress;
    }
    /// No other leader can have committed anything: reads of the applied state are linearizable once all that is committed is applied.
    bool leaseHeld(TimePoint now) const;

private:
    // core.cpp
    bool isVoter(const VmName &vm) const;
    std::size_t quorum() const;
    void resetElectionDeadline(TimePoint now);
    void becomeFollower(Term term, std::optional<VmName> leader, TimePoint now);
    void setVote(Term term, const VmName &votedFor);
    v1::RaftMessage message(v1::RaftMessage::Kind kind, const VmName &to) const;
    void promise(v1::RaftMessage &&message);
    void append(v1::LogEntry &&entry);
    void commitTo(Index index);
    void refreshMembership();
    bool plausible(const v1::RaftMessage &message) const;
    void stepCurrentTerm(const v1::RaftMessage &message, TimePoint now);

    // coreelection.cpp
    bool heardLeader(TimePoint now) const;
    bool logUpToDate(const v1::RaftMessage &candidate) const;
    void campaign(bool preVote, bool forced, TimePoint now);
    void handlePreVote(const v1::RaftMessage &request, TimePoint now);
    void handleVote(const v1::RaftMessage &request, TimePoint now);
    void handleVoteReply(const v1::RaftMessage &reply, TimePoint now);
    void askForVotes(bool preVote, bool forced);
    void askWhoLeads(TimePoint now);
    void standSoon(TimePoint now);
    void noteNotLeading(const v1::RaftMessage &reply, TimePoint now);
    void becomeLeader(TimePoint now);

    // coreleader.cpp
    void broadcast(TimePoint now);
    void syncProgress(TimePoint now);
    void sendAppend(const VmName &to, bool heartbeat, TimePoint now);
    void sendChunk(const VmName &to, Progress &progress, TimePoint now);
    void sendMore(const VmName &to, TimePoint now);
    void noteReply(Progress &progress, const v1::RaftMessage &reply, TimePoint now);
    void handleAppendReply(const v1::RaftMessage &reply, TimePoint now);
    void handleRejection(const VmName &from, Progress &progress, const v1::RaftMessage &reply, TimePoint now);
    void handleSnapshotReply(const v1::RaftMessage &reply, TimePoint now);
    void maybeCommit(TimePoint now);
    void tickLeader(TimePoint now);
    bool quorumHeard(TimePoint now) const;
    TimePoint quorumRoundSentAt(TimePoint now) const;
    void continueTransfer(TimePoint now);

    // corefollower.cpp
    void handleAppend(const v1::RaftMessage &request, TimePoint now);
    void acknowledge(const VmName &leader, std::uint64_t round, Index match);
    void rejectAppend(const v1::RaftMessage &request);
    void handleSnapshot(const v1::RaftMessage &request, TimePoint now);
    void install(const SnapshotPointer &snapshot);

    struct Incoming
    {
        VmName from;
        Term leaderTerm = 0;
        std::shared_ptr<Snapshot> snapshot;
    };
    struct Transfer
    {
        VmName to;
        TimePoint deadline;
        bool ordered = false;
    };

    const CoreOptions m_options;
    std::mt19937_64 m_random;

    Identity m_identity;
    Vote m_vote;
    MemoryLog m_log;
    SnapshotPointer m_snapshot;
    v1::Membership m_membership;
    Index m_membershipIndex = 0;

    Role m_role = Role::Follower;
    std::optional<VmName> m_leader;
    Index m_commit = 0;
    /// Committed and handed out.
    Index m_handedOut = 0;
    /// Handed out to write, and known to be durable.
    Index m_written = 0;
    Index m_durable = 0;
    TimePoint m_electionDeadline;
    TimePoint m_lastLeaderContact;
    /// Differs at each start of the process.
    const std::uint64_t m_process;
    /// Since the restart, no leader was heard and no vote given.
    bool m_restarted = true;
    /// Nobody can stand any more on a promise that this replica made before its restart.
    bool m_promiseOver = false;
    TimePoint m_askAgainAt{};
    std::set<VmName> m_notLeading;
    std::optional<Incoming> m_incoming;

    bool m_forced = false;
    std::set<VmName> m_votes;

    std::map<VmName, Progress> m_progress;
    std::uint64_t m_round = 0;
    /// When each recent round was sent, newest last.
    std::deque<std::pair<std::uint64_t, TimePoint>> m_rounds;
    TimePoint m_heartbeatDue;
    Index m_termStart = 0;
    std::optional<Transfer> m_transfer;

    Effects m_effects;
};

}
