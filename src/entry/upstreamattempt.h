#pragma once

#include "common/metrics.h"
#include "domain/declarations.h"
#include "entry/answers.h"
#include "entry/callerrequest.h"
#include "relay/upstreampaths.h"
#include "upstream/upstreamcall.h"

#include <memory>
#include <optional>
#include <string>

namespace cumindyke
{

/// How an attempt ended.
struct AttemptResult
{
    enum class Kind {
        Completed, ///< the complete answer was passed to the caller
        NotRun, ///< proved: no byte was sent, or the upstream refused the request without running it
        Failed, ///< the upstream ran it and answered with an error
        Lost, ///< the answer is incomplete, and what ran is unknown
    };
    Kind kind = Kind::Lost;
    /// The upstream's HTTP status; 0: none.
    int status = 0;
    /// The beginning of the body of the upstream's error answer, for the caller.
    std::string failureBody;
    /// For how long the upstream asked for no further request; zero: it did not.
    Duration pause{};
};

/// Metrics shared by all attempts of a VM.
struct AttemptCounters
{
    explicit AttemptCounters(Metrics &metrics);

    Counter resumes;
    Counter mismatchedAnswers;
    Counter duplicateEvents;
    Counter cancels;
    Counter pauses;
};

/// One attempt: a request sent to one upstream, until the end of its answer. Used in the entry task's event loop.
///
/// Guards against a connection that closes or stalls during an answer, which callers would see as a truncated answer or an endless wait.
/// A model's stream is resumed by id and offset on a new connection, never dispatched again: the engine keeps the stream under the
/// request's id. The new connection also probes whether the upstream is alive. While this VM has no path to the upstream, its connections go through
/// another VM.
///
/// ended() is emitted exactly once unless cancel() is called; no signal follows either.
class UpstreamAttempt
{
public:
    UpstreamAttempt(EventLoop &loop,
                    const CallerRequest &request,
                    const Upstream &upstream,
                    std::shared_ptr<Exchange> exchange,
                    UpstreamPaths &paths,
                    AttemptCounters &counters);
    ~UpstreamAttempt();
    UpstreamAttempt(const UpstreamAttempt &) = delete;
    UpstreamAttempt &operator=(const UpstreamAttempt &) = delete;

    void start();
    /// Closes the connection, since the answer is no longer needed. Returns true when the upstream may still be generating a stream, which
    /// must then be cancelled there too.
    bool cancel();
    const Address &address() const
    {
        return m_address;
    }

    /// The first part of an answer was received.
    sigc::signal<void> &answerStarted()
    {
        return m_answerStartedSignal;
    }
    /// More tokens of a model's answer were received; the argument is the total.
    sigc::signal<void, std::uint64_t> &tokensReceived()
    {
        return m_tokensReceived;
    }
    /// The head of an answer that this upstream gave to this request was received.
    sigc::signal<void, const AnswerHead &> &headReceived()
    {
        return m_headReceived;
    }
    /// The connection failed before the end of the answer; the stream may be resumed.
    sigc::signal<void> &interrupted()
    {
        return m_interrupted;
    }
    sigc::signal<void, const AttemptResult &> &ended()
    {
        return m_ended;
    }

private:
    UpstreamRequest makeCall() const;
    void openCall();
    void onSent();
    void onPathLost();
    bool goesOnByOtherPath(CallFailure failure);
    void reopenCall();
    void onHead(const AnswerHead &head);
    void onData(std::string_view bytes);
    void onCallFinished();
    void onCallFailed(CallFailure failure);
    void scheduleResume();
    void resume();
    bool canResume(TimePoint now) const;
    bool isForwardable() const;
    void end(AttemptResult::Kind kind);

    EventLoop &m_loop;
    const CallerRequest &m_request;
    const Address m_address;
    const std::shared_ptr<Exchange> m_exchange;
    UpstreamPaths &m_paths;
    AttemptCounters &m_counters;
    AnySink m_sink;
    /// The stream in m_sink; null for a plain call, which can't be resumed.
    ResumableStream *m_stream;
    /// Null before start().
    std::unique_ptr<UpstreamCall> m_call;
    TimePoint m_callStartedAt{};
    /// The VM that opens the connection of the call.
    std::optional<VmName> m_relay;
    /// The call has not failed yet.
    bool m_isCallOpen = false;
    int m_reopenedCalls = 0;
    Timer m_resumeTimer;
    AnswerHead m_head;
    std::string m_failureBody;
    TimePoint m_lastProgressAt;
    int m_failedResumes = 0;
    bool m_resuming = false;
    bool m_answerStarted = false;
    bool m_finished = false;
    sigc::signal<void> m_answerStartedSignal;
    sigc::signal<void, std::uint64_t> m_tokensReceived;
    sigc::signal<void, const AnswerHead &> m_headReceived;
    sigc::signal<void> m_interrupted;
    sigc::signal<void, const AttemptResult &> m_ended;
    sigc::connection m_outputDrainedConnection;
    sigc::connection m_pathLostConnection;
};

}
