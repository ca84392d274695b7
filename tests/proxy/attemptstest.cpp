#include "proxy/attempts.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

// Guards against a deposit that is charged twice: its upstream ran it, the answer was lost, and a second attempt ran it again.
TEST_CASE("a request that must not be repeated is not retried once it may have run")
{
    const v1::RouteKind kind = GENERATE(v1::NON_IDEMPOTENT, v1::STREAMING);
    Attempts attempts(kind, 3);
    attempts.recordStart();
    CHECK(attempts.mayHaveRun());
    CHECK(attempts.recordEnd(AttemptEnd::Lost) == NextStep::FailUnknownOutcome);
    CHECK(attempts.mayHaveRun());
}

// Guards against "not run, try again" for a deposit that did run, so that the caller pays twice. Of two upstreams the first one's answer was lost;
// the second refused the request, which proves nothing about the first.
TEST_CASE("not run is reported only when no attempt may have run")
{
    Attempts attempts(v1::IDEMPOTENT, 2);
    attempts.recordStart();
    CHECK(attempts.recordEnd(AttemptEnd::Lost) == NextStep::Retry);
    attempts.recordStart();
    CHECK(attempts.recordEnd(AttemptEnd::RefusedNotRun) == NextStep::FailUnknownOutcome);
    CHECK(attempts.mayHaveRun());
}

TEST_CASE("a request that was refused without running is retried as often as the route allows")
{
    Attempts attempts(v1::NON_IDEMPOTENT, 2);
    attempts.recordStart();
    CHECK(attempts.recordEnd(AttemptEnd::RefusedNotRun) == NextStep::Retry);
    attempts.recordStart();
    CHECK(attempts.recordEnd(AttemptEnd::RefusedNotRun) == NextStep::RefuseNotRun);
    CHECK_FALSE(attempts.mayHaveRun());
}

TEST_CASE("an upstream's own failure is forwarded when there is no further attempt")
{
    Attempts once(v1::NON_IDEMPOTENT, 1);
    once.recordStart();
    CHECK(once.recordEnd(AttemptEnd::RanAndFailed) == NextStep::ForwardFailure);
    Attempts twice(v1::IDEMPOTENT, 2);
    twice.recordStart();
    CHECK(twice.recordEnd(AttemptEnd::RanAndFailed) == NextStep::Retry);
    twice.recordStart();
    CHECK(twice.recordEnd(AttemptEnd::RanAndFailed) == NextStep::ForwardFailure);
}

// Guards against a refusal although other upstreams were free. The chosen upstream had just shut down; no byte of the request left this process, so
// it counts as no attempt.
TEST_CASE("an unreachable upstream uses up no attempt, up to a limit")
{
    Attempts attempts(v1::NON_IDEMPOTENT, 1);
    for (int unreachable = 0; unreachable < 2; ++unreachable) {
        attempts.recordStart();
        CHECK(attempts.recordEnd(AttemptEnd::NotSent) == NextStep::Retry);
    }
    attempts.recordStart();
    CHECK(attempts.recordEnd(AttemptEnd::NotSent) == NextStep::RefuseNotRun);
    CHECK(attempts.attemptCount() == 0);
}

// Guards against two runs joined in one answer, and against a run whose answer nobody can use: the caller has a part that nothing can continue.
TEST_CASE("a request is not retried when its caller has a part that can't be continued")
{
    Attempts attempts(v1::RESUMABLE_STREAMING, 3);
    attempts.recordStart();
    CHECK(attempts.recordEnd(AttemptEnd::Lost, true) == NextStep::Retry);
    attempts.recordStart();
    CHECK(attempts.recordEnd(AttemptEnd::NotSent, false) == NextStep::FailUnknownOutcome);
    attempts.recordStart();
    CHECK(attempts.recordEnd(AttemptEnd::Lost, false) == NextStep::FailUnknownOutcome);
}
