#include "control/crashledger.h"
#include "control/statemachine.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

constexpr std::uint64_t Culprit = 7;
constexpr std::uint32_t TrialMs = 5000;
constexpr WallTime Start{1'000'000};

WallTime after(std::int64_t ms)
{
    return WallTime{Start.value + ms};
}

v1::SuspectCommand crash(std::uint64_t fingerprint, std::uint64_t trial = 0)
{
    v1::SuspectCommand command;
    command.add_crashes()->set_fingerprint(fingerprint);
    command.mutable_crashes(0)->set_trial(trial);
    return command;
}

v1::SuspectCommand claim(std::uint64_t fingerprint, std::uint64_t trial)
{
    v1::SuspectCommand command;
    command.mutable_claim()->set_fingerprint(fingerprint);
    command.mutable_claim()->set_id(trial);
    command.mutable_claim()->set_length_ms(TrialMs);
    return command;
}

bool isGranted(CrashLedger &ledger, std::uint64_t fingerprint, std::uint64_t trial, WallTime now)
{
    return ledger.apply(claim(fingerprint, trial), now).outcome() == v1::CommandReply::ACCEPTED;
}

bool isSuspect(const CrashLedger &ledger, std::uint64_t fingerprint)
{
    const v1::SuspectTable table = ledger.table();
    return std::ranges::any_of(table.entries(), [=](const auto &entry) { return entry.fingerprint() == fingerprint; });
}

bool isRefused(const CrashLedger &ledger, std::uint64_t fingerprint)
{
    const v1::SuspectTable table = ledger.table();
    return std::ranges::any_of(table.entries(), [=](const auto &entry) { return entry.fingerprint() == fingerprint && entry.refused_until_ms() > 0; });
}

/// A first crash, and two more under trials.
void condemn(CrashLedger &ledger, std::uint64_t fingerprint, WallTime now)
{
    ledger.apply(crash(fingerprint), now);
    for (const std::uint64_t trial : {1, 2}) {
        REQUIRE(isGranted(ledger, fingerprint, trial, now));
        ledger.apply(crash(fingerprint, trial), now);
    }
}

}

// Guards against a request that ends one upstream after the other.
TEST_CASE("a request that ended an upstream and two more on trial is refused")
{
    CrashLedger ledger;
    ledger.apply(crash(Culprit), Start);
    CHECK(isSuspect(ledger, Culprit));
    CHECK(isGranted(ledger, Culprit, 1, Start));
    ledger.apply(crash(Culprit, 1), after(100));
    CHECK_FALSE(isRefused(ledger, Culprit));
    CHECK(isGranted(ledger, Culprit, 2, after(200)));
    ledger.apply(crash(Culprit, 2), after(300));
    CHECK(isRefused(ledger, Culprit));
    CHECK_FALSE(isGranted(ledger, Culprit, 3, after(400)));
}

// Guards against refusing a request only because many upstreams ended at the same time, as when a data centre loses power.
TEST_CASE("upstreams that end while copies run without a trial count once")
{
    CrashLedger ledger;
    for (int upstream = 0; upstream < 20; ++upstream) {
        ledger.apply(crash(Culprit), after(upstream));
    }
    CHECK(isSuspect(ledger, Culprit));
    CHECK_FALSE(isRefused(ledger, Culprit));
}

// Guards against a count that grows because a report was resent after its answer was lost.
TEST_CASE("a resent report about a trial counts once")
{
    CrashLedger ledger;
    ledger.apply(crash(Culprit), Start);
    REQUIRE(isGranted(ledger, Culprit, 1, Start));
    for (int resend = 0; resend < 5; ++resend) {
        ledger.apply(crash(Culprit, 1), after(resend));
    }
    CHECK_FALSE(isRefused(ledger, Culprit));
}

