#include "entry/requestlifecycle.h"

namespace cumindyke
{

const char *toString(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::NotRun:
        return "not-run";
    case RunOutcome::Unknown:
        return "unknown";
    case RunOutcome::Ran:
        return "ran";
    }
    return "unknown";
}

bool RequestLifecycle::dispatch(const UpstreamName &upstream)
{
    if (m_state != State::Waiting) {
        return false;
    }
    m_state = State::Dispatched;
    m_upstream = upstream;
    return true;
}

void RequestLifecycle::markNotRun()
{
    if (m_state != State::Dispatched) {
        return;
    }
    m_state = State::Waiting;
    m_upstream.reset();
    ++m_notRunDispatches;
}

void RequestLifecycle::markAnswerStarted()
{
    if (m_state == State::Dispatched) {
        m_state = State::Answering;
        m_answerStarted = true;
    }
}

void RequestLifecycle::markEnded()
{
    m_state = State::Ended;
}

RunOutcome RequestLifecycle::outcomeIfAbandoned() const
{
    if (m_answerStarted) {
        return RunOutcome::Ran;
    }
    return m_upstream ? RunOutcome::Unknown : RunOutcome::NotRun;
}

}
