#include "control/controltask.h"

#include "common/hash.h"
#include "common/log.h"
#include "control/rolloutleader.h"

#include <algorithm>
#include <random>

namespace cumindyke
{

namespace
{

constexpr Duration TickInterval = std::chrono::milliseconds(50);
/// A hand-over of leadership takes some round trips; a replica that finds no successor leaves after this.
constexpr Duration DepartureLimit = std::chrono::seconds(2);
/// For calls of operators that are under way when the process is told to end.
constexpr Duration LastAnswers = std::chrono::milliseconds(500);
/// Differs at every start of a process, and leaves room to count up from.
std::uint64_t randomIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 31) ^ device();
}

/// Replicas first: they know who leads. Each VM begins with another one, or all that start together would ask the same one.
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

std::vector<VmName> namesIn(const google::protobuf::RepeatedPtrField<std::string> &texts)
{
    std::vector<VmName> names;
    for (const std::string &text : texts) {
        names.push_back(VmName{text});
    }
    return names;
}

/// What may be lost, since the sender soon tells it again.
bool isSignal(const v1::Envelope &envelope)
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
    m_heartbeatSchedule.start(EventLoop::now());
    m_tick.startEvery(TickInterval);
    m_thread = std::thread([this] { m_loop.run(); });
}

ControlTask::ControlTask(ControlOptions options)
    : m_options(std::move(options))
    , m_mailbox(m_loop, [this](ControlMessage &&message) { std::visit([this](auto &held) { handle(held); }, message); })
    , m_tick(m_loop, [this] { tick(); })
    , m_flush(m_loop, [this] { flushLog(); })
    , m_leadership(LeadershipOptions{
                       .vm = m_options.vm,
                       .vms = allVms(m_options),
                       .lease = {.keepAdmitting = m_options.keepAdmitting},
                       .confirmWithin = m_options.confirmWithin,
                       .send = [this](const VmName &to, v1::Envelope envelope) { sendSignal(to, std::move(envelope)); },
                       .hasQuorum = [this](TimePoint now) { return hasQuorum(now); },
                       .replicas = [this] { return m_log->membership().voters(); },
                       .metrics = m_options.metrics,
                   },
                   m_state)
    , m_orderRunner(m_loop, {}, randomIncarnation())
    , m_leaderSearch(leaderCandidates(m_options))
    , m_forwarder({}, randomIncarnation())
    , m_follower(FollowerOptions{
          .vm = m_options.vm,
          .dataCentre = m_options.dataCentre,
          .incarnation = randomIncarnation(),
          .keepAdmitting = m_options.keepAdmitting,
      })
    , m_heartbeatSchedule(m_options.datagrams.has_value())
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
        if (isSignal(message.envelope)) {
            take(message);
        }
    });
    return {};
}

/// A beat is answered the way it came: while the setting is brought to a fleet, or taken back, some VMs beat by calls.
void ControlTask::sendSignal(const VmName &to, v1::Envelope envelope)
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
        followLeadership(now);
    }
    if (hasQuorum(now)) {
        m_orderRunner.tick(now);
    }
    for (const v1::CellAssignment &assignment : m_leadership.tick(now)) {
        v1::Command command;
        // The same decision has the same id, so that a repeat while the first is on its way changes nothing.
        command.set_command_id("assign-cell/" + assignment.cell() + "/" + std::to_string(assignment.epoch()) + "/" + m_options.vm.value);
        *command.mutable_assign_cell() = assignment;
        propose(std::move(command), [](const Result<v1::ProposeReply> &) {});
    }
    if (now >= m_nextLook) {
        decideMoves(now);
    }
    if (m_heartbeatSchedule.mustAskNextCandidate(now)) {
        m_leaderSearch.onNoReply(m_leaderSearch.leader());
        askForLease(now);
    }
    if (m_heartbeatSchedule.isDue(now)) {
        sendHeartbeat(now);
    }
    if (m_hadLease && now >= m_follower.admitUntil()) {
        m_hadLease = false;
        logChange("control", "lease-lapsed", {{"version", std::to_string(m_follower.version())}});
    }
    sendDue(now);
    feedWatchers();
    leaveIfReplaced(now);
}

