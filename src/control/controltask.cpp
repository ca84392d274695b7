#include "control/controltask.h"

#include "common/hash.h"
#include "common/log.h"
#include "control/repairs.h"
#include "control/rolloutleader.h"

#include <algorithm>
#include <random>

namespace cumindyke
{

namespace
{

constexpr Duration TickInterval = std::chrono::milliseconds(50);
/// A transfer of leadership takes some round trips; a replica that finds no successor leaves after this time.
constexpr Duration DepartureTimeout = std::chrono::seconds(2);
/// Time to answer operators' calls in progress when the process is told to exit.
constexpr Duration AnswerGracePeriod = std::chrono::milliseconds(500);
/// Returns a number that differs at every start of a process and is small enough to count up from.
std::uint64_t randomIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 31) ^ device();
}

/// Returns the candidates for the leader: replicas first, since they know the leader. Each VM begins with a different replica, or all VMs that start
/// together would ask the same one.
std::vector<VmName> leaderCandidates(const ControlOptions &options)
{
    std::vector<VmName> candidates = options.replicas;
    if (!candidates.empty()) {
        const std::size_t first = checksum(options.vm.value) % candidates.size();
        std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(first), candidates.end());
    }
    for (const auto &[peer, address] : options.peers) {
        if (std::ranges::find(candidates, peer) == candidates.end()) {
            candidates.push_back(peer);
        }
    }
    if (candidates.empty()) {
        candidates.push_back(options.vm);
    }
    return candidates;
}

/// Returns whether the message may be lost, since its sender soon sends a new one.
bool isHeartbeatOrLease(const v1::Envelope &envelope)
{
    return envelope.has_config_heartbeat() || envelope.has_config_lease();
}

std::map<VmName, Address> allVms(const ControlOptions &options)
{
    std::map<VmName, Address> vms = options.peers;
    vms[options.vm] = options.address;
    return vms;
}

}

Result<std::unique_ptr<ControlTask>> ControlTask::open(ControlOptions options)
{
    std::unique_ptr<ControlTask> task(new ControlTask(std::move(options)));
    if (const std::optional<Error> error = task->openDatagrams()) {
        return *error;
    }
    if (const std::optional<Error> error = task->recover()) {
        return *error;
    }
    return task;
}

void ControlTask::start()
{
    m_discovery.start(EventLoop::now());
    m_tickTimer.startEvery(TickInterval);
    m_thread = std::thread([this] { m_loop.run(); });
}

ControlTask::ControlTask(ControlOptions options)
    : m_options(std::move(options))
    , m_mailbox(m_loop, [this](ControlMessage &&message) { std::visit([this](auto &content) { handle(content); }, message); })
    , m_tickTimer(m_loop, [this] { tick(); })
    , m_flushTimer(m_loop, [this] { flushLog(); })
    , m_leadership(LeadershipOptions{
                       .vm = m_options.vm,
                       .vms = allVms(m_options),
                       .lease = {.keepAdmitting = m_options.keepAdmitting},
                       .send = [this](const VmName &to, v1::Envelope envelope) { sendPreferringDatagrams(to, std::move(envelope)); },
                       .hasQuorum = [this](TimePoint now) { return hasQuorum(now); },
                       .replicas = [this] { return m_log->membership().voters(); },
                       .term = [this] { return m_log->term(); },
                       .replicasPosition = [this] { return m_log->appliedPosition(); },
                       .metrics = m_options.metrics,
                   },
                   m_state)
    , m_orderRunner(m_loop, {}, randomIncarnation())
    , m_discovery(LeaderDiscoveryOptions{
          .vm = m_options.vm,
          .candidates = leaderCandidates(m_options),
          .seeds = m_options.replicas,
          .usesDatagrams = m_options.datagrams.has_value(),
          .hasReplica = !m_options.dataFolder.empty(),
      })
    , m_forwarder({}, randomIncarnation())
    , m_nextEvacuationId(randomIncarnation())
    , m_follower(FollowerOptions{
          .vm = m_options.vm,
          .dataCentre = m_options.dataCentre,
          .incarnation = randomIncarnation(),
          .keepAdmitting = m_options.keepAdmitting,
      })
{
}

ControlTask::~ControlTask()
{
    stop();
}

