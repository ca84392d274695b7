// EntryTask: the attempts of requests, and how requests end.

#include "entry/entrytask.h"

#include "common/log.h"
#include "entry/headers.h"
#include "entry/outcomes.h"
#include "upstream/requestlimit.h"

namespace cumindyke
{

namespace
{

/// Attempts proved not to have run after which a request is abandoned.
constexpr int MaxNotRunDispatches = 3;

}

/// The limit that the upstream names holds until one of its answers names none.
void EntryTask::onAnswerHead(const RequestId &id, const UpstreamName &upstream, const AnswerHead &head)
{
    const Result<std::optional<double>> limit = parseRequestLimit(head.headers, headers::UpstreamRequestLimit);
    if (!ok(limit)) {
        logWarning("entry", "request-limit-invalid", {{"id", id.value}, {"upstream", upstream.value}, {"why", errorOf(limit).message}});
        return;
    }
    m_dispatcher.capacity().recordRequestLimit(upstream, valueOf(limit), EventLoop::now());
}

/// Whether the request may be sent. Otherwise it was answered, or it waits for the answer to its claim of a trial.
bool EntryTask::mayRun(const RequestId &id, ActiveRequest &active)
{
    const auto onAnswer = [this, id](const auto &answer) { return onTrialAnswered(id, answer); };
    const auto decision = m_suspects.admit(id, active.content(), active.suspectState, active.request.deadline, onAnswer);
    if (const auto *refusal = std::get_if<SuspectRefusal>(&decision)) {
        refuseSuspect(id, *refusal);
    }
    return std::holds_alternative<MayRun>(decision);
}

bool EntryTask::onTrialAnswered(const RequestId &id, const std::variant<TrialId, SuspectRefusal> &answer)
{
    ActiveRequest *active = m_requests.find(id);
    if (!active) {
        return false;
    }
    if (const auto *refusal = std::get_if<SuspectRefusal>(&answer)) {
        refuseSuspect(id, *refusal);
        return true;
    }
    active->suspectState.trial = std::get<TrialId>(answer);
    enqueue(id);
    return true;
}

void EntryTask::refuseSuspect(const RequestId &id, const SuspectRefusal &refusal)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter);
    endWithError(id,
                 Error{ErrorKind::Unavailable, refusal.reason + ": change the request, or try again after Retry-After"},
                 m_requests.find(id)->lifecycle.outcomeIfAbandoned(),
                 seconds);
}

void EntryTask::dispatch(const RequestId &id, const Slot &slot, const Upstream &upstream)
{
    ActiveRequest *active = m_requests.find(id);
    // It may have become a suspect while it was queued.
    if (!active || !mayRun(id, *active) || !active->lifecycle.dispatch(upstream.name)) {
        m_dispatcher.releaseSlot(slot, EventLoop::now());
        return;
    }
    m_history.write("dispatched", id, EventLoop::now(), {{"upstream", upstream.name.value}});
    active->slot = slot;
    active->suspectState.sentAt = EventLoop::now();
    active->attempt = std::make_unique<UpstreamAttempt>(m_loop, active->request, upstream, active->exchange, *m_paths, m_attemptCounters);
    active->attempt->answerStarted().connect([this, active, name = upstream.name] {
        active->lifecycle.markAnswerStarted();
        m_dispatcher.onUpstreamAccepted(name, EventLoop::now());
    });
    m_dispatcher.capacity().recordSent(upstream.name, EventLoop::now());
    active->attempt->headReceived().connect([this, id, name = upstream.name](const AnswerHead &head) { onAnswerHead(id, name, head); });
    active->attempt->interrupted().connect(
        [this, active, id, upstream] { m_suspects.checkUpstreamEnded(id, active->content(), active->suspectState, upstream.name.value, upstream.address); });
    m_versions.recordSent(active->request, upstream, EventLoop::now());
    active->attempt->tokensReceived().connect([this, active, id](std::uint64_t tokens) {
        active->answerTokens = TokenCount{static_cast<std::uint32_t>(tokens)};
        m_versions.recordTokens(id, tokens, EventLoop::now());
    });
    active->attempt->ended().connect([this, id](const AttemptResult &result) { onAttemptEnded(id, result); });
    active->attempt->start();
}

void EntryTask::onAttemptEnded(const RequestId &id, const AttemptResult &result)
{
    ActiveRequest *active = m_requests.find(id);
    if (!active) {
        return;
    }
    m_versions.recordAttemptEnd(id, result.kind, active->request.deadline, EventLoop::now());
    switch (result.kind) {
    case AttemptResult::Kind::Completed:
        m_suspects.recordAnswer(id, active->content(), active->suspectState);
        if (active->answerTokens.value > 0) {
            m_dispatcher.recordAnswerLength(active->request, active->answerTokens);
        }
        finish(id, EventLoop::now() <= active->request.deadline ? RequestEnd::OnTime : RequestEnd::Late);
        break;
    case AttemptResult::Kind::NotRun:
        onAttemptNotRun(*active, result.pause);
        break;
    case AttemptResult::Kind::Failed:
        m_suspects.recordAnswer(id, active->content(), active->suspectState);
        abandon(id, Error{ErrorKind::UpstreamFailed, "the upstream answered " + std::to_string(result.status) + ": " + result.failureBody});
        break;
    case AttemptResult::Kind::Lost:
        abandon(id, lostAnswerError(active->lifecycle));
        break;
    }
}

