// ProxyTask: the answers to callers.

#include "proxy/proxytask.h"

#include "proxy/headerfields.h"

namespace cumindyke
{

void ProxyTask::addAnswerHeaders(ProxyRequest &request)
{
    for (const auto &[name, value] : request.answerHead.headers) {
        if (!isHopHeader(name) && toLower(name) != "content-type") {
            request.exchange->addHeader(name, value);
        }
    }
    if (m_drain) {
        request.exchange->addHeader("Connection", "close");
    }
}

void ProxyTask::forwardHead(ProxyRequest &request)
{
    request.headForwarded = true;
    request.eventsForwarded = request.isStream() && isSuccess(request.answerHead) && hasEvents(request.answerHead);
    addAnswerHeaders(request);
    const LocalRequestId localId = request.localId;
    request.exchange->drained().connect([this, localId] {
        ProxyRequest *drained = find(localId);
        if (drained && drained->call) {
            drained->call->setPaused(false);
        }
    });
    request.exchange->startStream(request.answerHead.status, request.answerHead.contentType);
}

void ProxyTask::forwardBody(ProxyRequest &request, std::string_view bytes)
{
    if (request.isStream() && hasEvents(request.answerHead)) {
        request.exchange->streamData(request.eventSplitter.extractWholeEvents(bytes));
    } else {
        request.exchange->streamData(bytes);
    }
    request.exchange->setHeldAnswer(request.heldBytes());
}

void ProxyTask::forwardWholeAnswer(ProxyRequest &request)
{
    addAnswerHeaders(request);
    request.exchange->reply(request.answerHead.status, request.answerHead.contentType, request.bufferedBody);
}

void ProxyTask::replyRefusal(ProxyRequest &request, ErrorKind kind, const std::string &reason, Duration retryAfter, const std::string &inputs)
{
    Exchange &exchange = *request.exchange;
    if (m_drain) {
        exchange.addHeader("Connection", "close");
    }
    exchange.addHeader(m_options.headers.requestId, request.parsed.id.value);
    exchange.addHeader("Retry-After", std::to_string(std::chrono::duration<double>(retryAfter).count()));
    exchange.reply(httpStatus(kind), "application/json", errorJson(Error{kind, reason + ": try again after Retry-After"}, RunOutcome::NotRun) + "\n");
    finish(request, "refused", reason, inputs);
}

void ProxyTask::replyFailure(ProxyRequest &request, ErrorKind kind, const std::string &reason)
{
    if (request.headForwarded) {
        m_exchangesToAbort.push_back(request.exchange);
    } else {
        if (m_drain) {
            request.exchange->addHeader("Connection", "close");
        }
        request.exchange->addHeader(m_options.headers.requestId, request.parsed.id.value);
        request.exchange->reply(httpStatus(kind), "application/json", errorJson(Error{kind, reason + ": it may have run"}, RunOutcome::Unknown) + "\n");
    }
    finish(request, "failed", reason);
}

void ProxyTask::onCallerLeft(LocalRequestId localId)
{
    ProxyRequest *request = find(localId);
    if (!request) {
        return;
    }
    m_exchangesToAbort.push_back(request->exchange);
    if (request->call && request->eventBatches == 0) {
        checkUpstreamEnded(*request);
    }
    finish(*request, "caller-left", "");
}

void ProxyTask::onDeadlinePassed(LocalRequestId localId)
{
    ProxyRequest *request = find(localId);
    if (!request) {
        return;
    }
    if (!request->attempts.mayHaveRun()) {
        replyRefusal(*request, ErrorKind::Unavailable, "the deadline passed before an upstream had a free slot", RetryAfterRefusal);
        return;
    }
    if (request->call) {
        countAnswer(*request, false);
        checkUpstreamEnded(*request);
    }
    replyFailure(*request, ErrorKind::DeadlinePassed, "the request's deadline has passed");
}

}