std::optional<Error> ControlTask::openDatagrams()
{
    if (!m_options.datagrams) {
        return {};
    }
    auto opened = PeerDatagrams::open(m_loop, *m_options.datagrams);
    if (!ok(opened)) {
        return errorOf(opened);
    }
    m_datagrams = std::move(valueOf(opened));
    m_datagrams->received().connect([this](PeerMessage &message) {
        if (isHeartbeatOrLease(message.envelope)) {
            handlePeerMessage(message);
        }
    });
    return {};
}

/// A heartbeat is answered by the transport that it came by: while datagrams are being enabled or disabled in a fleet, some VMs send heartbeats by
/// calls.
void ControlTask::sendPreferringDatagrams(const VmName &to, v1::Envelope envelope)
{
    const bool byDatagram
        = m_datagrams && to != m_options.vm && (envelope.has_config_heartbeat() || (envelope.has_config_lease() && m_datagrams->hasReceivedFrom(to)));
    if (!byDatagram || !m_datagrams->send(to, envelope)) {
        m_options.send(to, std::move(envelope));
    }
}

void ControlTask::stop()
{
    m_loop.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ControlTask::post(ControlMessage message)
{
    m_mailbox.post(std::move(message));
}

void ControlTask::tick()
{
    const TimePoint now = EventLoop::now();
    if (m_log) {
        m_log->tick(now);
        updateLeadership(now);
        m_discovery.setMembership(m_log->newestMembership(), m_log->lastPosition());
    }
    if (hasQuorum(now)) {
        m_orderRunner.tick(now);
    }
    for (const v1::CellAssignment &assignment : m_leadership.tick(now)) {
        v1::Command command;
        // The same decision has the same id, so that a repeat while the first command is pending changes nothing.
        command.set_command_id("assign-cell/" + assignment.cell() + "/" + std::to_string(assignment.epoch()) + "/" + m_options.vm.value);
        *command.mutable_assign_cell() = assignment;
        propose(std::move(command), [](const Result<v1::ProposeReply> &) {});
    }
    if (now >= m_nextVerdictsAt) {
        proposeVerdictsAndBurn(now);
    }
    announceLeader(now);
    if (m_discovery.isHeartbeatDue(now)) {
        sendHeartbeat(now);
    }
    if (m_hadLease && now >= m_follower.admitUntil()) {
        m_hadLease = false;
        logChange("control", "lease-lapsed", {{"version", std::to_string(m_follower.version())}});
    }
    sendDueRequests(now);
    updateWatchers();
    completeDepartureIfDue(now);
}

/// Waits for AnswerGracePeriod after the transfer of leadership, so that commands accepted before it are answered.
void ControlTask::completeDepartureIfDue(TimePoint now)
{
    const bool isLeading = m_log && m_log->isLeader();
    if (m_onLeft && (now >= m_departureDeadline || (!isLeading && now >= m_departureDeadline - DepartureTimeout + AnswerGracePeriod))) {
        std::exchange(m_onLeft, {})();
    }
}

void ControlTask::handle(Proposal &proposal)
{
    // The forwarder's resends continue across leader changes, so it is used also while this VM leads.
    v1::ProposeRequest request;
    request.set_command(proposal.command.SerializeAsString());
    const TimePoint now = EventLoop::now();
    m_forwarder.submit(std::move(request), std::move(proposal.answer), now);
    sendDueRequests(now);
}

void ControlTask::handle(Question &question)
{
    v1::ProposeRequest request;
    *request.mutable_question() = std::move(question.question);
    const TimePoint now = EventLoop::now();
    const auto answer = [answer = std::move(question.answer)](const Result<v1::ProposeReply> &reply) {
        if (!ok(reply)) {
            answer(errorOf(reply));
            return;
        }
        answer(valueOf(reply).answer());
    };
    m_forwarder.submit(std::move(request), answer, now);
    sendDueRequests(now);
}

void ControlTask::handle(StateQuery &query)
{
    query.visit(m_state);
}

void ControlTask::handle(FollowerQuery &query)
{
    query.visit(m_follower);
}

void ControlTask::handle(Watch &watch)
{
    m_watchers.add(watch.after, std::move(watch.sink));
    updateWatchers();
}

void ControlTask::handle(Subscription &subscription)
{
    subscription.onChanged(configuration());
    m_configurationChanged.connect(subscription.onChanged);
}

void ControlTask::handle(TallyUpdate &update)
{
    m_entryTally = std::move(update.tally);
}

void ControlTask::handle(CandidatesUpdate &update)
{
    m_discovery.setSeeds(update.replicas);
}

void ControlTask::handle(DrainStarted & /*message*/)
{
    m_follower.setDraining(true);
    if (m_log) {
        m_log->transferLeadership(EventLoop::now());
    }
    sendHeartbeat(EventLoop::now());
}

void ControlTask::handle(DepartureRequest &request)
{
    m_onLeft = std::move(request.onLeft);
    m_departureDeadline = EventLoop::now() + DepartureTimeout;
}

void ControlTask::handle(PeerMessage &message)
{
    if (m_datagrams && message.envelope.has_config_heartbeat()) {
        m_datagrams->removeSender(message.from);
    }
    handlePeerMessage(message);
}

void ControlTask::handlePeerMessage(PeerMessage &message)
{
    switch (message.envelope.body_case()) {
    case v1::Envelope::kRaft:
        if (m_log) {
            m_log->step(message.envelope.raft(), EventLoop::now());
        }
        break;
    case v1::Envelope::kPropose:
        handleProposeRequest(message.from, message.envelope.propose());
        break;
    case v1::Envelope::kProposeReply:
        m_forwarder.handleReply(message.from, message.envelope.propose_reply(), m_discovery.search(), EventLoop::now());
        break;
    case v1::Envelope::kConfigHeartbeat:
        handleHeartbeat(message.from, message.envelope.config_heartbeat());
        break;
    case v1::Envelope::kConfigLease:
        handleLease(message.from, message.envelope.config_lease());
        break;
    case v1::Envelope::kConfigUpdate:
        handleUpdate(message.envelope.config_update());
        break;
    case v1::Envelope::kRepairOrder:
        carryOutRepairOrder(message.envelope.repair_order(), m_state, m_options.send);
        break;
    case v1::Envelope::kOutcomeReport:
        handleOutcomeReport(message.from, message.envelope);
        break;
    default:
        break;
    }
}

void ControlTask::proposeVerdictsAndBurn(TimePoint now)
{
    m_nextVerdictsAt = now + std::chrono::milliseconds(EvaluationIntervalMs);
    if (!m_leadership.isLeading()) {
        m_moveLeader.reset();
        return;
    }
    for (const v1::MoveVerdict &verdict : m_moveLeader.advance(m_state, EventLoop::wallNow())) {
        v1::Command command;
        command.set_command_id(commandIdFor(verdict, m_state));
        *command.mutable_move_verdict() = verdict;
        propose(std::move(command), [](const Result<v1::ProposeReply> &) {});
    }
    proposeRolloutVerdicts();
    if (std::optional<v1::BurnBucket> burn = m_moveLeader.takeDueBurnBucket(EventLoop::wallNow())) {
        v1::Command command;
        *command.mutable_record_burn() = std::move(*burn);
        propose(std::move(command), [](const Result<v1::ProposeReply> &) {});
    }
}

void ControlTask::proposeRolloutVerdicts()
{
    for (const v1::RolloutVerdict &verdict : decideRollouts(m_state.rollouts(), m_leadership.fleetAggregate(), EventLoop::wallNow())) {
        v1::Command command;
        command.set_command_id("rollout-verdict/" + verdict.service() + "/" + verdict.target() + "/" + std::to_string(verdict.started_at_ms()) + "/"
                               + std::to_string(verdict.state()) + "/" + std::to_string(verdict.share_permille()));
        *command.mutable_rollout_verdict() = verdict;
        logChange("control",
                  "rollout-verdict",
                  {{"service", verdict.service()},
                   {"target", verdict.target()},
                   {"state", v1::RolloutState_Name(verdict.state())},
                   {"share_permille", std::to_string(verdict.share_permille())},
                   {"reason", verdict.reason()}});
        propose(std::move(command), [](const Result<v1::ProposeReply> &) {});
    }
}

/// The entry task sends its report to the control task of its own VM, which passes it on to the leader.
void ControlTask::handleOutcomeReport(const VmName &from, v1::Envelope &envelope)
{
    if (m_leadership.isLeading()) {
        m_moveLeader.recordOutcomes(envelope.outcome_report());
    } else if (from == m_options.vm && m_discovery.leader() != m_options.vm) {
        m_options.send(m_discovery.leader(), std::move(envelope));
    }
}

void ControlTask::sendHeartbeat(TimePoint now)
{
    m_discovery.onHeartbeatSent(now);
    v1::Envelope envelope;
    *envelope.mutable_config_heartbeat() = m_follower.makeHeartbeat(now);
    if (m_entryTally) {
        *envelope.mutable_config_heartbeat()->mutable_tally() = *m_entryTally;
        envelope.mutable_config_heartbeat()->set_fleet_digest(m_fleetTally ? m_fleetTally->digest() : 0);
    }
    envelope.mutable_config_heartbeat()->set_suspects_version(m_suspects ? m_suspects->version() : 0);
    sendPreferringDatagrams(m_discovery.leader(), std::move(envelope));
}

void ControlTask::sendDueRequests(TimePoint now)
{
    for (OutgoingEnvelope &outgoing : m_forwarder.dueRequests(m_discovery.search(), now)) {
        m_options.send(outgoing.to, std::move(outgoing.envelope));
    }
}

void ControlTask::handleUpdate(const v1::ConfigUpdate &update)
{
    sendRelayed(update, {update.relay().begin(), update.relay().end()}, m_options.send);
    switch (m_follower.applyUpdate(update)) {
    case Follower::UpdateResult::Outdated:
        return;
    case Follower::UpdateResult::Applied:
        onConfigurationChanged();
        break;
    case Follower::UpdateResult::Gap:
        break;
    }
    // At once, so that the leader learns that this VM has the version in force, or repairs the gap.
    sendHeartbeat(EventLoop::now());
}

void ControlTask::handleLease(const VmName &from, const v1::ConfigLease &lease)
{
    const TimePoint now = EventLoop::now();
    if (lease.length_ms() == 0) {
        if (m_discovery.handleRefusal(lease, now)) {
            sendHeartbeat(now);
        }
        return;
    }
    m_discovery.handleGrant(from, lease, now);
    if (!m_follower.handleLease(lease)) {
        return;
    }
    if (lease.has_fleet()) {
        m_fleetTally = std::make_shared<const v1::FleetTally>(lease.fleet());
    }
    if (lease.has_suspects() && lease.suspects().version() > (m_suspects ? m_suspects->version() : 0)) {
        m_suspects = std::make_shared<const v1::SuspectTable>(lease.suspects());
    }
    if (!m_hadLease) {
        m_hadLease = true;
        m_discovery.startBurst(now);
        logChange("control", "lease-granted", {{"by", from.value}, {"version", std::to_string(m_follower.version())}});
    }
    m_configurationChanged.emit(configuration());
}

void ControlTask::onConfigurationChanged()
{
    m_configurationChanged.emit(configuration());
    updateWatchers();
}

/// Sends watchers the changes of the leader's history, not the updates of this VM: an update may have full declarations instead of changes.
void ControlTask::updateWatchers()
{
    if (!m_watchers.anyOpen()) {
        return;
    }
    m_watchers.sendMoves(m_follower.moves(), m_follower.declarations()->revision());
    if (m_historyRequested || m_watchers.oldestSeenRevision() >= m_follower.declarations()->revision()) {
        return;
    }
    m_historyRequested = true;
    Question question;
    question.question.mutable_history()->set_after_revision(m_watchers.oldestSeenRevision().value);
    question.answer = [this](const Result<v1::LeaderAnswer> &answer) {
        m_historyRequested = false;
        if (ok(answer)) {
            m_watchers.sendHistory(valueOf(answer).history());
        }
    };
    handle(question);
}

Configuration ControlTask::configuration() const
{
    return Configuration{
        .declarations = m_follower.declarations(),
        .moves = m_follower.moves(),
        .routes = m_follower.routes(),
        .rollouts = m_follower.rollouts(),
        .evacuated = m_follower.evacuated(),
        .fleet = m_fleetTally,
        .suspects = m_suspects,
        .cells = m_follower.cells(),
        .admitUntil = m_follower.admitUntil(),
        .leaseUntil = m_follower.leaseUntil(),
    };
}

}
