#include "proxy/proxytask.h"

#include "common/log.h"

#include <random>

namespace cumindyke
{

namespace
{

/// Interval of checks whether a shutdown is complete.
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(20);
/// Slightly shorter than the interval of the heartbeats that carry the tally.
constexpr Duration TallyInterval = std::chrono::milliseconds(400);
constexpr Duration RetryAfterNotReady = std::chrono::milliseconds(500);
/// A simultaneous restart of all processes takes about this long from the first process's start to the last lease.
constexpr Duration MaxHoldTime = std::chrono::milliseconds(400);
/// A few seconds' requests of a busy VM.
constexpr std::size_t MaxHeldRequests = 500;

/// Nobody sends a body there.
constexpr std::size_t ReadinessBodyBytes = 1U << 20;

const char *statusLine(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::BadRequest:
        return "400 Bad Request";
    case ErrorKind::NotFound:
        return "404 Not Found";
    case ErrorKind::Unauthorised:
        return "401 Unauthorized";
    default:
        return "503 Service Unavailable";
    }
}

std::string milliseconds(Duration duration)
{
    return std::to_string(wholeMilliseconds(duration));
}

}

Result<std::unique_ptr<ProxyTask>> ProxyTask::open(ProxyOptions options, Metrics &metrics)
{
    std::unique_ptr<ProxyTask> task(new ProxyTask(std::move(options), metrics));
    if (const auto error = task->bind()) {
        return *error;
    }
    return task;
}

ProxyTask::ProxyTask(ProxyOptions options, Metrics &metrics)
    : m_options(std::move(options))
    , m_mailbox(m_loop, [this](ProxyMessage &&message) { std::visit([this](auto &held) { handle(held); }, message); })
    , m_metrics(metrics)
    , m_incarnation(std::random_device{}())
    , m_evictionTimer(m_loop, [this] { evictBuffers(); })
    , m_holdTimer(m_loop, [this] { releaseHeldRequests(); })
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
    , m_cleanUpTimer(m_loop, [this] { cleanUp(); })
    , m_drainTimer(m_loop, [this] { finishDrainIfDone(); })
    , m_tallyTimer(m_loop, [this] { sendTally(); })
{
}

std::optional<Error> ProxyTask::bind()
{
    auto door = HttpServer::listen(m_loop, m_options.address, m_options.requestReadLimit);
    if (!ok(door)) {
        return errorOf(door);
    }
    m_callerDoor = std::move(valueOf(door));
    m_callerDoor->refuseWhileLate(m_metrics);
    m_callerDoor->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) { handleRequest(exchange); });
    auto readiness = HttpServer::listen(m_loop, m_options.readinessAddress, m_options.requestReadLimit);
    if (!ok(readiness)) {
        return errorOf(readiness);
    }
    m_readinessDoor = std::move(valueOf(readiness));
    if (m_options.bodyBudgetBytes > 0) {
        m_callerDoor->limitBodies(m_options.bodyBudgetBytes, m_metrics);
        m_callerDoor->setHeadCheck([this](const RequestHead &head, std::string_view bytes) { return checkHead(head, bytes); });
        m_readinessDoor->limitBodies(ReadinessBodyBytes, m_metrics);
    }
    if (m_options.bufferBudgetBytes > 0) {
        m_buffers = std::make_unique<BufferBudget>(m_options.bufferBudgetBytes);
        countBuffers(*m_callerDoor);
        countBuffers(*m_readinessDoor);
        recordBufferedBytes();
    }
    m_readinessDoor->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) { handleReadinessRequest(exchange); });
    auto placement = PlacementHost::open(m_loop,
                                         PlacementHostOptions{
                                             .vm = m_options.vm,
                                             .pool = m_options.pool,
                                             .incarnation = m_incarnation,
                                             .datagrams = m_options.datagrams,
                                             .limitTolerance = m_options.limitTolerance,
                                             .features = m_options.features.placement,
                                             .list = m_options.list,
                                             .listInterval = m_options.listInterval,
                                         });
    if (!ok(placement)) {
        return errorOf(placement);
    }
    m_placement = std::move(valueOf(placement));
    m_placement->granted().connect([this](const PlacementGranted &granted) { onGranted(granted); });
    m_placement->refused().connect([this](const PlacementRefused &refused) { onRefused(refused); });
    m_placement->returnsCounted().connect([this](const ReturnCounts &counts) { onReturnsCounted(counts); });
    m_placement->ejected().connect([this](const PlacementServer::Ejection &ejection) { onEjected(ejection); });
    m_placement->listEntriesRejected().connect(
        [rejected = m_metrics.counter("cumindyke_rejected_list_entries_total", "Entries of the platform's list that named no usable upstream, at each read")](
            std::size_t count) mutable { rejected.add(static_cast<double>(count)); });
    m_placement->listReadFailed().connect([failures = m_metrics.counter("cumindyke_list_read_failures_total",
                                                                        "Pages of the platform's list that could not be read")]() mutable { failures.add(); });
    m_placement->slotsLeft().connect([this](const PeerWaiting::Report &report) { onSlotsLeft(report); });
    auto paths = UpstreamPaths::open(m_loop,
                                     UpstreamPathsOptions{
                                         .vm = m_options.vm,
                                         .localDataCentre = m_options.pool.localDataCentre,
                                         .regions = m_options.pool.regions,
                                         .relayAddress = m_options.relayAddress,
                                         .mapAddress = m_options.mapAddress,
                                     },
                                     m_metrics);
    if (!ok(paths)) {
        return errorOf(paths);
    }
    m_paths = std::move(valueOf(paths));
    m_paths->lost().connect([this] { onPathLost(); });
    return {};
}

