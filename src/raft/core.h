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
    /// A follower without contact with a leader for one to two timeouts starts an election; a leader without replies from a quorum for one
    /// timeout steps down.
    Duration electionTimeout = std::chrono::milliseconds(750);
    Duration heartbeatInterval = std::chrono::milliseconds(100);
    /// Limit on the commands in one append message.
    std::size_t maxBatchBytes = 256 << 10;
    /// Limit on unacknowledged appends to one follower; further entries wait for its replies.
    std::size_t maxInFlightAppends = 16;
    std::size_t maxChunkBytes = 256 << 10;
    /// A snapshot chunk without a reply within this time is assumed lost and is resent.
    Duration chunkTimeout = std::chrono::seconds(1);
    /// A learner that is at most this many entries behind the end of the log counts as caught up.
    Index maxPromotionLag = 64;
};

/// Work for the caller, in this order: send the messages, make the writes durable, call onSynced(), send messagesAfterSync, install the
/// snapshot, apply the committed entries.
struct Effects
{
    /// May be sent before the writes are durable.
    std::vector<v1::RaftMessage> messages;
    Writes writes;
    /// Votes, acknowledgements and every other message that depends on the writes: sent only after the writes are synced.
    std::vector<v1::RaftMessage> messagesAfterSync;
    /// Snapshot that replaces the applied state before the committed entries are applied; null when there is none.
    SnapshotPointer installedSnapshot;
    std::vector<EntryPointer> committedEntries;

    bool empty() const
    {
        return messages.empty() && writes.empty() && messagesAfterSync.empty() && !installedSnapshot && committedEntries.empty();
    }
};

/// The leader's view of one other member.
struct Progress
{
    enum class State {
        Probe, ///< the index up to which the logs agree is unknown: one empty append at a time
        Replicate, ///< appends are sent without waiting for replies
        Snapshot, ///< the member needs entries that were compacted away: it gets a snapshot in chunks
    };
    State state = State::Probe;
    Index matchIndex = 0;
    Index nextIndex = 1;
    /// Last index of each unacknowledged append, oldest first.
    std::deque<Index> inFlight;
    SnapshotPointer snapshot;
    std::size_t snapshotOffset = 0;
    /// When the chunk at snapshotOffset was last sent; empty if it was not sent yet.
    std::optional<TimePoint> chunkSentAt;
    TimePoint lastReplyAt;
    /// When the leader sent the newest heartbeat round that this member has answered.
    TimePoint ackedRoundSentAt = TimePoint::min();
    std::uint64_t incarnation = 0;
    bool admitted = true;
};

/// One replica of the log as a pure state machine: messages and the current time go in, messages and writes come out.
///
/// Implements Raft with these published extensions (chapters of the thesis): pre-vote (9.6), a leader that steps down without a quorum
/// (6.2), lease reads (6.4.1), pipelined and batched appends (10.2), leadership transfer (3.10), snapshots (5), and membership change one
/// server at a time (4) through learners that catch up first (4.2.1).
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

    /// Handles a message from another replica.
    void step(const v1::RaftMessage &message, TimePoint now);
    /// Starts elections, sends heartbeats and checks timeouts that are due. Call periodically.
    void tick(TimePoint now);
    /// Appends a command to the log of the leader and returns its index; empty if this replica is not the leader. The command may still be
    /// lost until it is committed.
    std::optional<Index> propose(std::string command);
    /// Sends the entries proposed since the last call, batched into as few messages as possible: call before takeEffects().
    void replicate(TimePoint now);
    /// Appends a membership change to the log. Errors: Unavailable (not the leader, or another change is in progress), Invalid (more than
    /// one voter differs, or a learner has not caught up).
    Result<Index> changeMembership(const v1::Membership &next, TimePoint now);
    /// Transfers leadership to a voter once that voter has the whole log; commands are rejected meanwhile. Returns false when this replica
    /// is not the leader or there is no such voter.
    bool transferLeadership(const VmName &to, TimePoint now);
    /// Returns the voter with the longest log: the best target of a leadership transfer.
    std::optional<VmName> bestSuccessor() const;

    /// Returns the effects accumulated since the last call.
    Effects takeEffects();
    /// Call once the writes returned by the last takeEffects() are durable.
    void onSynced(TimePoint now);
    /// Call once a snapshot of the applied state is durable: discards log entries up to keepAfter.
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
    Index commitIndex() const
    {
        return m_commitIndex;
    }
    const MemoryLog &log() const
    {
        return m_log;
    }
    const SnapshotPointer &snapshot() const
    {
        return m_snapshot;
    }
    /// The newest membership in the log, committed or not: a membership takes effect as soon as it is in the log.
    const v1::Membership &membership() const
    {
        return m_membership;
    }
    /// Returns the membership in effect at an applied index.
    v1::Membership membershipAt(Index index) const;
    bool membershipCommitted() const
    {
        return m_membershipIndex <= m_commitIndex;
    }
    const Identity &identity() const
    {
        return m_identity;
    }
    /// Progress by member; empty unless this replica is the leader.
    const std::map<VmName, Progress> &progress() const
    {
        return m_progress;
    }
    /// Returns whether the leader's lease is valid: no other leader can have committed anything, so reads of the applied state are
    /// linearizable once all committed entries are applied.
    bool holdsLease(TimePoint now) const;

