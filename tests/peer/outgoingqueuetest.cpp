#include "peer/outgoingqueue.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

v1::Envelope updateOf(std::size_t bytes)
{
    v1::Envelope envelope;
    envelope.mutable_config_update()->add_relay(std::string(bytes, 'x'));
    return envelope;
}

v1::Envelope beat(std::uint64_t number)
{
    v1::Envelope envelope;
    envelope.mutable_config_heartbeat()->set_beat(number);
    return envelope;
}

v1::Envelope logMessage(std::uint64_t round, std::size_t bytes = 0)
{
    v1::Envelope envelope;
    envelope.mutable_raft()->set_round(round);
    if (bytes > 0) {
        envelope.mutable_raft()->set_snapshot_chunk(std::string(bytes, 'x'));
    }
    return envelope;
}

constexpr std::size_t Megabyte = std::size_t{1} << 20;

}

// Guards against a lease that is late, and lapses, because a large configuration to the same VM is under way.
TEST_CASE("a small message need not wait for a large one that is under way")
{
    OutgoingQueue queue(std::make_shared<SendBudget>());
    queue.push(updateOf(Megabyte));
    REQUIRE(queue.next()->lane == Lane::Bulk);
    CHECK_FALSE(queue.next());
    queue.push(beat(1));
    const auto batch = queue.next();
    REQUIRE(batch);
    CHECK(batch->lane == Lane::Signal);
    CHECK(batch->envelopes.front().config_heartbeat().beat() == 1);
}

// Guards against a heartbeat that overtakes the entries before it: the follower would take them for lost, and the leader send them again.
TEST_CASE("messages of the log keep their order, large and small")
{
    OutgoingQueue queue(std::make_shared<SendBudget>());
    queue.push(logMessage(1, Megabyte));
    queue.push(logMessage(2));
    const auto first = queue.next();
    REQUIRE(first);
    CHECK(first->envelopes.front().raft().round() == 1);
    CHECK_FALSE(queue.next());
    queue.ended(Lane::Log);
    CHECK(queue.next()->envelopes.front().raft().round() == 2);
}

// Guards against a batch of several tables that no narrow link carries before its deadline, so that all of them are lost each time.
TEST_CASE("a call takes few large messages, and its deadline grows with their bytes")
{
    OutgoingQueue queue(std::make_shared<SendBudget>());
    for (int i = 0; i < 8; ++i) {
        queue.push(updateOf(200 << 10));
    }
    const auto batch = queue.next();
    REQUIRE(batch);
    CHECK(batch->envelopes.size() == 2);
    CHECK(batch->deadline > std::chrono::seconds(3));
    queue.push(beat(1));
    CHECK(queue.next()->deadline < std::chrono::milliseconds(1'100));
}

// Guards against a peer that is gone, for which every change keeps a copy of the configuration until the process is out of memory.
TEST_CASE("what waits for one peer is bounded in bytes, and the newest stays")
{
    const auto budget = std::make_shared<SendBudget>();
    OutgoingQueue queue(budget);
    std::size_t dropped = 0;
    for (int i = 0; i < 100; ++i) {
        dropped += queue.push(updateOf(Megabyte - 1000));
    }
    CHECK(dropped == 96);
    CHECK(queue.waiting() == 4);
    CHECK(budget->held() <= 4 * Megabyte);
}

// Guards against the same with many peers gone at once.
TEST_CASE("what waits for all peers together is bounded in bytes, but never keeps a small message or the log from being sent")
{
    const auto budget = std::make_shared<SendBudget>();
    std::vector<std::unique_ptr<OutgoingQueue>> queues;
    for (int i = 0; i < 100; ++i) {
        queues.push_back(std::make_unique<OutgoingQueue>(budget));
        for (int change = 0; change < 3; ++change) {
            queues.back()->push(updateOf(Megabyte - 1000));
        }
    }
    CHECK(budget->held() <= 32 * Megabyte);
    CHECK(queues.back()->push(updateOf(Megabyte)) == 1);
    CHECK(queues.back()->push(beat(1)) == 0);
    CHECK(queues.back()->push(logMessage(1)) == 0);
    CHECK(queues.back()->waiting() >= 2);
    queues.clear();
    CHECK(budget->held() == 0);
}