/// Queues the request again: an attempt proved not to have run is the only one that may be followed by another attempt.
void EntryTask::onAttemptNotRun(ActiveRequest &active, Duration pause)
{
    const TimePoint now = EventLoop::now();
    releaseSlot(active);
    if (active.lifecycle.upstream()) {
        m_history.write("proved-not-run", active.request.id, now, {{"upstream", active.lifecycle.upstream()->value}});
        m_dispatcher.onUpstreamRefused(*active.lifecycle.upstream(), now, pause);
    }
    active.lifecycle.markNotRun();
    if (active.lifecycle.notRunDispatches() >= MaxNotRunDispatches) {
        abandon(active.request.id, Error{ErrorKind::Unavailable, "no upstream could be reached: try again later"});
        return;
    }
    const ServiceName service = active.request.service;
    m_dispatcher.enqueue(active.request, active.suspectState.trial.has_value(), now);
    m_dispatcher.dispatchQueued(service, now);
    scheduleCellMessages(now);
}

void EntryTask::onCallerDisconnected(const RequestId &id)
{
    const ActiveRequest *active = m_requests.find(id);
    // A dispatched keyed request runs to completion: a resend with its key gets the answer.
    if (active && (active->request.idempotencyKey.empty() || !active->lifecycle.isDispatched())) {
        abandon(id, Error{ErrorKind::BadRequest, "the caller left"});
    }
}

void EntryTask::abandon(const RequestId &id, const Error &error)
{
    const ActiveRequest &active = *m_requests.find(id);
    abandonWithOutcome(id, error, m_keyed.isOutcomeUndecided(id) ? RunOutcome::Unknown : active.lifecycle.outcomeIfAbandoned());
}

void EntryTask::abandonWithOutcome(const RequestId &id, const Error &error, RunOutcome outcome)
{
    const ServiceName service = m_requests.find(id)->request.service;
    endWithError(id, error, outcome, estimatedRetryAfter(service, EventLoop::now()));
}

void EntryTask::endWithError(const RequestId &id, const Error &error, RunOutcome outcome, std::chrono::seconds retryAfter)
{
    const ActiveRequest &active = *m_requests.find(id);
    m_history.write("given-up", id, EventLoop::now(), {{"kind", toString(error.kind)}, {"outcome", toString(outcome)}});
    if (active.exchange->streamStarted()) {
        active.exchange->streamData(serialized(StreamEvent{.id = {}, .name = "error", .data = errorJson(error, outcome)}));
        active.exchange->endStream();
    } else {
        active.exchange->addHeader(headers::RequestId, id.value);
        active.exchange->replyError(error, outcome, retryAfter);
    }
    finish(id, requestEndOf(outcome));
}

void EntryTask::finish(const RequestId &id, RequestEnd end)
{
    const std::shared_ptr<ActiveRequest> ended = m_requests.remove(id);
    const CallerRequest &request = ended->request;
    m_requestEnds.record(request.service, request.tier, end);
    m_metrics
        .counter("cumindyke_requests_total",
                 "Requests by how they ended",
                 {{"service", request.service.value}, {"tier", request.tier.value}, {"end", toString(end)}})
        .add();
    m_versions.recordRequestEnd(request, end);
    m_history.write("ended", id, EventLoop::now(), {{"end", toString(end)}});
    m_limits.release(request.organisation, retainedBytes(request));
    if (end != RequestEnd::Refused) {
        m_serviceRates[request.service].recordEnd(EventLoop::now());
    }
    m_dispatcher.remove(request);
    releaseSlot(*ended);
    m_suspects.releaseTrial(ended->suspectState);
    ended->lifecycle.markEnded();
    m_keyed.onRequestEnded(id, claimEndOf(end), ended->exchange->savedAnswer(), EventLoop::now());
    if (ended->attempt && ended->attempt->cancel()) {
        m_attemptCounters.cancels.add();
        cancelStream(ended->attempt->address(), request.id);
    }
}

void EntryTask::cancelStream(const Address &upstream, const RequestId &id)
{
    const std::optional<VmName> relay = m_paths->chooseRelay(upstream, {});
    m_canceller.cancel(upstream, id, relay ? std::optional(m_paths->relayAddress(*relay)) : std::nullopt);
}

void EntryTask::releaseSlot(ActiveRequest &active)
{
    if (active.slot) {
        m_dispatcher.releaseSlot(*active.slot, EventLoop::now());
        active.slot.reset();
    }
}

}
