#include "raft/core.h"

#include <algorithm>

namespace cumindyke::raft
{

namespace
{

constexpr std::size_t MaxRecentRounds = 64;

/// Returns the largest value that at least "quorum" of the values reach.
template<typename T>
T quorumValue(std::vector<T> values, std::size_t quorum)
{
    std::ranges::sort(values, std::greater<>());
    return values[quorum - 1];
}

}

/// Sends a heartbeat round. Heartbeats carry missing entries, and their replies prove that this replica still leads.
void Core::broadcastHeartbeat(TimePoint now)
{
    m_nextHeartbeatAt = now + m_options.heartbeatInterval;
    m_recentRounds.emplace_back(++m_round, now);
    if (m_recentRounds.size() > MaxRecentRounds) {
        m_recentRounds.pop_front();
    }
    updateProgressTable(now);
    for (const auto &[member, progress] : m_progress) {
        sendAppend(member, true, now);
    }
    maybeCommit(now);
}

/// Updates the progress table to match the membership, and sends pending entries.
void Core::updateProgressTable(TimePoint now)
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
        m_progress.try_emplace(member, Progress{.nextIndex = m_log.lastIndex() + 1, .lastReplyAt = now});
        sendPendingEntries(member, now);
    }
}

void Core::sendPendingEntries(const VmName &to, TimePoint now)
{
    const Progress &progress = m_progress.at(to);
    while (progress.state == Progress::State::Replicate && progress.nextIndex <= m_log.lastIndex() && progress.inFlight.size() < m_options.maxInFlightAppends) {
        sendAppend(to, false, now);
    }
}

void Core::sendAppend(const VmName &to, bool heartbeat, TimePoint now)
{
    Progress &progress = m_progress.at(to);
    // Appends to a follower that has timed out would fill the transport's queue, so it gets probes until it replies.
    if (progress.state == Progress::State::Replicate && now - progress.lastReplyAt > m_options.electionTimeout) {
        progress.state = Progress::State::Probe;
        progress.nextIndex = progress.matchIndex + 1;
        progress.inFlight.clear();
    }
    if (progress.state != Progress::State::Snapshot && progress.nextIndex <= m_log.baseIndex()) {
        progress.state = Progress::State::Snapshot;
        progress.snapshot = m_snapshot;
        progress.snapshotOffset = 0;
        progress.chunkSentAt.reset();
        heartbeat = true;
    }
    if (progress.state == Progress::State::Snapshot) {
        if (heartbeat) {
            sendSnapshotChunk(to, progress, now);
        }
        return;
    }
    v1::RaftMessage request = message(v1::RaftMessage::APPEND, to);
    request.set_previous_index(progress.nextIndex - 1);
    request.set_previous_term(*m_log.termAt(progress.nextIndex - 1));
    request.set_commit(m_commitIndex);
    request.set_round(m_round);
    if (progress.state == Progress::State::Replicate && progress.inFlight.size() < m_options.maxInFlightAppends) {
        for (const EntryPointer &entry : m_log.entriesFrom(progress.nextIndex, m_options.maxBatchBytes)) {
            *request.add_entries() = *entry;
        }
        if (request.entries_size() > 0) {
            progress.nextIndex += static_cast<Index>(request.entries_size());
            progress.inFlight.push_back(progress.nextIndex - 1);
        }
    }
    m_effects.messages.push_back(std::move(request));
}

