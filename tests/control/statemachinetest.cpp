#include "control/statemachine.h"
#include "control/convert.h"
#include "control/virtualcluster.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

v1::Command applyCommand(const std::string &id, std::uint64_t base, const std::vector<v1::Change> &changes)
{
    v1::Command command;
    command.set_command_id(id);
    command.mutable_apply()->set_command_id(id);
    command.mutable_apply()->set_base_revision(base);
    command.mutable_apply()->set_author(id);
    command.mutable_apply()->mutable_changes()->Assign(changes.begin(), changes.end());
    return command;
}

v1::Command restoreCommand(const std::string &id, const std::string &snapshot)
{
    v1::Command command;
    command.set_command_id(id);
    command.mutable_restore()->set_snapshot(snapshot);
    return command;
}

v1::CommandReply::Outcome outcomeOf(StateMachine &state, const v1::Command &command)
{
    return state.apply(command).reply().outcome();
}

StateMachine office()
{
    StateMachine state;
    REQUIRE(outcomeOf(state, applyCommand("office", 0, smallDeployment())) == v1::CommandReply::ACCEPTED);
    return state;
}

StateMachine copyOf(const StateMachine &state)
{
    StateMachine copy;
    REQUIRE(ok(copy.restore(state.snapshot())));
    return copy;
}

}

// Of two operators who change declarations under one revision the first wins; the other one must get the winning change, not only a conflict.
TEST_CASE("of two commands under one revision the first wins and the second is answered with the winner")
{
    StateMachine state = office();
    CHECK(outcomeOf(state, applyCommand("ade", 1, {organisationChange(1)})) == v1::CommandReply::ACCEPTED);
    const v1::CommandReply lost = state.apply(applyCommand("bisi", 1, {organisationChange(2)})).reply();
    CHECK(lost.outcome() == v1::CommandReply::CONFLICT);
    REQUIRE(lost.winners_size() == 1);
    CHECK(lost.winners(0).author() == "ade");
    CHECK(state.declarations().organisations().size() == 1);
}

// After a lost answer a command is resent, following other changes, a snapshot and a restart from it. It must get its first answer, whether accepted
// or refused, and change nothing.
TEST_CASE("a resend gets the first answer, also after a restart from a snapshot")
{
    StateMachine state = office();
    const v1::Command accepted = applyCommand("ade", 1, {organisationChange(1)});
    const v1::Command refused = applyCommand("bisi", 1, {organisationChange(2)});
    const std::string first = state.apply(accepted).SerializeAsString();
    const std::string second = state.apply(refused).SerializeAsString();
    outcomeOf(state, applyCommand("later", 2, {organisationChange(3)}));
    StateMachine restarted = copyOf(state);
    CHECK(restarted.apply(accepted).SerializeAsString() == first);
    CHECK(restarted.apply(refused).SerializeAsString() == second);
    CHECK(restarted.snapshot() == state.snapshot());
}

// Restoring an old snapshot after newer changes must put its declarations in force as a new revision, since VMs never go back to an older one; a
// resend of a later command still gets its first answer.
TEST_CASE("a restored snapshot becomes a new revision")
{
    StateMachine state = office();
    const std::string saved = state.snapshot();
    const v1::Command later = applyCommand("ade", 1, {organisationChange(1)});
    const std::string answer = state.apply(later).SerializeAsString();
    const std::uint64_t version = state.version();
    const v1::CommandReply reply = state.apply(restoreCommand("restore", saved)).reply();
    CHECK(reply.outcome() == v1::CommandReply::ACCEPTED);
    CHECK(reply.revision() == 3);
    CHECK(state.version() > version);
    CHECK(state.declarations().organisations().empty());
    CHECK(state.apply(later).SerializeAsString() == answer);
    CHECK(state.historyAfter(Revision{0}).size() == 3);
}

// After the loss of every replica's disk a snapshot is restored into a new, empty system. Revisions and epochs must continue from the snapshot's,
// since VMs and upstreams may remember higher ones than an empty system would assign.
TEST_CASE("a system restored from a snapshot continues its revisions and epochs")
{
    StateMachine old = office();
    v1::Command assign;
    assign.set_command_id("assign");
    assign.mutable_assign_cell()->set_cell("drafting/dc-0");
    assign.mutable_assign_cell()->set_vm("vm-0");
    assign.mutable_assign_cell()->set_epoch(1);
    REQUIRE(outcomeOf(old, assign) == v1::CommandReply::ACCEPTED);
    StateMachine state;
    REQUIRE(outcomeOf(state, restoreCommand("restore", old.snapshot())) == v1::CommandReply::ACCEPTED);
    CHECK(state.declarations().revision() == Revision{2});
    CHECK(state.version() > old.version());
    CHECK(state.cells().at("drafting/dc-0").epoch() == 1);
    CHECK(state.cells().at("drafting/dc-0").vm().empty());
    CHECK(state.declarations().changesTo(old.declarations()).empty());
}

// A snapshot of another system must be refused with the remedy: equal revision numbers mean different changes in the two systems.
TEST_CASE("a snapshot of another history is refused")
{
    StateMachine state = office();
    StateMachine other;
    outcomeOf(other, applyCommand("elsewhere", 0, smallDeployment()));
    const v1::CommandReply reply = state.apply(restoreCommand("restore", other.snapshot())).reply();
    CHECK(reply.outcome() == v1::CommandReply::INVALID);
    CHECK(reply.message().find("another history") != std::string::npos);
    CHECK(outcomeOf(state, restoreCommand("restore-2", "no snapshot")) == v1::CommandReply::INVALID);
    CHECK(state.declarations().revision() == Revision{1});
}

// Guards against a replica without routes that takes itself for restored.
TEST_CASE("a replica's snapshot whose routes can't be read is refused and changes nothing")
{
    StateMachine state = office();
    const std::string before = state.snapshot();
    v1::StateSnapshot damaged;
    REQUIRE(damaged.ParseFromString(before));
    damaged.mutable_routes()->set_packed_table("no routes");
    CHECK_FALSE(ok(state.restore(damaged.SerializeAsString())));
    CHECK(state.snapshot() == before);
}

// Two successive leaders may assign the next epoch of a cell to different VMs; only the first assignment in the log may take effect.
TEST_CASE("an epoch of a cell has one holder")
{
    StateMachine state = office();
    v1::Command assign;
    assign.set_command_id("a");
    assign.mutable_assign_cell()->set_cell("drafting/dc-0");
    assign.mutable_assign_cell()->set_vm("vm-0");
    assign.mutable_assign_cell()->set_epoch(1);
    CHECK(outcomeOf(state, assign) == v1::CommandReply::ACCEPTED);
    assign.set_command_id("b");
    assign.mutable_assign_cell()->set_vm("vm-1");
    CHECK(outcomeOf(state, assign) == v1::CommandReply::INVALID);
    CHECK(state.cells().at("drafting/dc-0").vm() == "vm-0");
}
