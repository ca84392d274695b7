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

    void add()
    {
        v1::ProposeRequest request;
        request.set_command("command");
        forwarder.add(
            request,
            [this](const Result<v1::ProposeReply> &result) {
                answer = result;
                ++answers;
            },
            Start);
    }
    std::vector<Outgoing> due(int ms)
    {
        return forwarder.due(search, after(ms));
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
        forwarder.replied(VmName{from}, reply, search, after(ms));
    }
};

}

// An operator's command reaches a VM that does not lead. The VM asks whom it takes for the leader, is told of another, asks that one,
// and the operator gets its answer once, also when the answer arrives twice.
TEST_CASE("a command follows the hint to the leader and is answered once")
{
    Forwarding call;
    call.add();
    const auto first = call.due(0);
    REQUIRE(first.size() == 1);
    CHECK(first[0].to == VmName{"a"});
    CHECK(first[0].envelope.propose().call() == 100);
    call.reply("a", 100, "c", 5);
    CHECK(call.due(10).empty());
    const auto second = call.due(60);
    REQUIRE(second.size() == 1);
    CHECK(second[0].to == VmName{"c"});
    CHECK(second[0].envelope.propose().command() == "command");
    call.reply("c", 100, "", 70);
    call.reply("c", 100, "", 71);
    CHECK(call.answers == 1);
    CHECK(ok(*call.answer));
}

// The answer, or the command, is lost. The operator only sees that it takes longer: the same command goes out again, to the next VM
// that may lead, since the silent one may be dead.
TEST_CASE("a command without an answer is sent again, to another VM")
{
    Forwarding call;
    call.add();
    CHECK(call.due(0).size() == 1);
    CHECK(call.due(499).empty());
    const auto again = call.due(500);
    REQUIRE(again.size() == 1);
    CHECK(again[0].to == VmName{"b"});
    CHECK(again[0].envelope.propose().call() == 100);
}

// No replica decides. The operator must not wait for ever, nor be told that nothing happened: a command may still be in the log.
TEST_CASE("a command that nobody decides ends as unavailable, with the remedy")
{
    Forwarding call;
    call.add();
    for (int ms = 0; ms < 10'000; ms += 50) {
        call.due(ms);
    }
    CHECK(call.answers == 0);
    call.due(10'000);
    REQUIRE(call.answers == 1);
    REQUIRE_FALSE(ok(*call.answer));
    CHECK(errorOf(*call.answer).kind == ErrorKind::Unavailable);
    CHECK(errorOf(*call.answer).message.find("same command id") != std::string::npos);
    call.reply("a", 100, "", 10'001);
    CHECK(call.answers == 1);
}
