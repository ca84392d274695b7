#include "raft/core.h"

namespace cumindyke::raft
{

/// While this holds, the replica votes for nobody: the leader's lease stands on it.
bool Core::heardLeader(TimePoint now) const
{
    return m_role == Role::Leader || now < m_lastLeaderContact + m_options.electionTimeout;
}

bool Core::logUpToDate(const v1::RaftMessage &candidate) const
{
    if (candidate.previous_term() != m_log.lastTerm()) {
        return candidate.previous_term() > m_log.lastTerm();
    }
    return candidate.previous_index() >= m_log.last();
}

/// A pre-vote asks whether an election could be won and changes nothing, so that a replica that can't win doesn't raise the term.
void Core::campaign(bool preVote, bool forced, TimePoint now)
{
    m_role = preVote ? Role::PreCandidate : Role::Candidate;
    m_leader.reset();
    m_forced = forced;
    m_votes = {m_options.self};
    if (!preVote) {
        setVote(m_vote.term + 1, m_options.self);
    }
    resetElectionDeadline(now);
    if (m_votes.size() >= quorum()) {
        becomeLeader(now);
        return;
    }
    for (const std::string &voter : m_membership.voters()) {
        if (voter == m_options.self.value) {
            continue;
        }
        v1::RaftMessage request = message(preVote ? v1::RaftMessage::PRE_VOTE : v1::RaftMessage::VOTE, VmName{voter});
        request.set_term(preVote ? m_vote.term + 1 : m_vote.term);
        request.set_previous_index(m_log.last());
        request.set_previous_term(m_log.lastTerm());
        request.set_forced(forced);
        promise(std::move(request));
    }
}

void Core::handlePreVote(const v1::RaftMessage &request, TimePoint now)
{
    const bool grant = m_identity.admitted && request.term() > m_vote.term && !heardLeader(now) && logUpToDate(request);
    v1::RaftMessage reply = message(v1::RaftMessage::PRE_VOTE_REPLY, VmName{request.from()});
    reply.set_granted(grant);
    if (grant) {
        reply.set_term(request.term());
    }
    promise(std::move(reply));
}

void Core::handleVote(const v1::RaftMessage &request, TimePoint now)
{
    const VmName candidate{request.from()};
    const bool free = m_vote.votedFor == candidate || (m_vote.votedFor.value.empty() && !m_leader);
    const bool grant = m_identity.admitted && free && logUpToDate(request) && (request.forced() || !heardLeader(now));
    if (grant) {
        setVote(m_vote.term, candidate);
        resetElectionDeadline(now);
    }
    v1::RaftMessage reply = message(v1::RaftMessage::VOTE_REPLY, candidate);
    reply.set_granted(grant);
    promise(std::move(reply));
}

void Core::handleVoteReply(const v1::RaftMessage &reply, TimePoint now)
{
    const bool preVote = reply.kind() == v1::RaftMessage::PRE_VOTE_REPLY;
    const bool awaited = preVote ? m_role == Role::PreCandidate && reply.term() == m_vote.term + 1 : m_role == Role::Candidate;
    if (!awaited || !reply.granted() || !isVoter(VmName{reply.from()})) {
        return;
    }
    m_votes.insert(VmName{reply.from()});
    if (m_votes.size() < quorum()) {
        return;
    }
    if (preVote) {
        campaign(false, false, now);
    } else {
        becomeLeader(now);
    }
}

void Core::becomeLeader(TimePoint now)
{
    m_role = Role::Leader;
    m_leader = m_options.self;
    m_transfer.reset();
    m_progress.clear();
    m_rounds.clear();
    syncProgress(now);
    // An entry of its own term, since earlier ones are committed only through it (thesis 3.6.2).
    v1::LogEntry entry;
    entry.set_term(m_vote.term);
    entry.set_index(m_log.last() + 1);
    append(std::move(entry));
    m_termStart = m_log.last();
    broadcast(now);
}

}
