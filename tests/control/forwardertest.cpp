#include "control/forwarder.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace cumindyke;

namespace
{

constexpr TimePoint Start{std::chrono::hours(1)};

TimePoint after(int ms)
{
    return Start + std::chrono::milliseconds(ms);
}

struct Forwarding
{
    LeaderSearch search{{VmName{"a"}, VmName{"b"}, VmName{"c"}}};
    Forwarder forwarder{{}, 100};
    std::optional<Result<v1::ProposeReply>> answer;
    int answers = 0;

    void submit()
    {
        v1::ProposeRequest request;
        request.set_command("command");
        forwarder.submit(
            request,
            [this](const Result<v1::ProposeReply> &result) {
                answer = result;
                ++answers;
            },
            Start);
    }
    std::vector<OutgoingEnvelope> dueRequests(int ms)
    {
        return forwarder.dueRequests(search, after(ms));
    }
    void reply(const std::string &from, std::uint64_t call, const std::string &leader, int ms)
    {
        v1::ProposeReply reply;
        reply.set_call(call);
        if (leader.empty()) {
            reply.mutable_reply()->set_outcome(v1::CommandReply::ACCEPTED);
        } else {
            reply.set_leader(leader);
        }
        forwarder.handleReply(VmName{from}, reply, search, after(ms));
    }
};

}

// A command that reaches a VM that does not lead is sent to the presumed leader and then to the leader that its hint names. The operator gets the
// answer once, also when it arrives twice.
TEST_CASE("a command follows the hint to the leader and is answered once")
{
    Forwarding call;
    call.submit();
    const auto first = call.dueRequests(0);
    REQUIRE(first.size() == 1);
    CHECK(first[0].to == VmName{"a"});
    CHECK(first[0].envelope.propose().call() == 100);
    call.reply("a", 100, "c", 5);
    CHECK(call.dueRequests(10).empty());
    const auto second = call.dueRequests(60);
    REQUIRE(second.size() == 1);
    CHECK(second[0].to == VmName{"c"});
    CHECK(second[0].envelope.propose().command() == "command");
    call.reply("c", 100, "", 70);
    call.reply("c", 100, "", 71);
    CHECK(call.answers == 1);
    CHECK(ok(*call.answer));
}

// After a lost command or answer the same command is resent to the next VM that may lead, since the first one may be dead.
TEST_CASE("a command without an answer is resent to another VM")
{
    Forwarding call;
    call.submit();
    CHECK(call.dueRequests(0).size() == 1);
    CHECK(call.dueRequests(499).empty());
    const auto again = call.dueRequests(500);
    REQUIRE(again.size() == 1);
    CHECK(again[0].to == VmName{"b"});
    CHECK(again[0].envelope.propose().call() == 100);
}

// If no replica decides, the operator must neither wait for ever nor be told that nothing happened: the command may be in the log.
TEST_CASE("a command that no replica decides fails as unavailable, and the message names the remedy")
{
    Forwarding call;
    call.submit();
    for (int ms = 0; ms < 10'000; ms += 50) {
        call.dueRequests(ms);
    }
    CHECK(call.answers == 0);
    call.dueRequests(10'000);
    REQUIRE(call.answers == 1);
    REQUIRE_FALSE(ok(*call.answer));
    CHECK(errorOf(*call.answer).kind == ErrorKind::Unavailable);
    CHECK(errorOf(*call.answer).message.find("same command id") != std::string::npos);
    call.reply("a", 100, "", 10'001);
    CHECK(call.answers == 1);
}
