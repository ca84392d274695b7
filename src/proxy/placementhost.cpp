#include "proxy/placementhost.h"

#include "common/log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cumindyke
{

namespace
{

/// Combines several changes in one datagram.
constexpr Duration StateDelay = std::chrono::milliseconds(1);
/// Additional delay per waiting request: the more requests wait, the more changes share a datagram, and the longer they wait anyway.
constexpr Duration StateDelayPerWaiting = std::chrono::microseconds(200);
/// Combines several datagrams in one decision. With a long queue each decision takes longer and is made correspondingly less often.
constexpr Duration MinAdvanceInterval = std::chrono::milliseconds(2);
constexpr Duration AdvanceIntervalPerWaiting = std::chrono::microseconds(100);
/// Maximum age of the loads that other data centres' servers receive: they place requests here only when their own upstreams are full.
constexpr Duration NoticeInterval = std::chrono::milliseconds(30);
/// Interval of notices without changes: a server that sends none for longer times out at its peers.
constexpr Duration IdleNoticeInterval = std::chrono::milliseconds(100);
/// Every tenth notice is also sent to the backups, with measured paces, so that a server that takes over knows them.
constexpr std::uint64_t NoticesPerBackupNotice = 10;
constexpr std::size_t BackupCount = 2;
/// Interval of the checks for expired requests, timed-out servers and lost datagrams while there are any requests.
constexpr Duration TickInterval = std::chrono::milliseconds(25);
/// The state is resent after this many ticks, to make up for lost datagrams.
constexpr int TicksPerState = 4;
/// A VM that no other VM used for this long stops reading the list.
constexpr Duration ListIdleTimeout = std::chrono::seconds(5);

}

Result<std::unique_ptr<PlacementHost>> PlacementHost::open(EventLoop &loop, PlacementHostOptions options)
{
    std::unique_ptr<PlacementHost> host(new PlacementHost(loop, std::move(options)));
    if (!host->m_options.datagrams) {
        return host;
    }
    auto socket = DatagramSocket::bind(loop, *host->m_options.datagrams);
    if (!ok(socket)) {
        return errorOf(socket);
    }
    host->m_socket = std::move(valueOf(socket));
    host->m_socket->received().connect([host = host.get()](const std::string &from, std::string_view bytes) { host->handleDatagram(from, bytes); });
    return host;
}

PlacementHost::PlacementHost(EventLoop &loop, PlacementHostOptions options)
    : m_options(std::move(options))
    , m_client(m_options.vm, m_options.pool.localDataCentre, m_options.incarnation)
    , m_server(m_options.pool, m_options.limitTolerance, m_options.features)
    , m_listReader(loop, m_options.list, m_options.pool.localDataCentre, m_options.listInterval)
    , m_stateTimer(loop, [this] { sendState(); })
    , m_advanceTimer(loop, [this] { advance(); })
    , m_noticeTimer(loop, [this] { sendNotices(); })
    , m_tickTimer(loop, [this] { tick(); })
{
    m_listReader.listRead().connect([this](const InstanceList &list) { setList(list); });
    m_listReader.readFailed().connect([this] { m_server.setListReadable(false); });
}

void PlacementHost::setList(const InstanceList &list)
{
    m_server.setListReadable(true);
    if (list.dataCentre) {
        m_server.setListPart(*list.dataCentre, list.instances, EventLoop::now());
    } else {
        m_server.setList(list.instances, EventLoop::now());
    }
    scheduleAdvance();
}

PlacementId PlacementHost::requestPlacement(SlotRequest request)
{
    const PlacementId id = m_client.requestPlacement(std::move(request), EventLoop::now());
    scheduleState();
    return id;
}

void PlacementHost::recordFirstEvent(PlacementId id, Duration after)
{
    m_client.recordFirstEvent(id, after);
    scheduleState();
}

void PlacementHost::recordEarlyPace(PlacementId id, double paceMs)
{
    m_client.recordEarlyPace(id, paceMs);
    scheduleState();
}

bool PlacementHost::recordRequestLimit(const InstanceName &upstream, std::optional<double> perSecond)
{
    const bool hasChanged = m_client.recordRequestLimit(upstream, perSecond, EventLoop::now());
    if (hasChanged) {
        scheduleState();
    }
    return hasChanged;
}

bool PlacementHost::recordSignals(const UpstreamProcess &upstream, const AnswerSignals &signals)
{
    const TimePoint now = EventLoop::now();
    bool hasChanged = signals.pause && m_client.signals().recordPause(upstream, *signals.pause, now);
    hasChanged = (signals.isLeaving && m_client.signals().recordLeaving(upstream, now)) || hasChanged;
    hasChanged = (signals.refusalLimit && m_client.signals().recordRefusalLimit(upstream, *signals.refusalLimit, now)) || hasChanged;
    if (hasChanged) {
        scheduleState();
    }
    return hasChanged;
}

void PlacementHost::sendSignals(const VmName &relay, const UpstreamProcess &upstream, const AnswerSignals &signals)
{
    v1::PlacementDatagram datagram;
    v1::UpstreamSignal &message = *datagram.mutable_relayed_signal();
    message.set_upstream(upstream.name.value);
    message.set_started_at_ms(upstream.startedAtMs);
    message.set_pause_ms(wireMilliseconds(signals.pause.value_or(Duration::zero())));
    message.set_leaving(signals.isLeaving);
    if (signals.refusalLimit) {
        message.set_refusal_limit(*signals.refusalLimit);
    }
    send(relay, std::move(datagram));
}

void PlacementHost::handleRelayedSignal(const v1::UpstreamSignal &message)
{
    AnswerSignals signals{.isLeaving = message.leaving()};
    if (message.pause_ms() > 0) {
        signals.pause = std::chrono::milliseconds(message.pause_ms());
    }
    if (message.has_refusal_limit()) {
        signals.refusalLimit = message.refusal_limit();
    }
    recordSignals(UpstreamProcess{.name = InstanceName{message.upstream()}, .startedAtMs = message.started_at_ms()}, signals);
}

void PlacementHost::ended(PlacementId id, v1::PlacementOutcome outcome, const AnswerPace &pace)
{
    m_client.ended(id, outcome, pace);
    scheduleState();
}

void PlacementHost::setFleet(const v1::FleetTally &fleet)
{
    m_server.setFleet(fleet);
    for (const v1::PlacementVm &vm : fleet.placement_vms()) {
        m_listReader.addDataCentre(DataCentreName{vm.data_centre()});
    }
    // Without datagrams a VM can only place its own requests.
    if (m_socket) {
        m_client.setCandidates(fleet);
    }
}

void PlacementHost::setRoutes(const v1::RouteTable &routes)
{
    m_server.setRoutes(routes, EventLoop::now());
}

void PlacementHost::announce()
{
    // Before the other VMs are known, this VM would take itself for the placement server, and read the list along with all other starting VMs.
    if (!m_socket || !m_client.rankedServers().empty()) {
        scheduleState();
    }
}

void PlacementHost::setRollouts(const std::map<std::string, v1::Rollout> &rollouts)
{
    m_server.setRollouts(rollouts);
}

void PlacementHost::setEvacuated(const std::set<DataCentreName> &evacuated)
{
    m_server.setEvacuated(evacuated);
}

void PlacementHost::startLeaving()
{
    m_leaving = true;
}

void PlacementHost::scheduleState()
{
    if (!std::exchange(m_stateDue, true)) {
        m_stateTimer.startOnce(StateDelay + static_cast<int>(m_client.waitingCount()) * StateDelayPerWaiting);
    }
    m_tickTimer.startOnceIfStopped(TickInterval);
}

void PlacementHost::sendState()
{
    const TimePoint now = EventLoop::now();
    m_stateDue = false;
    const VmName server = m_client.server(now);
    if (server != m_previousServer) {
        logChange("placement", "server", {{"asks", server.value}, {"before", m_previousServer.value}});
        sendDeparture(m_previousServer);
        m_previousServer = server;
    }
    if (server == m_options.vm) {
        handleState(server, m_client.state(now));
        return;
    }
    v1::PlacementDatagram datagram;
    *datagram.mutable_state() = m_client.state(now);
    send(server, std::move(datagram));
}

void PlacementHost::sendDeparture(const VmName &previousServer)
{
    if (previousServer == m_options.vm) {
        m_server.handleState(previousServer, m_client.buildDeparture(), EventLoop::now());
    } else if (!previousServer.value.empty()) {
        v1::PlacementDatagram datagram;
        *datagram.mutable_state() = m_client.buildDeparture();
        send(previousServer, std::move(datagram));
    }
}

std::string PlacementHost::serialize(v1::PlacementDatagram &&datagram) const
{
    datagram.set_from(m_options.vm.value);
    return datagram.SerializeAsString();
}

/// VMs are named by their IPv4 addresses, and all use the same port.
void PlacementHost::sendBytes(const VmName &to, const std::string &bytes)
{
    if (m_socket) {
        m_socket->send(Address{.host = to.value, .port = m_options.datagrams->port}, bytes);
    }
}

void PlacementHost::send(const VmName &to, v1::PlacementDatagram &&datagram)
{
    sendBytes(to, serialize(std::move(datagram)));
}

void PlacementHost::handleDatagram(const std::string &host, std::string_view bytes)
{
    v1::PlacementDatagram datagram;
    if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || datagram.from() != host) {
        return; // Not from a VM of this system.
    }
    const VmName from{host};
    switch (datagram.body_case()) {
    case v1::PlacementDatagram::kState:
        handleState(from, datagram.state());
        break;
    case v1::PlacementDatagram::kReply:
        handleReply(from, datagram.reply());
        break;
    case v1::PlacementDatagram::kNotice:
        m_server.handleNotice(from, datagram.notice(), EventLoop::now());
        break;
    case v1::PlacementDatagram::kRelayedSignal:
        handleRelayedSignal(datagram.relayed_signal());
        break;
    case v1::PlacementDatagram::BODY_NOT_SET:
        break;
    }
}