// Guards against many copies of a suspect that end as many upstreams before the first result is known.
TEST_CASE("one copy of a suspect runs at a time, until its trial is released or over")
{
    CrashLedger ledger;
    ledger.apply(crash(Culprit), Start);
    CHECK(isGranted(ledger, Culprit, 1, Start));
    CHECK(isGranted(ledger, Culprit, 1, after(1)));
    CHECK_FALSE(isGranted(ledger, Culprit, 2, after(2)));
    v1::SuspectCommand release;
    release.add_released()->set_fingerprint(Culprit);
    release.mutable_released(0)->set_id(1);
    ledger.apply(release, after(3));
    CHECK(isGranted(ledger, Culprit, 2, after(4)));
    CHECK_FALSE(isGranted(ledger, Culprit, 3, after(4 + TrialMs - 1)));
    CHECK(isGranted(ledger, Culprit, 3, after(4 + TrialMs)));
}

TEST_CASE("a complete answer clears a suspect, and a late report of its trial does not condemn it")
{
    CrashLedger ledger;
    ledger.apply(crash(Culprit), Start);
    REQUIRE(isGranted(ledger, Culprit, 1, Start));
    v1::SuspectCommand cleared;
    cleared.add_cleared(Culprit);
    ledger.apply(cleared, after(1));
    CHECK_FALSE(isSuspect(ledger, Culprit));
    ledger.apply(crash(Culprit, 1), after(2));
    CHECK(isSuspect(ledger, Culprit));
    REQUIRE(isGranted(ledger, Culprit, 2, after(3)));
    ledger.apply(crash(Culprit, 2), after(4));
    CHECK_FALSE(isRefused(ledger, Culprit));
}

// Guards against a caller that fills the table with a new request for each crash, so that a refused one is forgotten.
TEST_CASE("a flood of suspects evicts neither a refused request nor one on its way there")
{
    constexpr std::uint64_t AlmostRefused = 8;
    CrashLedger ledger;
    condemn(ledger, Culprit, Start);
    ledger.apply(crash(AlmostRefused), Start);
    REQUIRE(isGranted(ledger, AlmostRefused, 1, Start));
    ledger.apply(crash(AlmostRefused, 1), Start);
    for (std::uint64_t other = 100; other < 100 + 4 * CrashLedger::MaxSuspects; ++other) {
        ledger.apply(crash(other), after(static_cast<std::int64_t>(other)));
    }
    CHECK(static_cast<std::size_t>(ledger.table().entries_size()) == CrashLedger::MaxSuspects);
    CHECK(isRefused(ledger, Culprit));
    CHECK(isSuspect(ledger, AlmostRefused));
}

TEST_CASE("a refusal ends after some minutes, and one more crash on trial renews it for a day")
{
    constexpr std::int64_t First = CrashLedger::FirstRefusalMs;
    CrashLedger ledger;
    condemn(ledger, Culprit, Start);
    ledger.expire(after(First - 1));
    CHECK(isRefused(ledger, Culprit));
    ledger.expire(after(First));
    CHECK_FALSE(isRefused(ledger, Culprit));
    CHECK(isGranted(ledger, Culprit, 9, after(First)));
    ledger.apply(crash(Culprit, 9), after(First));
    ledger.expire(after(First + CrashLedger::KeepMs - 1));
    CHECK(isRefused(ledger, Culprit));
    ledger.expire(after(First + CrashLedger::KeepMs));
    CHECK_FALSE(isRefused(ledger, Culprit));
    ledger.expire(after(First + 2 * CrashLedger::KeepMs));
    CHECK_FALSE(isSuspect(ledger, Culprit));
}

// Guards against a count that starts again after a restart of all VMs.
TEST_CASE("suspects, their counts and trials survive a snapshot")
{
    StateMachine before;
    v1::Command command;
    command.set_at_ms(Start.value);
    for (const v1::SuspectCommand &suspects : {crash(Culprit), claim(Culprit, 1), crash(Culprit, 1), claim(Culprit, 2)}) {
        *command.mutable_suspects() = suspects;
        before.apply(command);
    }
    StateMachine after;
    REQUIRE(ok(after.restore(before.snapshot())));
    CHECK(after.crashLedger().version() == before.crashLedger().version());
    *command.mutable_suspects() = claim(Culprit, 3);
    CHECK(after.apply(command).reply().outcome() == v1::CommandReply::CONFLICT);
    *command.mutable_suspects() = crash(Culprit, 2);
    after.apply(command);
    CHECK(isRefused(after.crashLedger(), Culprit));
}