/// Commands that were taken before the hand-over are answered first.
void ControlTask::leaveIfReplaced(TimePoint now)
{
    const bool leads = m_log && m_log->isLeader();
    if (m_left && (now >= m_leaveBy || (!leads && now >= m_leaveBy - DepartureLimit + LastAnswers))) {
        std::exchange(m_left, {})();
    }
}

void ControlTask::handle(Proposal &proposal)
{
    // The forwarder's resends outlast changes of the leader, so it is used also when this VM leads.
    v1::ProposeRequest request;
    request.set_command(proposal.command.SerializeAsString());
    const TimePoint now = EventLoop::now();
    m_forwarder.submit(std::move(request), std::move(proposal.answer), now);
    sendDue(now);
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
    sendDue(now);
}

void ControlTask::handle(StateQuery &query)
{
    query.look(m_state);
}

void ControlTask::handle(FollowerQuery &query)
{
    query.look(m_follower);
}

void ControlTask::handle(Watch &watch)
{
    m_watchers.add(watch.after, std::move(watch.sink));
    feedWatchers();
}

void ControlTask::handle(Subscription &subscription)
{
    subscription.changed(configuration());
    m_configurationChanged.connect(subscription.changed);
}

void ControlTask::handle(TallyUpdate &notice)
{
    m_tally = std::move(notice.tally);
}

void ControlTask::handle(CandidatesUpdate &notice)
{
    m_leaderSearch.setCandidates(notice.replicas);
}

void ControlTask::handle(DrainStarted & /*notice*/)
{
    m_follower.setDraining(true);
    if (m_log) {
        m_log->transferLeadership(EventLoop::now());
    }
    sendHeartbeat(EventLoop::now());
}

void ControlTask::handle(DepartureRequest &notice)
{
    m_left = std::move(notice.left);
    m_leaveBy = EventLoop::now() + DepartureLimit;
}

void ControlTask::handle(PeerMessage &message)
{
    if (m_datagrams && message.envelope.has_config_heartbeat()) {
        m_datagrams->removeSender(message.from);
    }
    take(message);
}

void ControlTask::take(PeerMessage &message)
{
    switch (message.envelope.body_case()) {
    case v1::Envelope::kRaft:
        if (m_log) {
            m_log->step(message.envelope.raft(), EventLoop::now());
        }
        break;
    case v1::Envelope::kPropose:
        proposeHere(message.from, message.envelope.propose());
        break;
    case v1::Envelope::kProposeReply:
        m_forwarder.handleReply(message.from, message.envelope.propose_reply(), m_leaderSearch, EventLoop::now());
        break;
    case v1::Envelope::kConfigHeartbeat:
        takeBeat(message.from, message.envelope.config_heartbeat());
        break;
    case v1::Envelope::kConfigLease:
        takeLease(message.from, message.envelope.config_lease());
        break;
    case v1::Envelope::kConfigUpdate:
        handleUpdate(message.envelope.config_update());
        break;
    case v1::Envelope::kOutcomeReport:
        takeOutcomes(message.from, message.envelope);
        break;
    default:
        break;
    }
}

