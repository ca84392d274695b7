#include "entry/upstreamrun.h"

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

bool refusedUnrun(const AnswerHead &head)
{
    return std::ranges::any_of(head.headers, [](const auto &header) { return strcasecmp(header.first.c_str(), headers::UpstreamNotRun) == 0; });
}

UpstreamRequest upstreamRequest(const CallerRequest &request, const Upstream &upstream)
{
    UpstreamRequest call{
        .id = request.id,
        .address = upstream.address,
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

UpstreamRun::UpstreamRun(EventLoop &loop, const CallerRequest &request, const Upstream &upstream, std::shared_ptr<Exchange> exchange)
    : m_request(request)
    , m_exchange(std::move(exchange))
    , m_answering(makeAnswering(request, m_exchange))
    , m_call(loop, upstreamRequest(request, upstream), ProgressTimeouts{})
{
    m_call.head().connect(sigc::mem_fun(*this, &UpstreamRun::headCame));
    m_call.data().connect(sigc::mem_fun(*this, &UpstreamRun::dataCame));
    m_call.finished().connect(sigc::mem_fun(*this, &UpstreamRun::callFinished));
    m_call.failed().connect(sigc::mem_fun(*this, &UpstreamRun::callFailed));
    m_callerRead = m_exchange->drained().connect([this] { m_call.setPaused(false); });
}

UpstreamRun::~UpstreamRun()
{
    m_callerRead.disconnect();
}

void UpstreamRun::start()
{
    m_call.start();
}

void UpstreamRun::cancel()
{
    m_call.cancel();
}

/// A plain service's error is its answer; a model's is not.
bool UpstreamRun::isAnswer() const
{
    return m_head.status < 400 || m_request.form == AnswerForm::Plain;
}

void UpstreamRun::headCame(const AnswerHead &head)
{
    m_head = head;
    if (isAnswer() && !refusedUnrun(head)) {
        m_began.emit();
        std::visit([&head](auto &sink) { sink.head(head); }, m_answering);
    }
}

void UpstreamRun::dataCame(std::string_view bytes)
{
    if (isAnswer()) {
        std::visit([bytes](auto &sink) { sink.data(bytes); }, m_answering);
    } else if (m_failureBody.size() < MaxFailureBodyBytes) {
        m_failureBody += bytes.substr(0, MaxFailureBodyBytes);
    }
    if (m_exchange->unreadBytes() > MaxUnreadBytes) {
        m_call.setPaused(true);
    }
}

void UpstreamRun::callFinished()
{
    if (refusedUnrun(m_head)) {
        m_ended.emit(RunResult{.kind = RunResult::Kind::NotRun, .status = m_head.status, .failureBody = {}});
    } else if (!isAnswer()) {
        m_ended.emit(RunResult{.kind = RunResult::Kind::Failed, .status = m_head.status, .failureBody = m_failureBody});
    } else if (std::visit([](auto &sink) { return sink.finish(); }, m_answering)) {
        m_ended.emit(RunResult{.kind = RunResult::Kind::Whole, .status = m_head.status, .failureBody = {}});
    } else {
        callFailed(CallFailure::Lost);
    }
}

void UpstreamRun::callFailed(CallFailure failure)
{
    const auto kind = failure == CallFailure::NotSent ? RunResult::Kind::NotRun : RunResult::Kind::Lost;
    m_ended.emit(RunResult{.kind = kind, .status = m_head.status, .failureBody = {}});
}

}
