// ProxyTask: attempts at upstreams.

#include "proxy/proxytask.h"

#include "common/log.h"
#include "proxy/headerfields.h"
#include "upstream/requestlimit.h"

#include <algorithm>
#include <utility>

namespace cumindyke
{

namespace
{

/// A larger plain answer is forwarded as it arrives, without waiting for its end.
constexpr std::size_t MaxBufferedBytes = 256 << 10;
/// Number of events from which an upstream's pace is measured.
constexpr std::uint32_t EventsForPace = 4;
constexpr int FirstServerError = 500;
/// When a caller has this many bytes unread, reading from its upstream is paused; with a buffer budget, BufferBudget::readAheadLimit() applies.
constexpr std::size_t MaxUnreadBytes = 256 << 10;

/// Pace between the events of a stream so far, or until the end of a plain answer; 0 for a stream of fewer than two batches of events.
AnswerPace paceOf(const ProxyRequest &request, TimePoint now)
{
    if (request.eventBatches > 1) {
        return AnswerPace{.meanMs = static_cast<double>(wholeMilliseconds(request.lastEventAt - request.firstEventAt)) / (request.eventBatches - 1),
                          .longestPauseMs = static_cast<std::uint32_t>(wholeMilliseconds(request.longestPause))};
    }
    return AnswerPace{.meanMs = request.isStream() ? 0 : static_cast<double>(wholeMilliseconds(now - request.sentAt))};
}

}

HeaderList ProxyTask::headersFor(const ProxyRequest &request, const UpstreamInstance &to, TimePoint now) const
{
    const ProxyHeaders &names = m_options.headers;
    std::vector<std::string> ownHeaders{
        toLower(names.requestId), toLower(names.deadlineMs), toLower(names.apiKey), toLower(names.organisation), toLower(names.expectedInstance)};
    for (const std::string &reserved : names.reserved) {
        ownHeaders.push_back(toLower(reserved));
    }
    const bool resumes = !request.eventSplitter.lastEventId().empty();
    if (resumes) {
        ownHeaders.push_back(toLower(names.lastEventId));
    }
    HeaderList headers;
    for (const auto &[name, value] : request.exchange->headers()) {
        if (!isHopHeader(name) && std::ranges::find(ownHeaders, toLower(name)) == ownHeaders.end()) {
            headers.emplace_back(name, value);
        }
    }
    headers.emplace_back(names.deadlineMs, std::to_string(std::max<std::int64_t>(1, wholeMilliseconds(request.parsed.deadline - now))));
    headers.emplace_back(names.expectedInstance, to.name.value);
    if (!request.parsed.organisation.value.empty()) {
        headers.emplace_back(names.organisation, request.parsed.organisation.value);
    }
    if (resumes) {
        headers.emplace_back(names.lastEventId, request.eventSplitter.lastEventId());
    }
    return headers;
}

/// Aborts an attempt that makes no progress early only if another upstream can resume the stream; otherwise the request's own deadline applies.
ProgressTimeouts ProxyTask::timeoutsFor(const ProxyRequest &request, TimePoint now) const
{
    const Duration left = std::max<Duration>(request.parsed.deadline - now, std::chrono::milliseconds(1)) + std::chrono::seconds(1);
    const bool mayResume = request.isResumable() && request.attempts.attemptCount() + 1 < request.parsed.route->max_attempts();
    const Duration progressTimeout = mayResume ? std::min<Duration>(left, ResumeTimeout) : left;
    const Duration connectTimeout = request.relay ? UpstreamPaths::RelayConnectTimeout : UpstreamPaths::ConnectTimeout;
    return ProgressTimeouts{.connect = connectTimeout, .firstByte = progressTimeout, .betweenBytes = progressTimeout};
}

void ProxyTask::send(ProxyRequest &request, const UpstreamInstance &to, const std::string &inputs, TimePoint now)
{
    request.upstream = to;
    request.sentAt = now;
    request.tried.insert(to.name);
    request.answerHead = {};
    request.bufferedBody.clear();
    request.secondAnswer.reset();
    request.exchange->setHeldAnswer(0);
    if (request.isResumable() && request.eventSplitter.lastEventId().empty()) {
        request.eventSplitter.setCallerHas(request.exchange->header(m_options.headers.lastEventId.c_str()));
    }
    request.eventSplitter.startAnswer();
    request.relay = m_paths->chooseRelay(to.address, request.parsed.homeRegions);
    UpstreamRequest upstreamRequest{
        .id = request.parsed.id,
        .address = request.relay ? to.address : m_paths->connectAddress(to.address),
        .method = request.exchange->method(),
        .target = request.exchange->target(),
        .headers = headersFor(request, to, now),
        .body = {},
        .host = request.exchange->header("Host"),
        .idHeader = m_options.headers.requestId,
        .allowsCloseDelimitedBody = true,
        .sharedBody = request.exchange->sharedBody(),
    };
    if (request.relay) {
        upstreamRequest.relay = m_paths->relayAddress(*request.relay);
    }
    request.call = std::make_unique<UpstreamCall>(m_loop, std::move(upstreamRequest), timeoutsFor(request, now));
    request.attempts.recordStart();
    request.suspectState.sentAt = now;
    logChange("proxy",
              "sent",
              {{"id", request.parsed.id.value},
               {"upstream", to.name.value},
               {"version", to.version.value},
               {"waited_ms", std::to_string(wholeMilliseconds(now - request.parsed.arrived))},
               {"rank", std::to_string(request.parsed.rank.value)},
               {"last_event", request.eventSplitter.lastEventId()},
               {"inputs", request.relay ? inputs + " relay=" + request.relay->value : inputs}});
    m_versionCounts[{request.parsed.service.value, to.version.value}].sent += 1;
    const LocalRequestId localId = request.localId;
    request.call->sent().connect([this, localId] { onSent(localId); });
    request.call->head().connect([this, localId](const AnswerHead &head) { onAnswerHead(localId, head); });
    request.call->data().connect([this, localId](std::string_view bytes) { onAnswerData(localId, bytes); });
    request.call->finished().connect([this, localId] { onAnswerEnd(localId); });
    request.call->failed().connect([this, localId](CallFailure failure) { onCallFailed(localId, failure); });
    const bool isWatched = mayBeUnframed(request);
    if (isWatched) {
        request.call->holdRequest();
    }
    UpstreamCall *started = request.call.get();
    started->start();
    // A call that fails at once may have been replaced.
    if (isWatched && find(localId) == &request && request.call.get() == started) {
        watchProcess(request);
    }
}

/// Releases the slot, or cancels the placement request.
void ProxyTask::endCall(ProxyRequest &request, v1::PlacementOutcome outcome, const AnswerPace &pace)
{
    if (m_requestsByPlacement.erase(request.placementId) > 0) {
        m_placement->ended(request.placementId, outcome, pace);
    }
    releaseCall(request);
}

/// The call's signals may still be running, so it is cancelled here and destroyed from the loop.
void ProxyTask::releaseCall(ProxyRequest &request)
{
    request.processWatch.reset();
    if (request.call) {
        request.call->cancel();
        m_loop.releaseLater(std::shared_ptr<UpstreamCall>(std::move(request.call)));
    }
}

bool ProxyTask::isNotRun(const AnswerHead &head) const
{
    return head.status == StatusMisdirected || headerOf(head, m_options.headers.notRun);
}

/// Whether the answer was made by the upstream for this request. An answer without the request's id, or a success without proof of its origin,
/// belongs to another request or was made by an intermediary; if it were forwarded, the caller would take it for its own.
bool ProxyTask::isAnswerToRequest(const ProxyRequest &request, const AnswerHead &head) const
{
    const std::string *echoed = headerOf(head, m_options.headers.requestId);
    const bool success = isSuccess(head);
    if (success && (!headerOf(head, m_options.headers.answerProof) || headerOf(head, "content-encoding"))) {
        return false;
    }
    return echoed && *echoed == request.parsed.id.value;
}

/// The limit that the upstream names holds until one of its answers to a request that ran names none.
void ProxyTask::recordRequestLimit(const ProxyRequest &request, const AnswerHead &head)
{
    const std::string *echoed = headerOf(head, m_options.headers.requestId);
    if (head.status == StatusMisdirected || !echoed || *echoed != request.parsed.id.value) {
        return;
    }
    const Result<std::optional<double>> limit = parseRequestLimit(head.headers, m_options.headers.requestLimit);
    if (!ok(limit)) {
        logWarning("proxy", "request-limit-invalid", {{"upstream", request.upstream.name.value}, {"why", errorOf(limit).message}});
        return;
    }
    const std::optional<double> perSecond = valueOf(limit);
    if ((perSecond || isAnswerToRequest(request, head)) && !(isNotRun(head) && !perSecond)
        && m_placement->recordRequestLimit(request.upstream.name, perSecond)) {
        logChange("proxy",
                  "request-limit",
                  {{"id", request.parsed.id.value}, {"upstream", request.upstream.name.value}, {"per_s", perSecond ? std::to_string(*perSecond) : "none"}});
    }
}

/// An upstream means the VM that it sees: the one that relays the connection, if there is one.
void ProxyTask::recordSignals(const ProxyRequest &request, const AnswerHead &head)
{
    const std::string *echoed = headerOf(head, m_options.headers.requestId);
    if (head.status == StatusMisdirected || !echoed || *echoed != request.parsed.id.value) {
        return;
    }
    const AnswerSignals signals = parseAnswerSignals(head, m_options.headers.signals);
    const UpstreamProcess upstream = processOf(request.upstream);
    if (!m_placement->recordSignals(upstream, signals)) {
        return;
    }
    if (request.relay) {
        m_placement->sendSignals(*request.relay, upstream, signals);
    }
    logChange("proxy",
              "upstream-signal",
              {{"id", request.parsed.id.value},
               {"upstream", upstream.name.value},
               {"pause_ms", std::to_string(wholeMilliseconds(signals.pause.value_or(Duration::zero())))},
               {"leaving", signals.isLeaving ? "yes" : "no"},
               {"refusal_limit", signals.refusalLimit ? std::to_string(*signals.refusalLimit) : "none"},
               {"valid", signals.hasInvalid ? "no" : "yes"}});
}

void ProxyTask::onAnswerHead(LocalRequestId localId, const AnswerHead &head)
{
    ProxyRequest *request = find(localId);
    if (!request) {
        return;
    }
    const TimePoint now = EventLoop::now();
    request->answerHead = head;
    if (head.framing == BodyFraming::ConnectionClose) {
        request->secondAnswer.emplace(m_options.headers.requestId);
    }
    recordRequestLimit(*request, head);
    recordSignals(*request, head);
    if (!isAnswerToRequest(*request, head)) {
        logWarning(
            "proxy", "foreign-answer", {{"id", request->parsed.id.value}, {"upstream", request->upstream.name.value}, {"status", std::to_string(head.status)}});
        countAnswer(*request, false);
        handleAttemptEnd(*request, AttemptEnd::Lost, v1::PLACEMENT_FAILED);
        return;
    }
    if (isNotRun(head)) {
        handleAttemptEnd(*request, AttemptEnd::RefusedNotRun, head.status == StatusMisdirected ? v1::PLACEMENT_MISDIRECTED : v1::PLACEMENT_REFUSED);
        return;
    }
    recordFraming(*request, head.framing);
    VersionCount &counts = m_versionCounts[{request->parsed.service.value, request->upstream.version.value}];
    counts.headMs += static_cast<std::uint64_t>(wholeMilliseconds(now - request->sentAt));
    counts.heads += 1;
    const bool success = isSuccess(head);
    if (request->headForwarded && !(success && hasEvents(head))) {
        // The stream can't be resumed, and the caller already has the first upstream's head.
        handleAttemptEnd(*request, AttemptEnd::Lost, v1::PLACEMENT_CANCELLED);
        return;
    }
    if (success && request->isStream() && !request->headForwarded) {
        forwardHead(*request);
    }
}

void ProxyTask::onAnswerData(LocalRequestId localId, std::string_view bytes)
{
    ProxyRequest *request = find(localId);
    if (!request) {
        return;
    }
    const std::string_view body = request->secondAnswer ? request->secondAnswer->scan(bytes) : bytes;
    if (handleBody(*request, body) && request->secondAnswer && request->secondAnswer->isFound()) {
        // Nothing shows that what came before it is whole.
        dropAnswer(*request, "second-answer");
    }
}

/// Returns whether the attempt goes on.
bool ProxyTask::handleBody(ProxyRequest &request, std::string_view bytes)
{
    if (!request.headForwarded) {
        request.bufferedBody += bytes;
        limitHeldAnswer(request);
    } else if (!bytes.empty()) {
        recordEvents(request, EventLoop::now());
        forwardBody(request, bytes);
    } else {
        request.exchange->setHeldAnswer(request.heldBytes());
    }
    if (request.eventSplitter.isOutOfOrder()) {
        dropAnswer(request, "events-out-of-order");
        return false;
    }
    if (request.eventSplitter.isTooLong()) {
        handleAttemptEnd(request, AttemptEnd::Lost, v1::PLACEMENT_FAILED);
        return false;
    }
    if (request.headForwarded && request.exchange->unreadBytes() > maxUnreadBytes()) {
        request.call->setPaused(true);
    }
    return true;
}

/// Ends the attempt because of a fault in the answer; the upstream may still run.
void ProxyTask::dropAnswer(ProxyRequest &request, const char *change)
{
    logWarning(
        "proxy", change, {{"id", request.parsed.id.value}, {"upstream", request.upstream.name.value}, {"last_event", request.eventSplitter.lastEventId()}});
    countAnswer(request, false);
    handleAttemptEnd(request, AttemptEnd::Lost, v1::PLACEMENT_FAILED);
}

/// Forwards a plain answer that is too large to be held until it is complete.
void ProxyTask::limitHeldAnswer(ProxyRequest &request)
{
    const std::size_t limit = m_buffers ? std::min(MaxBufferedBytes, m_buffers->readAheadLimit()) : MaxBufferedBytes;
    if (request.bufferedBody.size() <= limit) {
        request.exchange->setHeldAnswer(request.heldBytes());
        return;
    }
    forwardHead(request);
    // Frees the memory, which clear() would keep.
    forwardBody(request, std::exchange(request.bufferedBody, {}));
}

std::size_t ProxyTask::maxUnreadBytes() const
{
    return m_buffers ? m_buffers->readAheadLimit() : MaxUnreadBytes;
}

void ProxyTask::recordEvents(ProxyRequest &request, TimePoint now)
{
    if (request.eventBatches == 0) {
        request.firstEventAt = now;
        m_placement->recordFirstEvent(request.placementId, now - request.sentAt);
    } else {
        request.longestPause = std::max(request.longestPause, now - request.lastEventAt);
    }
    request.lastEventAt = now;
    ++request.eventBatches;
    if (request.eventBatches == EventsForPace && request.paceWanted) {
        m_placement->recordEarlyPace(request.placementId, paceOf(request, now).meanMs);
    }
}

void ProxyTask::onAnswerEnd(LocalRequestId localId)
{
    ProxyRequest *request = find(localId);
    if (!request) {
        return;
    }
    if (request->secondAnswer && request->secondAnswer->endsWithinHead()) {
        dropAnswer(*request, "second-answer");
        return;
    }
    if (request->secondAnswer && !handleBody(*request, request->secondAnswer->takeRest())) {
        return;
    }
    if (request->eventSplitter.isWithinEvent()) {
        // The upstream ended the stream in order, but before the end of an event.
        onCallFailed(localId, CallFailure::Lost);
        return;
    }
    if (request->answerHead.framing == BodyFraming::ConnectionClose) {
        verifyUnframedEnd(*request);
    } else {
        completeAnswer(*request);
    }
}

void ProxyTask::completeAnswer(ProxyRequest &request)
{
    m_suspects.recordAnswer(request.parsed.id, request.content(), request.suspectState);
    if (request.answerHead.status >= FirstServerError && !request.headForwarded) {
        countAnswer(request, false);
        handleAttemptEnd(request, AttemptEnd::RanAndFailed, v1::PLACEMENT_FAILED);
        return;
    }
    const TimePoint now = EventLoop::now();
    countAnswer(request, true);
    m_answerTimes[request.parsed.route->name()].record(now - request.sentAt);
    endCall(request, v1::PLACEMENT_SERVED, paceOf(request, now));
    if (request.headForwarded) {
        request.exchange->endStream();
    } else {
        forwardWholeAnswer(request);
    }
    finish(request, "answered", std::to_string(request.answerHead.status));
}

void ProxyTask::onCallFailed(LocalRequestId localId, CallFailure failure)
{
    ProxyRequest *request = find(localId);
    if (!request) {
        return;
    }
    if (failure == CallFailure::RelayFailed) {
        handleRelayFailure(*request);
        return;
    }
    if (failure == CallFailure::NotSent) {
        handleUnsent(*request);
        return;
    }
    if (failure == CallFailure::EndedUnsent) {
        handleAttemptEnd(*request, AttemptEnd::NotSent, v1::PLACEMENT_CANCELLED);
        return;
    }
    if (!request->suspectState.trial) {
        countAnswer(*request, false);
    }
    handleLostAnswer(*request);
}

void ProxyTask::handleAttemptEnd(ProxyRequest &request, AttemptEnd end, v1::PlacementOutcome outcome)
{
    endCall(request, outcome);
    request.eventBatches = 0;
    request.longestPause = {};
    const NextStep next = request.attempts.recordEnd(end, request.mayContinue());
    retryOrFinish(request, end, next);
}

void ProxyTask::retryOrFinish(ProxyRequest &request, AttemptEnd end, NextStep step)
{
    const TimePoint now = EventLoop::now();
    if (step == NextStep::Retry) {
        const bool needsNoBudget = end == AttemptEnd::NotSent;
        if (now < request.parsed.deadline && (needsNoBudget || m_retryBudgets[request.parsed.service].trySpend())) {
            logChange("proxy",
                      "tried-again",
                      {{"id", request.parsed.id.value}, {"after", request.upstream.name.value}, {"sent", std::to_string(request.attempts.attemptCount())}});
            if (mayRun(request)) {
                requestPlacement(request);
            }
            return;
        }
        step = request.attempts.finalStep(end);
    }
    if (request.headForwarded) {
        replyFailure(request, ErrorKind::OutcomeUnknown, "the stream ended before it was complete");
    } else if (step == NextStep::RefuseNotRun) {
        replyRefusal(request, ErrorKind::Unavailable, "all upstreams are full or unreachable", RetryAfterRefusal);
    } else if (step == NextStep::ForwardFailure) {
        forwardWholeAnswer(request);
        finish(request, "upstream-failed", std::to_string(request.answerHead.status));
    } else {
        replyFailure(request, ErrorKind::OutcomeUnknown, "the connection to the upstream was lost before the answer was complete");
    }
}

}
