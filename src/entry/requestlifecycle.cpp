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

bool RequestLife::dispatch(const UpstreamName &upstream)
{
    if (m_state != State::Waiting) {
        return false;
    }
    m_state = State::Dispatched;
    m_upstream = upstream;
    return true;
}

void RequestLife::provedNotRun()
{
    if (m_state != State::Dispatched) {
        return;
    }
    m_state = State::Waiting;
    m_upstream.reset();
    ++m_failedDispatches;
}

void RequestLife::answerBegan()
{
    if (m_state == State::Dispatched) {
        m_state = State::Answering;
        m_answerBegan = true;
    }
}

void RequestLife::ended()
{
    m_state = State::Ended;
}

RunOutcome RequestLife::outcomeIfGivenUp() const
{
    if (m_answerBegan) {
        return RunOutcome::Ran;
    }
    return m_upstream ? RunOutcome::Unknown : RunOutcome::NotRun;
}

}
