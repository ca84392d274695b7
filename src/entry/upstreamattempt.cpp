#include "entry/upstreamattempt.h"

#include "common/log.h"
#include "entry/headers.h"
#include "upstream/answersignals.h"

#include <algorithm>

#include <strings.h>

namespace cumindyke
{

namespace
{

/// Reading from the upstream pauses while more bytes than this wait for a slow caller, to bound memory.
constexpr std::size_t MaxUnreadBytes = 256 << 10;
constexpr std::size_t MaxFailureBodyBytes = 16 << 10;

/// A stalled model is cheap to probe, with a new connection that resumes the stream, so these timeouts are short.
constexpr ProgressTimeouts ModelTimeouts{.connect = std::chrono::seconds(1), .firstByte = std::chrono::seconds(5), .betweenBytes = std::chrono::seconds(2)};
constexpr ProgressTimeouts ResumeTimeouts{.connect = std::chrono::seconds(1), .firstByte = std::chrono::seconds(1), .betweenBytes = std::chrono::seconds(2)};
/// A plain call can't be resumed, and its outcome is unknown after a timeout, so these timeouts are long.
constexpr ProgressTimeouts PlainTimeouts{.connect = std::chrono::seconds(1), .firstByte = std::chrono::seconds(30), .betweenBytes = std::chrono::seconds(10)};

/// Consecutive failed resumes after which the answer is lost: with doubling delays 3 s, plus the connections' own time.
constexpr int MaxFailedResumes = 6;
constexpr Duration InitialResumeDelay = std::chrono::milliseconds(50);
/// A resumable stream without progress for this long is lost once its deadline has passed.
constexpr Duration StallTimeout = std::chrono::seconds(30);
/// Other paths that are tried for one attempt.
constexpr int MaxReopenedCalls = 4;

bool isRefusal(const AnswerHead &head)
{
    return std::ranges::any_of(head.headers, [](const auto &header) { return strcasecmp(header.first.c_str(), headers::UpstreamNotRun) == 0; });
}

/// An answer that does not name the request, and only it, may be another one's.
bool namesOnly(const RequestId &id, const AnswerHead &head)
{
    const auto isName = [](const auto &header) { return strcasecmp(header.first.c_str(), headers::UpstreamRequestId) == 0; };
    return std::ranges::any_of(head.headers, isName)
        && std::ranges::all_of(head.headers, [&](const auto &header) { return !isName(header) || header.second == id.value; });
}

UpstreamRequest makeUpstreamRequest(const CallerRequest &request, const Address &address)
{
    UpstreamRequest call{
        .id = request.id,
        .address = address,
        .method = request.method,
        .target = request.target,
        .headers = {},
        .body = request.body,
        .idHeader = headers::UpstreamRequestId,
    };
    if (!request.contentType.empty()) {
        call.headers.emplace_back("Content-Type", request.contentType);
    }
    return call;
}

}

AttemptCounters::AttemptCounters(Metrics &metrics)
    : resumes(metrics.counter("cumindyke_stream_resumes_total", "New connections made to continue a stream"))
    , mismatchedAnswers(metrics.counter("cumindyke_wrong_answers_total", "Answers dropped because they carried another request's id"))
    , duplicateEvents(metrics.counter("cumindyke_duplicate_events_total", "Events of resumed streams that were dropped as already handed on"))
    , cancels(metrics.counter("cumindyke_stream_cancels_total", "Streams cancelled at the upstream because the caller left"))
    , pauses(metrics.counter("cumindyke_paused_streams_total", "Times an upstream was not read because its caller reads slowly"))
{
}

UpstreamAttempt::UpstreamAttempt(EventLoop &loop,
                                 const CallerRequest &request,
                                 const Upstream &upstream,
                                 std::shared_ptr<Exchange> exchange,
                                 UpstreamPaths &paths,
                                 AttemptCounters &counters)
    : m_loop(loop)
    , m_request(request)
    , m_address(upstream.address)
    , m_exchange(std::move(exchange))
    , m_paths(paths)
    , m_counters(counters)
    , m_sink(makeSink(request, m_exchange))
    , m_stream(resumableStreamOf(m_sink))
    , m_resumeTimer(loop, [this] { resume(); })
    , m_lastProgressAt(request.arrival)
{
    m_outputDrainedConnection = m_exchange->drained().connect([this] {
        if (m_call) {
            m_call->setPaused(false);
        }
    });
    m_pathLostConnection = m_paths.lost().connect(sigc::mem_fun(*this, &UpstreamAttempt::onPathLost));
}

UpstreamAttempt::~UpstreamAttempt()
{
    m_outputDrainedConnection.disconnect();
    m_pathLostConnection.disconnect();
}

UpstreamRequest UpstreamAttempt::makeCall() const
{
    if (!m_resuming) {
        return makeUpstreamRequest(m_request, m_address);
    }
    return UpstreamRequest{
        .id = m_request.id,
        .address = m_address,
        .method = "GET",
        .target = "/v1/streams/" + m_request.id.value + "?offset=" + std::to_string(m_stream->offset()),
        .headers = {},
        .body = {},
    };
}

/// Makes the call, or the one that continues its stream, on the path that is the best now.
void UpstreamAttempt::openCall()
{
    UpstreamRequest call = makeCall();
    // The end marker proves that a stream is whole; nothing proves it of a plain body that ends with its connection.
    call.allowsCloseDelimitedBody = m_stream != nullptr;
    m_relay = m_paths.chooseRelay(m_address, {});
    if (m_relay) {
        call.relay = m_paths.relayAddress(*m_relay);
    } else {
        call.address = m_paths.connectAddress(m_address);
    }
    const ProgressTimeouts &firstTimeouts = m_stream ? ModelTimeouts : PlainTimeouts;
    m_callStartedAt = EventLoop::now();
    m_isCallOpen = true;
    m_call = std::make_unique<UpstreamCall>(m_loop, std::move(call), m_resuming ? ResumeTimeouts : firstTimeouts);
    m_call->sent().connect(sigc::mem_fun(*this, &UpstreamAttempt::onSent));
    m_call->head().connect(sigc::mem_fun(*this, &UpstreamAttempt::onHead));
    m_call->data().connect(sigc::mem_fun(*this, &UpstreamAttempt::onData));
    m_call->finished().connect(sigc::mem_fun(*this, &UpstreamAttempt::onCallFinished));
    m_call->failed().connect(sigc::mem_fun(*this, &UpstreamAttempt::onCallFailed));
    m_call->start();
}

void UpstreamAttempt::onSent()
{
    if (!m_relay) {
        m_paths.recordConnected(m_address);
    }
}

void UpstreamAttempt::onPathLost()
{
    if (m_isCallOpen && !m_finished && !m_relay && !m_call->isSent() && m_paths.mayUseRelay(m_address, {})) {
        reopenCall();
    }
}

/// Makes the call anew, on another path. No byte of it has left this VM.
void UpstreamAttempt::reopenCall()
{
    ++m_reopenedCalls;
    m_call->cancel();
    // One of its signals may be running.
    m_loop.releaseLater(std::shared_ptr<UpstreamCall>(std::move(m_call)));
    openCall();
}

/// Returns whether the call that could not be sent is made anew.
bool UpstreamAttempt::goesOnByOtherPath(CallFailure failure)
{
    if (failure == CallFailure::RelayFailed) {
        logWarning("entry", "relay-failed", {{"id", m_request.id.value}, {"relay", m_relay->value}});
        m_paths.recordRelayFailure(*m_relay);
    } else if (failure == CallFailure::NotSent && !m_relay) {
        m_paths.recordConnectFailure(m_address, m_callStartedAt);
        if (!m_paths.mayUseRelay(m_address, {})) {
            return false;
        }
    } else {
        return false;
    }
    if (m_reopenedCalls >= MaxReopenedCalls) {
        return false;
    }
    reopenCall();
    return true;
}

void UpstreamAttempt::start()
{
    m_lastProgressAt = EventLoop::now();
    openCall();
}

bool UpstreamAttempt::cancel()
{
    const bool mayStillRun = !m_finished && m_stream;
    m_finished = true;
    m_resumeTimer.stop();
    if (m_call) {
        m_call->cancel();
    }
    return mayStillRun;
}

/// Whether the answer is passed to the caller: a plain service's error is, a model's is not.
bool UpstreamAttempt::isForwardable() const
{
    return m_head.status < 400 || !m_stream;
}

void UpstreamAttempt::onHead(const AnswerHead &head)
{
    m_head = head;
    m_headReceived.emit(head);
    if (!isForwardable() || isRefusal(head) || m_answerStarted) {
        return;
    }
    m_answerStarted = true;
    m_answerStartedSignal.emit();
    std::visit([&head](auto &sink) { sink.handleHead(head); }, m_sink);
}

void UpstreamAttempt::onData(std::string_view bytes)
{
    if (!isForwardable()) {
        m_failureBody += bytes.substr(0, MaxFailureBodyBytes - std::min(MaxFailureBodyBytes, m_failureBody.size()));
        return;
    }
    const std::uint64_t before = m_stream ? m_stream->offset() : 0;
    std::visit([bytes](auto &sink) { sink.handleData(bytes); }, m_sink);
    if (m_stream && m_stream->offset() > before) {
        m_lastProgressAt = EventLoop::now();
        m_failedResumes = 0;
        m_tokensReceived.emit(m_stream->offset());
    }
    if (m_stream && m_stream->isBroken()) {
        m_call->cancel();
        scheduleResume();
        return;
    }
    if (m_exchange->unreadBytes() > MaxUnreadBytes) {
        m_counters.pauses.add();
        m_call->setPaused(true);
    }
}

void UpstreamAttempt::onCallFinished()
{
    if (!m_resuming && isRefusal(m_head)) {
        end(namesOnly(m_request.id, m_head) ? AttemptResult::Kind::NotRun : AttemptResult::Kind::Lost);
    } else if (!isForwardable()) {
        end(m_resuming ? AttemptResult::Kind::Lost : AttemptResult::Kind::Failed);
    } else if (std::visit([](auto &sink) { return sink.finish(); }, m_sink)) {
        end(AttemptResult::Kind::Completed);
    } else {
        onCallFailed(CallFailure::Lost);
    }
}

void UpstreamAttempt::onCallFailed(CallFailure failure)
{
    m_isCallOpen = false;
    if (goesOnByOtherPath(failure)) {
        return;
    }
    const bool isUnsent = failure == CallFailure::NotSent || failure == CallFailure::RelayFailed;
    if (isUnsent && !m_resuming) {
        end(AttemptResult::Kind::NotRun);
        return;
    }
    if (failure == CallFailure::MismatchedId) {
        m_counters.mismatchedAnswers.add();
    }
    scheduleResume();
}

bool UpstreamAttempt::canResume(TimePoint now) const
{
    const bool stalled = now > m_request.deadline && now - m_lastProgressAt > StallTimeout;
    return m_stream && m_failedResumes < MaxFailedResumes && !stalled;
}

void UpstreamAttempt::scheduleResume()
{
    if (m_failedResumes == 0) {
        m_interrupted.emit();
    }
    if (!canResume(EventLoop::now())) {
        end(AttemptResult::Kind::Lost);
        return;
    }
    m_resumeTimer.startOnce(m_failedResumes == 0 ? Duration::zero() : InitialResumeDelay * (1 << m_failedResumes));
    ++m_failedResumes;
}

void UpstreamAttempt::resume()
{
    m_counters.resumes.add();
    m_resuming = true;
    m_stream->startConnection();
    m_failureBody.clear();
    m_head = {};
    openCall();
}

void UpstreamAttempt::end(AttemptResult::Kind kind)
{
    if (m_finished) {
        return;
    }
    // A lost stream may still run at the upstream, so cancel() must return true for it.
    m_finished = kind != AttemptResult::Kind::Lost;
    if (m_stream) {
        m_counters.duplicateEvents.add(static_cast<double>(m_stream->duplicateCount()));
    }
    const AnswerSignals signals = parseAnswerSignals(m_head, SignalHeaders{.pause = "Retry-After", .leaving = {}, .refusalLimit = {}});
    m_ended.emit(AttemptResult{.kind = kind, .status = m_head.status, .failureBody = m_failureBody, .pause = signals.pause.value_or(Duration::zero())});
}

}
