#include "raft/core.h"

#include <algorithm>

namespace cumindyke::raft
{

namespace
{

/// When all replicas restart together, they are reachable again within some tenths of a second.
constexpr Duration LeaderQueryInterval = std::chrono::milliseconds(40);
/// Delay between the elections of replicas that learn at the same moment that there is no leader: one election takes several round trips
/// and syncs.
constexpr Duration CandidateStagger = std::chrono::milliseconds(60);

}

/// While this returns true, the replica grants no vote. The leader's lease relies on that.
bool Core::hasRecentLeaderContact(TimePoint now) const
{
    return m_role == Role::Leader || now < m_lastLeaderContactAt + m_options.electionTimeout;
}

bool Core::isLogUpToDate(const v1::RaftMessage &candidate) const
{
    if (candidate.previous_term() != m_log.lastTerm()) {
        return candidate.previous_term() > m_log.lastTerm();
    }
    return candidate.previous_index() >= m_log.lastIndex();
}

/// Starts an election or a pre-vote. A pre-vote asks whether an election could be won and changes no state, so that a replica that can't
/// win doesn't raise the term.
void Core::campaign(bool preVote, bool forced, TimePoint now)
{
    m_role = preVote ? Role::PreCandidate : Role::Candidate;
    m_leader.reset();
    m_isForcedElection = forced;
    m_votes = {m_options.self};
    if (!preVote) {
        setVote(m_vote.term + 1, m_options.self);
    }
    resetElectionDeadline(now);
    if (m_votes.size() >= quorum()) {
        becomeLeader(now);
        return;
    }
    requestVotes(preVote, forced);
}

void Core::requestVotes(bool preVote, bool forced)
{
    for (const std::string &voter : m_membership.voters()) {
        if (voter == m_options.self.value) {
            continue;
        }
        v1::RaftMessage request = message(preVote ? v1::RaftMessage::PRE_VOTE : v1::RaftMessage::VOTE, VmName{voter});
        request.set_term(preVote ? m_vote.term + 1 : m_vote.term);
        request.set_previous_index(m_log.lastIndex());
        request.set_previous_term(m_log.lastTerm());
        request.set_forced(forced);
        request.set_process(m_processId);
        sendAfterSync(std::move(request));
    }
}

/// After a restart, this replica withholds its vote for as long as it may have promised a leader to. When all replicas were killed at once,
/// no leader is left, yet each replica would wait for its promise to expire, and callers got no service for half a second longer. So each
/// replica asks the others whether they lead. Once every other voter has denied that to this process, no leader can still rely on a promise
/// from before the restart: such a leader would have been leading at the time of its reply. While any voter does not reply, the replica
/// waits for the promise to expire.
void Core::queryForLeader(TimePoint now)
{
    if (!m_isFreshlyRestarted || now < m_nextLeaderQueryAt || !isVoter(m_options.self) || !m_identity.admitted) {
        return;
    }
    m_nextLeaderQueryAt = now + LeaderQueryInterval;
    if (hasRecentLeaderContact(now)) {
        requestVotes(true, false);
    } else if (!m_isVotePromiseOver) {
        scheduleElection(now);
    }
}

/// Schedules an election. Replicas that learn at the same moment that there is no leader start their elections one after the other;
/// otherwise they would split the vote.
void Core::scheduleElection(TimePoint now)
{
    m_isVotePromiseOver = true;
    const auto votersBefore = std::ranges::count_if(m_membership.voters(), [this](const std::string &voter) { return voter < m_options.self.value; });
    m_electionDeadline = std::min(m_electionDeadline, now + votersBefore * CandidateStagger);
}

void Core::recordNotLeading(const v1::RaftMessage &reply, TimePoint now)
{
    // A leader that replicated an entry to this replica is a member in this replica's membership. The leader of a later term need not be.
    const bool knowsLastLeader = m_log.lastTerm() == m_vote.term;
    if (!m_isFreshlyRestarted || m_isVotePromiseOver || reply.process() != m_processId || reply.leads() || !knowsLastLeader) {
        return;
    }
    m_nonLeaders.insert(VmName{reply.from()});
    const bool allDenied = std::ranges::all_of(
        m_membership.voters(), [this](const std::string &voter) { return voter == m_options.self.value || m_nonLeaders.contains(VmName{voter}); });
    if (allDenied) {
        m_lastLeaderContactAt = now - m_options.electionTimeout;
        scheduleElection(now);
    }
}

void Core::handlePreVote(const v1::RaftMessage &request, TimePoint now)
{
    const bool grant = m_identity.admitted && request.term() > m_vote.term && !hasRecentLeaderContact(now) && isLogUpToDate(request);
    v1::RaftMessage reply = message(v1::RaftMessage::PRE_VOTE_REPLY, VmName{request.from()});
    reply.set_granted(grant);
    reply.set_process(request.process());
    reply.set_leads(m_role == Role::Leader);
    if (grant) {
        reply.set_term(request.term());
    }
    sendAfterSync(std::move(reply));
}

void Core::handleVote(const v1::RaftMessage &request, TimePoint now)
{
    const VmName candidate{request.from()};
    const bool canVote = m_vote.votedFor == candidate || (m_vote.votedFor.value.empty() && !m_leader);
    const bool grant = m_identity.admitted && canVote && isLogUpToDate(request) && (request.forced() || !hasRecentLeaderContact(now));
    if (grant) {
        m_isFreshlyRestarted = false;
        setVote(m_vote.term, candidate);
        resetElectionDeadline(now);
    }
    v1::RaftMessage reply = message(v1::RaftMessage::VOTE_REPLY, candidate);
    reply.set_granted(grant);
    sendAfterSync(std::move(reply));
}

void Core::handleVoteReply(const v1::RaftMessage &reply, TimePoint now)
{
    const bool preVote = reply.kind() == v1::RaftMessage::PRE_VOTE_REPLY;
    const bool isExpected = preVote ? m_role == Role::PreCandidate && reply.term() == m_vote.term + 1 : m_role == Role::Candidate;
    if (!isExpected || !reply.granted() || !isVoter(VmName{reply.from()})) {
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
    m_isFreshlyRestarted = false;
    m_role = Role::Leader;
    m_leader = m_options.self;
    m_transfer.reset();
    m_progress.clear();
    m_recentRounds.clear();
    updateProgressTable(now);
    // Append an entry of the new term: entries of earlier terms are committed only through it (thesis 3.6.2).
    v1::LogEntry entry;
    entry.set_term(m_vote.term);
    entry.set_index(m_log.lastIndex() + 1);
    append(std::move(entry));
    m_termStartIndex = m_log.lastIndex();
    broadcastHeartbeat(now);
}

}
