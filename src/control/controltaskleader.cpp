// The control task's functions on the VMs that hold the log, and those of the leader only.

#include "control/controltask.h"

#include "common/log.h"
#include "control/movecommands.h"
#include "report/burn.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace cumindyke
{

std::optional<Error> ControlTask::recover()
{
    const bool isNamedReplica = std::ranges::find(m_options.replicas, m_options.vm) != m_options.replicas.end();
    if (m_options.dataFolder.empty()) {
        const Error noFolder{ErrorKind::Invalid, "replicas names this VM, which has no data_folder: set one, or name other VMs in replicas on every VM"};
        return isNamedReplica ? std::optional(noFolder) : std::nullopt;
    }
    raft::ReplicatedLogOptions logOptions{.vm = m_options.vm, .dataFolder = m_options.dataFolder, .initialVoters = m_options.replicas, .send = {}};
    // A VM without a replica offers itself as one every second. Only the leader acts on an offer, so it is sent only to the presumed leader, which is
    // each candidate in turn while the leader is unknown. Sent to every peer, offers cost each VM traffic in proportion to the number of VMs.
    logOptions.send = [this](const VmName &to, v1::Envelope envelope) {
        if (envelope.raft().kind() != v1::RaftMessage::STANDBY || to == m_discovery.leader()) {
            m_options.send(to, std::move(envelope));
        }
    };
    logOptions.formCluster = m_options.formCluster;
    logOptions.wantedVoters = m_options.wantedVoters;
    logOptions.replacementTimeout = m_options.replaceReplicaAfter;
    logOptions.leaderHint = [this] { return m_discovery.leader(); };
    auto log = raft::ReplicatedLog::open(std::move(logOptions));
    if (!ok(log)) {
        return errorOf(log);
    }
    m_log = std::move(valueOf(log));
    connectLog();
    m_log->start(EventLoop::now());
    logChange("control", "recovered", {{"revision", std::to_string(m_state.declarations().revision().value)}});
    flushLog();
    return {};
}

void ControlTask::connectLog()
{
    const auto terminate = [](const Error &error) {
        logWarning("control", "stopped-by-storage", {{"error", error.message}});
        stopLog();
        // The content of the disk is unknown. A process that continued could promise what it doesn't keep; a restart recovers what was synced, and
        // the other replicas continue meanwhile.
        std::_Exit(EXIT_FAILURE);
    };
    m_log->failed().connect(terminate);
    m_log->flushRequested().connect([this] { m_flushTimer.startOnce(Duration::zero()); });
    m_log->applied().connect(sigc::mem_fun(*this, &ControlTask::applyEntry));
    m_log->snapshotRequested().connect([this] { return m_state.snapshot(); });
    m_log->snapshotInstalled().connect([this, terminate](const std::string &bytes) {
        if (const Result<Done> restored = m_state.restore(bytes); !ok(restored)) {
            terminate(errorOf(restored));
        }
    });
    m_log->leaderChanged().connect([this](const std::optional<VmName> &leader) { m_discovery.setFollowedLeader(leader, m_log->term()); });
}

void ControlTask::applyEntry(raft::Index index, raft::Term term, const std::string &bytes)
{
    v1::ProposeReply reply;
    v1::Command command;
    // Empty in the log's own entries.
    if (!bytes.empty() && command.ParseFromString(bytes)) {
        const Revision previousRevision = m_state.declarations().revision();
        reply = m_state.apply(command);
        if (m_leadership.isLeading() && m_state.declarations().revision() != previousRevision) {
            m_orderRunner.setDeclarations(m_state.declarations());
            logChange("control", "revision-accepted", {{"revision", std::to_string(m_state.declarations().revision().value)}});
        }
    }
    m_pendingProposals.onApplied(index, term, reply);
}

void ControlTask::flushLog()
{
    const TimePoint now = EventLoop::now();
    m_log->flush(now);
    updateLeadership(now);
    m_leadership.publishIfChanged(now);
    m_pendingProposals.deliverAnswers();
}

/// Starts leading once this VM has applied everything that earlier leaders committed. If it leads again in a later term, it starts anew: another VM
/// may have led in between and granted leases unknown to this one.
void ControlTask::updateLeadership(TimePoint now)
{
    if (m_leadership.isLeading() && (!m_log->isLeader() || m_log->term() != m_leadingTerm)) {
        m_leadership.stopLeading();
        m_orderRunner.stopLeading();
        m_pendingProposals.discardAll();
    }
    if (!m_leadership.isLeading() && m_log->isLeader() && m_log->hasReadableState(now)) {
        m_leadingTerm = m_log->term();
        m_leadership.startLeading(now);
        m_orderRunner.setDeclarations(m_state.declarations());
        m_orderRunner.startLeading(Epoch{m_leadingTerm}, now + LeaseOptions{}.maxLength());
    }
    answerDeferredHeartbeats();
}

bool ControlTask::hasQuorum(TimePoint now) const
{
    return m_log && m_log->hasReadableState(now);
}

void ControlTask::propose(v1::Command command, const std::function<void(const Result<v1::ProposeReply> &)> &answer)
{
    command.set_at_ms(EventLoop::wallNow().value);
    const std::optional<raft::Index> index = m_log ? m_log->propose(command.SerializeAsString(), EventLoop::now()) : std::nullopt;
    if (!index) {
        answer(Error{ErrorKind::Unavailable, "this VM doesn't lead the control replicas: resend the command"});
        return;
    }
    m_pendingProposals.add(*index, m_log->term(), command.command_id(), answer);
}

void ControlTask::handleProposeRequest(const VmName &from, const v1::ProposeRequest &request)
{
    const TimePoint now = EventLoop::now();
    const std::uint64_t call = request.call();
    if (!m_leadership.isLeading() || !hasQuorum(now)) {
        v1::ProposeReply hint;
        hint.set_leader(m_discovery.leaderFor(from).value);
        sendReply(from, call, std::move(hint));
        return;
    }
    if (request.has_question()) {
        replyToQuestion(from, request, now);
        return;
    }
    v1::Command command;
    if (!command.ParseFromString(request.command())) {
        return;
    }
    const ReplyCondition condition = replyConditionFor(command);
    // A resend of a large configuration must not append all of it to the log again.
    if (const v1::ProposeReply *known = m_state.savedAnswer(command.command_id())) {
        replyOnCondition(from, call, condition, *known);
        return;
    }
    const auto answer = [this, from, call, condition](const Result<v1::ProposeReply> &result) {
        // No reply is sent on a failure: whether the command is in the log is unknown, and the resend finds out.
        if (ok(result)) {
            replyOnCondition(from, call, condition, valueOf(result));
        }
    };
    if (!m_pendingProposals.attach(command.command_id(), answer)) {
        propose(std::move(command), answer);
    }
}

void ControlTask::replyToQuestion(const VmName &from, const v1::ProposeRequest &request, TimePoint now)
{
    if (std::optional<v1::LeaderAnswer> answer = makeAnswer(request.question(), now)) {
        v1::ProposeReply reply;
        *reply.mutable_answer() = std::move(*answer);
        sendReply(from, request.call(), std::move(reply));
    }
}

ControlTask::ReplyCondition ControlTask::replyConditionFor(const v1::Command &command)
{
    if (command.has_publish_routes()) {
        return ReplyCondition::Confirmed;
    }
    if (command.has_evacuation()) {
        return ReplyCondition::Evacuated;
    }
    return command.apply().wait() ? ReplyCondition::InForce : ReplyCondition::Decided;
}

void ControlTask::replyOnCondition(const VmName &from, std::uint64_t call, ReplyCondition condition, const v1::ProposeReply &reply)
{
    const bool accepted = reply.reply().outcome() == v1::CommandReply::ACCEPTED;
    if (accepted && condition == ReplyCondition::Confirmed) {
        replyWhenConfirmed(from, call, reply, m_options.confirmWithin);
    } else if (accepted && condition == ReplyCondition::Evacuated) {
        replyWhenConfirmed(from, call, reply, m_options.evacuateWithin);
    } else if (accepted && condition == ReplyCondition::InForce) {
        replyWhenInForce(from, call, reply);
    } else {
        sendReply(from, call, reply);
    }
}

/// Replies when the version is confirmed. An immediate reply would leave a VM without the version the grace, its lease and the time that it admits
/// work after it: callers would be served under the old configuration for longer than operators may assume.
void ControlTask::replyWhenConfirmed(const VmName &from, std::uint64_t call, const v1::ProposeReply &reply, Duration within)
{
    m_leadership.notifyWhenConfirmed([this, from, call, reply] { sendReply(from, call, reply); }, within, EventLoop::now());
}

void ControlTask::replyWhenInForce(const VmName &from, std::uint64_t call, const v1::ProposeReply &reply)
{
    const auto onInForce = [this, from, call, reply](const std::vector<std::string> &lapsed) {
        v1::ProposeReply replyWithLapsed = reply;
        replyWithLapsed.mutable_reply()->mutable_lapsed_vms()->Assign(lapsed.begin(), lapsed.end());
        sendReply(from, call, std::move(replyWithLapsed));
    };
    m_leadership.notifyWhenInForce(onInForce, EventLoop::now());
}

void ControlTask::sendReply(const VmName &to, std::uint64_t call, v1::ProposeReply reply)
{
    v1::Envelope envelope;
    reply.set_call(call);
    *envelope.mutable_propose_reply() = std::move(reply);
    m_options.send(to, std::move(envelope));
}

std::optional<v1::LeaderAnswer> ControlTask::makeAnswer(const v1::LeaderQuestion &question, TimePoint now) const
{
    v1::LeaderAnswer answer;
    switch (question.question_case()) {
    case v1::LeaderQuestion::kHistory:
        answer.mutable_history();
        for (const v1::HistoryEntry &entry : m_state.historyAfter(Revision{question.history().after_revision()})) {
            *answer.mutable_history()->add_entries() = entry;
        }
        return answer;
    case v1::LeaderQuestion::kMembers: {
        const v1::Membership replicas = m_log->membership();
        *answer.mutable_members() = m_leadership.members(now);
        for (v1::Member &member : *answer.mutable_members()->mutable_members()) {
            member.set_learner(std::ranges::find(replicas.learners(), member.vm()) != replicas.learners().end());
            member.set_replica(std::ranges::find(replicas.voters(), member.vm()) != replicas.voters().end());
        }
        return answer;
    }
    case v1::LeaderQuestion::kSaveSnapshot:
        answer.mutable_save_snapshot()->set_revision(m_state.declarations().revision().value);
        answer.mutable_save_snapshot()->set_snapshot(m_state.snapshot());
        return answer;
    case v1::LeaderQuestion::kChangeMembers:
        answer.mutable_change_members()->set_outcome(v1::CommandReply::INVALID);
        answer.mutable_change_members()->set_message(
            "replicas are not changed by hand: one that does not reply for replace_replica_after_ms is replaced by a VM with a data_folder");
        return answer;
    case v1::LeaderQuestion::kReport:
        answer.mutable_report()->set_burn_json(burnJson(m_state.declarations(), m_state.burn(), fromWire(m_state.moves()), EventLoop::wallNow()));
        return answer;
    case v1::LeaderQuestion::kRoutes:
        answer.mutable_routes()->set_packed_document(packedDocumentOf(m_state.routes()));
        for (const auto &[service, rollout] : m_state.rollouts()) {
            *answer.mutable_routes()->add_rollouts() = rollout;
        }
        return answer;
    case v1::LeaderQuestion::kSuspects:
        answer.mutable_suspects();
        for (const auto &[fingerprint, suspect] : m_state.crashLedger().suspects()) {
            *answer.mutable_suspects()->add_suspects() = suspect;
        }
        return answer;
    case v1::LeaderQuestion::kEvacuations:
        answer.mutable_evacuations();
        for (const auto &[dataCentre, evacuation] : m_state.evacuations().all()) {
            *answer.mutable_evacuations()->add_evacuations() = evacuation;
        }
        return answer;
    case v1::LeaderQuestion::QUESTION_NOT_SET:
        break;
    }
    return {};
}

void ControlTask::handleHeartbeat(const VmName &from, const v1::ConfigHeartbeat &heartbeat)
{
    if (m_leadership.isLeading()) {
        m_leadership.handleHeartbeat(from, heartbeat, EventLoop::now());
        return;
    }
    v1::Envelope refusal;
    *refusal.mutable_config_lease() = m_discovery.refuse(from, heartbeat);
    sendPreferringDatagrams(from, std::move(refusal));
}

/// By datagram if possible: a seed may be down for long, and an announcement may be lost.
void ControlTask::announceLeader(TimePoint now)
{
    for (const VmName &seed : m_discovery.seedsToTell(now)) {
        v1::Envelope announcement;
        *announcement.mutable_config_lease() = m_discovery.announcementFor(seed);
        if (!m_datagrams || !m_datagrams->send(seed, announcement)) {
            m_options.send(seed, std::move(announcement));
        }
    }
}

/// Answers heartbeats that arrived while there was no leader, as soon as there is one.
void ControlTask::answerDeferredHeartbeats()
{
    for (const auto &[vm, heartbeat] : m_discovery.takeAnswerable(m_leadership.isLeading())) {
        handleHeartbeat(vm, heartbeat);
    }
}

}
