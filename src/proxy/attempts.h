#pragma once

#include "routing.pb.h"

#include <cstdint>

namespace cumindyke
{

/// How a sending to an upstream ended without an answer for the caller.
enum class AttemptEnd {
    NotSent, ///< no byte of it left this process
    RefusedNotRun, ///< the upstream says that it did not run it
    RanAndFailed, ///< the upstream ran it and answered with a failure
    Lost, ///< no whole answer came: it may have run
};

/// What may happen to a request next.
enum class NextStep {
    Retry, ///< send it to another upstream, if the retry budget allows
    RefuseNotRun, ///< tell the caller that it has not run: proved
    ForwardFailure, ///< the caller gets the upstream's own failure
    FailUnknownOutcome, ///< the caller gets a failure that promises nothing
};

/// The record of all sendings of one request, in one place on the entry VM that took it.
///
/// Failure guarded against: a second sending that races a slow first one, seen by callers as a deposit charged twice, or a refusal that
/// says "not run" of a request that ran. Only this object allows a sending, it allows another one of a request that must not be
/// repeated only after proof that none before it ran, and it alone says whether "not run" is true.
class Attempts
{
public:
    Attempts(v1::RouteKind kind, std::uint32_t maxAttempts)
        : m_kind(kind)
        , m_maxAttempts(maxAttempts == 0 ? 1 : maxAttempts)
    {
    }

    /// A sending begins. Not to be called while one is under way or when mayHaveRun() forbids it.
    void recordStart()
    {
        m_inFlight = true;
        ++m_attemptCount;
    }
    /// The sending under way ended without an answer for the caller.
    NextStep recordEnd(AttemptEnd end)
    {
        m_inFlight = false;
        if (end == AttemptEnd::NotSent) {
            // It reached no upstream, so it counts as none.
            --m_attemptCount;
            ++m_unreachableCount;
            return m_unreachableCount < MaxUnreachable ? NextStep::Retry : finalStep(end);
        }
        m_mayHaveRun = m_mayHaveRun || end != AttemptEnd::RefusedNotRun;
        const bool repeatable = m_kind == v1::IDEMPOTENT || m_kind == v1::RESUMABLE_STREAMING;
        const bool allowed = !m_mayHaveRun || repeatable;
        return allowed && m_attemptCount < m_maxAttempts ? NextStep::Retry : finalStep(end);
    }
    /// The request is not tried again, although another sending was allowed.
    NextStep finalStep(AttemptEnd end) const
    {
        if (!m_mayHaveRun) {
            return NextStep::RefuseNotRun;
        }
        return end == AttemptEnd::RanAndFailed ? NextStep::ForwardFailure : NextStep::FailUnknownOutcome;
    }
    /// Whether "not run" would be a guess.
    bool mayHaveRun() const
    {
        return m_mayHaveRun || m_inFlight;
    }
    std::uint32_t attemptCount() const
    {
        return m_attemptCount;
    }

private:
    /// Unreachable upstreams that a request is tried at: after these the list is plainly out of date.
    static constexpr int MaxUnreachable = 3;

    v1::RouteKind m_kind;
    std::uint32_t m_maxAttempts;
    std::uint32_t m_attemptCount = 0;
    int m_unreachableCount = 0;
    bool m_inFlight = false;
    bool m_mayHaveRun = false;
};

}
