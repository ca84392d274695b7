#include "proxy/attempts.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

// What the caller sees: a deposit is charged twice. Its upstream ran it and the answer was lost on the way; sent once more, it ran again.
TEST_CASE("a request that must not be repeated is given up once it may have run")
{
    const v1::RouteKind kind = GENERATE(v1::NON_IDEMPOTENT, v1::STREAMING);
    Attempts attempts(kind, 3);
    attempts.recordStart();
    CHECK(attempts.mayHaveRun());
    CHECK(attempts.recordEnd(AttemptEnd::Lost) == NextStep::FailUnknownOutcome);
    CHECK(attempts.mayHaveRun());
}

// What the caller sees: "not run, try again" of a deposit that did run, so it pays twice by doing as it was told. Of two upstreams the
// first lost its answer; the second refused, which says nothing about the first.
TEST_CASE("not run is said only when no sending may have run")
{
    Attempts attempts(v1::IDEMPOTENT, 2);
    attempts.recordStart();
    CHECK(attempts.recordEnd(AttemptEnd::Lost) == NextStep::Retry);
    attempts.recordStart();
    CHECK(attempts.recordEnd(AttemptEnd::RefusedNotRun) == NextStep::FailUnknownOutcome);
    CHECK(attempts.mayHaveRun());
}

TEST_CASE("a sending that was refused unrun may be tried elsewhere as often as the route allows")
{
    Attempts attempts(v1::NON_IDEMPOTENT, 2);
    attempts.recordStart();
    CHECK(attempts.recordEnd(AttemptEnd::RefusedNotRun) == NextStep::Retry);
    attempts.recordStart();
    CHECK(attempts.recordEnd(AttemptEnd::RefusedNotRun) == NextStep::RefuseNotRun);
    CHECK_FALSE(attempts.mayHaveRun());
}

TEST_CASE("an upstream's own failure is passed on when there is no further attempt")
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

// What the caller sees: a refusal although other upstreams were free. The one that was chosen had just gone; no byte of the request left this
// process, so it counts as no attempt.
TEST_CASE("an upstream that was never reached uses up no attempt but not without end")
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
