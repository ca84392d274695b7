// ProxyTask: requests that end the upstreams that run them.

#include "proxy/proxytask.h"

namespace cumindyke
{

void ProxyTask::checkUpstreamEnded(ProxyRequest &request, const std::function<void(bool hasEnded)> &then)
{
    m_suspects.checkUpstreamEnded(request.parsed.id, request.content(), request.suspectState, request.upstream.name.value, request.upstream.address, then);
}

/// A further attempt waits for the result of the check: without it a request that ends upstreams would end two for each of its copies.
void ProxyTask::handleLostAnswer(ProxyRequest &request)
{
    endCall(request, v1::PLACEMENT_FAILED);
    request.eventBatches = 0;
    request.longestPause = {};
    const NextStep next = request.attempts.recordEnd(AttemptEnd::Lost, request.mayContinue());
    if (next != NextStep::Retry) {
        checkUpstreamEnded(request);
        retryOrFinish(request, AttemptEnd::Lost, next);
        return;
    }
    checkUpstreamEnded(request, [this, localId = request.localId, next](bool /*hasEnded*/) {
        if (ProxyRequest *waiting = find(localId)) {
            retryOrFinish(*waiting, AttemptEnd::Lost, next);
        }
    });
}

/// Whether the request may be sent. Otherwise it was answered, or it waits for the answer to its claim of a trial.
bool ProxyTask::mayRun(ProxyRequest &request)
{
    const auto onAnswer = [this, localId = request.localId](const auto &answer) { return onTrialAnswered(localId, answer); };
    const auto decision = m_suspects.admit(request.parsed.id, request.content(), request.suspectState, request.parsed.deadline, onAnswer);
    if (const auto *refusal = std::get_if<SuspectRefusal>(&decision)) {
        refuseSuspect(request, *refusal);
    }
    return std::holds_alternative<MayRun>(decision);
}

bool ProxyTask::onTrialAnswered(LocalRequestId localId, const std::variant<TrialId, SuspectRefusal> &answer)
{
    ProxyRequest *request = find(localId);
    if (!request) {
        return false;
    }
    if (const auto *refusal = std::get_if<SuspectRefusal>(&answer)) {
        refuseSuspect(*request, *refusal);
        return true;
    }
    request->suspectState.trial = std::get<TrialId>(answer);
    if (request->tried.empty()) {
        requestPlacementOrRefuse(*request, EventLoop::now());
    } else {
        requestPlacement(*request);
    }
    return true;
}

void ProxyTask::refuseSuspect(ProxyRequest &request, const SuspectRefusal &refusal)
{
    if (request.attempts.mayHaveRun()) {
        replyFailure(request, ErrorKind::OutcomeUnknown, refusal.reason);
        return;
    }
    replyRefusal(request, ErrorKind::Unavailable, refusal.reason, refusal.retryAfter, refusal.inputs);
}

}
