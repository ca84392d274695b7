#pragma once

#include "common/types.h"

#include <optional>

namespace cumindyke
{

/// What a caller may be told about whether its request ran.
enum class RunOutcome {
    NotRun, ///< no upstream has begun it, and none will
    Unknown, ///< an upstream may have run it, in part or whole
    Ran, ///< an upstream ran it to an answer
};

const char *toString(RunOutcome outcome);

/// The record of one request's dispatch, kept in one place on its entry VM.
///
/// Failure guarded against: a retry that races a slow first try, seen by callers as a deposit charged twice. Only this object
/// allows a dispatch, it allows a second one only after the first was proved never to have left this process or to have been
/// refused unrun by the upstream, and it alone says whether "not run" is true. So no path can retry or claim "not run" on a guess.
class RequestLife
{
public:
    /// True when the request may go to the upstream now; then it counts as dispatched.
    bool dispatch(const UpstreamName &upstream);
    /// The last dispatch is proved not to have run: no byte of it was sent, or the upstream refused it unrun.
    void provedNotRun();
    /// The first part of an answer came.
    void answerBegan();
    void ended();

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
    /// How many dispatches were proved not to have run.
    int failedDispatches() const
    {
        return m_failedDispatches;
    }
    /// What is true to say when the request is given up now.
    RunOutcome outcomeIfGivenUp() const;

private:
    enum class State { Waiting, Dispatched, Answering, Ended };

    State m_state = State::Waiting;
    std::optional<UpstreamName> m_upstream;
    int m_failedDispatches = 0;
    bool m_answerBegan = false;
};

}
