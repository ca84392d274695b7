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

/// Changes within this time after a message to the schedulers are told together.
constexpr Duration TellDelay = std::chrono::milliseconds(2);
constexpr Duration SweepInterval = std::chrono::milliseconds(10);
/// Outcomes go to the leader this often.
constexpr Duration ReportInterval = std::chrono::milliseconds(250);
constexpr Duration KeyedSweepInterval = std::chrono::milliseconds(100);
/// The largest answer of a keyed request that is kept for later sendings; the claims' own limit.
constexpr std::size_t MaxKeptAnswerBytes = ClaimLimits{}.maxAnswerBytes;
/// Dispatches that were proved not to have run before the request is given up.
constexpr int MaxFailedDispatches = 3;

}

Result<std::unique_ptr<EntryTask>> EntryTask::open(EntryOptions options, Metrics &metrics)
{
    std::unique_ptr<EntryTask> task(new EntryTask(std::move(options), metrics));
    auto door = HttpServer::listen(task->m_loop, task->m_options.address, task->m_options.requestReadLimit);
    if (!ok(door)) {
        return errorOf(door);
    }
    task->m_door = std::move(valueOf(door));
    task->m_door->arrived().connect(sigc::mem_fun(*task, &EntryTask::arrived));
    task->m_sweep.startEvery(SweepInterval);
    task->m_report.startEvery(ReportInterval);
    task->m_keyedSweep.startEvery(KeyedSweepInterval);
    return task;
}

void EntryTask::start()
{
    m_thread = std::thread([this] { m_loop.run(); });
}