void ControlTask::decideMoves(TimePoint now)
{
    m_nextLook = now + std::chrono::milliseconds(EvaluationIntervalMs);
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

/// The entry task hands its report to the control task of its own VM, which knows the leader.
void ControlTask::takeOutcomes(const VmName &from, v1::Envelope &envelope)
{
    if (m_leadership.isLeading()) {
        m_moveLeader.recordOutcomes(envelope.outcome_report());
    } else if (from == m_options.vm && m_leaderSearch.leader() != m_options.vm) {
        m_options.send(m_leaderSearch.leader(), std::move(envelope));
    }
}

/// Asks whom this VM takes for the leader at once, and another one soon if there is no answer.
void ControlTask::askForLease(TimePoint now)
{
    m_heartbeatSchedule.onNextCandidateAsked(now);
    m_hintFollowed = false;
    sendHeartbeat(now);
}

void ControlTask::sendHeartbeat(TimePoint now)
{
    m_heartbeatSchedule.onSent(now);
    v1::Envelope envelope;
    *envelope.mutable_config_heartbeat() = m_follower.makeHeartbeat(now);
    if (m_tally) {
        *envelope.mutable_config_heartbeat()->mutable_tally() = *m_tally;
        envelope.mutable_config_heartbeat()->set_fleet_digest(m_fleet ? m_fleet->digest() : 0);
    }
    sendSignal(m_leaderSearch.leader(), std::move(envelope));
}

void ControlTask::sendDue(TimePoint now)
{
    for (OutgoingEnvelope &outgoing : m_forwarder.dueRequests(m_leaderSearch, now)) {
        m_options.send(outgoing.to, std::move(outgoing.envelope));
    }
}

void ControlTask::handleUpdate(const v1::ConfigUpdate &update)
{
    v1::Envelope relayed;
    *relayed.mutable_config_update() = update;
    const std::vector<std::string> targets(update.relay().begin(), update.relay().end());
    for (const Branch &branch : splitFanOut(targets)) {
        relayed.mutable_config_update()->mutable_relay()->Assign(branch.relay.begin(), branch.relay.end());
        m_options.send(branch.child, relayed);
    }
    switch (m_follower.applyUpdate(update)) {
    case Follower::UpdateResult::Outdated:
        return;
    case Follower::UpdateResult::Applied:
        configurationIsNew();
        break;
    case Follower::UpdateResult::Gap:
        break;
    }
    // At once, so that the leader knows that this VM has it in force, or repairs the gap.
    sendHeartbeat(EventLoop::now());
}

void ControlTask::takeLease(const VmName &from, const v1::ConfigLease &lease)
{
    const TimePoint now = EventLoop::now();
    m_heartbeatSchedule.onReply();
    if (lease.length_ms() == 0) {
        const VmName before = m_leaderSearch.leader();
        m_leaderSearch.onLeaderHint(VmName{lease.leader()});
        // Followed at once, but one hint only: a chain of them that leads nowhere must not keep the next candidate from being asked.
        if (m_leaderSearch.leader() != before && !std::exchange(m_hintFollowed, true)) {
            sendHeartbeat(now);
            m_heartbeatSchedule.onNextCandidateAsked(now);
        }
        return;
    }
    m_leaderSearch.onLeaderReply(from);
    m_hintFollowed = false;
    m_leaderSearch.setReplicas(namesIn(lease.replicas()));
    m_heartbeatSchedule.onLeaseGranted(now);
    if (!m_follower.handleLease(lease)) {
        return;
    }
    if (lease.has_fleet()) {
        m_fleet = std::make_shared<const v1::FleetTally>(lease.fleet());
    }
    if (!m_hadLease) {
        m_hadLease = true;
        m_heartbeatSchedule.startBurst(now);
        logChange("control", "lease-granted", {{"by", from.value}, {"version", std::to_string(m_follower.version())}});
    }
    m_configurationChanged.emit(configuration());
}

void ControlTask::configurationIsNew()
{
    m_configurationChanged.emit(configuration());
    feedWatchers();
}

/// Changes come from the leader's history, not from the updates of this VM: an update may carry whole declarations.
void ControlTask::feedWatchers()
{
    if (!m_watchers.any()) {
        return;
    }
    m_watchers.sendMoves(m_follower.moves(), m_follower.declarations()->revision());
    if (m_watchersAsk || m_watchers.oldestSeen() >= m_follower.declarations()->revision()) {
        return;
    }
    m_watchersAsk = true;
    Question question;
    question.question.mutable_history()->set_after_revision(m_watchers.oldestSeen().value);
    question.answer = [this](const Result<v1::LeaderAnswer> &answer) {
        m_watchersAsk = false;
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
        .fleet = m_fleet,
        .cells = m_follower.cells(),
        .admitUntil = m_follower.admitUntil(),
        .leaseUntil = m_follower.leaseUntil(),
    };
}

}
