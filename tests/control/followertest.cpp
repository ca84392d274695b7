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

v1::ConfigLease leaseFor(const v1::ConfigHeartbeat &beat)
{
    v1::ConfigLease lease;
    lease.set_beat(beat.beat());
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

// The grant took long on its way. The leader counts the lease from when it granted it, so the VM must not count from when the grant
// arrived, or it would admit work after the leader holds it for lapsed.
TEST_CASE("a lease counts from when its beat was sent")
{
    Follower follower = makeFollower();
    const v1::ConfigHeartbeat beat = follower.beat(Start);
    follower.beat(Start + std::chrono::milliseconds(1'500));
    CHECK(follower.granted(leaseFor(beat)));
    CHECK(follower.admitUntil() == Start + std::chrono::seconds(2));
    CHECK_FALSE(follower.granted(leaseFor(beat)));
}

// A grant for a beat of the process before the restart comes late. That beat was sent at another time, so the grant is worth nothing.
TEST_CASE("a grant to an earlier process of the VM is ignored")
{
    Follower before = makeFollower(1'000);
    const v1::ConfigLease late = leaseFor(before.beat(Start));
    Follower restarted = makeFollower(900'000);
    restarted.beat(Start + std::chrono::seconds(10));
    CHECK_FALSE(restarted.granted(late));
    CHECK(restarted.admitUntil() == TimePoint{});
}

TEST_CASE("with the setting, work is admitted for a time after the lease, but cells are not scheduled")
{
    Follower follower = makeFollower(1'000, std::chrono::seconds(30));
    CHECK(follower.admitUntil() == TimePoint{});
    CHECK(follower.granted(leaseFor(follower.beat(Start))));
    CHECK(follower.admitUntil() == Start + std::chrono::seconds(32));
    CHECK(follower.leaseUntil() == Start + std::chrono::seconds(2));
}

// An update was lost. The next one starts at a revision that the VM does not have: taking it would mix two configurations. The VM
// says where it is, and the leader sends what is missing.
TEST_CASE("changes that do not follow on what is in force are not taken")
{
    StateMachine state;
    accept(state, smallOffice());
    accept(state, {organisationChange(1)});
    Follower follower = makeFollower();
    CHECK(follower.update(makeConfigUpdate(state, Revision{1})) == Follower::Taken::Gap);
    CHECK(follower.declarations()->revision() == Revision{0});
    CHECK(follower.update(makeConfigUpdate(state, Revision{0})) == Follower::Taken::Applied);
    CHECK(follower.declarations()->revision() == Revision{2});
    CHECK(follower.update(makeConfigUpdate(state, Revision{0})) == Follower::Taken::Old);
}

// Changes arrive that start where the VM is and still do not fit, so something is wrong with what it has. Asking for changes again would
// go on for ever, without a lease: it asks for the whole.
TEST_CASE("a VM that changes do not fit asks for the whole declarations")
{
    StateMachine state;
    accept(state, smallOffice());
    Follower follower = makeFollower();
    v1::ConfigUpdate broken = makeConfigUpdate(state, Revision{0});
    broken.mutable_changes(0)->clear_changes();
    *broken.mutable_changes(0)->add_changes() = organisationChange(1);
    CHECK(follower.update(broken) == Follower::Taken::Gap);
    CHECK(follower.beat(Start).whole());
    CHECK(follower.update(makeWholeConfigUpdate(state)) == Follower::Taken::Applied);
    CHECK_FALSE(follower.beat(Start).whole());
    CHECK(follower.declarations()->changesTo(state.declarations()).empty());
}

// The VM restarted within its lease, and hears of the cell that the process before it held. It does not know which capacity that one
// granted: scheduling the cell under the same epoch would grant it twice.
TEST_CASE("a cell assigned to an earlier process of the VM is nobody's")
{
    StateMachine state;
    accept(state, smallOffice());
    v1::Command assign;
    assign.set_command_id("assign");
    assign.mutable_assign_cell()->set_cell("drafting/dc-0");
    assign.mutable_assign_cell()->set_vm("vm-1");
    assign.mutable_assign_cell()->set_epoch(1);
    assign.mutable_assign_cell()->set_incarnation(1'000);
    REQUIRE(state.apply(assign).reply().outcome() == v1::CommandReply::ACCEPTED);
    Follower holder = makeFollower(1'000);
    holder.update(makeConfigUpdate(state, Revision{0}));
    CHECK(holder.cells().at("drafting/dc-0").vm() == "vm-1");
    Follower restarted = makeFollower(2'000);
    restarted.update(makeConfigUpdate(state, Revision{0}));
    CHECK(restarted.cells().at("drafting/dc-0").vm().empty());
}
