#include "proxy/proxytask.h"

#include "common/hash.h"
#include "common/log.h"

#include <algorithm>
#include <random>

namespace cumindyke
{

namespace
{

/// While requests wait, overdue ones are looked for this often; rooms that become free are used at once.
constexpr Duration TickInterval = std::chrono::milliseconds(20);
/// Loads change with each request; a notice may be this old. With many entry VMs notices grow rarer, so that their number grows with the VMs,
/// not with the pairs of them.
constexpr Duration ShortestNoticeInterval = std::chrono::milliseconds(30);
constexpr Duration NoticeIntervalPerPeer = std::chrono::milliseconds(4);
/// A little more often than the beats that take it along.
constexpr Duration TallyInterval = std::chrono::milliseconds(400);
constexpr Duration RetryAfterUnready = std::chrono::milliseconds(500);

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
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
    , m_feed(m_loop, m_options.list, m_options.listInterval)
    , m_board(m_options.dataCentre)
    , m_cleanUp(m_loop, [this] { cleanUp(); })
    , m_tick(m_loop, [this] { tick(); })
    , m_tallyTimer(m_loop, [this] { sendTally(); })
    , m_noticeTimer(m_loop, [this] { sendNotices(); })
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
    m_feed.read().connect([this](const std::vector<UpstreamInstance> &instances) {
        m_board.takeList(instances);
        for (const auto &[service, state] : m_services) {
            pump(service, EventLoop::now());
        }
    });
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
    m_feed.start();
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
        logChange("proxy", "routes-in-force", {{"version", std::to_string(configuration.routes->version())}});
    }
    m_rollouts.clear();
    for (const v1::Rollout &rollout : configuration.rollouts) {
        m_rollouts[rollout.service()] = rollout;
    }
    if (configuration.fleet && configuration.fleet != m_fleet) {
        m_fleet = configuration.fleet;
        m_buckets.takeFleet(*m_fleet, EventLoop::now());
    }
}

void ProxyTask::handle(ProxyDrain &drain)
{
    logChange("proxy", "drain-began", {{"requests", std::to_string(m_requests.size())}});
    m_drain = std::move(drain);
    m_drainBegan = EventLoop::now();
    m_tick.startOnce(TickInterval);
}

bool ProxyTask::mayAdmit(TimePoint now) const
{
    const bool leaves = m_drain && now - m_drainBegan >= m_options.balancerMovesOn;
    return m_routes && now < m_admitUntil && m_feed.everRead() && !leaves;
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
    const RequestId id{exchange->header(m_options.headers.requestId.c_str())};
    if (!mayAdmit(now)) {
        refuse(
            *exchange,
            id,
            Refusal{.error = Error{ErrorKind::Unavailable, m_drain ? "this VM shuts down: try another" : "this VM has no configuration in force: try another"},
                    .retryAfter = RetryAfterUnready});
        return;
    }
    auto made = makeOrder(*exchange, m_options.headers, m_routes, m_buckets, now);
    if (const Refusal *refusal = std::get_if<Refusal>(&made)) {
        refuse(*exchange, id, *refusal);
        return;
    }
    const LocalRequest local{m_nextLocal++};
    auto &request = *m_requests.emplace(local, std::make_unique<ProxyRequest>(local, std::move(std::get<ProxyOrder>(made)), exchange)).first->second;
    exchange->callerLeft().connect([this, local] { callerLeft(local); });
    request.timeout = std::make_unique<Timer>(m_loop, [this, local] { timedOut(local); });
    request.timeout->startOnce(request.order.answerBy - now);
    m_services[request.order.service].retries.firstSending();
    wait(request, now);
    pump(request.order.service, now);
}

void ProxyTask::refuse(Exchange &exchange, const RequestId &id, const Refusal &why)
{
    logChange("proxy", "refused", {{"id", id.value}, {"kind", toString(why.error.kind)}, {"why", why.error.message}, {"inputs", why.inputs}});
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

ProxyRequest *ProxyTask::find(LocalRequest local)
{
    const auto found = m_requests.find(local);
    return found == m_requests.end() ? nullptr : found->second.get();
}

void ProxyTask::finish(ProxyRequest &request, const std::string &outcome, const std::string &why)
{
    const TimePoint now = EventLoop::now();
    logChange("proxy",
              "ended",
              {{"id", request.order.id.value},
               {"route", request.order.route->name()},
               {"outcome", outcome},
               {"why", why},
               {"upstream", request.at.name.value},
               {"attempts", std::to_string(request.attempts.sentCount())},
               {"first_ms", request.eventBatches > 0 ? milliseconds(request.firstEventAt - request.order.arrived) : ""},
               {"ms", milliseconds(now - request.order.arrived)}});
    const ServiceName service = request.order.service;
    m_services[service].line.remove(request.local);
    endCall(request);
    request.timeout->stop();
    const auto held = m_requests.find(request.local);
    m_ended.push_back(std::move(held->second));
    m_requests.erase(held);
    m_cleanUp.startOnce(Duration::zero());
    pump(service, now);
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
    tally.set_sequence(++m_tallies);
    m_buckets.fillTally(tally);
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
    const TimePoint now = EventLoop::now();
    m_board.forgetSilent(now);
    if (now - m_noticeSent >= TallyInterval) {
        sendNotices();
    }
}

/// Several changes go in one notice.
void ProxyTask::loadChanged()
{
    if (!std::exchange(m_noticeDue, true)) {
        const auto peers = m_fleet ? m_fleet->entry_vms_size() : 0;
        m_noticeTimer.startOnce(std::max<Duration>(ShortestNoticeInterval, peers * NoticeIntervalPerPeer));
    }
}

void ProxyTask::sendNotices()
{
    m_noticeDue = false;
    m_noticeSent = EventLoop::now();
    if (!m_fleet) {
        return;
    }
    v1::Envelope envelope;
    envelope.mutable_load_notice()->set_incarnation(m_incarnation);
    envelope.mutable_load_notice()->set_sequence(++m_notices);
    m_board.fillNotice(*envelope.mutable_load_notice());
    for (const std::string &vm : m_fleet->entry_vms()) {
        if (vm != m_options.vm.value) {
            m_options.send(VmName{vm}, envelope);
        }
    }
}

void ProxyTask::handle(PeerMessage &message)
{
    if (message.envelope.has_load_notice()) {
        m_board.takeNotice(message.from, message.envelope.load_notice(), EventLoop::now());
    }
}

}
