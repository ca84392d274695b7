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

OutcomeMap counted(std::uint64_t sent, std::uint64_t failed)
{
    return {{key(New), OutcomeCounts{.sent = sent, .failed = failed}}};
}

/// A look with so many requests a version, of which a part fails.
Look look(std::mt19937_64 &random, int oldSent, double oldFailing, int newSent, double newFailing)
{
    const auto fails = [&random](double part) { return static_cast<double>(random() >> 11) * 0x1p-53 < part; };
    Comparison seen;
    for (int i = 0; i < oldSent; ++i) {
        ++seen.oldVersion.sent;
        ++(fails(oldFailing) ? seen.oldVersion.failed : seen.oldVersion.onTime);
    }
    for (int i = 0; i < newSent; ++i) {
        ++seen.newVersion.sent;
        ++(fails(newFailing) ? seen.newVersion.failed : seen.newVersion.onTime);
    }
    return {{Stratum{.route = "chat", .lengthClass = 7, .loadClass = 2}, seen}};
}

}

TEST_CASE("a lost, repeated or overtaken report changes no sum")
{
    // The leader sees one sum of outcomes. A report is lost, the next one comes twice, an older one comes after it; the VM restarts and
    // counts from zero. Every outcome since the first report counts once.
    OutcomeCollector collector;
    const VmName vm{"vm1"};
    collector.take(vm, "a", 1, counted(100, 7));
    CHECK(collector.takeGrowth().empty());
    collector.take(vm, "a", 3, counted(130, 9));
    collector.take(vm, "a", 3, counted(130, 9));
    collector.take(vm, "a", 2, counted(110, 8));
    CHECK(collector.takeGrowth()[key(New)] == OutcomeCounts{.sent = 30, .failed = 2});
    collector.take(vm, "b", 1, counted(5, 1));
    collector.take(vm, "b", 2, counted(9, 1));
    CHECK(collector.takeGrowth()[key(New)] == OutcomeCounts{.sent = 9, .failed = 1});
}

TEST_CASE("waits are counted when a bound is passed, each bound once")
{
    OutcomeCounters counters;
    std::uint8_t passed = 0;
    counters.recordFirstTokenWait(key(New), passed, std::chrono::milliseconds(25));
    counters.recordFirstTokenWait(key(New), passed, std::chrono::milliseconds(45));
    const OutcomeCounts &counts = counters.counts().at(key(New));
    CHECK(passed == 3);
    CHECK(counts.firstTokenOver[0] == 1);
    CHECK(counts.firstTokenOver[2] == 1);
    CHECK(counts.firstTokenOver[3] == 0);
}

TEST_CASE("the share of requests follows the log, and a larger share keeps the smaller one's")
{
    VersionRouter small;
    VersionRouter large;
    small.setMoves({move(MoveState::Ramping, 100)});
    large.setMoves({move(MoveState::Ramping, 500)});
    int chosen = 0;
    for (int i = 0; i < 20'000; ++i) {
        const RequestId id{"vm1-" + std::to_string(i)};
        const bool isNew = small.choose(Drafting, Old, id, false, {}) == New;
        chosen += isNew ? 1 : 0;
        CHECK((!isNew || large.choose(Drafting, Old, id, false, {}) == New));
        CHECK(small.choose(Drafting, Old, id, true, {}) == Old);
    }
    CHECK(chosen > 1'800);
    CHECK(chosen < 2'200);
    CHECK(small.choose(ServiceName{"other"}, Old, RequestId{"x"}, false, {}) == Old);
}

TEST_CASE("requests that run at most once join when the move soaks")
{
    VersionRouter router;
    router.setMoves({move(MoveState::Soaking, 1000)});
    CHECK(router.choose(Drafting, Old, RequestId{"x"}, true, {}) == New);
}

TEST_CASE("a VM trips on plain failures of the new version at once, not on those of a whole fleet")
{
    // A caller sees three failed answers, then good ones of the old version, though the leader has not spoken yet. If the old version
    // fails as well, the new one is not to blame and keeps its share.
    VersionRouter router;
    const TimePoint now{};
    router.setMoves({move(MoveState::Ramping, 1000)});
    router.ended(Drafting, New, true, now);
    router.ended(Drafting, New, true, now);
    CHECK_FALSE(router.isTripped(Drafting, now));
    router.ended(Drafting, New, true, now);
    CHECK(router.isTripped(Drafting, now));
    CHECK(router.choose(Drafting, Old, RequestId{"x"}, false, now) == Old);
    VersionRouter fleet;
    fleet.setMoves({move(MoveState::Ramping, 1000)});
    for (int i = 0; i < 5; ++i) {
        fleet.ended(Drafting, Old, true, now);
        fleet.ended(Drafting, New, true, now);
    }
    CHECK_FALSE(fleet.isTripped(Drafting, now));
}

TEST_CASE("the test finds a failing version and stays calm on equal ones, however often it looks")
{
    for (std::uint32_t seed = 0; seed < 300; ++seed) {
        std::mt19937_64 random(seed);
        MoveVerdict equal(2'400);
        // Both versions fail in one request of fifty: as bad as each other, and not taken back.
        for (int i = 0; i < 2'400; ++i) {
            equal.look(look(random, 20, 0.02, 3, 0.02));
        }
        CHECK_FALSE(equal.finding());
        MoveVerdict failing(2'400);
        int looks = 0;
        while (!failing.finding() && ++looks < 100) {
            failing.look(look(random, 20, 0.002, 3, 1));
        }
        CHECK(looks <= 3);
    }
}

TEST_CASE("good answers before a fault do not hide it")
{
    for (std::uint32_t seed = 0; seed < 100; ++seed) {
        std::mt19937_64 random(seed);
        MoveVerdict verdict(2'400);
        for (int i = 0; i < 1'200; ++i) {
            verdict.look(look(random, 20, 0.002, 3, 0.002));
        }
        CHECK_FALSE(verdict.finding());
        int looks = 0;
        while (!verdict.finding() && ++looks < 100) {
            verdict.look(look(random, 20, 0.002, 3, 1));
        }
        CHECK(looks <= 4);
    }
}

TEST_CASE("no share without evidence: a service without traffic keeps its old version, and operators are told why")
{
    MoveRamp ramp(move(MoveState::Ramping, 0), 12, WallTime{0});
    Move state = move(MoveState::Ramping, 0);
    for (std::int64_t now = 0; now <= 600'000 && state.isOpen(); now += EvaluationIntervalMs) {
        if (const auto decision = ramp.advance(state, {}, WallTime{now})) {
            REQUIRE(ok(state.decide(decision->state, decision->share, decision->reason, WallTime{now})));
        }
        CHECK(state.share <= Permille{100});
    }
    CHECK(state.state == MoveState::TakenBack);
    CHECK(state.reason == "no evidence by the deadline: 0 answers of the new version, 50 needed");
}

TEST_CASE("a deadline that can't be met is said at once")
{
    Move tight = move(MoveState::Ramping, 0);
    tight.deadline = WallTime{20'000};
    MoveRamp ramp(tight, 12, WallTime{0});
    const auto decision = ramp.advance(tight, {}, WallTime{0});
    REQUIRE(decision);
    CHECK(decision->state == MoveState::TakenBack);
    CHECK(decision->reason.find("too tight") != std::string::npos);
}