ProxyTask::~ProxyTask()
{
    stop();
    m_requests.clear();
    m_endedRequests.clear();
}

void ProxyTask::start()
{
    // Sent at once, so that the first lease already names the VMs that place requests.
    sendTally();
    m_tallyTimer.startEvery(TallyInterval);
    m_thread = std::thread([this] { m_loop.run(); });
}

void ProxyTask::stop()
{
    m_loop.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ProxyTask::post(ProxyMessage message)
{
    m_mailbox.post(std::move(message));
}

void ProxyTask::handle(Configuration &configuration)
{
    m_admitUntil = configuration.admitUntil;
    if (configuration.routes && (!m_routes || &m_routes->table() != configuration.routes.get())) {
        m_routes = std::make_shared<const RouteIndex>(configuration.routes);
        m_placement->setRoutes(*configuration.routes);
        // Limits may have been raised.
        m_exhaustedLimits.clear();
        logChange("proxy", "routes-in-force", {{"version", std::to_string(configuration.routes->version())}});
    }
    std::map<std::string, v1::Rollout> rollouts;
    for (const v1::Rollout &rollout : configuration.rollouts) {
        rollouts[rollout.service()] = rollout;
    }
    m_placement->setRollouts(rollouts);
    setEvacuated(configuration.evacuated);
    m_suspects.setTable(configuration.suspects);
    if (configuration.fleet && configuration.fleet != m_fleet) {
        m_fleet = configuration.fleet;
        m_placement->setFleet(*m_fleet);
        m_paths->setFleet(*m_fleet);
    }
    if (!m_wasReady && mayAdmit(EventLoop::now())) {
        m_wasReady = true;
        releaseHeldRequests();
    }
}

void ProxyTask::setEvacuated(const std::set<DataCentreName> &evacuated)
{
    if (evacuated == m_evacuated) {
        return;
    }
    m_evacuated = evacuated;
    m_placement->setEvacuated(evacuated);
    std::string names;
    for (const DataCentreName &dataCentre : evacuated) {
        names += (names.empty() ? "" : ",") + dataCentre.value;
    }
    logChange("proxy", "evacuations-in-force", {{"data_centres", names}});
    m_metrics.gauge("cumindyke_evacuated_data_centres", "Data centres whose upstreams get no new requests", {}).set(static_cast<double>(evacuated.size()));
}

void ProxyTask::handle(ProxyDrain &drain)
{
    logChange("proxy", "drain-began", {{"requests", std::to_string(m_requests.size())}});
    m_drain = std::move(drain);
    m_drainStartedAt = EventLoop::now();
    m_grace.emplace(m_drainStartedAt, m_options.shutdownGrace);
    m_placement->startLeaving();
    m_paths->setDraining();
    m_drainTimer.startEvery(DrainCheckInterval);
    releaseHeldRequests();
    sendTally();
}

bool ProxyTask::mayAdmit(TimePoint now) const
{
    const bool isPastDetection = m_drain && now - m_drainStartedAt >= m_options.balancerDetectionTime;
    const bool isGraceOver = m_grace && m_grace->areFinalAnswersDue(now);
    return m_routes && now < m_admitUntil && !isPastDetection && !isGraceOver;
}

void ProxyTask::handleReadinessRequest(const std::shared_ptr<Exchange> &exchange)
{
    if (exchange->path() == "/metrics") {
        recordBufferedBytes();
        exchange->reply(200, "text/plain; version=0.0.4", m_metrics.text());
        return;
    }
    if (exchange->path() != m_options.readinessPath) {
        exchange->reply(404, "text/plain", "ask for " + m_options.readinessPath + " or /metrics\n");
        return;
    }
    const bool ready = !m_drain && mayAdmit(EventLoop::now());
    exchange->reply(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
}

void ProxyTask::handleRequest(const std::shared_ptr<Exchange> &exchange)
{
    const TimePoint now = EventLoop::now();
    if (mayAdmit(now)) {
        admit(exchange, now);
    } else if (!m_wasReady && !m_drain && m_heldRequests.size() < MaxHeldRequests) {
        holdRequest(exchange, now);
    } else {
        refuseNotReady(*exchange);
    }
}

Refusal ProxyTask::notReadyRefusal() const
{
    const char *reason = m_drain ? "this VM is shutting down: try another" : "this VM has no configuration in force: try another";
    // The other VMs keep serving while this one shuts down: a wait would only make the answer late.
    return Refusal{.error = Error{ErrorKind::Unavailable, reason}, .retryAfter = m_drain ? Duration::zero() : RetryAfterNotReady};
}

void ProxyTask::refuseNotReady(Exchange &exchange)
{
    refuse(exchange, RequestId{exchange.header(m_options.headers.requestId.c_str())}, notReadyRefusal());
}

/// Refuses what admit() would refuse whatever the body is. A stranger could otherwise have the VM hold bodies that it has no use for.
std::optional<HeadRefusal> ProxyTask::checkHead(const RequestHead &head, std::string_view bytes) const
{
    const TimePoint now = EventLoop::now();
    const HeadFields fields(bytes);
    std::optional<Refusal> refusal;
    if (mayAdmit(now)) {
        refusal = refusalOf(fields, pathOf(head.target), m_options.headers, *m_routes);
    } else if (m_wasReady || m_drain) {
        refusal = notReadyRefusal();
    }
    if (!refusal) {
        return {};
    }
    const std::string id = fields.header(m_options.headers.requestId.c_str());
    logChange("proxy", "refused", {{"id", id}, {"kind", toString(refusal->error.kind)}, {"why", refusal->error.message}});
    std::string answerFields = id.empty() ? "" : m_options.headers.requestId + ": " + id + "\r\n";
    if (refusal->retryAfter) {
        answerFields += "Retry-After: " + std::to_string(std::chrono::duration<double>(*refusal->retryAfter).count()) + "\r\n";
    }
    return makeHeadRefusal(statusLine(refusal->error.kind), answerFields, refusal->error.message, errorJson(refusal->error, RunOutcome::NotRun) + "\n");
}

/// Holds a request that arrives before the first lease. A process that has just started gets its lease within some tenths of a second. When all
/// processes start at once, a refusal would send every caller away for longer than that, and to VMs that are not ready either.
void ProxyTask::holdRequest(const std::shared_ptr<Exchange> &exchange, TimePoint now)
{
    const std::uint64_t key = m_nextLocalId++;
    m_heldRequests.emplace(key, HeldRequest{.exchange = exchange, .arrived = now});
    exchange->callerDisconnected().connect([this, key] {
        if (const auto held = m_heldRequests.find(key); held != m_heldRequests.end()) {
            m_exchangesToAbort.push_back(held->second.exchange);
            m_heldRequests.erase(held);
            m_cleanUpTimer.startOnce(Duration::zero());
        }
    });
    m_holdTimer.startOnceIfStopped(MaxHoldTime);
}

/// Admits all held requests if the VM is ready; otherwise refuses those that were held for MaxHoldTime, or all if the VM shuts down.
void ProxyTask::releaseHeldRequests()
{
    const TimePoint now = EventLoop::now();
    const bool ready = mayAdmit(now);
    std::vector<HeldRequest> released;
    for (auto held = m_heldRequests.begin(); held != m_heldRequests.end();) {
        if (ready || m_drain || now - held->second.arrived >= MaxHoldTime) {
            released.push_back(held->second);
            held = m_heldRequests.erase(held);
        } else {
            ++held;
        }
    }
    for (const HeldRequest &held : released) {
        if (ready) {
            admit(held.exchange, held.arrived);
        } else {
            refuseNotReady(*held.exchange);
        }
    }
    if (!m_heldRequests.empty()) {
        m_holdTimer.startOnce(MaxHoldTime - (now - m_heldRequests.begin()->second.arrived));
    }
}

void ProxyTask::admit(const std::shared_ptr<Exchange> &exchange, TimePoint arrived)
{
    const TimePoint now = EventLoop::now();
    const RequestId id{exchange->header(m_options.headers.requestId.c_str())};
    auto parsed = parseRequest(*exchange, m_options.headers, m_routes, arrived);
    if (const Refusal *refusal = std::get_if<Refusal>(&parsed)) {
        refuse(*exchange, id, *refusal);
        return;
    }
    const ParsedRequest &valid = std::get<ParsedRequest>(parsed);
    if (m_grace && !m_grace->endsInTime(now, expectedTime(valid, now))) {
        refuseNotReady(*exchange);
        return;
    }
    const LocalRequestId localId{m_nextLocalId++};
    auto &request = *m_requests.emplace(localId, std::make_unique<ProxyRequest>(localId, std::move(std::get<ParsedRequest>(parsed)), exchange)).first->second;
    exchange->callerDisconnected().connect([this, localId] { onCallerLeft(localId); });
    request.deadlineTimer = std::make_unique<Timer>(m_loop, [this, localId] { onDeadlinePassed(localId); });
    request.deadlineTimer->startOnce(request.parsed.deadline - now);
    m_retryBudgets[request.parsed.service].recordFirstAttempt();
    requestPlacementOrRefuse(request, now);
}

void ProxyTask::refuse(Exchange &exchange, const RequestId &id, const Refusal &reason)
{
    logChange("proxy", "refused", {{"id", id.value}, {"kind", toString(reason.error.kind)}, {"why", reason.error.message}});
    if (m_drain) {
        exchange.addHeader("Connection", "close");
    }
    if (!id.value.empty()) {
        exchange.addHeader(m_options.headers.requestId, id.value);
    }
    if (reason.retryAfter) {
        exchange.addHeader("Retry-After", std::to_string(std::chrono::duration<double>(*reason.retryAfter).count()));
    }
    exchange.reply(httpStatus(reason.error.kind), "application/json", errorJson(reason.error, RunOutcome::NotRun) + "\n");
}

ProxyRequest *ProxyTask::find(LocalRequestId localId)
{
    const auto found = m_requests.find(localId);
    return found == m_requests.end() ? nullptr : found->second.get();
}

void ProxyTask::finish(ProxyRequest &request, const std::string &outcome, const std::string &reason, const std::string &inputs)
{
    const TimePoint now = EventLoop::now();
    logChange("proxy",
              "ended",
              {{"id", request.parsed.id.value},
               {"route", request.parsed.route->name()},
               {"outcome", outcome},
               {"why", reason},
               {"inputs", inputs},
               {"upstream", request.upstream.name.value},
               {"attempts", std::to_string(request.attempts.attemptCount())},
               {"framing", toString(request.answerHead.framing)},
               {"end_check", request.endCheck},
               {"within_event", request.eventSplitter.isWithinEvent() ? "yes" : "no"},
               {"first_ms", request.eventBatches > 0 ? milliseconds(request.firstEventAt - request.parsed.arrived) : ""},
               {"longest_pause_ms", request.eventBatches > 1 ? milliseconds(request.longestPause) : ""},
               {"ms", milliseconds(now - request.parsed.arrived)}});
    endCall(request, v1::PLACEMENT_CANCELLED);
    m_suspects.releaseTrial(request.suspectState);
    request.deadlineTimer->stop();
    const auto found = m_requests.find(request.localId);
    m_endedRequests.push_back(std::move(found->second));
    m_requests.erase(found);
    m_cleanUpTimer.startOnce(Duration::zero());
}

void ProxyTask::cleanUp()
{
    std::vector<std::unique_ptr<ProxyRequest>> ended;
    ended.swap(m_endedRequests);
    std::vector<std::shared_ptr<Exchange>> aborting;
    aborting.swap(m_exchangesToAbort);
    for (const std::shared_ptr<Exchange> &exchange : aborting) {
        exchange->abort();
    }
    finishDrainIfDone();
}

/// A request is answered at its deadline at the latest.
Duration ProxyTask::expectedTime(const ParsedRequest &request, TimePoint now) const
{
    const Duration untilDeadline = request.deadline - now;
    const auto times = m_answerTimes.find(request.route->name());
    return times == m_answerTimes.end() ? untilDeadline : std::min(untilDeadline, times->second.upperEstimate().value_or(untilDeadline));
}

/// Whether the request may be sent now. A stream that is resumed has a part of its time behind it.
bool ProxyTask::endsInGrace(const ProxyRequest &request, TimePoint now) const
{
    return !m_grace || request.headForwarded || m_grace->endsInTime(now, expectedTime(request.parsed, now));
}

/// Ends the requests that wait for a slot and can't end in time any more, and shortly before the end of the grace all others.
void ProxyTask::enforceGrace(TimePoint now)
{
    const bool endsAll = m_grace && m_grace->areFinalAnswersDue(now);
    std::vector<LocalRequestId> ending;
    for (const auto &[localId, request] : m_requests) {
        if (endsAll || (!request->call && !endsInGrace(*request, now))) {
            ending.push_back(localId);
        }
    }
    for (const LocalRequestId localId : ending) {
        if (ProxyRequest *request = find(localId)) {
            endForShutdown(*request);
        }
    }
}

/// Answers with what is known of the request's run.
void ProxyTask::endForShutdown(ProxyRequest &request)
{
    if (request.call && !request.call->isSent()) {
        releaseCall(request);
        request.attempts.recordEnd(AttemptEnd::NotSent);
    }
    if (request.attempts.mayHaveRun()) {
        replyFailure(request, ErrorKind::OutcomeUnknown, "this VM shuts down before the answer is complete");
    } else {
        replyRefusal(request, ErrorKind::Unavailable, "this VM is shutting down", Duration::zero());
    }
}

void ProxyTask::finishDrainIfDone()
{
    if (!m_drain) {
        return;
    }
    const TimePoint now = EventLoop::now();
    enforceGrace(now);
    const bool isBusy = !m_requests.empty() || !m_exchangesToAbort.empty() || m_paths->relayedCount() > 0 || m_callerDoor->hasAnswersUnderWay();
    const bool refusesLateRequests
        = now - m_drainStartedAt < m_options.balancerDetectionTime + m_options.refusalTime && !(m_grace && m_grace->areFinalAnswersDue(now));
    if (isBusy || refusesLateRequests) {
        return;
    }
    // A request that is read from now on might get no answer.
    m_callerDoor->close();
    const std::function<void()> drained = std::move(m_drain->drained);
    m_drain->drained = [] {};
    drained();
}

void ProxyTask::countAnswer(const ProxyRequest &request, bool good)
{
    VersionCount &counts = m_versionCounts[{request.parsed.service.value, request.upstream.version.value}];
    (good ? counts.good : counts.bad) += 1;
}

void ProxyTask::sendTally()
{
    recordBufferedBytes();
    v1::EntryTally tally;
    tally.set_data_centre(m_options.pool.localDataCentre.value);
    tally.set_draining(m_drain.has_value());
    for (const auto &[key, counts] : m_versionCounts) {
        v1::VersionCounts &message = *tally.add_versions();
        message.set_service(key.first);
        message.set_version(key.second);
        message.set_sent(counts.sent);
        message.set_good(counts.good);
        message.set_bad(counts.bad);
        message.set_head_ms(counts.headMs);
        message.set_heads(counts.heads);
    }
    m_options.sendTally(std::move(tally));
    m_placement->announce();
}

}
