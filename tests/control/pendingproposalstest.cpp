#include "control/pendingproposals.h"
#include "control/distributionrig.h"
#include "control/routehistory.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

// Guards against a log that grows by a whole configuration for each resend of a command whose answer is only slow.
TEST_CASE("a resend of a command that waits to be committed joins it, and both are answered")
{
    PendingProposals pending;
    int answers = 0;
    const auto answer = [&answers](const Result<v1::ProposeReply> &reply) { answers += ok(reply) ? 1 : 0; };
    pending.add(7, 2, "publish-1", answer);
    CHECK(pending.join("publish-1", answer));
    CHECK_FALSE(pending.join("publish-2", answer));
    CHECK_FALSE(pending.join("", answer));
    pending.applied(7, 2, {});
    pending.answerDecided();
    CHECK(answers == 2);
    CHECK_FALSE(pending.join("publish-1", answer));
}

// Guards against an answer of "accepted" for a command that another leader's entry has replaced.
TEST_CASE("whoever joined a command that was lost with its leader hears that it was not decided")
{
    PendingProposals pending;
    int failures = 0;
    const auto answer = [&failures](const Result<v1::ProposeReply> &reply) { failures += ok(reply) ? 0 : 1; };
    pending.add(7, 2, "publish-1", answer);
    REQUIRE(pending.join("publish-1", answer));
    pending.applied(7, 3, {});
    pending.answerDecided();
    CHECK(failures == 2);
}

TEST_CASE("the state tells what a command was answered, without applying it again")
{
    StateMachine state;
    v1::Command command;
    command.set_command_id("publish-1");
    *command.mutable_publish_routes() = packPublication(routeTable(1, 3), "document");
    CHECK_FALSE(state.answerTo("publish-1"));
    state.apply(command);
    REQUIRE(state.answerTo("publish-1"));
    CHECK(state.answerTo("publish-1")->reply().outcome() == v1::CommandReply::ACCEPTED);
}
