// ProxyTask: connections to upstreams, directly or through another VM.

#include "proxy/proxytask.h"

#include "common/log.h"

namespace cumindyke
{

namespace
{

/// Interval of the attempts to reach an upstream directly while the path is lost.
constexpr Duration ProbeInterval = std::chrono::milliseconds(250);

}

std::optional<Error> ProxyTask::openRelay()
{
    if (!m_options.relayAddress) {
        return {};
    }
    auto relay = RelayServer::listen(
        m_loop, RelayServerOptions{.address = *m_options.relayAddress, .connectTimeout = ConnectTimeout, .mapAddress = m_options.mapAddress}, m_metrics);
    if (!ok(relay)) {
        return errorOf(relay);
    }
    m_relayServer = std::move(valueOf(relay));
    m_relayServer->connected().connect([this](const Address &upstream) { recordConnected(upstream); });
    m_relayServer->connectFailed().connect([this](const Address &upstream, TimePoint startedAt) { recordConnectFailure(upstream, startedAt); });
    return {};
}

Address ProxyTask::connectAddress(const Address &upstream) const
{
    return m_options.mapAddress ? m_options.mapAddress(upstream) : upstream;
}

/// While the path is lost and no other VM can be used, the upstream is tried directly.
std::optional<Address> ProxyTask::chooseRelay(ProxyRequest &request, TimePoint now)
{
    request.relay.reset();
    if (!mayUseRelay(request)) {
        return {};
    }
    request.relay = m_relays.next(request.parsed.homeRegions, now);
    return Address{.host = request.relay->value, .port = m_options.relayAddress->port};
}

void ProxyTask::onSent(LocalRequestId localId)
{
    const ProxyRequest *request = find(localId);
    if (request && !request->relay) {
        recordConnected(request->upstream.address);
        m_placement->recordReached(processOf(request->upstream));
    }
}

/// The same slot is used through another VM: the upstream may be sound.
void ProxyTask::handleUnsent(ProxyRequest &request)
{
    releaseCall(request);
    if (request.relay) {
        handleAttemptEnd(request, AttemptEnd::NotSent, v1::PLACEMENT_UNREACHABLE);
        return;
    }
    recordConnectFailure(request.upstream.address, request.sentAt);
    if (mayUseRelay(request)) {
        resend(request);
    } else if (m_path.isLost()) {
        handleAttemptEnd(request, AttemptEnd::NotSent, v1::PLACEMENT_CANCELLED);
    } else {
        m_placement->recordUnreachable(processOf(request.upstream));
        handleAttemptEnd(request, AttemptEnd::NotSent, v1::PLACEMENT_UNREACHABLE);
    }
}

bool ProxyTask::mayUseRelay(const ProxyRequest &request) const
{
    return m_relayServer && m_path.isLost() && m_relays.hasUsable(request.parsed.homeRegions, EventLoop::now());
}

void ProxyTask::handleRelayFailure(ProxyRequest &request)
{
    logWarning("proxy", "relay-failed", {{"id", request.parsed.id.value}, {"relay", request.relay->value}});
    m_relays.recordFailure(*request.relay, EventLoop::now());
    resend(request);
}

/// Sends the request to the same upstream on another path. No byte of it has left this VM.
void ProxyTask::resend(ProxyRequest &request)
{
    releaseCall(request);
    if (isHeld(request.upstream)) {
        handleAttemptEnd(request, AttemptEnd::NotSent, v1::PLACEMENT_CANCELLED);
        return;
    }
    request.attempts.retractStart();
    send(request, request.upstream, {}, EventLoop::now());
}

void ProxyTask::recordConnected(const Address &upstream)
{
    const bool wasLost = m_path.isLost();
    m_path.recordConnected(upstream, EventLoop::now());
    if (wasLost) {
        m_probeTimer.startOnce(Duration::zero());
        updateRelayAvailability();
        logChange("proxy", "path-regained", {{"upstream", toString(upstream)}});
    }
}

void ProxyTask::recordConnectFailure(const Address &upstream, TimePoint startedAt)
{
    const bool wasLost = m_path.isLost();
    const bool hasTimedOut = EventLoop::now() - startedAt >= ConnectTimeout;
    m_path.recordFailure(upstream, hasTimedOut ? ConnectFailure::TimedOut : ConnectFailure::Refused, startedAt);
    if (!wasLost && m_path.isLost()) {
        handlePathLost();
    }
}

/// Requests whose connections are still being opened use another VM at once, instead of waiting for their own timeouts.
void ProxyTask::handlePathLost()
{
    logWarning("proxy", "path-lost", {{"requests", std::to_string(m_requests.size())}});
    m_metrics.counter("cumindyke_lost_paths_total", "Times this VM lost its path to all upstreams", {}).add();
    updateRelayAvailability();
    m_probeTimer.startOnce(Duration::zero());
    std::vector<LocalRequestId> connecting;
    for (const auto &[localId, request] : m_requests) {
        if (request->call && !request->call->isSent() && !request->relay) {
            connecting.push_back(localId);
        }
    }
    // A request may end when it is sent again.
    for (const LocalRequestId localId : connecting) {
        ProxyRequest *request = find(localId);
        if (request && request->call && mayUseRelay(*request)) {
            resend(*request);
        }
    }
}

void ProxyTask::updateRelayAvailability()
{
    if (m_relayServer) {
        m_relayServer->setAvailable(!m_drain && !m_path.isLost());
    }
}

void ProxyTask::probePath()
{
    m_pathProbes.clear();
    if (!m_path.isLost()) {
        return;
    }
    for (const Address &target : m_path.probeTargets()) {
        const auto onResult = [this, target](Liveness liveness) {
            if (liveness == Liveness::Answers) {
                recordConnected(target);
            }
        };
        m_pathProbes.push_back(std::make_shared<LivenessCheck>(m_loop, connectAddress(target), onResult));
    }
    m_probeTimer.startOnce(ProbeInterval);
}

}
