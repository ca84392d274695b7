#include "entry/entrytask.h"

#include "common/hash.h"
#include "common/log.h"
#include "entry/headers.h"

#include <nlohmann/json.hpp>

#include <random>

namespace cumindyke
{

namespace
{

constexpr Duration SweepInterval = std::chrono::milliseconds(10);
/// Requests that wait on one VM; more are refused, so that memory is bounded.
constexpr std::size_t MaxWaiting = 20'000;
/// Dispatches that were proved not to have run before the request is given up.
constexpr int MaxFailedDispatches = 3;
/// A caller with more unread bytes than this makes us stop reading from its upstream, so that memory is bounded.
constexpr std::size_t MaxUnreadBytes = 256 << 10;
constexpr std::size_t MaxFailureBodyBytes = 16 << 10;

/// Differs at every start, so that request ids never repeat.
std::string makeIncarnation()
{
    std::random_device device;
    const std::uint64_t bits = (static_cast<std::uint64_t>(device()) << 32) | device();
    return fingerprint(std::to_string(bits)).substr(0, 8);
}

RequestEnd endOf(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::NotRun:
        return RequestEnd::Refused;
    case RunOutcome::Unknown:
        return RequestEnd::Unknown;
    case RunOutcome::Ran:
        return RequestEnd::Failed;
    }
    return RequestEnd::Unknown;
}

std::string headerIn(const AnswerHead &head, const std::string &name)
{
    for (const auto &[key, value] : head.headers) {
        if (key.size() == name.size() && strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

}

Result<std::unique_ptr<EntryTask>> EntryTask::start(EntryOptions options, Metrics &metrics)
{
    std::unique_ptr<EntryTask> task(new EntryTask(std::move(options), metrics));
    auto door = FrontDoor::listen(task->m_loop, task->m_options.address);
    if (!ok(door)) {
        return errorOf(door);
    }
    task->m_door = std::move(valueOf(door));
    task->m_door->arrived().connect(sigc::mem_fun(*task, &EntryTask::arrived));
    task->m_sweep.startEvery(SweepInterval);
    task->m_thread = std::thread([loop = &task->m_loop] { loop->run(); });
    return task;
}

EntryTask::EntryTask(EntryOptions options, Metrics &metrics)
    : m_options(std::move(options))
    , m_incarnation(makeIncarnation())
    , m_metrics(metrics)
    , m_mailbox(m_loop, [this](EntryMessage &&message) { handle(std::move(message)); })
    , m_sweep(m_loop, [this] { expireWaiting(); })
    , m_cleanUp(m_loop, [this] { cleanUp(); })
    , m_configuration{.declarations = std::make_shared<const Declarations>(), .moves = {}, .cells = {}, .admitUntil = {}, .leaseUntil = {}}
{
}

EntryTask::~EntryTask()
{
    m_loop.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    m_active.clear();
}

std::uint16_t EntryTask::port() const
{
    return m_door->port();
}

void EntryTask::post(EntryMessage message)
{
    m_mailbox.post(std::move(message));
}

void EntryTask::handle(EntryMessage &&message)
{
    if (auto *configuration = std::get_if<Configuration>(&message)) {
        if (configuration->declarations->revision() != m_configuration.declarations->revision()) {
            logChange("entry", "configuration-in-force", {{"revision", std::to_string(configuration->declarations->revision().value)}});
        }
        m_configuration = std::move(*configuration);
        serveQueues();
    } else if (auto *drain = std::get_if<DrainRequest>(&message)) {
        m_draining = true;
        m_drained = std::move(drain->drained);
        logChange("entry", "draining", {{"requests", std::to_string(m_active.size())}});
        finishDrainIfIdle();
    } else if (auto *query = std::get_if<ReportQuery>(&message)) {
        query->answer(m_tally.report());
    }
}

void EntryTask::arrived(const std::shared_ptr<Exchange> &exchange)
{
    const std::string &path = exchange->path();
    if (path == "/healthz") {
        exchange->reply(200, "text/plain", "alive\n");
    } else if (path == "/readyz") {
        answerReadiness(*exchange);
    } else if (path == "/metrics") {
        exchange->reply(200, "text/plain; version=0.0.4", m_metrics.text());
    } else if (path == "/v1/models") {
        answerModels(*exchange);
    } else if (path == "/v1/completions" || path == "/v1/chat/completions" || path.starts_with("/services/")) {
        admit(exchange);
    } else {
        exchange->replyError(Error{ErrorKind::NotFound, "no such path: use /v1/completions, /v1/chat/completions, /v1/models or /services/NAME/..."},
                             RunOutcome::NotRun);
    }
}

void EntryTask::answerModels(Exchange &exchange)
{
    const auto organisation = authenticate(exchange, *m_configuration.declarations);
    if (!ok(organisation)) {
        exchange.replyError(errorOf(organisation), RunOutcome::NotRun);
        return;
    }
    nlohmann::ordered_json models = nlohmann::ordered_json::array();
    for (const auto &[name, service] : m_configuration.declarations->services()) {
        if (service.kind == ServiceKind::Model) {
            models.push_back({{"id", name.value}, {"object", "model"}, {"version", service.version.value}});
        }
    }
    exchange.reply(200, "application/json", nlohmann::ordered_json{{"object", "list"}, {"data", models}}.dump() + "\n");
}

void EntryTask::answerReadiness(Exchange &exchange)
{
    const std::optional<Error> refusal = refusalBeforeParsing(EventLoop::now());
    exchange.reply(refusal ? 503 : 200, "text/plain", refusal ? refusal->message + "\n" : "ready\n");
}

std::optional<Error> EntryTask::refusalBeforeParsing(TimePoint now) const
{
    if (m_draining) {
        return Error{ErrorKind::Unavailable, "this VM is shutting down: send the request again, the balancer picks another VM"};
    }
    if (m_configuration.declarations->revision() == Revision{0}) {
        return Error{ErrorKind::Unavailable, "nothing is declared yet: an operator must apply declarations first"};
    }
    if (now >= m_configuration.admitUntil) {
        return Error{ErrorKind::Unavailable, "this VM is cut off from the control replicas: send the request again, the balancer picks another VM"};
    }
    return {};
}

void EntryTask::admit(const std::shared_ptr<Exchange> &exchange)
{
    const TimePoint now = EventLoop::now();
    if (const std::optional<Error> refusal = refusalBeforeParsing(now)) {
        exchange->replyError(*refusal, RunOutcome::NotRun);
        return;
    }
    Result<CallerRequest> parsed = parseCallerRequest(*exchange, *m_configuration.declarations, nextRequestId(), now);
    if (!ok(parsed)) {
        m_metrics.counter("cumindyke_rejected_requests_total", "Requests refused as wrong", {{"kind", toString(errorOf(parsed).kind)}}).add();
        exchange->replyError(errorOf(parsed), RunOutcome::NotRun);
        return;
    }
    CallerRequest &request = valueOf(parsed);
    if (m_active.size() >= MaxWaiting) {
        exchange->replyError(Error{ErrorKind::Overloaded, "this VM holds too many requests: try again later"}, RunOutcome::NotRun);
        return;
    }
    const RequestId id = request.id;
    const ServiceName service = request.service;
    m_queues[service].add(PendingRequest{
        .id = id,
        .tier = request.rank,
        .organisation = request.organisation,
        .service = service,
        .arrival = now,
        .deadline = request.deadline,
        .work = TokenCount{request.promptTokens.value + request.answerTokens.value},
    });
    auto active = std::make_unique<ActiveRequest>();
    active->request = std::move(request);
    active->exchange = exchange;
    exchange->callerLeft().connect([this, id] { callerLeft(id); });
    m_active.emplace(id, std::move(active));
    serveQueue(service, m_queues[service]);
}

void EntryTask::serveQueues()
{
    for (auto &[service, queue] : m_queues) {
        serveQueue(service, queue);
    }
}

void EntryTask::serveQueue(const ServiceName &service, PendingQueue &queue)
{
    const std::shared_ptr<const Declarations> declarations = m_configuration.declarations;
    const Service *declared = declarations->service(service);
    while (const PendingRequest *first = queue.first()) {
        const std::optional<Slot> slot = declared ? m_capacity.acquire(*first, *declarations, declared->version, EventLoop::now()) : std::nullopt;
        const Upstream *upstream = slot ? declarations->upstream(slot->upstream) : nullptr;
        if (!upstream) {
            return;
        }
        ActiveRequest &active = *m_active.at(first->id);
        active.slot = slot;
        queue.remove(first->id);
        dispatch(active, *upstream);
    }
}

void EntryTask::expireWaiting()
{
    const TimePoint now = EventLoop::now();
    for (auto &[service, queue] : m_queues) {
        for (const PendingRequest &expired : queue.takeExpired(now)) {
            giveUp(expired.id, Error{ErrorKind::DeadlinePassed, "no upstream had room before the deadline: allow more time or try again later"});
        }
    }
}

void EntryTask::dispatch(ActiveRequest &active, const Upstream &upstream)
{
    if (!active.life.dispatch(upstream.name)) {
        return;
    }
    const RequestId id = active.request.id;
    UpstreamRequest call{
        .id = id,
        .address = upstream.address,
        .method = active.request.method,
        .target = active.request.target,
        .headers = {},
        .body = active.request.body,
    };
    if (!active.request.contentType.empty()) {
        call.headers.emplace_back("Content-Type", active.request.contentType);
    }
    active.answering = makeAnswering(active.request, active.exchange);
    active.head = {};
    active.failureBody.clear();
    active.call = std::make_unique<UpstreamCall>(m_loop, std::move(call), ProgressTimeouts{});
    ActiveRequest *held = &active;
    active.call->head().connect([held](const AnswerHead &head) {
        held->head = head;
        if (head.status < 400 || held->request.form == AnswerForm::Plain) {
            held->life.answerBegan();
            std::visit([&head](auto &sink) { sink.head(head); }, *held->answering);
        }
    });
    active.call->data().connect([held](std::string_view bytes) {
        if (held->life.isDispatched() && (held->head.status < 400 || held->request.form == AnswerForm::Plain)) {
            std::visit([bytes](auto &sink) { sink.data(bytes); }, *held->answering);
        } else if (held->failureBody.size() < MaxFailureBodyBytes) {
            held->failureBody += bytes;
        }
        if (held->exchange->unreadBytes() > MaxUnreadBytes) {
            held->call->setPaused(true);
        }
    });
    active.exchange->drained().connect([held] {
        if (held->call) {
            held->call->setPaused(false);
        }
    });
    active.call->finished().connect([this, id] { callFinished(id); });
    active.call->failed().connect([this, id](CallFailure failure) { callFailed(id, failure); });
    active.call->start();
}

void EntryTask::callFinished(const RequestId &id)
{
    ActiveRequest &active = *m_active.at(id);
    if (!headerIn(active.head, headers::UpstreamNotRun).empty()) {
        callFailed(id, CallFailure::NotSent);
        return;
    }
    if (active.head.status >= 400 && active.request.form != AnswerForm::Plain) {
        giveUp(id, Error{ErrorKind::UpstreamFailed, "the upstream answered " + std::to_string(active.head.status) + ": " + active.failureBody});
        return;
    }
    if (!std::visit([](auto &sink) { return sink.finish(); }, *active.answering)) {
        callFailed(id, CallFailure::Lost);
        return;
    }
    finish(id, EventLoop::now() <= active.request.deadline ? RequestEnd::OnTime : RequestEnd::Late);
}

void EntryTask::callFailed(const RequestId &id, CallFailure failure)
{
    ActiveRequest &active = *m_active.at(id);
    if (failure != CallFailure::NotSent) {
        giveUp(id, Error{ErrorKind::OutcomeUnknown, "the connection to the upstream was lost before the answer was whole: check before you send it again"});
        return;
    }
    releaseSlot(active);
    active.life.provedNotRun();
    active.call.reset();
    if (active.life.failedDispatches() >= MaxFailedDispatches) {
        giveUp(id, Error{ErrorKind::Unavailable, "no upstream could be reached: try again later"});
        return;
    }
    const CallerRequest &request = active.request;
    PendingQueue &queue = m_queues[request.service];
    queue.add(PendingRequest{
        .id = id,
        .tier = request.rank,
        .organisation = request.organisation,
        .service = request.service,
        .arrival = request.arrival,
        .deadline = request.deadline,
        .work = TokenCount{request.promptTokens.value + request.answerTokens.value},
    });
    serveQueue(request.service, queue);
}

void EntryTask::callerLeft(const RequestId &id)
{
    if (!m_active.contains(id)) {
        return;
    }
    giveUp(id, Error{ErrorKind::BadRequest, "the caller left"});
}

void EntryTask::giveUp(const RequestId &id, const Error &error)
{
    ActiveRequest &active = *m_active.at(id);
    const RunOutcome outcome = active.life.outcomeIfGivenUp();
    if (active.exchange->streamStarted()) {
        active.exchange->streamData(serialized(StreamEvent{.id = {}, .name = "error", .data = errorJson(error, outcome)}));
        active.exchange->endStream();
    } else {
        active.exchange->replyError(error, outcome);
    }
    finish(id, endOf(outcome));
}

void EntryTask::finish(const RequestId &id, RequestEnd end)
{
    const auto found = m_active.find(id);
    // Signals of this request may be under way: it is destroyed by the loop after they have returned.
    std::unique_ptr<ActiveRequest> ended = std::move(found->second);
    m_active.erase(found);
    const CallerRequest &request = ended->request;
    m_tally.add(request.service, request.tier, end);
    m_metrics
        .counter("cumindyke_requests_total",
                 "Requests by how they ended",
                 {{"service", request.service.value}, {"tier", request.tier.value}, {"end", toString(end)}})
        .add();
    m_queues[request.service].remove(id);
    releaseSlot(*ended);
    ended->life.ended();
    if (ended->call) {
        ended->call->cancel();
    }
    m_endedRequests.push_back(std::move(ended));
    m_cleanUp.startOnce(Duration::zero());
}

void EntryTask::releaseSlot(ActiveRequest &active)
{
    if (active.slot) {
        m_capacity.release(*active.slot, EventLoop::now());
        active.slot.reset();
    }
}

void EntryTask::cleanUp()
{
    m_endedRequests.clear();
    serveQueues();
    finishDrainIfIdle();
}

void EntryTask::finishDrainIfIdle()
{
    if (m_draining && m_active.empty() && m_drained) {
        logChange("entry", "drained");
        std::exchange(m_drained, nullptr)();
    }
}

RequestId EntryTask::nextRequestId()
{
    return RequestId{m_options.vm.value + "-" + m_incarnation + "-" + std::to_string(++m_requestCount)};
}

}
