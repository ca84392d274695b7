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
    m_lastLeaderContact = now;
    m_restarted = false;
    resetElectionDeadline(now);
    // What is committed agrees with every leader's log.
    if (request.previous_index() < m_commit) {
        acknowledge(leader, request.round(), m_commit);
        return;
    }
    if (m_log.term(request.previous_index()) != request.previous_term()) {
        rejectAppend(request);
        return;
    }
    for (const v1::LogEntry &entry : request.entries()) {
        if (m_log.term(entry.index()) == entry.term()) {
            continue;
        }
        if (entry.index() <= m_log.last()) {
            m_log.truncateAfter(entry.index() - 1);
            m_durable = std::min(m_durable, m_log.last());
            refreshMembership();
        }
        append(v1::LogEntry(entry));
    }
    const Index match = request.previous_index() + static_cast<Index>(request.entries_size());
    commitTo(std::min(request.commit(), match));
    acknowledge(leader, request.round(), match);
}

void Core::acknowledge(const VmName &leader, std::uint64_t round, Index match)
{
    v1::RaftMessage reply = message(v1::RaftMessage::APPEND_REPLY, leader);
    reply.set_granted(true);
    reply.set_round(round);
    reply.set_match_index(match);
    promise(std::move(reply));
}

/// Also the answer to a leader of an older term, which learns the newer one from it.
void Core::rejectAppend(const v1::RaftMessage &request)
{
    v1::RaftMessage reply = message(v1::RaftMessage::APPEND_REPLY, VmName{request.from()});
    reply.set_round(request.term() == m_vote.term ? request.round() : 0);
    reply.set_previous_index(request.previous_index());
    // The last entry here that the leader may have: none of a later term than the one it named.
    Index hint = std::min(request.previous_index() - 1, m_log.last());
    while (hint > m_commit && *m_log.term(hint) > request.previous_term()) {
        --hint;
    }
    reply.set_match_index(hint);
    reply.set_previous_term(m_log.term(hint).value_or(0));
    promise(std::move(reply));
}

/// Chunks come in order or are refused by naming the offset that is wanted. Nothing is promised before the whole is synced.
void Core::handleSnapshot(const v1::RaftMessage &request, TimePoint now)
{
    if (m_role == Role::Leader) {
        return;
    }
    const VmName leader{request.from()};
    m_role = Role::Follower;
    m_leader = leader;
    m_lastLeaderContact = now;
    m_restarted = false;
    resetElectionDeadline(now);
    if (request.snapshot_index() <= m_commit) {
        acknowledge(leader, request.round(), m_commit);
        return;
    }
    const bool sameStream
        = m_incoming && m_incoming->from == leader && m_incoming->leaderTerm == request.term() && m_incoming->snapshot->index == request.snapshot_index();
    if (!sameStream) {
        m_incoming = Incoming{.from = leader, .leaderTerm = request.term(), .snapshot = std::make_shared<Snapshot>()};
        m_incoming->snapshot->index = request.snapshot_index();
        m_incoming->snapshot->term = request.snapshot_term();
    }
    std::string &state = m_incoming->snapshot->state;
    const bool next = request.has_snapshot_membership() && request.snapshot_offset() == state.size();
    if (next) {
        state += request.snapshot_chunk();
    }
    if (next && request.snapshot_last()) {
        m_incoming->snapshot->membership = request.snapshot_membership();
        install(m_incoming->snapshot);
        m_incoming.reset();
        acknowledge(leader, request.round(), m_commit);
        return;
    }
    v1::RaftMessage reply = message(v1::RaftMessage::SNAPSHOT_REPLY, leader);
    reply.set_round(request.round());
    reply.set_snapshot_index(request.snapshot_index());
    reply.set_snapshot_offset(state.size());
    promise(std::move(reply));
}

void Core::install(const SnapshotPointer &snapshot)
{
    m_effects.writes.snapshot = snapshot;
    m_effects.installed = snapshot;
    // Entries after the snapshot that agree with it are kept: they may have been acknowledged.
    if (m_log.term(snapshot->index) != snapshot->term) {
        m_effects.writes.resetLog = true;
        m_effects.writes.entries.clear();
        m_log.reset(snapshot->index, snapshot->term);
        m_durable = std::min(m_durable, snapshot->index);
    }
    m_snapshot = snapshot;
    m_handedOut = snapshot->index;
    refreshMembership();
    commitTo(snapshot->index);
}

}
