#include "entry/upstreamattempt.h"

#include "entry/headers.h"

#include <algorithm>

#include <strings.h>

namespace cumindyke
{

namespace
{

/// A caller with more unread bytes than this makes us stop reading from its upstream, so that memory is bounded.
constexpr std::size_t MaxUnreadBytes = 256 << 10;
constexpr std::size_t MaxFailureBodyBytes = 16 << 10;

/// A model's silence is cheap to check, by a new connection that continues the stream: so it is checked early.
constexpr ProgressTimeouts ModelTimeouts{.connect = std::chrono::seconds(1), .firstByte = std::chrono::seconds(5), .betweenBytes = std::chrono::seconds(2)};
constexpr ProgressTimeouts ResumeTimeouts{.connect = std::chrono::seconds(1), .firstByte = std::chrono::seconds(1), .betweenBytes = std::chrono::seconds(2)};
/// A plain call can't be resumed, and the end of the wait is the end of what can be known of it: so the wait is long.
constexpr ProgressTimeouts PlainTimeouts{.connect = std::chrono::seconds(1), .firstByte = std::chrono::seconds(30), .betweenBytes = std::chrono::seconds(10)};

/// Resumes that fail one after the other before the answer is called lost: with doubling pauses, 3 s and the connections' own time.
constexpr int MaxFailedResumes = 6;
constexpr Duration FirstResumePause = std::chrono::milliseconds(50);
/// A stream that can be resumed but yields nothing for this long, and past its deadline, is lost.
constexpr Duration StallLimit = std::chrono::seconds(30);

bool refusedUnrun(const AnswerHead &head)
{
    return std::ranges::any_of(head.headers, [](const auto &header) { return strcasecmp(header.first.c_str(), headers::UpstreamNotRun) == 0; });
}

UpstreamRequest upstreamRequest(const CallerRequest &request, const Address &address)
{
    UpstreamRequest call{
        .id = request.id,
        .address = address,
        .method = request.method,
        .target = request.target,
        .headers = {},
        .body = request.body,
    };
    if (!request.contentType.empty()) {
        call.headers.emplace_back("Content-Type", request.contentType);
    }
    return call;
}

}

RunCounters::RunCounters(Metrics &metrics)
    : resumes(metrics.counter("cumindyke_stream_resumes_total", "New connections made to continue a stream"))
    , wrongAnswers(metrics.counter("cumindyke_wrong_answers_total", "Answers dropped because they carried another request's id"))
    , duplicateEvents(metrics.counter("cumindyke_duplicate_events_total", "Events of resumed streams that were dropped as already handed on"))
    , cancels(metrics.counter("cumindyke_stream_cancels_total", "Streams cancelled at the upstream because the caller left"))
    , pauses(metrics.counter("cumindyke_paused_streams_total", "Times an upstream was not read because its caller reads slowly"))
{
}

UpstreamRun::UpstreamRun(EventLoop &loop, const CallerRequest &request, const Upstream &upstream, std::shared_ptr<Exchange> exchange, RunCounters &counters)
    : m_loop(loop)
    , m_request(request)
    , m_address(upstream.address)
    , m_exchange(std::move(exchange))
    , m_counters(counters)
    , m_answering(makeAnswering(request, m_exchange))
    , m_stream(streamOf(m_answering))
    , m_call(std::make_unique<UpstreamCall>(loop, upstreamRequest(request, m_address), m_stream ? ModelTimeouts : PlainTimeouts))
    , m_resumeTimer(loop, [this] { resumeNow(); })
    , m_progressAt(request.arrival)
{
    m_callerRead = m_exchange->drained().connect([this] { m_call->setPaused(false); });
    connectCall();
}

UpstreamRun::~UpstreamRun()
{
    m_callerRead.disconnect();
}

void UpstreamRun::connectCall()
{
    m_call->head().connect(sigc::mem_fun(*this, &UpstreamRun::headCame));
    m_call->data().connect(sigc::mem_fun(*this, &UpstreamRun::dataCame));
    m_call->finished().connect(sigc::mem_fun(*this, &UpstreamRun::callFinished));
    m_call->failed().connect(sigc::mem_fun(*this, &UpstreamRun::callFailed));
}

void UpstreamRun::start()
{
    m_progressAt = EventLoop::now();
    m_call->start();
}

bool UpstreamRun::cancel()
{
    const bool mayStillRun = !m_over && m_stream;
    m_over = true;
    m_resumeTimer.stop();
    m_call->cancel();
    return mayStillRun;
}

/// A plain service's error is its answer; a model's is not.
bool UpstreamRun::isAnswer() const
{
    return m_head.status < 400 || !m_stream;
}

void UpstreamRun::headCame(const AnswerHead &head)
{
    m_head = head;
    if (!isAnswer() || refusedUnrun(head) || m_answerBegan) {
        return;
    }
    m_answerBegan = true;
    m_began.emit();
    std::visit([&head](auto &sink) { sink.head(head); }, m_answering);
}

void UpstreamRun::dataCame(std::string_view bytes)
{
    if (!isAnswer()) {
        m_failureBody += bytes.substr(0, MaxFailureBodyBytes - std::min(MaxFailureBodyBytes, m_failureBody.size()));
        return;
    }
    const std::uint64_t before = m_stream ? m_stream->offset() : 0;
    std::visit([bytes](auto &sink) { sink.data(bytes); }, m_answering);
    if (m_stream && m_stream->offset() > before) {
        m_progressAt = EventLoop::now();
        m_failedResumes = 0;
        m_tokensCame.emit(m_stream->offset());
    }
    if (m_stream && m_stream->broken()) {
        m_call->cancel();
        resumeLater();
        return;
    }
    if (m_exchange->unreadBytes() > MaxUnreadBytes) {
        m_counters.pauses.add();
        m_call->setPaused(true);
    }
}

void UpstreamRun::callFinished()
{
    if (!m_resuming && refusedUnrun(m_head)) {
        end(RunResult::Kind::NotRun);
    } else if (!isAnswer()) {
        end(m_resuming ? RunResult::Kind::Lost : RunResult::Kind::Failed);
    } else if (std::visit([](auto &sink) { return sink.finish(); }, m_answering)) {
        end(RunResult::Kind::Whole);
    } else {
        callFailed(CallFailure::Lost);
    }
}

void UpstreamRun::callFailed(CallFailure failure)
{
    if (failure == CallFailure::NotSent && !m_resuming) {
        end(RunResult::Kind::NotRun);
        return;
    }
    if (failure == CallFailure::WrongAnswer) {
        m_counters.wrongAnswers.add();
    }
    resumeLater();
}

bool UpstreamRun::mayResume(TimePoint now) const
{
    const bool stalled = now > m_request.deadline && now - m_progressAt > StallLimit;
    return m_stream && m_failedResumes < MaxFailedResumes && !stalled;
}

void UpstreamRun::resumeLater()
{
    if (!mayResume(EventLoop::now())) {
        end(RunResult::Kind::Lost);
        return;
    }
    m_resumeTimer.startOnce(m_failedResumes == 0 ? Duration::zero() : FirstResumePause * (1 << m_failedResumes));
    ++m_failedResumes;
}

void UpstreamRun::resumeNow()
{
    m_counters.resumes.add();
    m_resuming = true;
    m_stream->reconnected();
    m_failureBody.clear();
    m_head = {};
    m_call = std::make_unique<UpstreamCall>(m_loop,
                                            UpstreamRequest{
                                                .id = m_request.id,
                                                .address = m_address,
                                                .method = "GET",
                                                .target = "/v1/streams/" + m_request.id.value + "?offset=" + std::to_string(m_stream->offset()),
                                                .headers = {},
                                                .body = {},
                                            },
                                            ResumeTimeouts);
    connectCall();
    m_call->start();
}

void UpstreamRun::end(RunResult::Kind kind)
{
    if (m_over) {
        return;
    }
    // A lost stream may still run at the upstream: cancel() must tell so.
    m_over = kind != RunResult::Kind::Lost;
    if (m_stream) {
        m_counters.duplicateEvents.add(static_cast<double>(m_stream->duplicates()));
    }
    m_ended.emit(RunResult{.kind = kind, .status = m_head.status, .failureBody = m_failureBody});
}

}