void PlacementHost::handleState(const VmName &from, const v1::EntryState &state)
{
    const TimePoint now = EventLoop::now();
    m_lastUsedAt = now;
    if (!std::exchange(m_isReadingList, true)) {
        m_listReader.start();
    }
    m_server.handleState(from, state, now);
    for (const PlacementServer::Ejection &ejection : m_server.takeEjections()) {
        m_ejected.emit(ejection);
    }
    scheduleAdvance();
}

void PlacementHost::scheduleAdvance()
{
    m_tickTimer.startOnceIfStopped(TickInterval);
    if (std::exchange(m_advanceDue, true)) {
        return;
    }
    const Duration interval = MinAdvanceInterval + static_cast<int>(m_server.waitingCount()) * AdvanceIntervalPerWaiting;
    const Duration sinceLastAdvance = EventLoop::now() - m_lastAdvanceAt;
    m_advanceTimer.startOnce(std::max(Duration::zero(), interval - sinceLastAdvance));
}

void PlacementHost::advance()
{
    const TimePoint now = EventLoop::now();
    m_advanceDue = false;
    m_lastAdvanceAt = now;
    std::vector<PlacementServer::Reply> replies = m_server.advance(now);
    if (m_options.features.plannedReturns) {
        m_returnsCounted.emit(m_server.takeReturnCounts());
    }
    m_listReader.setRemoteWanted(m_server.wantsRemote(now));
    for (const PlacementServer::HeldBackOrganisation &held : m_server.takeHeldBack()) {
        logChange("placement",
                  "organisation-held-back",
                  {{"service", held.service.value},
                   {"organisation", held.organisation},
                   {"part_of_work", std::to_string(held.partOfWork)},
                   {"waiting", std::to_string(held.waiting)},
                   {"organisations", std::to_string(held.organisations)}});
    }
    reportLeftSlots();
    for (auto &[vm, reply] : replies) {
        if (vm == m_options.vm) {
            handleReply(vm, reply);
            continue;
        }
        reply.set_leaving(m_leaving);
        v1::PlacementDatagram datagram;
        *datagram.mutable_reply() = std::move(reply);
        send(vm, std::move(datagram));
    }
    if (m_socket && !std::exchange(m_noticeDue, true)) {
        m_noticeTimer.startOnce(NoticeInterval);
    }
}

