#include "control/pendingproposals.h"
#include "control/distributionrig.h"
#include "control/routehistory.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

// Guards against a log that grows by a whole configuration for each resend of a command whose answer is slow.
TEST_CASE("a resend of a pending command is attached to it, and both are answered")
{
    PendingProposals pending;
    int answers = 0;
    const auto answer = [&answers](const Result<v1::ProposeReply> &reply) { answers += ok(reply) ? 1 : 0; };
    pending.add(7, 2, "publish-1", answer);
    CHECK(pending.attach("publish-1", answer));
    CHECK_FALSE(pending.attach("publish-2", answer));
    CHECK_FALSE(pending.attach("", answer));
    pending.onApplied(7, 2, {});
    pending.deliverAnswers();
    CHECK(answers == 2);
    CHECK_FALSE(pending.attach("publish-1", answer));
}

// Guards against the answer "accepted" for a command that an entry of another leader replaced.
TEST_CASE("resends attached to a command that another leader replaced fail as undecided")
{
    PendingProposals pending;
    int failures = 0;
    const auto answer = [&failures](const Result<v1::ProposeReply> &reply) { failures += ok(reply) ? 0 : 1; };
    pending.add(7, 2, "publish-1", answer);
    REQUIRE(pending.attach("publish-1", answer));
    pending.onApplied(7, 3, {});
    pending.deliverAnswers();
    CHECK(failures == 2);
}

TEST_CASE("the state returns the saved answer of a command without applying it again")
{
    StateMachine state;
    v1::Command command;
    command.set_command_id("publish-1");
    *command.mutable_publish_routes() = packPublication(routeTable(1, 3), "document");
    CHECK_FALSE(state.savedAnswer("publish-1"));
    state.apply(command);
    REQUIRE(state.savedAnswer("publish-1"));
    CHECK(state.savedAnswer("publish-1")->reply().outcome() == v1::CommandReply::ACCEPTED);
}
