#include "proxy/proxytask.h"

#include "common/log.h"

#include <random>

namespace cumindyke
{

namespace
{

/// While the VM shuts down, whether it is done is looked at so often.
constexpr Duration DrainLookInterval = std::chrono::milliseconds(20);
/// A little more often than the beats that take it along.
constexpr Duration TallyInterval = std::chrono::milliseconds(400);
constexpr Duration RetryAfterUnready = std::chrono::milliseconds(500);
/// A common restart of everything takes about this long from the first process's start to the last lease.
constexpr Duration EarlyWait = std::chrono::milliseconds(400);
/// A few seconds of requests of a busy VM.
constexpr std::size_t MostEarly = 500;

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
    , m_earlyTimer(m_loop, [this] { releaseEarly(); })
    , m_cleanUp(m_loop, [this] { cleanUp(); })
    , m_drainTimer(m_loop, [this] { endDrainIfDone(); })
    , m_tallyTimer(m_loop, [this] { sendTally(); })
{
}

std::optional<Error> ProxyTask::bind()
{
    auto door = FrontDoor::listen(m_loop, m_options.address, m_options.requestReadLimit);
    if (!ok(door)) {
        return errorOf(door);
    }
    m_door = std::move(valueOf(door));
    m_door->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) { takeRequest(exchange); });
    auto readiness = FrontDoor::listen(m_loop, m_options.readinessAddress, m_options.requestReadLimit);
    if (!ok(readiness)) {
        return errorOf(readiness);
    }
    m_readinessDoor = std::move(valueOf(readiness));
    m_readinessDoor->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) { answerReadiness(exchange); });
    auto placement = PlacementHost::open(m_loop,
                                         PlacementHostOptions{
                                             .vm = m_options.vm,
                                             .dataCentre = m_options.dataCentre,
                                             .incarnation = m_incarnation,
                                             .datagrams = m_options.datagrams,
                                             .limitTolerance = m_options.limitTolerance,
                                             .list = m_options.list,
                                             .listInterval = m_options.listInterval,
                                         });
    if (!ok(placement)) {
        return errorOf(placement);
    }
    m_placement = std::move(valueOf(placement));
    m_placement->granted().connect([this](const PlacementGranted &granted) { placed(granted); });
    m_placement->refused().connect([this](const PlacementRefused &refused) { notPlaced(refused); });
    return {};
}

ProxyTask::~ProxyTask()
{
    stop();
    m_requests.clear();
    m_ended.clear();
}

void ProxyTask::start()
{
    // At once, so that the first lease already names who places requests.
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
        m_closedLimits.clear();
        logChange("proxy", "routes-in-force", {{"version", std::to_string(configuration.routes->version())}});
    }
    std::map<std::string, v1::Rollout> rollouts;
    for (const v1::Rollout &rollout : configuration.rollouts) {
        rollouts[rollout.service()] = rollout;
    }
    m_placement->setRollouts(rollouts);
    if (configuration.fleet && configuration.fleet != m_fleet) {
        m_fleet = configuration.fleet;
        m_placement->setFleet(*m_fleet);
    }
    if (!m_everReady && mayAdmit(EventLoop::now())) {
        m_everReady = true;
        releaseEarly();
    }
}

void ProxyTask::handle(ProxyDrain &drain)
{
    logChange("proxy", "drain-began", {{"requests", std::to_string(m_requests.size())}});
    m_drain = std::move(drain);
    m_drainBegan = EventLoop::now();
    m_placement->leave();
    m_drainTimer.startEvery(DrainLookInterval);
    sendTally();
}

bool ProxyTask::mayAdmit(TimePoint now) const
{
    const bool leaves = m_drain && now - m_drainBegan >= m_options.balancerMovesOn;
    return m_routes && now < m_admitUntil && !leaves;
}

