#pragma once

#include "common/metrics.h"
#include "domain/declarations.h"
#include "entry/answers.h"
#include "entry/callerrequest.h"
#include "upstream/upstreamcall.h"

#include <memory>
#include <optional>
#include <string>

namespace cumindyke
{

/// How one dispatch ended.
struct RunResult
{
    enum class Kind {
        Whole, ///< the caller has the whole answer
        NotRun, ///< proved: no byte was sent, or the upstream refused it unrun
        Failed, ///< the upstream ran it and answered with an error
        Lost, ///< no whole answer can be had; what ran is unknown
    };
    Kind kind = Kind::Lost;
    /// The upstream's status, 0 when there was none.
    int status = 0;
    /// The beginning of the upstream's error, for the caller.
    std::string failureBody;
};

/// What all runs of a VM count.
struct RunCounters
{
    explicit RunCounters(Metrics &metrics);

    Counter resumes;
    Counter wrongAnswers;
    Counter duplicateEvents;
    Counter cancels;
    Counter pauses;
};

/// One dispatch of a request to one upstream, from the first byte out to the last byte back. Used in the entry task's loop.
///
/// Failure guarded against: a connection that ends or goes silent in the middle of an answer, seen by callers as half an answer or as
/// a wait without end. A model's stream is continued by id and offset on a new connection and never dispatched again: the engine holds
/// the stream under the request's id, so that the new connection is at the same time the probe of whether the upstream lives.
///
/// Exactly one ended() comes, and nothing after it or after cancel().
class UpstreamRun
{
public:
    UpstreamRun(EventLoop &loop, const CallerRequest &request, const Upstream &upstream, std::shared_ptr<Exchange> exchange, RunCounters &counters);
    ~UpstreamRun();
    UpstreamRun(const UpstreamRun &) = delete;
    UpstreamRun &operator=(const UpstreamRun &) = delete;

    void start();
    /// The caller needs no answer any more. True when the upstream may still be at work on a stream: cancel it there too.
    bool cancel();
    const Address &address() const
    {
        return m_address;
    }

    /// The first part of an answer came.
    sigc::signal<void> &began()
    {
        return m_began;
    }
    /// More tokens of a model's answer came: how many in all.
    sigc::signal<void, std::uint64_t> &tokensCame()
    {
        return m_tokensCame;
    }
    sigc::signal<void, const RunResult &> &ended()
    {
        return m_ended;
    }

private:
    void connectCall();
    void headCame(const AnswerHead &head);
    void dataCame(std::string_view bytes);
    void callFinished();
    void callFailed(CallFailure failure);
    void resumeLater();
    void resumeNow();
    bool mayResume(TimePoint now) const;
    bool isAnswer() const;
    void end(RunResult::Kind kind);

    EventLoop &m_loop;
    const CallerRequest &m_request;
    const Address m_address;
    const std::shared_ptr<Exchange> m_exchange;
    RunCounters &m_counters;
    Answering m_answering;
    /// The model's stream inside m_answering; null for a plain call, which can't be resumed.
    ResumableStream *m_stream;
    std::unique_ptr<UpstreamCall> m_call;
    Timer m_resumeTimer;
    AnswerHead m_head;
    std::string m_failureBody;
    TimePoint m_progressAt;
    int m_failedResumes = 0;
    bool m_resuming = false;
    bool m_answerBegan = false;
    bool m_over = false;
    sigc::signal<void> m_began;
    sigc::signal<void, std::uint64_t> m_tokensCame;
    sigc::signal<void, const RunResult &> m_ended;
    sigc::connection m_callerRead;
};

}