private:
    // core.cpp
    bool isVoter(const VmName &vm) const;
    std::size_t quorum() const;
    void resetElectionDeadline(TimePoint now);
    void becomeFollower(Term term, std::optional<VmName> leader, TimePoint now);
    void setVote(Term term, const VmName &votedFor);
    v1::RaftMessage message(v1::RaftMessage::Kind kind, const VmName &to) const;
    void sendAfterSync(v1::RaftMessage &&message);
    void append(v1::LogEntry &&entry);
    void commitTo(Index index);
    void refreshMembership();
    bool isPlausible(const v1::RaftMessage &message) const;
    void stepCurrentTerm(const v1::RaftMessage &message, TimePoint now);

    // coreelection.cpp
    bool hasRecentLeaderContact(TimePoint now) const;
    bool isLogUpToDate(const v1::RaftMessage &candidate) const;
    void campaign(bool preVote, bool forced, TimePoint now);
    void handlePreVote(const v1::RaftMessage &request, TimePoint now);
    void handleVote(const v1::RaftMessage &request, TimePoint now);
    void handleVoteReply(const v1::RaftMessage &reply, TimePoint now);
    void requestVotes(bool preVote, bool forced);
    void queryForLeader(TimePoint now);
    void scheduleElection(TimePoint now);
    void recordNotLeading(const v1::RaftMessage &reply, TimePoint now);
    void becomeLeader(TimePoint now);

    // coreleader.cpp
    void broadcastHeartbeat(TimePoint now);
    void updateProgressTable(TimePoint now);
    void sendAppend(const VmName &to, bool heartbeat, TimePoint now);
    void sendSnapshotChunk(const VmName &to, Progress &progress, TimePoint now);
    void sendPendingEntries(const VmName &to, TimePoint now);
    void recordReply(Progress &progress, const v1::RaftMessage &reply, TimePoint now);
    void handleAppendReply(const v1::RaftMessage &reply, TimePoint now);
    void handleRejection(const VmName &from, Progress &progress, const v1::RaftMessage &reply, TimePoint now);
    void handleSnapshotReply(const v1::RaftMessage &reply, TimePoint now);
    void maybeCommit(TimePoint now);
    void tickLeader(TimePoint now);
    bool hasRecentQuorum(TimePoint now) const;
    TimePoint quorumRoundSentAt(TimePoint now) const;
    void continueTransfer(TimePoint now);

    // corefollower.cpp
    void handleAppend(const v1::RaftMessage &request, TimePoint now);
    void acknowledgeAppend(const VmName &leader, std::uint64_t round, Index match);
    void rejectAppend(const v1::RaftMessage &request);
    void handleSnapshot(const v1::RaftMessage &request, TimePoint now);
    void installSnapshot(const SnapshotPointer &snapshot);

    struct IncomingSnapshot
    {
        VmName from;
        Term leaderTerm = 0;
        std::shared_ptr<Snapshot> snapshot;
    };
    struct Transfer
    {
        VmName to;
        TimePoint deadline;
        bool timeoutNowSent = false;
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
    Index m_commitIndex = 0;
    /// Last committed index that takeEffects() has returned.
    Index m_lastReturnedIndex = 0;
    /// Last index that takeEffects() has returned for writing, and the last index known to be durable.
    Index m_writtenIndex = 0;
    Index m_durableIndex = 0;
    TimePoint m_electionDeadline;
    TimePoint m_lastLeaderContactAt;
    /// Random; differs at each start of the process.
    const std::uint64_t m_processId;
    /// True from a restart until this replica receives a message from a leader or grants a vote.
    bool m_isFreshlyRestarted = true;
    /// Set once no leader can still rely on a promise to withhold votes that this replica made before its restart.
    bool m_isVotePromiseOver = false;
    TimePoint m_nextLeaderQueryAt{};
    std::set<VmName> m_nonLeaders;
    std::optional<IncomingSnapshot> m_incomingSnapshot;

    bool m_isForcedElection = false;
    std::set<VmName> m_votes;

    std::map<VmName, Progress> m_progress;
    std::uint64_t m_round = 0;
    /// Number and send time of each recent heartbeat round, newest last.
    std::deque<std::pair<std::uint64_t, TimePoint>> m_recentRounds;
    TimePoint m_nextHeartbeatAt;
    Index m_termStartIndex = 0;
    std::optional<Transfer> m_transfer;

    Effects m_effects;
};

}