EntryTask::EntryTask(EntryOptions options, Metrics &metrics)
    : m_options(std::move(options))
    , m_metrics(metrics)
    , m_mailbox(m_loop, [this](EntryMessage &&message) { handle(std::move(message)); })
    , m_sweep(m_loop, [this] { sweep(); })
    , m_report(m_loop, [this] { reportOutcomes(); })
    , m_tell(m_loop, [this] { tellSchedulers(); })
    , m_admission(m_options.vm)
    , m_versions(m_options.vm, m_admission.incarnation(), metrics)
    , m_dispatcher(m_options.vm, m_options.vms)
    , m_runCounters(metrics)
    , m_canceller(m_loop)
    , m_history(m_options.vm.value, m_options.historyFile)
    , m_limits(OrganisationLimitOptions{.vms = std::max<std::size_t>(1, m_options.vms.size())})
    , m_requests(m_loop)
    , m_keyed(keyedOptions())
    , m_keyedSweep(m_loop, [this] {
        m_keyed.sweep(EventLoop::now());
        finishDrainIfIdle();
    })
{
    m_dispatcher.setVersions(&m_versions);
    if (!m_options.platformList.empty()) {
        m_platformList = std::make_unique<PlatformList>(m_loop, m_options.platformList);
        m_platformList->changed().connect(sigc::mem_fun(*this, &EntryTask::platformListed));
    }
    m_keyed.claimed().connect(sigc::mem_fun(*this, &EntryTask::enqueue));
    m_keyed.answered().connect(sigc::mem_fun(*this, &EntryTask::answerKeyed));
    m_keyed.refused().connect(sigc::mem_fun(*this, &EntryTask::giveUpAs));
    m_dispatcher.granted().connect(sigc::mem_fun(*this, &EntryTask::dispatch));
    m_requests.cleaned().connect([this] {
        const TimePoint now = EventLoop::now();
        m_dispatcher.serveAll(now);
        tellSoon(now);
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
    return m_door->port();
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
    m_versions.setMoves(configuration.moves, *configuration.declarations);
    m_admission.setConfiguration(std::move(configuration));
    m_dispatcher.setDeclarations(m_admission.configuration().declarations, EventLoop::now());
    if (m_platformList) {
        platformListed(m_platformList->leaving());
    }
}

void EntryTask::handle(DrainRequest &&drain)
{
    m_admission.beginDrain();
    m_drained = std::move(drain.drained);
    logChange("entry", "draining", {{"requests", std::to_string(m_requests.size())}});
    finishDrainIfIdle();
}

void EntryTask::handle(const ReportQuery &query)
{
    query.answer(m_tally.report());
}

void EntryTask::handle(const ClaimDecision &decision)
{
    m_keyed.handle(decision, EventLoop::now());
}

void EntryTask::handle(const ClaimEndSaved &saved)
{
    m_keyed.handle(saved);
}

void EntryTask::handle(PeerMessage &&message)
{
    if (message.envelope.has_join()) {
        m_keyed.handle(message.from, message.envelope.join());
    } else if (message.envelope.has_join_reply()) {
        m_keyed.handle(message.from, message.envelope.join_reply(), EventLoop::now());
    } else if (message.envelope.has_grants()) {
        const TimePoint now = EventLoop::now();
        m_dispatcher.takeGrants(fromProto(message.envelope.grants()), now);
        tellSoon(now);
    }
}

KeyedOptions EntryTask::keyedOptions()
{
    return KeyedOptions{
        .vm = m_options.vm,
        .propose = m_options.propose,
        .send = m_options.send,
        .postDecision = [this](ClaimDecision decision) { post(std::move(decision)); },
        .postSaved = [this](ClaimEndSaved saved) { post(std::move(saved)); },
    };
}

void EntryTask::arrived(const std::shared_ptr<Exchange> &exchange)
{
    const std::string &path = exchange->path();
    if (answerPage(*exchange, m_admission, m_metrics, EventLoop::now())) {
        return;
    }
    if (path == "/v1/completions" || path == "/v1/chat/completions" || path.starts_with("/services/")) {
        admit(exchange);
    } else {
        exchange->replyError(Error{ErrorKind::NotFound, "no such path: use /v1/completions, /v1/chat/completions, /v1/models or /services/NAME/..."},
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
    if (refusedForRoom(valueOf(admitted), *exchange, now)) {
        return;
    }
    const ActiveRequest &active = m_requests.add(std::move(valueOf(admitted)), exchange);
    const RequestId id = active.request.id;
    const Declarations &declarations = *m_admission.configuration().declarations;
    m_limits.add(*declarations.organisation(active.request.organisation), heldBytes(active.request), workOf(active.request), now);
    exchange->callerDisconnected().connect([this, id] { callerDisconnected(id); });
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
    exchange->record(MaxKeptAnswerBytes);
    m_keyed.begin(active.request, declarations.service(active.request.service)->keepAnswers, now);
}

void EntryTask::platformListed(const LeavingVms &leaving)
{
    m_dispatcher.setLeaving(leavingUpstreams(leaving, *m_admission.configuration().declarations), EventLoop::now());
}

bool EntryTask::refusedForRoom(const CallerRequest &request, Exchange &exchange, TimePoint now)
{
    const Organisation &organisation = *m_admission.configuration().declarations->organisation(request.organisation);
    if (const auto refusal = m_limits.refusal(organisation, heldBytes(request), workOf(request), now)) {
        refuseAtArrival(request, exchange, refusal->error, refusal->retryAfter);
        return true;
    }
    // A later sending of a keyed request waits for an answer that exists already or will: it needs no capacity.
    if (request.idempotencyKey.empty() && m_dispatcher.refuses(request.service, request.rank, now)) {
        const Error error{ErrorKind::Overloaded, "requests of higher tiers need all capacity: try again later"};
        refuseAtArrival(request, exchange, error, retryAfter(request.service, now));
        return true;
    }
    return false;
}

void EntryTask::refuseAtArrival(const CallerRequest &request, Exchange &exchange, const Error &error, std::chrono::seconds retryAfter)
{
    m_metrics.counter("cumindyke_rejected_requests_total", "Requests refused at their arrival", {{"kind", toString(error.kind)}}).add();
    exchange.replyError(error, outcomeOfRefusal(exchange, error), retryAfter);
    m_tally.add(request.service, request.tier, RequestEnd::Refused);
}

std::chrono::seconds EntryTask::retryAfter(const ServiceName &service, TimePoint now)
{
    return m_rates[service].timeFor(m_dispatcher.waiting(service) + 1, now);
}

void EntryTask::enqueue(const RequestId &id)
{
    const ActiveRequest *active = m_requests.find(id);
    if (!active) {
        return;
    }
    const ServiceName service = active->request.service;
    const TimePoint now = EventLoop::now();
    m_dispatcher.add(active->request, now);
    m_dispatcher.serve(service, now);
    tellSoon(now);
}

/// The sending gets what another sending under its key got.
void EntryTask::answerKeyed(const RequestId &id, const KeyedResult &result)
{
    const ActiveRequest *active = m_requests.find(id);
    if (!active) {
        return;
    }
    if (result.outcome == RunOutcome::NotRun) {
        giveUpAs(id, Error{ErrorKind::Unavailable, "the request that held the key was refused before it ran: send it again"}, result.outcome);
        return;
    }
    if (!result.answer) {
        giveUpAs(id,
                 Error{ErrorKind::OutcomeUnknown, "an earlier request under this key may have run and its answer is not known: check before you use a new key"},
                 result.outcome);
        return;
    }
    active->exchange->addHeader(headers::RequestId, result.ranAs.value);
    active->exchange->addHeader(headers::Outcome, toString(RunOutcome::Ran));
    active->exchange->addHeader(headers::Replayed, "true");
    active->exchange->reply(result.answer->status, result.answer->contentType, result.answer->body);
    finish(id, EventLoop::now() <= active->request.deadline ? RequestEnd::OnTime : RequestEnd::Late);
}

void EntryTask::sweep()
{
    const TimePoint now = EventLoop::now();
    m_dispatcher.refresh(now);
    for (const PendingRequest &hopeless : m_dispatcher.shedRequests(now)) {
        const bool late = now >= hopeless.deadline;
        giveUp(hopeless.id,
               late ? Error{ErrorKind::DeadlinePassed, "no upstream had room before the deadline: allow more time or try again later"}
                    : Error{ErrorKind::Overloaded, "the answer can't be made before the deadline: allow more time or try again later"});
    }
    m_dispatcher.serveAll(now);
    tellSchedulers();
}

/// A change after a pause is told at once, since a request waits for it; in a burst the changes of some milliseconds go together.
void EntryTask::tellSoon(TimePoint now)
{
    if (!std::exchange(m_tellDue, true)) {
        m_tell.startOnce(std::max(m_lastTold + TellDelay - now, Duration::zero()));
    }
}

void EntryTask::tellSchedulers()
{
    const TimePoint now = EventLoop::now();
    m_tellDue = false;
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
        m_lastTold = now;
    }
}

void EntryTask::dispatch(const RequestId &id, const Slot &slot, const Upstream &upstream)
{
    ActiveRequest *active = m_requests.find(id);
    if (!active || !active->life.dispatch(upstream.name)) {
        m_dispatcher.release(slot, EventLoop::now());
        return;
    }
    m_history.write("dispatched", id, EventLoop::now(), {{"upstream", upstream.name.value}});
    active->slot = slot;
    active->run = std::make_unique<UpstreamRun>(m_loop, active->request, upstream, active->exchange, m_runCounters);
    active->run->began().connect([this, active, name = upstream.name] {
        active->life.answerBegan();
        m_dispatcher.upstreamTook(name, EventLoop::now());
    });
    m_versions.sent(active->request, upstream, EventLoop::now());
    active->run->tokensCame().connect([this, active, id](std::uint64_t tokens) {
        active->answerTokens = TokenCount{static_cast<std::uint32_t>(tokens)};
        m_versions.tokensCame(id, tokens, EventLoop::now());
    });
    active->run->ended().connect([this, id](const RunResult &result) { runEnded(id, result); });
    active->run->start();
}

void EntryTask::runEnded(const RequestId &id, const RunResult &result)
{
    ActiveRequest *active = m_requests.find(id);
    if (!active) {
        return;
    }
    m_versions.ended(id, result.kind, active->request.deadline, EventLoop::now());
    switch (result.kind) {
    case RunResult::Kind::Whole:
        if (active->answerTokens.value > 0) {
            m_dispatcher.learnAnswer(active->request, active->answerTokens);
        }
        finish(id, EventLoop::now() <= active->request.deadline ? RequestEnd::OnTime : RequestEnd::Late);
        break;
    case RunResult::Kind::NotRun:
        tryElsewhere(*active);
        break;
    case RunResult::Kind::Failed:
        giveUp(id, Error{ErrorKind::UpstreamFailed, "the upstream answered " + std::to_string(result.status) + ": " + result.failureBody});
        break;
    case RunResult::Kind::Lost:
        giveUp(id, lostAnswer(active->life));
        break;
    }
}

/// The dispatch is proved not to have run: the only state in which another upstream may be tried.
void EntryTask::tryElsewhere(ActiveRequest &active)
{
    const TimePoint now = EventLoop::now();
    releaseSlot(active);
    if (active.life.upstream()) {
        m_history.write("proved-not-run", active.request.id, now, {{"upstream", active.life.upstream()->value}});
        m_dispatcher.upstreamRefused(*active.life.upstream(), now);
    }
    active.life.provedNotRun();
    if (active.life.failedDispatches() >= MaxFailedDispatches) {
        giveUp(active.request.id, Error{ErrorKind::Unavailable, "no upstream could be reached: try again later"});
        return;
    }
    const ServiceName service = active.request.service;
    m_dispatcher.add(active.request, now);
    m_dispatcher.serve(service, now);
    tellSoon(now);
}

void EntryTask::callerDisconnected(const RequestId &id)
{
    const ActiveRequest *active = m_requests.find(id);
    // A keyed request that went out runs to its end: a later sending under its key gets the answer.
    if (active && (active->request.idempotencyKey.empty() || !active->life.isDispatched())) {
        giveUp(id, Error{ErrorKind::BadRequest, "the caller left"});
    }
}

void EntryTask::giveUp(const RequestId &id, const Error &error)
{
    const ActiveRequest &active = *m_requests.find(id);
    giveUpAs(id, error, m_keyed.isUndecided(id) ? RunOutcome::Unknown : active.life.outcomeIfGivenUp());
}

void EntryTask::giveUpAs(const RequestId &id, const Error &error, RunOutcome outcome)
{
    const ActiveRequest &active = *m_requests.find(id);
    m_history.write("given-up", id, EventLoop::now(), {{"kind", toString(error.kind)}, {"outcome", toString(outcome)}});
    if (active.exchange->streamStarted()) {
        active.exchange->streamData(serialized(StreamEvent{.id = {}, .name = "error", .data = errorJson(error, outcome)}));
        active.exchange->endStream();
    } else {
        active.exchange->addHeader(headers::RequestId, id.value);
        active.exchange->replyError(error, outcome, retryAfter(active.request.service, EventLoop::now()));
    }
    finish(id, endOf(outcome));
}

void EntryTask::finish(const RequestId &id, RequestEnd end)
{
    const std::shared_ptr<ActiveRequest> ended = m_requests.take(id);
    const CallerRequest &request = ended->request;
    m_tally.add(request.service, request.tier, end);
    m_metrics
        .counter("cumindyke_requests_total",
                 "Requests by how they ended",
                 {{"service", request.service.value}, {"tier", request.tier.value}, {"end", toString(end)}})
        .add();
    m_versions.finished(request, end);
    m_history.write("ended", id, EventLoop::now(), {{"end", toString(end)}});
    m_limits.remove(request.organisation, heldBytes(request));
    if (end != RequestEnd::Refused) {
        m_rates[request.service].ended(EventLoop::now());
    }
    m_dispatcher.remove(request);
    releaseSlot(*ended);
    ended->life.ended();
    m_keyed.ended(id, claimEndOf(end), ended->exchange->recorded(), EventLoop::now());
    if (ended->run && ended->run->cancel()) {
        m_runCounters.cancels.add();
        m_canceller.cancel(ended->run->address(), request.id);
    }
}

void EntryTask::releaseSlot(ActiveRequest &active)
{
    if (active.slot) {
        m_dispatcher.release(*active.slot, EventLoop::now());
        active.slot.reset();
    }
}

void EntryTask::reportOutcomes()
{
    v1::Envelope envelope;
    *envelope.mutable_outcome_report() = m_versions.report(EventLoop::now());
    m_options.send(m_options.vm, std::move(envelope));
}

void EntryTask::finishDrainIfIdle()
{
    if (m_admission.isDraining() && m_requests.size() == 0 && m_keyed.isSaved() && m_drained) {
        logChange("entry", "drained");
        std::exchange(m_drained, nullptr)();
    }
}

}
