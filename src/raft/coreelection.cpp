#include "raft/core.h"

#include <algorithm>

namespace cumindyke::raft
{

namespace
{

/// After a common restart the others are there within some tenths of a second.
constexpr Duration AskAgainAfter = std::chrono::milliseconds(40);
/// Replicas that all know at the same moment that nobody leads stand for election one after the other: an election takes some round trips
/// and syncs.
constexpr Duration CandidateSpacing = std::chrono::milliseconds(60);

}

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
    askForVotes(preVote, forced);
}

void Core::askForVotes(bool preVote, bool forced)
{
    for (const std::string &voter : m_membership.voters()) {
        if (voter == m_options.self.value) {
            continue;
        }
        v1::RaftMessage request = message(preVote ? v1::RaftMessage::PRE_VOTE : v1::RaftMessage::VOTE, VmName{voter});
        request.set_term(preVote ? m_vote.term + 1 : m_vote.term);
        request.set_previous_index(m_log.last());
        request.set_previous_term(m_log.lastTerm());
        request.set_forced(forced);
        request.set_process(m_process);
        promise(std::move(request));
    }
}

/// After a restart this replica can't vote for as long as it may have promised a leader not to. When all replicas were killed at once, no
/// leader is left, but each of them waits out its promise: callers saw half a second more without service. So each asks the others: once
/// every other voter has said, to this process, that it does not lead, no leader stands on a promise from before the restart, since one
/// would have led from then on. While any voter is silent, the promise is waited out.
void Core::askWhoLeads(TimePoint now)
{
    if (!m_restarted || now < m_askAgainAt || !isVoter(m_options.self) || !m_identity.admitted) {
        return;
    }
    m_askAgainAt = now + AskAgainAfter;
    if (heardLeader(now)) {
        askForVotes(true, false);
    } else if (!m_promiseOver) {
        standSoon(now);
    }
}

/// Replicas that all learn at the same moment that nobody leads stand one after the other, or they would split the votes.
void Core::standSoon(TimePoint now)
{
    m_promiseOver = true;
    const auto before = std::ranges::count_if(m_membership.voters(), [this](const std::string &voter) { return voter < m_options.self.value; });
    m_electionDeadline = std::min(m_electionDeadline, now + before * CandidateSpacing);
}

void Core::noteNotLeading(const v1::RaftMessage &reply, TimePoint now)
{
    // A leader whose log this replica has an entry of is among the members that it knows. Of a later term it may know no member.
    const bool knowsLastLeader = m_log.lastTerm() == m_vote.term;
    if (!m_restarted || m_promiseOver || reply.process() != m_process || reply.leads() || !knowsLastLeader) {
        return;
    }
    m_notLeading.insert(VmName{reply.from()});
    const bool allSaid = std::ranges::all_of(
        m_membership.voters(), [this](const std::string &voter) { return voter == m_options.self.value || m_notLeading.contains(VmName{voter}); });
    if (allSaid) {
        m_lastLeaderContact = now - m_options.electionTimeout;
        standSoon(now);
    }
}

void Core::handlePreVote(const v1::RaftMessage &request, TimePoint now)
{
    const bool grant = m_identity.admitted && request.term() > m_vote.term && !heardLeader(now) && logUpToDate(request);
    v1::RaftMessage reply = message(v1::RaftMessage::PRE_VOTE_REPLY, VmName{request.from()});
    reply.set_granted(grant);
    reply.set_process(request.process());
    reply.set_leads(m_role == Role::Leader);
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
        m_restarted = false;
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
    m_restarted = false;
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