/// Sends one chunk at a time. While a chunk is in flight or the follower has timed out, the message carries no data, so that a slow link
/// carries each chunk only once.
void Core::sendSnapshotChunk(const VmName &to, Progress &progress, TimePoint now)
{
    const Snapshot &snapshot = *progress.snapshot;
    v1::RaftMessage request = message(v1::RaftMessage::SNAPSHOT, to);
    request.set_round(m_round);
    request.set_snapshot_index(snapshot.index);
    request.set_snapshot_term(snapshot.term);
    request.set_snapshot_offset(progress.snapshotOffset);
    const bool isTimedOut = now - progress.lastReplyAt > m_options.electionTimeout;
    const bool isInFlight = progress.chunkSentAt && now - *progress.chunkSentAt < m_options.chunkTimeout;
    if (!isTimedOut && !isInFlight) {
        progress.chunkSentAt = now;
        const std::size_t size = std::min(m_options.maxChunkBytes, snapshot.state.size() - progress.snapshotOffset);
        request.set_snapshot_chunk(snapshot.state.substr(progress.snapshotOffset, size));
        request.set_snapshot_last(progress.snapshotOffset + size == snapshot.state.size());
        *request.mutable_snapshot_membership() = snapshot.membership;
    }
    m_effects.messages.push_back(std::move(request));
}