void PlacementHost::reportLeftSlots()
{
    const PeerWaiting::Report report = m_server.takeLeftSlots();
    if (!report.left.empty() || report.used + report.unused > 0) {
        m_slotsLeft.emit(report);
    }
}

void PlacementHost::handleReply(const VmName &from, const v1::PlacementReply &reply)
{
    const std::vector<PlacementAnswer> answers = m_client.handleReply(from, reply, EventLoop::now());
    for (const PlacementAnswer &answer : answers) {
        if (const auto *granted = std::get_if<PlacementGranted>(&answer)) {
            m_granted.emit(*granted);
        } else {
            m_refused.emit(std::get<PlacementRefused>(answer));
        }
    }
    if (!answers.empty()) {
        scheduleState();
    }
}

void PlacementHost::sendNotices()
{
    m_noticeDue = false;
    const bool toBackups = ++m_lastNoticeSequence % NoticesPerBackupNotice == 0;
    v1::PlacementDatagram datagram;
    datagram.mutable_notice()->set_incarnation(m_options.incarnation);
    datagram.mutable_notice()->set_sequence(m_lastNoticeSequence);
    m_server.writeNotice(*datagram.mutable_notice(), toBackups, EventLoop::now());
    // That none wait any more is reported at once, so that other servers do not leave slots unused.
    const bool hasWaiting = datagram.notice().waiting_size() > 0;
    const bool waitingChanged = std::exchange(m_hasReportedWaiting, hasWaiting) || hasWaiting;
    const bool hasChanges = datagram.notice().loads_size() + datagram.notice().spends_size() + datagram.notice().works_size() > 0 || waitingChanged;
    if (!hasChanges && EventLoop::now() - m_lastNoticeAt < IdleNoticeInterval) {
        return;
    }
    m_lastNoticeAt = EventLoop::now();
    // A VM that substitutes for another placement server gets notices as often as that one would. With backup notices alone, a tenth as often, it
    // granted slots and admitted requests that had long been used up elsewhere.
    const std::vector<VmName> active = m_server.activePeers(EventLoop::now());
    std::set<VmName> receivers(active.begin(), active.end());
    for (const auto &[dataCentre, vms] : m_client.rankedServers()) {
        const std::size_t count = std::min(vms.size(), toBackups ? BackupCount : 1);
        receivers.insert(vms.begin(), vms.begin() + static_cast<std::ptrdiff_t>(count));
    }
    receivers.erase(m_options.vm);
    const std::string bytes = serialize(std::move(datagram));
    for (const VmName &vm : receivers) {
        sendBytes(vm, bytes);
    }
}

void PlacementHost::tick()
{
    const TimePoint now = EventLoop::now();
    m_server.expireTimedOut(now);
    ++m_tickCount;
    if (m_client.replaceTimedOutServer(now)) {
        logWarning("placement", "server-silent", {{"now_asks", m_client.server(now).value}});
        sendState();
    } else if (m_client.isBusy() && m_tickCount % TicksPerState == 0) {
        sendState();
    }
    if (m_server.hasRequests()) {
        m_lastUsedAt = now;
        scheduleAdvance();
    }
    if (m_isReadingList && now - m_lastUsedAt > ListIdleTimeout) {
        m_isReadingList = false;
        m_listReader.stop();
    }
    if (m_client.isBusy() || m_isReadingList) {
        m_tickTimer.startOnceIfStopped(TickInterval);
    }
}

}
