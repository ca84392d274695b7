#include "raft/core.h"

#include <algorithm>

namespace cumindyke::raft
{

namespace
{

constexpr std::size_t MaxRounds = 64;

/// The value that at least "quorum" of the values reach.
template<typename T>
T reachedBy(std::vector<T> values, std::size_t quorum)
{
    std::ranges::sort(values, std::greater<>());
    return values[quorum - 1];
}

}

/// Sends a round: heartbeats that carry what is missing, and prove by their replies that this replica still leads.
void Core::broadcast(TimePoint now)
{
    m_heartbeatDue = now + m_options.heartbeat;
    m_rounds.emplace_back(++m_round, now);
    if (m_rounds.size() > MaxRounds) {
        m_rounds.pop_front();
    }
    syncProgress(now);
    for (const auto &[member, progress] : m_progress) {
        sendAppend(member, true, now);
    }
    maybeCommit(now);
}

/// Brings the table of members in line with the membership, and sends what can be sent.
void Core::syncProgress(TimePoint now)
{
    std::set<VmName> members;
    for (const std::string &voter : m_membership.voters()) {
        members.insert(VmName{voter});
    }
    for (const std::string &learner : m_membership.learners()) {
        members.insert(VmName{learner});
    }
    members.erase(m_options.self);
    std::erase_if(m_progress, [&members](const auto &item) { return !members.contains(item.first); });
    for (const VmName &member : members) {
        m_progress.try_emplace(member, Progress{.next = m_log.last() + 1, .lastReply = now});
        sendMore(member, now);
    }
}

void Core::sendMore(const VmName &to, TimePoint now)
{
    const Progress &progress = m_progress.at(to);
    while (progress.state == Progress::State::Replicate && progress.next <= m_log.last() && progress.inFlight.size() < m_options.maxInFlight) {
        sendAppend(to, false, now);
    }
}

void Core::sendAppend(const VmName &to, bool heartbeat, TimePoint now)
{
    Progress &progress = m_progress.at(to);
    // Appends to a follower that went silent would fill the transport: it gets probes until it answers.
    if (progress.state == Progress::State::Replicate && now - progress.lastReply > m_options.electionTimeout) {
        progress.state = Progress::State::Probe;
        progress.next = progress.match + 1;
        progress.inFlight.clear();
    }
    if (progress.state != Progress::State::Snapshot && progress.next <= m_log.base()) {
        progress.state = Progress::State::Snapshot;
        progress.snapshot = m_snapshot;
        progress.snapshotOffset = 0;
        progress.chunkSentAt.reset();
        heartbeat = true;
    }
    if (progress.state == Progress::State::Snapshot) {
        if (heartbeat) {
            sendChunk(to, progress, now);
        }
        return;
    }
    v1::RaftMessage request = message(v1::RaftMessage::APPEND, to);
    request.set_previous_index(progress.next - 1);
    request.set_previous_term(*m_log.term(progress.next - 1));
    request.set_commit(m_commit);
    request.set_round(m_round);
    if (progress.state == Progress::State::Replicate && progress.inFlight.size() < m_options.maxInFlight) {
        for (const EntryPointer &entry : m_log.from(progress.next, m_options.maxBatchBytes)) {
            *request.add_entries() = *entry;
        }
        if (request.entries_size() > 0) {
            progress.next += static_cast<Index>(request.entries_size());
            progress.inFlight.push_back(progress.next - 1);
        }
    }
    m_effects.messages.push_back(std::move(request));
}

/// One chunk at a time. Heartbeats meanwhile are empty, as they are for a silent follower, so that a slow link has to carry each chunk once.
void Core::sendChunk(const VmName &to, Progress &progress, TimePoint now)
{
    const Snapshot &snapshot = *progress.snapshot;
    v1::RaftMessage request = message(v1::RaftMessage::SNAPSHOT, to);
    request.set_round(m_round);
    request.set_snapshot_index(snapshot.index);
    request.set_snapshot_term(snapshot.term);
    request.set_snapshot_offset(progress.snapshotOffset);
    const bool isSilent = now - progress.lastReply > m_options.electionTimeout;
    const bool isUnderWay = progress.chunkSentAt && now - *progress.chunkSentAt < m_options.chunkResend;
    if (!isSilent && !isUnderWay) {
        progress.chunkSentAt = now;
        const std::size_t size = std::min(m_options.chunkBytes, snapshot.state.size() - progress.snapshotOffset);
        request.set_snapshot_chunk(snapshot.state.substr(progress.snapshotOffset, size));
        request.set_snapshot_last(progress.snapshotOffset + size == snapshot.state.size());
        *request.mutable_snapshot_membership() = snapshot.membership;
    }
    m_effects.messages.push_back(std::move(request));
}

void Core::noteReply(Progress &progress, const v1::RaftMessage &reply, TimePoint now)
{
    // Another data folder than before: what this follower acknowledged is gone, and its log must be found anew.
    // Without that, the leader would take its rejections for late ones and never send it anything again.
    if (progress.incarnation != 0 && progress.incarnation != reply.incarnation()) {
        progress = Progress{.next = m_log.last() + 1};
    }
    progress.incarnation = reply.incarnation();
    progress.admitted = reply.admitted();
    progress.lastReply = now;
    for (const auto &[round, sentAt] : m_rounds) {
        if (round == reply.round()) {
            progress.ackedRoundSentAt = std::max(progress.ackedRoundSentAt, sentAt);
        }
    }
}

void Core::handleAppendReply(const v1::RaftMessage &reply, TimePoint now)
{
    const VmName from{reply.from()};
    const auto known = m_progress.find(from);
    if (m_role != Role::Leader || known == m_progress.end()) {
        return;
    }
    Progress &progress = known->second;
    noteReply(progress, reply, now);
    if (!reply.granted()) {
        handleRejection(from, progress, reply, now);
        return;
    }
    progress.match = std::max(progress.match, reply.match_index());
    progress.next = std::max(progress.next, progress.match + 1);
    while (!progress.inFlight.empty() && progress.inFlight.front() <= progress.match) {
        progress.inFlight.pop_front();
    }
    const bool installed = progress.state == Progress::State::Snapshot && progress.match >= progress.snapshot->index;
    if (progress.state == Progress::State::Probe || installed) {
        progress.state = Progress::State::Replicate;
        progress.snapshot.reset();
        progress.inFlight.clear();
        progress.next = progress.match + 1;
    }
    maybeCommit(now);
    if (m_role == Role::Leader && m_progress.contains(from)) {
        sendMore(from, now);
        continueTransfer(now);
    }
}

/// The follower's log doesn't hold the entry before the ones sent. Its hint skips a whole term at a time (thesis 3.5).
void Core::handleRejection(const VmName &from, Progress &progress, const v1::RaftMessage &reply, TimePoint now)
{
    const Index rejected = reply.previous_index();
    if (progress.state == Progress::State::Snapshot || rejected <= progress.match) {
        return;
    }
    if (progress.state == Progress::State::Replicate) {
        progress.state = Progress::State::Probe;
        progress.inFlight.clear();
    } else if (rejected != progress.next - 1) {
        return;
    }
    Index agreed = std::min({reply.match_index(), rejected - 1, m_log.last()});
    while (agreed > progress.match && agreed > m_log.base() && *m_log.term(agreed) > reply.previous_term()) {
        --agreed;
    }
    progress.next = std::max(agreed, progress.match) + 1;
    sendAppend(from, false, now);
}

void Core::handleSnapshotReply(const v1::RaftMessage &reply, TimePoint now)
{
    const VmName from{reply.from()};
    const auto known = m_progress.find(from);
    if (m_role != Role::Leader || known == m_progress.end()) {
        return;
    }
    Progress &progress = known->second;
    noteReply(progress, reply, now);
    if (progress.state != Progress::State::Snapshot || reply.snapshot_index() != progress.snapshot->index) {
        return;
    }
    const bool advanced = reply.snapshot_offset() > progress.snapshotOffset;
    if (reply.snapshot_offset() != progress.snapshotOffset) {
        progress.chunkSentAt.reset();
    }
    progress.snapshotOffset = std::min<std::size_t>(reply.snapshot_offset(), progress.snapshot->state.size());
    // What stands still is sent again by the next heartbeat; answering it here would double the stream with each repeated reply.
    if (advanced) {
        sendChunk(from, progress, now);
    }
}

void Core::maybeCommit(TimePoint now)
{
    std::vector<Index> matches;
    for (const std::string &voter : m_membership.voters()) {
        matches.push_back(voter == m_options.self.value ? m_durable : m_progress.at(VmName{voter}).match);
    }
    const Index reached = reachedBy(matches, quorum());
    // Entries of earlier terms are committed only together with one of this term (thesis 3.6.2).
    if (reached <= m_commit || *m_log.term(reached) != m_vote.term) {
        return;
    }
    commitTo(reached);
    const bool removed = membershipCommitted() && !isVoter(m_options.self);
    if (removed) {
        broadcast(now);
        becomeFollower(m_vote.term, {}, now);
    }
}

TimePoint Core::quorumRoundSentAt(TimePoint now) const
{
    std::vector<TimePoint> times;
    for (const std::string &voter : m_membership.voters()) {
        times.push_back(voter == m_options.self.value ? now : m_progress.at(VmName{voter}).ackedRoundSentAt);
    }
    return reachedBy(times, quorum());
}

/// A quorum that answered a round votes for nobody for an election timeout after it got the round, so nobody else can lead until then.
/// Clocks may differ in rate: the leader takes nine tenths of it, which holds while no clock runs more than a tenth faster than another.
bool Core::leaseHeld(TimePoint now) const
{
    if (m_role != Role::Leader || m_transfer || m_commit < m_termStart) {
        return false;
    }
    const TimePoint sentAt = quorumRoundSentAt(now);
    return sentAt != TimePoint::min() && now < sentAt + m_options.electionTimeout * 9 / 10;
}

bool Core::quorumHeard(TimePoint now) const
{
    std::size_t heard = 0;
    for (const std::string &voter : m_membership.voters()) {
        const bool recent = voter == m_options.self.value || now - m_progress.at(VmName{voter}).lastReply <= m_options.electionTimeout;
        heard += recent ? 1 : 0;
    }
    return heard >= quorum();
}

void Core::tickLeader(TimePoint now)
{
    // A leader cut off from its quorum would go on taking commands that can never be committed; so it steps down. A transfer
    // that did not end in time does the same, since its order to start an election may still be on the way and void the lease.
    const bool transferFailed = m_transfer && now >= m_transfer->deadline;
    if (!quorumHeard(now) || transferFailed) {
        becomeFollower(m_vote.term, {}, now);
        return;
    }
    if (now >= m_heartbeatDue) {
        broadcast(now);
    }
}

bool Core::transferLeadership(const VmName &to, TimePoint now)
{
    const auto known = m_progress.find(to);
    if (m_role != Role::Leader || known == m_progress.end() || !isVoter(to) || !known->second.admitted) {
        return false;
    }
    m_transfer = Transfer{.to = to, .deadline = now + m_options.electionTimeout};
    sendMore(to, now);
    continueTransfer(now);
    return true;
}

void Core::continueTransfer(TimePoint /*now*/)
{
    if (!m_transfer || m_transfer->ordered || m_progress.at(m_transfer->to).match < m_log.last()) {
        return;
    }
    m_transfer->ordered = true;
    m_effects.messages.push_back(message(v1::RaftMessage::TIMEOUT_NOW, m_transfer->to));
}

std::optional<VmName> Core::bestSuccessor() const
{
    std::optional<VmName> best;
    for (const auto &[member, progress] : m_progress) {
        const bool eligible = isVoter(member) && progress.admitted;
        if (eligible && (!best || progress.match > m_progress.at(*best).match)) {
            best = member;
        }
    }
    return best;
}

}
