#include "control/rolloutleader.h"
#include "control/statemachine.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

constexpr std::int64_t StartedAtMs = 1'000'000;

v1::StartRollout startRequest(const std::string &target)
{
    v1::StartRollout start;
    start.set_service("drafts");
    start.set_target(target);
    start.set_duration_ms(12'000);
    return start;
}

v1::VersionCounts countsOf(const std::string &version, std::uint64_t good, std::uint64_t bad, std::uint64_t meanMs)
{
    v1::VersionCounts counts;
    counts.set_service("drafts");
    counts.set_version(version);
    counts.set_good(good);
    counts.set_bad(bad);
    counts.set_heads(good + bad);
    counts.set_head_ms((good + bad) * meanMs);
    return counts;
}

v1::EntryTally tallyOf(const std::vector<v1::VersionCounts> &versions)
{
    v1::EntryTally tally;
    for (const v1::VersionCounts &counts : versions) {
        *tally.add_versions() = counts;
    }
    return tally;
}

/// Returns the verdicts on these counts after the first share, at a ratio of the time.
std::vector<v1::RolloutVerdict> verdictsAt(const std::vector<v1::VersionCounts> &versions, double timeRatio)
{
    RolloutMap rollouts;
    startRollout(rollouts, startRequest("v2"), WallTime{StartedAtMs});
    FleetAggregate aggregate;
    const TimePoint start{std::chrono::seconds(1)};
    aggregate.recordTally(VmName{"vm"}, 1, {}, start);
    decideRollouts(rollouts, aggregate, WallTime{StartedAtMs});
    rollouts["drafts"].set_share_permille(70);
    aggregate.recordTally(VmName{"vm"}, 1, tallyOf(versions), start + std::chrono::seconds(1));
    return decideRollouts(rollouts, aggregate, WallTime{StartedAtMs + static_cast<std::int64_t>(timeRatio * 12'000)});
}

v1::Command publishCommand(std::uint64_t version, const std::string &document)
{
    v1::Command command;
    command.set_command_id("publish/" + std::to_string(version) + "/" + document);
    command.mutable_publish_routes()->mutable_table()->set_version(version);
    command.mutable_publish_routes()->mutable_table()->add_services()->set_name("drafts");
    command.mutable_publish_routes()->set_document(document);
    return command;
}

}

TEST_CASE("a version that fails more than the others is rolled back at once")
{
    const auto verdicts = verdictsAt({countsOf("v1", 400, 4, 60), countsOf("v2", 12, 8, 60)}, 0.2);
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].state() == v1::ROLLOUT_ROLLED_BACK);
    CHECK(verdicts[0].share_permille() == 0);
}

TEST_CASE("a version that is several times slower is rolled back")
{
    const auto verdicts = verdictsAt({countsOf("v1", 400, 4, 60), countsOf("v2", 25, 0, 200)}, 0.3);
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].state() == v1::ROLLOUT_ROLLED_BACK);
}

// Guards against a rollback of a good version because its whole service fails for a while.
TEST_CASE("a version that is no worse than the others continues and is completed near the end")
{
    const std::vector<v1::VersionCounts> similar{countsOf("v1", 340, 60, 60), countsOf("v2", 34, 6, 70)};
    CHECK(verdictsAt(similar, 0.5).empty());
    const auto verdicts = verdictsAt(similar, 0.95);
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].state() == v1::ROLLOUT_COMPLETED);
}

TEST_CASE("a version with too few answers by the time limit is rolled back")
{
    CHECK(verdictsAt({countsOf("v1", 400, 0, 60), countsOf("v2", 3, 0, 60)}, 0.95).empty());
    const auto verdicts = verdictsAt({countsOf("v1", 400, 0, 60), countsOf("v2", 3, 0, 60)}, 1.0);
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].state() == v1::ROLLOUT_ROLLED_BACK);
}

// Guards against traffic for a version that was rolled back: the client resends its request after a lost answer, and the resend arrives after the
// verdict.
TEST_CASE("a start request that is resent after the verdict changes nothing")
{
    RolloutMap rollouts;
    CHECK(startRollout(rollouts, startRequest("v2"), WallTime{StartedAtMs}) == RolloutChange::Changed);
    v1::RolloutVerdict verdict;
    verdict.set_service("drafts");
    verdict.set_target("v2");
    verdict.set_started_at_ms(StartedAtMs);
    verdict.set_state(v1::ROLLOUT_ROLLED_BACK);
    CHECK(applyRolloutVerdict(rollouts, verdict) == RolloutChange::Changed);
    CHECK(startRollout(rollouts, startRequest("v2"), WallTime{StartedAtMs + 500}) == RolloutChange::None);
    CHECK(rollouts["drafts"].state() == v1::ROLLOUT_ROLLED_BACK);
    SECTION("and a verdict of another leader on a closed rollout has no effect")
    {
        verdict.set_state(v1::ROLLOUT_COMPLETED);
        CHECK(applyRolloutVerdict(rollouts, verdict) == RolloutChange::None);
    }
    SECTION("but another target starts a new rollout")
    {
        CHECK(startRollout(rollouts, startRequest("v3"), WallTime{StartedAtMs + 500}) == RolloutChange::Changed);
    }
}

// Guards against a configuration that goes back when two operators publish at the same time and the older version reaches the log last.
TEST_CASE("only a higher version replaces the routes, and a lower one is accepted without effect")
{
    StateMachine state;
    for (const auto &[version, document] : {std::pair{3, "three"}, std::pair{2, "two"}, std::pair{3, "another three"}}) {
        const v1::ProposeReply reply = state.apply(publishCommand(static_cast<std::uint64_t>(version), document));
        CHECK(reply.reply().outcome() == v1::CommandReply::ACCEPTED);
    }
    CHECK(state.routes().document() == "three");
    SECTION("also after a snapshot")
    {
        StateMachine restored;
        REQUIRE(ok(restored.restore(state.snapshot())));
        restored.apply(publishCommand(2, "two again"));
        CHECK(restored.routes().document() == "three");
    }
    SECTION("and a rollout of a service that no table names is refused")
    {
        v1::Command command;
        command.set_command_id("rollout");
        *command.mutable_start_rollout() = startRequest("v2");
        command.mutable_start_rollout()->set_service("nobody");
        CHECK(state.apply(command).reply().outcome() == v1::CommandReply::INVALID);
    }
}
