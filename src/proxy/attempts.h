#pragma once

#include "routing.pb.h"

#include <cstdint>

namespace cumindyke
{

/// How an attempt at an upstream ended without an answer for the caller.
enum class AttemptEnd {
    NotSent, ///< no byte of the request left this process
    RefusedNotRun, ///< the upstream reports that it did not run the request
    RanAndFailed, ///< the upstream ran the request and answered with a failure
    Lost, ///< no complete answer arrived: the request may have run
};

/// The next step for a request after an attempt has ended.
enum class NextStep {
    Retry, ///< send the request to another upstream, if the retry budget allows
    RefuseNotRun, ///< refuse the request: it is certain that it has not run
    ForwardFailure, ///< forward the upstream's failure to the caller
    FailUnknownOutcome, ///< fail the request without stating whether it has run
};

/// The record of all attempts of one request, kept in one place on the entry VM that received it.
///
/// Guards against a second attempt that races a slow first one, which callers see as a deposit charged twice, and against a refusal that says "not
/// run" of a request that ran. Only this object permits an attempt. It permits a further attempt of a request that must not be repeated only after
/// proof that no earlier attempt ran, and it alone decides whether "not run" is true.
class Attempts
{
public:
    Attempts(v1::RouteKind kind, std::uint32_t maxAttempts)
        : m_kind(kind)
        , m_maxAttempts(maxAttempts == 0 ? 1 : maxAttempts)
    {
    }

    /// Records the start of an attempt. Must not be called while another attempt is in flight or when mayHaveRun() forbids it.
    void recordStart()
    {
        m_inFlight = true;
        ++m_attemptCount;
    }
    /// Records the end of the current attempt without an answer for the caller, and returns the next step. "mayContinue": the caller has nothing of an
    /// answer yet, or has a part that another upstream's answer can continue.
    NextStep recordEnd(AttemptEnd end, bool mayContinue = true)
    {
        m_inFlight = false;
        if (end == AttemptEnd::NotSent) {
            // It reached no upstream, so it does not count as an attempt.
            --m_attemptCount;
            ++m_unreachableCount;
            return mayContinue && m_unreachableCount < MaxUnreachable ? NextStep::Retry : finalStep(end);
        }
        m_mayHaveRun = m_mayHaveRun || end != AttemptEnd::RefusedNotRun;
        const bool allowed = !m_mayHaveRun || isRepeatable();
        return allowed && mayContinue && m_attemptCount < m_maxAttempts ? NextStep::Retry : finalStep(end);
    }
    /// Takes back a start: not even a connection to the upstream was attempted.
    void retractStart()
    {
        m_inFlight = false;
        --m_attemptCount;
    }
    /// Returns the final step of a request that is not retried, even if a retry was permitted.
    NextStep finalStep(AttemptEnd end) const
    {
        if (!m_mayHaveRun) {
            return NextStep::RefuseNotRun;
        }
        return end == AttemptEnd::RanAndFailed ? NextStep::ForwardFailure : NextStep::FailUnknownOutcome;
    }
    /// Whether another attempt may follow although the request may have run.
    bool mayRepeat() const
    {
        return isRepeatable() && m_attemptCount < m_maxAttempts;
    }
    /// Whether the request may have run, so that "not run" would be a guess.
    bool mayHaveRun() const
    {
        return m_mayHaveRun || m_inFlight;
    }
    std::uint32_t attemptCount() const
    {
        return m_attemptCount;
    }

private:
    /// Unreachable upstreams that a request is sent to; after this many the list is evidently outdated.
    static constexpr int MaxUnreachable = 3;

    bool isRepeatable() const
    {
        return m_kind == v1::IDEMPOTENT || m_kind == v1::RESUMABLE_STREAMING;
    }

    v1::RouteKind m_kind;
    std::uint32_t m_maxAttempts;
    std::uint32_t m_attemptCount = 0;
    int m_unreachableCount = 0;
    bool m_inFlight = false;
    bool m_mayHaveRun = false;
};

}
