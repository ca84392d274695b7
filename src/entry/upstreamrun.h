#pragma once

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

/// One dispatch of a request to one upstream, from the first byte out to the last byte back. Used in the entry task's loop.
///
/// Exactly one ended() comes, and nothing after it or after cancel().
class UpstreamRun
{
public:
    UpstreamRun(EventLoop &loop, const CallerRequest &request, const Upstream &upstream, std::shared_ptr<Exchange> exchange);
    ~UpstreamRun();
    UpstreamRun(const UpstreamRun &) = delete;
    UpstreamRun &operator=(const UpstreamRun &) = delete;

    void start();
    /// The caller needs no answer any more.
    void cancel();

    /// The first part of an answer came.
    sigc::signal<void> &began()
    {
        return m_began;
    }
    sigc::signal<void, const RunResult &> &ended()
    {
        return m_ended;
    }

private:
    void headCame(const AnswerHead &head);
    void dataCame(std::string_view bytes);
    void callFinished();
    void callFailed(CallFailure failure);
    bool isAnswer() const;

    const CallerRequest &m_request;
    const std::shared_ptr<Exchange> m_exchange;
    Answering m_answering;
    UpstreamCall m_call;
    AnswerHead m_head;
    std::string m_failureBody;
    sigc::signal<void> m_began;
    sigc::signal<void, const RunResult &> m_ended;
    sigc::connection m_callerRead;
};

}
