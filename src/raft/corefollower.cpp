#include "raft/core.h"

namespace cumindyke::raft
{

void Core::handleAppend(const v1::RaftMessage &request, TimePoint now)
{
    if (m_role == Role::Leader) {
        return;
    }
    const VmName leader{request.from()};
    m_role = Role::Follower;
    m_leader = leader;
    m_lastLeaderContactAt = now;
    m_isFreshlyRestarted = false;
    resetElectionDeadline(now);
    // Committed entries are the same in every leader's log.
    if (request.previous_index() < m_commitIndex) {
        acknowledgeAppend(leader, request.round(), m_commitIndex);
        return;
    }
    if (m_log.termAt(request.previous_index()) != request.previous_term()) {
        rejectAppend(request);
        return;
    }
    for (const v1::LogEntry &entry : request.entries()) {
        if (m_log.termAt(entry.index()) == entry.term()) {
            continue;
        }
        if (entry.index() <= m_log.lastIndex()) {
            m_log.truncateAfter(entry.index() - 1);
            m_durableIndex = std::min(m_durableIndex, m_log.lastIndex());
            refreshMembership();
        }
        append(v1::LogEntry(entry));
    }
    const Index match = request.previous_index() + static_cast<Index>(request.entries_size());
    commitTo(std::min(request.commit(), match));
    acknowledgeAppend(leader, request.round(), match);
}

void Core::acknowledgeAppend(const VmName &leader, std::uint64_t round, Index match)
{
    v1::RaftMessage reply = message(v1::RaftMessage::APPEND_REPLY, leader);
    reply.set_granted(true);
    reply.set_round(round);
    reply.set_match_index(match);
    sendAfterSync(std::move(reply));
}

/// Rejects an append. Also sent to the leader of an older term, which learns the newer term from the reply.
void Core::rejectAppend(const v1::RaftMessage &request)
{
    v1::RaftMessage reply = message(v1::RaftMessage::APPEND_REPLY, VmName{request.from()});
    reply.set_round(request.term() == m_vote.term ? request.round() : 0);
    reply.set_previous_index(request.previous_index());
    // Last entry of this log that the leader may have: its term is not later than the term of the leader's previous entry.
    Index hint = std::min(request.previous_index() - 1, m_log.lastIndex());
    while (hint > m_commitIndex && *m_log.termAt(hint) > request.previous_term()) {
        --hint;
    }
    reply.set_match_index(hint);
    reply.set_previous_term(m_log.termAt(hint).value_or(0));
    sendAfterSync(std::move(reply));
}

/// Receives a snapshot chunk. Chunks must arrive in order; any other chunk is answered with the offset that is expected next. The snapshot
/// is acknowledged only after all of it is synced.
void Core::handleSnapshot(const v1::RaftMessage &request, TimePoint now)
{
    if (m_role == Role::Leader) {
        return;
    }
    const VmName leader{request.from()};
    m_role = Role::Follower;
    m_leader = leader;
    m_lastLeaderContactAt = now;
    m_isFreshlyRestarted = false;
    resetElectionDeadline(now);
    if (request.snapshot_index() <= m_commitIndex) {
        acknowledgeAppend(leader, request.round(), m_commitIndex);
        return;
    }
    const bool isSameTransfer = m_incomingSnapshot && m_incomingSnapshot->from == leader && m_incomingSnapshot->leaderTerm == request.term()
        && m_incomingSnapshot->snapshot->index == request.snapshot_index();
    if (!isSameTransfer) {
        m_incomingSnapshot = IncomingSnapshot{.from = leader, .leaderTerm = request.term(), .snapshot = std::make_shared<Snapshot>()};
        m_incomingSnapshot->snapshot->index = request.snapshot_index();
        m_incomingSnapshot->snapshot->term = request.snapshot_term();
    }
    std::string &state = m_incomingSnapshot->snapshot->state;
    const bool isNextChunk = request.has_snapshot_membership() && request.snapshot_offset() == state.size();
    if (isNextChunk) {
        state += request.snapshot_chunk();
    }
    if (isNextChunk && request.snapshot_last()) {
        m_incomingSnapshot->snapshot->membership = request.snapshot_membership();
        installSnapshot(m_incomingSnapshot->snapshot);
        m_incomingSnapshot.reset();
        acknowledgeAppend(leader, request.round(), m_commitIndex);
        return;
    }
    v1::RaftMessage reply = message(v1::RaftMessage::SNAPSHOT_REPLY, leader);
    reply.set_round(request.round());
    reply.set_snapshot_index(request.snapshot_index());
    reply.set_snapshot_offset(state.size());
    sendAfterSync(std::move(reply));
}

void Core::installSnapshot(const SnapshotPointer &snapshot)
{
    m_effects.writes.snapshot = snapshot;
    m_effects.installedSnapshot = snapshot;
    // Keep the entries after the snapshot if the log agrees with the snapshot: they may have been acknowledged.
    if (m_log.termAt(snapshot->index) != snapshot->term) {
        m_effects.writes.resetLog = true;
        m_effects.writes.entries.clear();
        m_log.reset(snapshot->index, snapshot->term);
        m_durableIndex = std::min(m_durableIndex, snapshot->index);
    }
    m_snapshot = snapshot;
    m_lastReturnedIndex = snapshot->index;
    refreshMembership();
    commitTo(snapshot->index);
}

}
