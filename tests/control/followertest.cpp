#include "control/follower.h"
#include "control/virtualcluster.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr TimePoint Start{std::chrono::hours(1)};

Follower makeFollower(std::uint64_t incarnation = 1'000, Duration keepAdmitting = Duration::zero())
{
    return Follower({.vm = VmName{"vm-1"}, .dataCentre = DataCentreName{"dc-0"}, .incarnation = incarnation, .keepAdmitting = keepAdmitting});
}

v1::ConfigLease leaseFor(const v1::ConfigHeartbeat &heartbeat)
{
    v1::ConfigLease lease;
    lease.set_beat(heartbeat.beat());
    lease.set_length_ms(2'000);
    return lease;
}

void accept(StateMachine &state, const std::vector<v1::Change> &changes)
{
    v1::Command command;
    command.set_command_id("command-" + std::to_string(state.version()));
    command.mutable_apply()->set_base_revision(state.declarations().revision().value);
    command.mutable_apply()->mutable_changes()->Assign(changes.begin(), changes.end());
    REQUIRE(state.apply(command).reply().outcome() == v1::CommandReply::ACCEPTED);
}

}

// Guards against a VM that admits work after its lease has ended for the leader: a delayed lease must count from when the heartbeat was sent, as it
// does for the leader, and not from its arrival.
TEST_CASE("a lease counts from when its heartbeat was sent")
{
    Follower follower = makeFollower();
    const v1::ConfigHeartbeat heartbeat = follower.makeHeartbeat(Start);
    follower.makeHeartbeat(Start + std::chrono::milliseconds(1'500));
    CHECK(follower.handleLease(leaseFor(heartbeat)));
    CHECK(follower.admitUntil() == Start + std::chrono::seconds(2));
    CHECK_FALSE(follower.handleLease(leaseFor(heartbeat)));
}

// A late lease for a heartbeat of the process before a restart must have no effect: that heartbeat was sent at another time.
TEST_CASE("a lease granted to an earlier process of the VM is ignored")
{
    Follower before = makeFollower(1'000);
    const v1::ConfigLease late = leaseFor(before.makeHeartbeat(Start));
    Follower restarted = makeFollower(900'000);
    restarted.makeHeartbeat(Start + std::chrono::seconds(10));
    CHECK_FALSE(restarted.handleLease(late));
    CHECK(restarted.admitUntil() == TimePoint{});
}

TEST_CASE("with keepAdmitting set, work is admitted for that time after the lease, but cells are not scheduled")
{
    Follower follower = makeFollower(1'000, std::chrono::seconds(30));
    CHECK(follower.admitUntil() == TimePoint{});
    CHECK(follower.handleLease(leaseFor(follower.makeHeartbeat(Start))));
    CHECK(follower.admitUntil() == Start + std::chrono::seconds(32));
    CHECK(follower.leaseUntil() == Start + std::chrono::seconds(2));
}

// After a lost update the next one starts at a revision that the VM does not have; applying it would mix two configurations. The VM reports its
// revision, and the leader sends the missing changes.
TEST_CASE("changes that start after the revision in force are not applied")
{
    StateMachine state;
    accept(state, smallDeployment());
    accept(state, {organisationChange(1)});
    Follower follower = makeFollower();
    CHECK(follower.applyUpdate(makeConfigUpdate(state, Revision{1})) == Follower::UpdateResult::Gap);
    CHECK(follower.declarations()->revision() == Revision{0});
    CHECK(follower.applyUpdate(makeConfigUpdate(state, Revision{0})) == Follower::UpdateResult::Applied);
    CHECK(follower.declarations()->revision() == Revision{2});
    CHECK(follower.applyUpdate(makeConfigUpdate(state, Revision{0})) == Follower::UpdateResult::Outdated);
}

// Changes that start at the current revision and do not fit show that the declarations in force are wrong. Requesting changes again would go on for
// ever, without a lease, so the VM requests the full declarations.
TEST_CASE("a VM whose declarations do not fit the changes requests the full declarations")
{
    StateMachine state;
    accept(state, smallDeployment());
    Follower follower = makeFollower();
    v1::ConfigUpdate broken = makeConfigUpdate(state, Revision{0});
    broken.mutable_changes(0)->clear_changes();
    *broken.mutable_changes(0)->add_changes() = organisationChange(1);
    CHECK(follower.applyUpdate(broken) == Follower::UpdateResult::Gap);
    CHECK(follower.makeHeartbeat(Start).whole());
    CHECK(follower.applyUpdate(makeFullConfigUpdate(state)) == Follower::UpdateResult::Applied);
    CHECK_FALSE(follower.makeHeartbeat(Start).whole());
    CHECK(follower.declarations()->changesTo(state.declarations()).empty());
}

// A VM that restarted within its lease does not know what capacity of the cell the process before it had granted: scheduling the cell under the same
// epoch would grant that capacity twice.
TEST_CASE("a cell assigned to an earlier process of the VM has no holder")
{
    StateMachine state;
    accept(state, smallDeployment());
    v1::Command assign;
    assign.set_command_id("assign");
    assign.mutable_assign_cell()->set_cell("drafting/dc-0");
    assign.mutable_assign_cell()->set_vm("vm-1");
    assign.mutable_assign_cell()->set_epoch(1);
    assign.mutable_assign_cell()->set_incarnation(1'000);
    REQUIRE(state.apply(assign).reply().outcome() == v1::CommandReply::ACCEPTED);
    Follower holder = makeFollower(1'000);
    holder.applyUpdate(makeConfigUpdate(state, Revision{0}));
    CHECK(holder.cells().at("drafting/dc-0").vm() == "vm-1");
    Follower restarted = makeFollower(2'000);
    restarted.applyUpdate(makeConfigUpdate(state, Revision{0}));
    CHECK(restarted.cells().at("drafting/dc-0").vm().empty());
}
