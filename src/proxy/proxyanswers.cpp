// A sending, its answer, and what the caller gets: the proxy task's part from the upstream's connection back to the caller's.

#include "proxy/proxytask.h"

#include "common/log.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace cumindyke
{

namespace
{

/// A connection within one region is there in a few milliseconds, or the upstream is dark.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
/// A stream that another upstream may go on with is taken from one that is silent for so long.
constexpr Duration SilenceBeforeResume = std::chrono::milliseconds(1200);
/// A plain answer over this size is passed on as it comes, without waiting for its end.
constexpr std::size_t MostGatheredBytes = 256 << 10;
constexpr Duration RetryAfterRefusal = std::chrono::milliseconds(200);
/// So many events show how fast an upstream works.
constexpr std::uint32_t EventsToTellPace = 4;
constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;
constexpr int FirstServerError = 500;
/// What a caller has not read yet, above which its upstream is not read either.
constexpr std::size_t MostUnreadBytes = 256 << 10;

/// Headers that concern one connection only (RFC 9110, 7.6.1), and the framing, which is made anew on each.
constexpr std::array<std::string_view, 10>
    HopHeaders{"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "expect"};

std::string lowered(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

bool isHopHeader(std::string_view name)
{
    return std::ranges::find(HopHeaders, lowered(name)) != HopHeaders.end();
}

const std::string *headerOf(const AnswerHead &head, std::string_view name)
{
    const std::string wanted = lowered(name);
    for (const auto &[key, value] : head.headers) {
        if (lowered(key) == wanted) {
            return &value;
        }
    }
    return nullptr;
}

/// Between the events of a stream so far, or to a plain answer's end; nothing when a stream was too short to tell.
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
    std::vector<std::string> ours{
        lowered(names.requestId), lowered(names.deadlineMs), lowered(names.apiKey), lowered(names.organisation), lowered(names.expectedInstance)};
    for (const std::string &reserved : names.reserved) {
        ours.push_back(lowered(reserved));
    }
    const bool resumes = !request.events.lastEventId().empty();
    if (resumes) {
        ours.push_back(lowered(names.lastEventId));
    }
    HeaderList headers;
    for (const auto &[name, value] : request.exchange->headers()) {
        if (!isHopHeader(name) && std::ranges::find(ours, lowered(name)) == ours.end()) {
            headers.emplace_back(name, value);
        }
    }
    headers.emplace_back(names.deadlineMs, std::to_string(std::max<std::int64_t>(1, wholeMilliseconds(request.order.deadline - now))));
    headers.emplace_back(names.expectedInstance, to.name.value);
    if (!request.order.organisation.value.empty()) {
        headers.emplace_back(names.organisation, request.order.organisation.value);
    }
    if (resumes) {
        headers.emplace_back(names.lastEventId, request.events.lastEventId());
    }
    return headers;
}

/// Silence ends a sending early only where another upstream may go on; elsewhere the request's own time limit does.
ProgressTimeouts ProxyTask::timeoutsFor(const ProxyRequest &request, TimePoint now) const
{
    const Duration left = std::max<Duration>(request.order.deadline - now, std::chrono::milliseconds(1)) + std::chrono::seconds(1);
    const bool mayGoOn = request.isResumable() && request.attempts.sentCount() + 1 < request.order.route->max_attempts();
    const Duration silence = mayGoOn ? std::min<Duration>(left, SilenceBeforeResume) : left;
    return ProgressTimeouts{.connect = ConnectTimeout, .firstByte = silence, .betweenBytes = silence};
}

void ProxyTask::send(ProxyRequest &request, const UpstreamInstance &to, const std::string &inputs, TimePoint now)
{
    request.at = to;
    request.sentAt = now;
    request.tried.insert(to.name);
    request.head = {};
    request.gathered.clear();
    request.events.dropPartial();
    UpstreamRequest sending{
        .id = request.order.id,
        .address = to.address,
        .method = request.exchange->method(),
        .target = request.exchange->target(),
        .headers = headersFor(request, to, now),
        .body = request.exchange->body(),
        .host = request.exchange->header("Host"),
        .idHeader = m_options.headers.requestId,
        .mayEndWithConnection = true,
    };
    request.call = std::make_unique<UpstreamCall>(m_loop, std::move(sending), timeoutsFor(request, now));
    request.attempts.sent();
    logChange("proxy",
              "sent",
              {{"id", request.order.id.value},
               {"upstream", to.name.value},
               {"version", to.version.value},
               {"waited_ms", std::to_string(wholeMilliseconds(now - request.order.arrived))},
               {"rank", std::to_string(request.order.rank.value)},
               {"inputs", inputs}});
    m_versions[{request.order.service.value, to.version.value}].sent += 1;
    const LocalRequestId local = request.local;
    request.call->head().connect([this, local](const AnswerHead &head) { takeHead(local, head); });
    request.call->data().connect([this, local](std::string_view bytes) { takeData(local, bytes); });
    request.call->finished().connect([this, local] { takeEnd(local); });
    request.call->failed().connect([this, local](CallFailure failure) { takeFailure(local, failure); });
    request.call->start();
}

/// Gives the place back, or stops waiting for one. The call's signals may be under way, so it is cancelled here and destroyed from the loop.
void ProxyTask::endCall(ProxyRequest &request, v1::PlacementOutcome outcome, const AnswerPace &pace)
{
    if (m_places.erase(request.place) > 0) {
        m_placement->ended(request.place, outcome, pace);
    }
    if (request.call) {
        request.call->cancel();
        m_loop.releaseLater(std::shared_ptr<UpstreamCall>(std::move(request.call)));
    }
}

bool ProxyTask::saysNotRun(const AnswerHead &head) const
{
    return head.status == StatusMisdirected || headerOf(head, m_options.headers.notRun);
}

/// An answer without the request's id, or a success without proof of its maker, belongs to somebody else or was made on the way: passed
/// on, a caller would take it for its own.
bool ProxyTask::isOwnAnswer(const ProxyRequest &request, const AnswerHead &head) const
{
    const std::string *echoed = headerOf(head, m_options.headers.requestId);
    const bool success = head.status >= FirstSuccess && head.status < FirstRedirect;
    if (success && (!headerOf(head, m_options.headers.answerProof) || headerOf(head, "content-encoding"))) {
        return false;
    }
    return echoed && *echoed == request.order.id.value;
}

void ProxyTask::takeHead(LocalRequestId local, const AnswerHead &head)
{
    ProxyRequest *request = find(local);
    if (!request) {
        return;
    }
    const TimePoint now = EventLoop::now();
    request->head = head;
    if (saysNotRun(head)) {
        attemptEnded(*request, AttemptEnd::RefusedUnrun, head.status == StatusMisdirected ? v1::PLACEMENT_MISDIRECTED : v1::PLACEMENT_REFUSED);
        return;
    }
    if (!isOwnAnswer(*request, head)) {
        logWarning("proxy", "foreign-answer", {{"id", request->order.id.value}, {"upstream", request->at.name.value}, {"status", std::to_string(head.status)}});
        count(*request, false);
        attemptEnded(*request, AttemptEnd::Lost, v1::PLACEMENT_FAILED);
        return;
    }
    VersionCount &counts = m_versions[{request->order.service.value, request->at.version.value}];
    counts.headMs += static_cast<std::uint64_t>(wholeMilliseconds(now - request->sentAt));
    counts.heads += 1;
    const bool success = head.status >= FirstSuccess && head.status < FirstRedirect;
    if (request->headPassedOn && !success) {
        // The stream can't be gone on with, and the caller has the first upstream's head already.
        attemptEnded(*request, AttemptEnd::Lost, v1::PLACEMENT_CANCELLED);
        return;
    }
    if (success && request->isStream() && !request->headPassedOn) {
        passHeadOn(*request);
    }
}

void ProxyTask::takeData(LocalRequestId local, std::string_view bytes)
{
    ProxyRequest *request = find(local);
    if (!request) {
        return;
    }
    const TimePoint now = EventLoop::now();
    if (!request->headPassedOn) {
        request->gathered += bytes;
        if (request->gathered.size() > MostGatheredBytes) {
            passHeadOn(*request);
            request->exchange->streamData(request->gathered);
            request->gathered.clear();
        }
        return;
    }
    noteEvents(*request, now);
    if (request->isResumable()) {
        request->exchange->streamData(request->events.feed(bytes));
    } else {
        request->exchange->streamData(bytes);
    }
    if (request->exchange->unreadBytes() > MostUnreadBytes) {
        request->call->setPaused(true);
    }
}

void ProxyTask::noteEvents(ProxyRequest &request, TimePoint now)
{
    if (request.eventBatches == 0) {
        request.firstEventAt = now;
        m_placement->recordFirstEvent(request.place, now - request.sentAt);
    } else {
        request.longestPause = std::max(request.longestPause, now - request.lastEventAt);
    }
    request.lastEventAt = now;
    ++request.eventBatches;
    if (request.eventBatches == EventsToTellPace && request.paceWanted) {
        m_placement->recordEarlyPace(request.place, paceOf(request, now).meanMs);
    }
}

void ProxyTask::takeEnd(LocalRequestId local)
{
    ProxyRequest *request = find(local);
    if (!request) {
        return;
    }
    const TimePoint now = EventLoop::now();
    const bool failed = request->head.status >= FirstServerError;
    if (failed && !request->headPassedOn) {
        count(*request, false);
        attemptEnded(*request, AttemptEnd::RanAndFailed, v1::PLACEMENT_FAILED);
        return;
    }
    if (request->events.hasPartial()) {
        // The upstream ended in order in the middle of an event: it is not whole.
        takeFailure(local, CallFailure::Lost);
        return;
    }
    count(*request, true);
    endCall(*request, v1::PLACEMENT_SERVED, paceOf(*request, now));
    if (request->headPassedOn) {
        request->exchange->endStream();
    } else {
        passWholeAnswerOn(*request);
    }
    finish(*request, "answered", std::to_string(request->head.status));
}

void ProxyTask::takeFailure(LocalRequestId local, CallFailure failure)
{
    ProxyRequest *request = find(local);
    if (!request) {
        return;
    }
    if (failure == CallFailure::NotSent) {
        attemptEnded(*request, AttemptEnd::NotSent, v1::PLACEMENT_FAILED);
        return;
    }
    count(*request, false);
    attemptEnded(*request, AttemptEnd::Lost, v1::PLACEMENT_FAILED);
}

void ProxyTask::attemptEnded(ProxyRequest &request, AttemptEnd end, v1::PlacementOutcome outcome)
{
    endCall(request, outcome);
    request.eventBatches = 0;
    request.longestPause = {};
    const NextStep next = request.attempts.ended(end);
    retryOrEnd(request, end, next);
}

void ProxyTask::retryOrEnd(ProxyRequest &request, AttemptEnd end, NextStep step)
{
    const TimePoint now = EventLoop::now();
    if (step == NextStep::TryAnother) {
        const bool free = end == AttemptEnd::NotSent;
        if (now < request.order.deadline && (free || m_retries[request.order.service].trySpend())) {
            logChange("proxy",
                      "tried-again",
                      {{"id", request.order.id.value}, {"after", request.at.name.value}, {"sent", std::to_string(request.attempts.sentCount())}});
            askForPlace(request);
            return;
        }
        step = request.attempts.afterLast(end);
    }
    if (request.headPassedOn) {
        answerFailure(request, ErrorKind::OutcomeUnknown, "the stream broke off");
    } else if (step == NextStep::RefuseUnrun) {
        answerRefusal(request, ErrorKind::Unavailable, "the upstreams are full or out of reach", RetryAfterRefusal);
    } else if (step == NextStep::PassFailureOn) {
        passWholeAnswerOn(request);
        finish(request, "upstream-failed", std::to_string(request.head.status));
    } else {
        answerFailure(request, ErrorKind::OutcomeUnknown, "the upstream's answer was lost");
    }
}

void ProxyTask::addAnswerHeaders(ProxyRequest &request)
{
    for (const auto &[name, value] : request.head.headers) {
        if (!isHopHeader(name) && lowered(name) != "content-type") {
            request.exchange->addHeader(name, value);
        }
    }
    if (m_drain) {
        request.exchange->addHeader("Connection", "close");
    }
}

void ProxyTask::passHeadOn(ProxyRequest &request)
{
    request.headPassedOn = true;
    addAnswerHeaders(request);
    const LocalRequestId local = request.local;
    request.exchange->drained().connect([this, local] {
        ProxyRequest *drained = find(local);
        if (drained && drained->call) {
            drained->call->setPaused(false);
        }
    });
    request.exchange->startStream(request.head.status, request.head.contentType);
}

void ProxyTask::passWholeAnswerOn(ProxyRequest &request)
{
    addAnswerHeaders(request);
    request.exchange->reply(request.head.status, request.head.contentType, request.gathered);
}

void ProxyTask::answerRefusal(ProxyRequest &request, ErrorKind kind, const std::string &why, Duration retryAfter, const std::string &inputs)
{
    Exchange &exchange = *request.exchange;
    if (m_drain) {
        exchange.addHeader("Connection", "close");
    }
    exchange.addHeader(m_options.headers.requestId, request.order.id.value);
    exchange.addHeader("Retry-After", std::to_string(std::chrono::duration<double>(retryAfter).count()));
    exchange.reply(httpStatus(kind), "application/json", errorJson(Error{kind, why + ": try again after Retry-After"}, RunOutcome::NotRun) + "\n");
    finish(request, "refused", why, inputs);
}

void ProxyTask::answerFailure(ProxyRequest &request, ErrorKind kind, const std::string &why)
{
    if (request.headPassedOn) {
        m_aborting.push_back(request.exchange);
    } else {
        if (m_drain) {
            request.exchange->addHeader("Connection", "close");
        }
        request.exchange->addHeader(m_options.headers.requestId, request.order.id.value);
        request.exchange->reply(httpStatus(kind), "application/json", errorJson(Error{kind, why + ": it may have run"}, RunOutcome::Unknown) + "\n");
    }
    finish(request, "failed", why);
}

void ProxyTask::callerLeft(LocalRequestId local)
{
    ProxyRequest *request = find(local);
    if (!request) {
        return;
    }
    m_aborting.push_back(request->exchange);
    finish(*request, "caller-left", "");
}

void ProxyTask::timedOut(LocalRequestId local)
{
    ProxyRequest *request = find(local);
    if (!request) {
        return;
    }
    if (!request->attempts.mayHaveRun()) {
        answerRefusal(*request, ErrorKind::Unavailable, "its time was over before an upstream had room", RetryAfterRefusal);
        return;
    }
    if (request->call) {
        count(*request, false);
    }
    answerFailure(*request, ErrorKind::DeadlinePassed, "its time is over");
}

}