void ProxyTask::answerReadiness(const std::shared_ptr<Exchange> &exchange)
{
    if (exchange->path() == "/metrics") {
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

void ProxyTask::takeRequest(const std::shared_ptr<Exchange> &exchange)
{
    const TimePoint now = EventLoop::now();
    if (mayAdmit(now)) {
        admit(exchange, now);
    } else if (!m_everReady && !m_drain && m_early.size() < MostEarly) {
        holdEarly(exchange, now);
    } else {
        refuseUnready(*exchange);
    }
}

void ProxyTask::refuseUnready(Exchange &exchange)
{
    const char *why = m_drain ? "this VM shuts down: try another" : "this VM has no configuration in force: try another";
    const RequestId id{exchange.header(m_options.headers.requestId.c_str())};
    // The other VMs go on while this one shuts down: a wait would only make the answer late.
    const Duration retryAfter = m_drain ? Duration::zero() : RetryAfterUnready;
    refuse(exchange, id, Refusal{.error = Error{ErrorKind::Unavailable, why}, .retryAfter = retryAfter});
}

/// A process that has just started has its first lease within some tenths of a second. When all of them start at once, a refusal would
/// send every caller away for longer than that, and to VMs that are no further.
void ProxyTask::holdEarly(const std::shared_ptr<Exchange> &exchange, TimePoint now)
{
    const std::uint64_t key = m_nextLocal++;
    m_early.emplace(key, EarlyRequest{.exchange = exchange, .arrived = now});
    exchange->callerLeft().connect([this, key] {
        if (const auto early = m_early.find(key); early != m_early.end()) {
            m_aborting.push_back(early->second.exchange);
            m_early.erase(early);
            m_cleanUp.startOnce(Duration::zero());
        }
    });
    m_earlyTimer.startOnceIfStopped(EarlyWait);
}

/// All of them, when the VM is ready; else those that have waited long enough are refused.
void ProxyTask::releaseEarly()
{
    const TimePoint now = EventLoop::now();
    const bool ready = mayAdmit(now);
    std::vector<EarlyRequest> released;
    for (auto early = m_early.begin(); early != m_early.end();) {
        if (ready || now - early->second.arrived >= EarlyWait) {
            released.push_back(early->second);
            early = m_early.erase(early);
        } else {
            ++early;
        }
    }
    for (const EarlyRequest &early : released) {
        if (ready) {
            admit(early.exchange, early.arrived);
        } else {
            refuseUnready(*early.exchange);
        }
    }
    if (!m_early.empty()) {
        m_earlyTimer.startOnce(EarlyWait - (now - m_early.begin()->second.arrived));
    }
}

void ProxyTask::admit(const std::shared_ptr<Exchange> &exchange, TimePoint arrived)
{
    const TimePoint now = EventLoop::now();
    const RequestId id{exchange->header(m_options.headers.requestId.c_str())};
    auto made = parseRequest(*exchange, m_options.headers, m_routes, arrived);
    if (const Refusal *refusal = std::get_if<Refusal>(&made)) {
        refuse(*exchange, id, *refusal);
        return;
    }
    const LocalRequestId local{m_nextLocal++};
    auto &request = *m_requests.emplace(local, std::make_unique<ProxyRequest>(local, std::move(std::get<ParsedRequest>(made)), exchange)).first->second;
    exchange->callerLeft().connect([this, local] { callerLeft(local); });
    request.timeout = std::make_unique<Timer>(m_loop, [this, local] { timedOut(local); });
    request.timeout->startOnce(request.order.deadline - now);
    m_retries[request.order.service].firstSending();
    askOrRefuse(request, now);
}

void ProxyTask::refuse(Exchange &exchange, const RequestId &id, const Refusal &why)
{
    logChange("proxy", "refused", {{"id", id.value}, {"kind", toString(why.error.kind)}, {"why", why.error.message}});
    if (m_drain) {
        exchange.addHeader("Connection", "close");
    }
    if (!id.value.empty()) {
        exchange.addHeader(m_options.headers.requestId, id.value);
    }
    if (why.retryAfter) {
        exchange.addHeader("Retry-After", std::to_string(std::chrono::duration<double>(*why.retryAfter).count()));
    }
    exchange.reply(httpStatus(why.error.kind), "application/json", errorJson(why.error, RunOutcome::NotRun) + "\n");
}

ProxyRequest *ProxyTask::find(LocalRequestId local)
{
    const auto found = m_requests.find(local);
    return found == m_requests.end() ? nullptr : found->second.get();
}

void ProxyTask::finish(ProxyRequest &request, const std::string &outcome, const std::string &why, const std::string &inputs)
{
    const TimePoint now = EventLoop::now();
    logChange("proxy",
              "ended",
              {{"id", request.order.id.value},
               {"route", request.order.route->name()},
               {"outcome", outcome},
               {"why", why},
               {"inputs", inputs},
               {"upstream", request.at.name.value},
               {"attempts", std::to_string(request.attempts.sentCount())},
               {"first_ms", request.eventBatches > 0 ? milliseconds(request.firstEventAt - request.order.arrived) : ""},
               {"longest_pause_ms", request.eventBatches > 1 ? milliseconds(request.longestPause) : ""},
               {"ms", milliseconds(now - request.order.arrived)}});
    endCall(request, v1::PLACEMENT_CANCELLED);
    request.timeout->stop();
    const auto held = m_requests.find(request.local);
    m_ended.push_back(std::move(held->second));
    m_requests.erase(held);
    m_cleanUp.startOnce(Duration::zero());
}

void ProxyTask::cleanUp()
{
    std::vector<std::unique_ptr<ProxyRequest>> ended;
    ended.swap(m_ended);
    std::vector<std::shared_ptr<Exchange>> aborting;
    aborting.swap(m_aborting);
    for (const std::shared_ptr<Exchange> &exchange : aborting) {
        exchange->abort();
    }
    endDrainIfDone();
}

void ProxyTask::endDrainIfDone()
{
    if (!m_drain || !m_requests.empty() || EventLoop::now() - m_drainBegan < m_options.balancerMovesOn + m_options.refuseAfterwards) {
        return;
    }
    const std::function<void()> drained = std::move(m_drain->drained);
    m_drain->drained = [] {};
    drained();
}

void ProxyTask::count(const ProxyRequest &request, bool good)
{
    VersionCount &counts = m_versions[{request.order.service.value, request.at.version.value}];
    (good ? counts.good : counts.bad) += 1;
}

void ProxyTask::sendTally()
{
    v1::EntryTally tally;
    tally.set_data_centre(m_options.dataCentre.value);
    tally.set_draining(m_drain.has_value());
    for (const auto &[key, counts] : m_versions) {
        v1::VersionCounts &wire = *tally.add_versions();
        wire.set_service(key.first);
        wire.set_version(key.second);
        wire.set_sent(counts.sent);
        wire.set_good(counts.good);
        wire.set_bad(counts.bad);
        wire.set_head_ms(counts.headMs);
        wire.set_heads(counts.heads);
    }
    m_options.sendTally(std::move(tally));
    m_placement->tellState();
}

}
