#include "policy/moveramp.h"
#include "policy/versionrouter.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cumindyke;

namespace
{

const ServiceName Drafting{"drafting"};
const VersionName Old{"v1"};
const VersionName New{"v2"};

OutcomeKey key(const VersionName &version)
{
    return OutcomeKey{.service = Drafting, .version = version, .route = "chat", .lengthClass = 7, .loadClass = 2, .tier = {}};
}

Move move(MoveState state, std::uint32_t share)
{
    return Move{.name = MoveName{"m"},
                .service = Drafting,
                .from = Old,
                .to = New,
                .started = WallTime{0},
                .deadline = WallTime{600'000},
                .state = state,
                .share = Permille{share},
                .reason = {},
                .stateSince = WallTime{0}};
}

OutcomeMap newVersionCounts(std::uint64_t sent, std::uint64_t failed)
{
    return {{key(New), OutcomeCounts{.sent = sent, .failed = failed}}};
}

/// Returns outcomes of the given numbers of requests, which fail at random at the given rates.
Comparisons randomOutcomes(std::mt19937_64 &random, int oldSent, double oldFailureRate, int newSent, double newFailureRate)
{
    const auto isFailure = [&random](double rate) { return static_cast<double>(random() >> 11) * 0x1p-53 < rate; };
    Comparison comparison;
    for (int i = 0; i < oldSent; ++i) {
        ++comparison.oldVersion.sent;
        ++(isFailure(oldFailureRate) ? comparison.oldVersion.failed : comparison.oldVersion.onTime);
    }
    for (int i = 0; i < newSent; ++i) {
        ++comparison.newVersion.sent;
        ++(isFailure(newFailureRate) ? comparison.newVersion.failed : comparison.newVersion.onTime);
    }
    return {{Stratum{.route = "chat", .lengthClass = 7, .loadClass = 2}, comparison}};
}

}

TEST_CASE("OutcomeCollector counts each outcome once when reports are lost, repeated or reordered")
{
    // One report is lost, the next one arrives twice, and an older one arrives after it. Then the VM restarts and counts from zero. Every
    // outcome since the first report must be counted once.
    OutcomeCollector collector;
    const VmName vm{"vm1"};
    collector.take(vm, "a", 1, newVersionCounts(100, 7));
    CHECK(collector.takeGrowth().empty());
    collector.take(vm, "a", 3, newVersionCounts(130, 9));
    collector.take(vm, "a", 3, newVersionCounts(130, 9));
    collector.take(vm, "a", 2, newVersionCounts(110, 8));
    CHECK(collector.takeGrowth()[key(New)] == OutcomeCounts{.sent = 30, .failed = 2});
    collector.take(vm, "b", 1, newVersionCounts(5, 1));
    collector.take(vm, "b", 2, newVersionCounts(9, 1));
    CHECK(collector.takeGrowth()[key(New)] == OutcomeCounts{.sent = 9, .failed = 1});
}

TEST_CASE("a wait is counted once per bound, when it exceeds the bound")
{
    OutcomeCounters counters;
    std::uint8_t boundsExceeded = 0;
    counters.recordFirstTokenWait(key(New), boundsExceeded, std::chrono::milliseconds(25));
    counters.recordFirstTokenWait(key(New), boundsExceeded, std::chrono::milliseconds(45));
    const OutcomeCounts &counts = counters.counts().at(key(New));
    CHECK(boundsExceeded == 3);
    CHECK(counts.firstTokenOver[0] == 1);
    CHECK(counts.firstTokenOver[2] == 1);
    CHECK(counts.firstTokenOver[3] == 0);
}

TEST_CASE("the share of requests on the new version matches the move's, and a larger share includes the requests of a smaller one")
{
    VersionRouter small;
    VersionRouter large;
    small.setMoves({move(MoveState::Ramping, 100)});
    large.setMoves({move(MoveState::Ramping, 500)});
    int newVersionRequests = 0;
    for (int i = 0; i < 20'000; ++i) {
        const RequestId id{"vm1-" + std::to_string(i)};
        const bool isNew = small.choose(Drafting, Old, id, false, {}) == New;
        newVersionRequests += isNew ? 1 : 0;
        CHECK((!isNew || large.choose(Drafting, Old, id, false, {}) == New));
        CHECK(small.choose(Drafting, Old, id, true, {}) == Old);
    }
    CHECK(newVersionRequests > 1'800);
    CHECK(newVersionRequests < 2'200);
    CHECK(small.choose(ServiceName{"other"}, Old, RequestId{"x"}, false, {}) == Old);
}

TEST_CASE("requests that run at most once go to the new version while the move soaks")
{
    VersionRouter router;
    router.setMoves({move(MoveState::Soaking, 1000)});
    CHECK(router.choose(Drafting, Old, RequestId{"x"}, true, {}) == New);
}

TEST_CASE("a VM trips after three failures of the new version, but not when the old version fails too")
{
    // After three failures of the new version, requests go to the old version before the leader has decided. When the old version fails as
    // well, the new version is not at fault and keeps its share.
    VersionRouter router;
    const TimePoint now{};
    router.setMoves({move(MoveState::Ramping, 1000)});
    router.ended(Drafting, New, true, now);
    router.ended(Drafting, New, true, now);
    CHECK_FALSE(router.isTripped(Drafting, now));
    router.ended(Drafting, New, true, now);
    CHECK(router.isTripped(Drafting, now));
    CHECK(router.choose(Drafting, Old, RequestId{"x"}, false, now) == Old);
    VersionRouter fleetRouter;
    fleetRouter.setMoves({move(MoveState::Ramping, 1000)});
    for (int i = 0; i < 5; ++i) {
        fleetRouter.ended(Drafting, Old, true, now);
        fleetRouter.ended(Drafting, New, true, now);
    }
    CHECK_FALSE(fleetRouter.isTripped(Drafting, now));
}

TEST_CASE("the verdict finds a failing version within three updates, and finds nothing in equal versions after any number of updates")
{
    for (std::uint32_t seed = 0; seed < 300; ++seed) {
        std::mt19937_64 random(seed);
        MoveVerdict equal(2'400);
        // Both versions fail in one request of fifty, so there is nothing to find in the new one.
        for (int i = 0; i < 2'400; ++i) {
            equal.update(randomOutcomes(random, 20, 0.02, 3, 0.02));
        }
        CHECK_FALSE(equal.finding());
        MoveVerdict failing(2'400);
        int updates = 0;
        while (!failing.finding() && ++updates < 100) {
            failing.update(randomOutcomes(random, 20, 0.002, 3, 1));
        }
        CHECK(updates <= 3);
    }
}

TEST_CASE("the verdict finds a fault that begins after many good answers")
{
    for (std::uint32_t seed = 0; seed < 100; ++seed) {
        std::mt19937_64 random(seed);
        MoveVerdict verdict(2'400);
        for (int i = 0; i < 1'200; ++i) {
            verdict.update(randomOutcomes(random, 20, 0.002, 3, 0.002));
        }
        CHECK_FALSE(verdict.finding());
        int updates = 0;
        while (!verdict.finding() && ++updates < 100) {
            verdict.update(randomOutcomes(random, 20, 0.002, 3, 1));
        }
        CHECK(updates <= 4);
    }
}

TEST_CASE("a move of a service without traffic is rolled back at the deadline with the reason")
{
    MoveRamp ramp(move(MoveState::Ramping, 0), 12, WallTime{0});
    Move state = move(MoveState::Ramping, 0);
    for (std::int64_t now = 0; now <= 600'000 && state.isOpen(); now += EvaluationIntervalMs) {
        if (const auto decision = ramp.advance(state, {}, WallTime{now})) {
            REQUIRE(ok(state.decide(decision->state, decision->share, decision->reason, WallTime{now})));
        }
        CHECK(state.share <= Permille{100});
    }
    CHECK(state.state == MoveState::RolledBack);
    CHECK(state.reason == "no evidence by the deadline: 0 answers of the new version, 50 needed");
}

TEST_CASE("a move whose deadline is too tight is rolled back at once")
{
    Move tight = move(MoveState::Ramping, 0);
    tight.deadline = WallTime{20'000};
    MoveRamp ramp(tight, 12, WallTime{0});
    const auto decision = ramp.advance(tight, {}, WallTime{0});
    REQUIRE(decision);
    CHECK(decision->state == MoveState::RolledBack);
    CHECK(decision->reason.find("too tight") != std::string::npos);
}
