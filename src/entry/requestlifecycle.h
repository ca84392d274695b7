#pragma once

#include "common/types.h"

#include <optional>

namespace cumindyke
{

/// Whether a request ran, as reported to its caller.
enum class RunOutcome {
    NotRun, ///< no upstream has started it, and none will
    Unknown, ///< an upstream may have run it, partly or completely
    Ran, ///< an upstream ran it and started to answer
};

const char *toString(RunOutcome outcome);

/// State machine of one request's dispatches: at most one attempt may run.
///
/// Guards against a retry that races a slow first attempt, which callers would see as a payment charged twice. Every dispatch needs the
/// permission of this object. It permits another one only after the last attempt is proved not to have run: the request never left this
/// process, or the upstream refused it without running it. "Not run" is reported on the same evidence only.
class RequestLifecycle
{
public:
    /// Marks the request as dispatched to the upstream. Returns false when it must not be dispatched now.
    bool dispatch(const UpstreamName &upstream);
    /// Records proof that the last attempt did not run: no byte was sent, or the upstream refused it without running it.
    void markNotRun();
    /// Records that the first part of an answer was received.
    void markAnswerStarted();
    void markEnded();

    bool isDispatched() const
    {
        return m_state == State::Dispatched || m_state == State::Answering;
    }
    bool hasEnded() const
    {
        return m_state == State::Ended;
    }
    const std::optional<UpstreamName> &upstream() const
    {
        return m_upstream;
    }
    /// Number of attempts proved not to have run.
    int notRunDispatches() const
    {
        return m_notRunDispatches;
    }
    /// Returns the outcome to report when the request is abandoned now.
    RunOutcome outcomeIfAbandoned() const;

private:
    enum class State { Waiting, Dispatched, Answering, Ended };

    State m_state = State::Waiting;
    std::optional<UpstreamName> m_upstream;
    int m_notRunDispatches = 0;
    bool m_answerStarted = false;
};

}
