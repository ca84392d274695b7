// ProxyTask: connections to upstreams, directly or through another VM.

#include "proxy/proxytask.h"

#include "common/log.h"

#include <utility>

namespace cumindyke
{

namespace
{

/// Interval of the attempts to reach upstreams directly while the path is lost; each attempt ends before the next.
constexpr Duration ProbeInterval = LivenessCheck::MaxTime + std::chrono::milliseconds(50);

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
    } else if (m_path.isLostTo(request.upstream.address, EventLoop::now())) {
        handleAttemptEnd(request, AttemptEnd::NotSent, v1::PLACEMENT_CANCELLED);
    } else {
        m_placement->recordUnreachable(processOf(request.upstream));
        handleAttemptEnd(request, AttemptEnd::NotSent, v1::PLACEMENT_UNREACHABLE);
    }
}

bool ProxyTask::mayUseRelay(const ProxyRequest &request) const
{
    const TimePoint now = EventLoop::now();
    return m_relayServer && m_path.isLostTo(request.upstream.address, now) && m_relays.hasUsable(request.parsed.homeRegions, now);
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
    m_path.recordConnected(upstream, EventLoop::now());
    updatePath(upstream);
}

void ProxyTask::recordConnectFailure(const Address &upstream, TimePoint startedAt)
{
    const TimePoint now = EventLoop::now();
    const bool hasTimedOut = now - startedAt >= ConnectTimeout;
    m_path.recordFailure(upstream, hasTimedOut ? ConnectFailure::TimedOut : ConnectFailure::Refused, startedAt, now);
    updatePath(upstream);
}

void ProxyTask::updatePath(const Address &lastTried)
{
    const bool isLost = m_path.isLost(EventLoop::now());
    if (std::exchange(m_isPathLost, isLost) == isLost) {
        return;
    }
    updateRelayAvailability();
    m_probeTimer.startOnce(Duration::zero());
    if (isLost) {
        handlePathLost();
    } else {
        logChange("proxy", "path-regained", {{"upstream", lastTried.host.empty() ? "" : toString(lastTried)}});
    }
}

/// Requests whose connections are still being opened use another VM at once, instead of waiting for their own timeouts.
void ProxyTask::handlePathLost()
{
    logWarning("proxy", "path-lost", {{"requests", std::to_string(m_requests.size())}});
    m_metrics.counter("cumindyke_lost_paths_total", "Times this VM lost its path to all upstreams", {}).add();
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
        m_relayServer->setAvailable(!m_drain && !m_isPathLost);
    }
}

/// Ended upstreams refuse connections like a lost path does. While they can't be told apart here, a VM with a path decides; without any the refusal counts.
void ProxyTask::confirmEnded(const Address &upstream, std::function<void(bool)> then)
{
    const TimePoint now = EventLoop::now();
    const std::optional<VmName> relay = m_relayServer && m_isPathLost ? m_relays.next({}, now) : std::nullopt;
    if (!relay) {
        then(true);
        return;
    }
    const std::uint64_t key = m_nextLocalId++;
    const auto onResult = [this, key, then = std::move(then)](int status) {
        m_loop.releaseLater(m_relayChecks[key]);
        m_relayChecks.erase(key);
        then(status == StatusUpstreamUnreachable);
    };
    const Address relayAddress{.host = relay->value, .port = m_options.relayAddress->port};
    m_relayChecks[key] = std::make_shared<RelayCheck>(m_loop, relayAddress, upstream, RelayConnectTimeout, onResult);
}

void ProxyTask::probePath()
{
    m_pathProbes.clear();
    // Outcomes expire, also on a VM that gets no requests.
    updatePath({});
    if (!m_isPathLost) {
        return;
    }
    const TimePoint now = EventLoop::now();
    for (const Address &target : m_path.probeTargets(now)) {
        const auto onResult = [this, target, now](Liveness liveness) {
            if (liveness == Liveness::Answers) {
                recordConnected(target);
            } else {
                recordConnectFailure(target, now);
            }
        };
        m_pathProbes.push_back(std::make_shared<LivenessCheck>(m_loop, connectAddress(target), onResult));
    }
    m_probeTimer.startOnce(ProbeInterval);
}

}
