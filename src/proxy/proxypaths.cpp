// ProxyTask: requests that are sent through another VM.

#include "proxy/proxytask.h"

#include "common/log.h"

namespace cumindyke
{

void ProxyTask::onSent(LocalRequestId localId)
{
    ProxyRequest *request = find(localId);
    if (!request) {
        return;
    }
    if (!request->relay) {
        m_paths->recordConnected(request->upstream.address);
        m_placement->recordReached(processOf(request->upstream));
    }
}

bool ProxyTask::mayUseRelay(const ProxyRequest &request) const
{
    return m_paths->mayUseRelay(request.upstream.address, request.parsed.homeRegions);
}

/// The same slot is used through another VM: the upstream may be sound.
void ProxyTask::handleUnsent(ProxyRequest &request)
{
    releaseCall(request);
    if (request.relay) {
        handleAttemptEnd(request, AttemptEnd::NotSent, v1::PLACEMENT_UNREACHABLE);
        return;
    }
    m_paths->recordConnectFailure(request.upstream.address, request.sentAt);
    if (mayUseRelay(request)) {
        resend(request);
    } else if (m_paths->isLostTo(request.upstream.address)) {
        handleAttemptEnd(request, AttemptEnd::NotSent, v1::PLACEMENT_CANCELLED);
    } else {
        m_placement->recordUnreachable(processOf(request.upstream));
        handleAttemptEnd(request, AttemptEnd::NotSent, v1::PLACEMENT_UNREACHABLE);
    }
}

void ProxyTask::handleRelayFailure(ProxyRequest &request)
{
    logWarning("proxy", "relay-failed", {{"id", request.parsed.id.value}, {"relay", request.relay->value}});
    m_paths->recordRelayFailure(*request.relay);
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

/// Requests whose connections are still being opened use another VM at once, instead of waiting for their own timeouts.
void ProxyTask::onPathLost()
{
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

}
