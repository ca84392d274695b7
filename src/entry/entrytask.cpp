#include "entry/entrytask.h"

#include "cell/convert.h"
#include "common/log.h"
#include "entry/headers.h"
#include "entry/outcomes.h"
#include "entry/pages.h"

namespace cumindyke
{

namespace
{

/// Minimum interval between batches of messages to the schedulers; changes within it are sent together.
constexpr Duration MinCellMessageInterval = std::chrono::milliseconds(2);
constexpr Duration SweepInterval = std::chrono::milliseconds(10);
constexpr Duration ReportInterval = std::chrono::milliseconds(250);
constexpr Duration KeyedSweepInterval = std::chrono::milliseconds(100);
/// Largest saved answer of a keyed request; the same limit as for claims.
constexpr std::size_t MaxSavedAnswerBytes = ClaimLimits{}.maxAnswerBytes;

}

Result<std::unique_ptr<EntryTask>> EntryTask::open(EntryOptions options, Metrics &metrics)
{
    std::unique_ptr<EntryTask> task(new EntryTask(std::move(options), metrics));
    auto server = HttpServer::listen(task->m_loop, task->m_options.address, task->m_options.requestReadLimit);
    if (!ok(server)) {
        return errorOf(server);
    }
    task->m_httpServer = std::move(valueOf(server));
    task->m_httpServer->refuseWhileLate(metrics);
    if (task->m_options.bodyBudgetBytes > 0) {
        task->m_httpServer->limitBodies(task->m_options.bodyBudgetBytes, metrics);
    }
    task->m_httpServer->arrived().connect(sigc::mem_fun(*task, &EntryTask::onRequest));
    if (auto error = task->openPaths()) {
        return *error;
    }
    task->m_sweepTimer.startEvery(SweepInterval);
    task->m_reportTimer.startEvery(ReportInterval);
    task->m_keyedSweepTimer.startEvery(KeyedSweepInterval);
    return task;
}

std::optional<Error> EntryTask::openPaths()
{
    auto paths = UpstreamPaths::open(m_loop,
                                     UpstreamPathsOptions{
                                         .vm = m_options.vm,
                                         .localDataCentre = m_options.dataCentre,
                                         .regions = {},
                                         .relayAddress = m_options.relayAddress,
                                         .mapAddress = m_options.mapAddress,
                                     },
                                     m_metrics);
    if (!ok(paths)) {
        return errorOf(paths);
    }
    m_paths = std::move(valueOf(paths));
    // The other VMs' data centres are not known here: all count alike.
    v1::FleetTally fleet;
    for (const std::string &host : m_options.relayHosts) {
        fleet.add_placement_vms()->set_vm(host);
    }
    m_paths->setFleet(fleet);
    return {};
}

void EntryTask::start()
{
    m_thread = std::thread([this] { m_loop.run(); });
}

EntryTask::EntryTask(EntryOptions options, Metrics &metrics)
    : m_options(std::move(options))
    , m_metrics(metrics)
    , m_mailbox(m_loop, [this](EntryMessage &&message) { handle(std::move(message)); })
    , m_sweepTimer(m_loop, [this] { sweep(); })
    , m_reportTimer(m_loop, [this] { reportOutcomes(); })
    , m_cellMessageTimer(m_loop, [this] { sendCellMessages(); })
    , m_admission(m_options.vm)
    , m_versions(m_options.vm, m_admission.incarnation(), metrics)
    , m_dispatcher(m_options.vm, m_options.vms)
    , m_attemptCounters(metrics)
    , m_canceller(m_loop)
    , m_history(m_options.vm.value, m_options.historyFile)
    , m_limits(OrganisationLimitOptions{.vms = std::max<std::size_t>(1, m_options.vms.size())})
    , m_requests(m_loop)
    , m_suspects(
          m_loop,
          SuspectTrackerOptions{
              .vm = m_options.vm,
              .propose = m_options.propose,
              .post = [this](SuspectReply reply) { post(std::move(reply)); },
              .mapAddress = m_options.mapAddress,
              .confirmEnded = [this](const Address &upstream, std::function<void(EndVerdict)> then) { m_paths->confirmEnded(upstream, std::move(then)); },
          },
          metrics)
    , m_keyed(keyedOptions())
    , m_keyedSweepTimer(m_loop, [this] {
        m_keyed.sweep(EventLoop::now());
        finishDrainIfIdle();
    })
{
    m_dispatcher.setVersions(&m_versions);
    if (!m_options.platformList.empty()) {
        m_platformList = std::make_unique<PlatformList>(m_loop, m_options.platformList);
        m_platformList->changed().connect(sigc::mem_fun(*this, &EntryTask::onLeavingVmsChanged));
    }
    m_keyed.claimed().connect(sigc::mem_fun(*this, &EntryTask::enqueue));
    m_keyed.answered().connect(sigc::mem_fun(*this, &EntryTask::onKeyedAnswer));
    m_keyed.refused().connect(sigc::mem_fun(*this, &EntryTask::abandonWithOutcome));
    m_dispatcher.slotGranted().connect(sigc::mem_fun(*this, &EntryTask::dispatch));
    m_requests.endedRequestsDestroyed().connect([this] {
        const TimePoint now = EventLoop::now();
        m_dispatcher.dispatchAllQueued(now);
        scheduleCellMessages(now);
        finishDrainIfIdle();
    });
}

EntryTask::~EntryTask()
{
    stop();
    m_requests.clear();
}

std::uint16_t EntryTask::port() const
{
    return m_httpServer->port();
}

void EntryTask::stop()
{
    m_loop.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void EntryTask::post(EntryMessage message)
{
    m_mailbox.post(std::move(message));
}

void EntryTask::handle(EntryMessage &&message)
{
    std::visit([this](auto &&kind) { handle(std::forward<decltype(kind)>(kind)); }, std::move(message));
}

void EntryTask::handle(Configuration &&configuration)
{
    if (configuration.declarations->revision() != m_admission.configuration().declarations->revision()) {
        logChange("entry", "configuration-in-force", {{"revision", std::to_string(configuration.declarations->revision().value)}});
    }
    m_versions.setMoves(configuration.moves, *configuration.declarations, configuration.evacuated);
    m_suspects.setTable(configuration.suspects);
    m_admission.setConfiguration(std::move(configuration));
    m_dispatcher.setDeclarations(m_admission.configuration().declarations, EventLoop::now());
    if (m_platformList) {
        onLeavingVmsChanged(m_platformList->leaving());
    }
}

void EntryTask::handle(DrainRequest &&drain)
{
    m_admission.beginDrain();
    m_paths->setDraining();
    m_onDrained = std::move(drain.drained);
    logChange("entry", "draining", {{"requests", std::to_string(m_requests.size())}});
    finishDrainIfIdle();
}

void EntryTask::handle(const ReportQuery &query)
{
    query.answer(m_requestEnds.report());
}

void EntryTask::handle(const ClaimDecision &decision)
{
    m_keyed.handle(decision, EventLoop::now());
}

void EntryTask::handle(const ClaimEndSaved &saved)
{
    m_keyed.handle(saved);
}

void EntryTask::handle(SuspectReply &&reply)
{
    m_suspects.handle(reply);
}

void EntryTask::handle(PeerMessage &&message)
{
    if (message.envelope.has_join()) {
        m_keyed.handle(message.from, message.envelope.join());
    } else if (message.envelope.has_join_reply()) {
        m_keyed.handle(message.from, message.envelope.join_reply(), EventLoop::now());
    } else if (message.envelope.has_grants()) {
        const TimePoint now = EventLoop::now();
        m_dispatcher.handleGrants(fromProto(message.envelope.grants()), now);
        scheduleCellMessages(now);
    }
}

KeyedOptions EntryTask::keyedOptions()
{
    return KeyedOptions{
        .vm = m_options.vm,
        .propose = m_options.propose,
        .send = m_options.send,
        .postClaimDecision = [this](ClaimDecision decision) { post(std::move(decision)); },
        .postClaimEndSaved = [this](ClaimEndSaved saved) { post(std::move(saved)); },
    };
}

void EntryTask::onRequest(const std::shared_ptr<Exchange> &exchange)
{
    const std::string &path = exchange->path();
    if (handlePage(*exchange, m_admission, m_metrics, EventLoop::now())) {
        return;
    }
    if (path == "/v1/completions" || path == "/v1/chat/completions" || path.starts_with("/services/")) {
        admit(exchange);
    } else {
        exchange->replyError(Error{ErrorKind::NotFound, "unknown path: use /v1/completions, /v1/chat/completions, /v1/models or /services/NAME/..."},
                             RunOutcome::NotRun);
    }
}

void EntryTask::admit(const std::shared_ptr<Exchange> &exchange)
{
    const TimePoint now = EventLoop::now();
    Result<CallerRequest> admitted = m_admission.admit(*exchange, now);
    if (!ok(admitted)) {
        m_metrics.counter("cumindyke_rejected_requests_total", "Requests refused at their arrival", {{"kind", toString(errorOf(admitted).kind)}}).add();
        exchange->replyError(errorOf(admitted), outcomeOfRefusal(*exchange, errorOf(admitted)));
        return;
    }
    if (refuseOverLimit(valueOf(admitted), *exchange, now)) {
        return;
    }
    const ActiveRequest &active = m_requests.add(std::move(valueOf(admitted)), exchange);
    const RequestId id = active.request.id;
    const Declarations &declarations = *m_admission.configuration().declarations;
    m_limits.acquire(*declarations.organisation(active.request.organisation), retainedBytes(active.request), estimatedWork(active.request), now);
    exchange->callerDisconnected().connect([this, id] { onCallerDisconnected(id); });
    m_history.write("admitted",
                    id,
                    now,
                    {{"service", active.request.service.value},
                     {"rank", std::to_string(active.request.rank.value)},
                     {"organisation", active.request.organisation.value},
                     {"key", active.request.idempotencyKey}});
    if (active.request.idempotencyKey.empty()) {
        enqueue(id);
        return;
    }
    exchange->saveAnswer(MaxSavedAnswerBytes);
    m_keyed.claimKey(active.request, declarations.service(active.request.service)->keepAnswers, now);
}

void EntryTask::onLeavingVmsChanged(const LeavingVms &leaving)
{
    m_dispatcher.setDrainingUpstreams(drainingUpstreams(leaving, *m_admission.configuration().declarations), EventLoop::now());
}

bool EntryTask::refuseOverLimit(const CallerRequest &request, Exchange &exchange, TimePoint now)
{
    const Organisation &organisation = *m_admission.configuration().declarations->organisation(request.organisation);
    if (const auto refusal = m_limits.findExceededLimit(organisation, retainedBytes(request), estimatedWork(request), now)) {
        refuse(request, exchange, refusal->error, refusal->retryAfter);
        return true;
    }
    // A resend of a keyed request waits for the original's answer and needs no capacity.
    if (request.idempotencyKey.empty() && m_dispatcher.refusesNewRequests(request.service, request.rank, now)) {
        const Error error{ErrorKind::Overloaded, "requests of higher tiers need all capacity: try again later"};
        refuse(request, exchange, error, estimatedRetryAfter(request.service, now));
        return true;
    }
    return false;
}

void EntryTask::refuse(const CallerRequest &request, Exchange &exchange, const Error &error, std::chrono::seconds retryAfter)
{
    m_metrics.counter("cumindyke_rejected_requests_total", "Requests refused at their arrival", {{"kind", toString(error.kind)}}).add();
    exchange.replyError(error, outcomeOfRefusal(exchange, error), retryAfter);
    m_requestEnds.record(request.service, request.tier, RequestEnd::Refused);
}

std::chrono::seconds EntryTask::estimatedRetryAfter(const ServiceName &service, TimePoint now)
{
    return m_serviceRates[service].estimatedTime(m_dispatcher.queueLength(service) + 1, now);
}

void EntryTask::enqueue(const RequestId &id)
{
    ActiveRequest *active = m_requests.find(id);
    if (!active || !mayRun(id, *active)) {
        return;
    }
    const ServiceName service = active->request.service;
    const TimePoint now = EventLoop::now();
    m_dispatcher.enqueue(active->request, active->suspectState.trial.has_value(), now);
    m_dispatcher.dispatchQueued(service, now);
    scheduleCellMessages(now);
}

/// Answers a keyed request with the result of an earlier request with the same key.
void EntryTask::onKeyedAnswer(const RequestId &id, const KeyedResult &result)
{
    const ActiveRequest *active = m_requests.find(id);
    if (!active) {
        return;
    }
    if (result.outcome == RunOutcome::NotRun) {
        abandonWithOutcome(
            id, Error{ErrorKind::Unavailable, "the earlier request with this key was refused before it ran: resend the request"}, result.outcome);
        return;
    }
    if (!result.answer) {
        abandonWithOutcome(id,
                           Error{ErrorKind::OutcomeUnknown,
                                 "an earlier request with this key may have run and its answer is not known: check its effect before using a new key"},
                           result.outcome);
        return;
    }
    active->exchange->addHeader(headers::RequestId, result.originalId.value);
    active->exchange->addHeader(headers::Outcome, toString(RunOutcome::Ran));
    active->exchange->addHeader(headers::Replayed, "true");
    active->exchange->reply(result.answer->status, result.answer->contentType, result.answer->body);
    finish(id, EventLoop::now() <= active->request.deadline ? RequestEnd::OnTime : RequestEnd::Late);
}

void EntryTask::sweep()
{
    const TimePoint now = EventLoop::now();
    m_dispatcher.refreshAvailability(now);
    for (const PendingRequest &removed : m_dispatcher.removeUnservable(now)) {
        const bool late = now >= removed.deadline;
        abandon(removed.id,
                late ? Error{ErrorKind::DeadlinePassed, "no upstream had a free slot before the deadline: allow more time or try again later"}
                     : Error{ErrorKind::Overloaded, "the answer can't be completed before the deadline: allow more time or try again later"});
    }
    m_dispatcher.dispatchAllQueued(now);
    sendCellMessages();
}

/// Sends a first change at once, since a request waits for it; in a burst, changes within MinCellMessageInterval are sent together.
void EntryTask::scheduleCellMessages(TimePoint now)
{
    if (!std::exchange(m_cellMessagesScheduled, true)) {
        m_cellMessageTimer.startOnce(std::max(m_cellMessagesSentAt + MinCellMessageInterval - now, Duration::zero()));
    }
}

void EntryTask::sendCellMessages()
{
    const TimePoint now = EventLoop::now();
    m_cellMessagesScheduled = false;
    for (const CellMessages &messages : m_dispatcher.cellMessages(now)) {
        const auto holder = m_admission.configuration().cells.find(messages.demand.cell.value);
        if (holder == m_admission.configuration().cells.end() || holder->second.vm().empty()) {
            continue;
        }
        const VmName scheduler{holder->second.vm()};
        v1::Envelope report;
        *report.mutable_grant_report() = toProto(messages.report);
        m_options.send(scheduler, std::move(report));
        v1::Envelope demand;
        *demand.mutable_demand() = toProto(messages.demand);
        m_options.send(scheduler, std::move(demand));
        m_cellMessagesSentAt = now;
    }
}

void EntryTask::reportOutcomes()
{
    v1::Envelope envelope;
    *envelope.mutable_outcome_report() = m_versions.outcomeReport(EventLoop::now());
    m_options.send(m_options.vm, std::move(envelope));
}

void EntryTask::finishDrainIfIdle()
{
    if (m_admission.isDraining() && m_requests.size() == 0 && m_paths->relayedCount() == 0 && m_keyed.allEndsSaved() && m_onDrained) {
        logChange("entry", "drained");
        std::exchange(m_onDrained, nullptr)();
    }
}

}