void Core::recordReply(Progress &progress, const v1::RaftMessage &reply, TimePoint now)
{
    // The follower has a different data folder than before: the entries it acknowledged are lost, and the matching index must be
    // determined again. Otherwise the leader would treat its rejections as late ones and never send it anything again.
    if (progress.incarnation != 0 && progress.incarnation != reply.incarnation()) {
        progress = Progress{.nextIndex = m_log.lastIndex() + 1};
    }
    progress.incarnation = reply.incarnation();
    progress.admitted = reply.admitted();
    progress.lastReplyAt = now;
    for (const auto &[round, sentAt] : m_recentRounds) {
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
    recordReply(progress, reply, now);
    if (!reply.granted()) {
        handleRejection(from, progress, reply, now);
        return;
    }
    progress.matchIndex = std::max(progress.matchIndex, reply.match_index());
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    while (!progress.inFlight.empty() && progress.inFlight.front() <= progress.matchIndex) {
        progress.inFlight.pop_front();
    }
    const bool isInstalled = progress.state == Progress::State::Snapshot && progress.matchIndex >= progress.snapshot->index;
    if (progress.state == Progress::State::Probe || isInstalled) {
        progress.state = Progress::State::Replicate;
        progress.snapshot.reset();
        progress.inFlight.clear();
        progress.nextIndex = progress.matchIndex + 1;
    }
    maybeCommit(now);
    if (m_role == Role::Leader && m_progress.contains(from)) {
        sendPendingEntries(from, now);
        continueTransfer(now);
    }
}

/// Handles a rejection: the follower's log lacks the entry before those sent. The follower's hint skips a whole term at a time (thesis
/// 3.5).
void Core::handleRejection(const VmName &from, Progress &progress, const v1::RaftMessage &reply, TimePoint now)
{
    const Index rejected = reply.previous_index();
    if (progress.state == Progress::State::Snapshot || rejected <= progress.matchIndex) {
        return;
    }
    if (progress.state == Progress::State::Replicate) {
        progress.state = Progress::State::Probe;
        progress.inFlight.clear();
    } else if (rejected != progress.nextIndex - 1) {
        return;
    }
    Index lastAgreed = std::min({reply.match_index(), rejected - 1, m_log.lastIndex()});
    while (lastAgreed > progress.matchIndex && lastAgreed > m_log.baseIndex() && *m_log.termAt(lastAgreed) > reply.previous_term()) {
        --lastAgreed;
    }
    progress.nextIndex = std::max(lastAgreed, progress.matchIndex) + 1;
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
    recordReply(progress, reply, now);
    if (progress.state != Progress::State::Snapshot || reply.snapshot_index() != progress.snapshot->index) {
        return;
    }
    const bool advanced = reply.snapshot_offset() > progress.snapshotOffset;
    if (reply.snapshot_offset() != progress.snapshotOffset) {
        progress.chunkSentAt.reset();
    }
    progress.snapshotOffset = std::min<std::size_t>(reply.snapshot_offset(), progress.snapshot->state.size());
    // A chunk that made no progress is resent by the next heartbeat. Resending it here would double the stream with each repeated reply.
    if (advanced) {
        sendSnapshotChunk(from, progress, now);
    }
}

void Core::maybeCommit(TimePoint now)
{
    std::vector<Index> matches;
    for (const std::string &voter : m_membership.voters()) {
        matches.push_back(voter == m_options.self.value ? m_durableIndex : m_progress.at(VmName{voter}).matchIndex);
    }
    const Index quorumIndex = quorumValue(matches, quorum());
    // Entries of earlier terms are committed only together with an entry of this term (thesis 3.6.2).
    if (quorumIndex <= m_commitIndex || *m_log.termAt(quorumIndex) != m_vote.term) {
        return;
    }
    commitTo(quorumIndex);
    const bool isRemoved = membershipCommitted() && !isVoter(m_options.self);
    if (isRemoved) {
        broadcastHeartbeat(now);
        becomeFollower(m_vote.term, {}, now);
    }
}

TimePoint Core::quorumRoundSentAt(TimePoint now) const
{
    std::vector<TimePoint> times;
    for (const std::string &voter : m_membership.voters()) {
        times.push_back(voter == m_options.self.value ? now : m_progress.at(VmName{voter}).ackedRoundSentAt);
    }
    return quorumValue(times, quorum());
}

/// A quorum that answered a round grants no vote for an election timeout after receiving the round, so no other replica can become leader
/// until then. Clocks may run at different rates: the leader uses nine tenths of the timeout, which is safe while no clock runs more than a
/// tenth faster than another.
bool Core::holdsLease(TimePoint now) const
{
    if (m_role != Role::Leader || m_transfer || m_commitIndex < m_termStartIndex) {
        return false;
    }
    const TimePoint sentAt = quorumRoundSentAt(now);
    return sentAt != TimePoint::min() && now < sentAt + m_options.electionTimeout * 9 / 10;
}

bool Core::hasRecentQuorum(TimePoint now) const
{
    std::size_t reachable = 0;
    for (const std::string &voter : m_membership.voters()) {
        const bool isRecent = voter == m_options.self.value || now - m_progress.at(VmName{voter}).lastReplyAt <= m_options.electionTimeout;
        reachable += isRecent ? 1 : 0;
    }
    return reachable >= quorum();
}

void Core::tickLeader(TimePoint now)
{
    // A leader cut off from its quorum would keep accepting commands that can never be committed, so it steps down. It also steps down when
    // a transfer misses its deadline: the TIMEOUT_NOW message may still arrive, and the election it starts would void the lease.
    const bool transferFailed = m_transfer && now >= m_transfer->deadline;
    if (!hasRecentQuorum(now) || transferFailed) {
        becomeFollower(m_vote.term, {}, now);
        return;
    }
    if (now >= m_nextHeartbeatAt) {
        broadcastHeartbeat(now);
    }
}

bool Core::transferLeadership(const VmName &to, TimePoint now)
{
    const auto known = m_progress.find(to);
    if (m_role != Role::Leader || known == m_progress.end() || !isVoter(to) || !known->second.admitted) {
        return false;
    }
    m_transfer = Transfer{.to = to, .deadline = now + m_options.electionTimeout};
    sendPendingEntries(to, now);
    continueTransfer(now);
    return true;
}

void Core::continueTransfer(TimePoint /*now*/)
{
    if (!m_transfer || m_transfer->timeoutNowSent || m_progress.at(m_transfer->to).matchIndex < m_log.lastIndex()) {
        return;
    }
    m_transfer->timeoutNowSent = true;
    m_effects.messages.push_back(message(v1::RaftMessage::TIMEOUT_NOW, m_transfer->to));
}

std::optional<VmName> Core::bestSuccessor() const
{
    std::optional<VmName> best;
    for (const auto &[member, progress] : m_progress) {
        const bool eligible = isVoter(member) && progress.admitted;
        if (eligible && (!best || progress.matchIndex > m_progress.at(*best).matchIndex)) {
            best = member;
        }
    }
    return best;
}

}
