#include "peer/outgoingqueue.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

v1::Envelope configUpdate(std::size_t bytes)
{
    v1::Envelope envelope;
    envelope.mutable_config_update()->add_relay(std::string(bytes, 'x'));
    return envelope;
}

v1::Envelope heartbeat(std::uint64_t number)
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

// Guards against a lease that arrives late and expires because a large configuration to the same VM is in flight.
TEST_CASE("a small message does not wait for a large one in flight")
{
    OutgoingQueue queue(std::make_shared<SendBudget>());
    queue.push(configUpdate(Megabyte));
    REQUIRE(queue.next()->lane == Lane::Bulk);
    CHECK_FALSE(queue.next());
    queue.push(heartbeat(1));
    const auto batch = queue.next();
    REQUIRE(batch);
    CHECK(batch->lane == Lane::Signal);
    CHECK(batch->envelopes.front().config_heartbeat().beat() == 1);
}

// Guards against a heartbeat that overtakes the entries before it: the follower would assume that they are lost, and the leader would
// resend them.
TEST_CASE("large and small messages of the log keep their order")
{
    OutgoingQueue queue(std::make_shared<SendBudget>());
    queue.push(logMessage(1, Megabyte));
    queue.push(logMessage(2));
    const auto first = queue.next();
    REQUIRE(first);
    CHECK(first->envelopes.front().raft().round() == 1);
    CHECK_FALSE(queue.next());
    queue.endCall(Lane::Log);
    CHECK(queue.next()->envelopes.front().raft().round() == 2);
}

// Guards against a batch of several tables that a narrow link can't carry within the timeout, so that all of them are lost each time.
TEST_CASE("a call carries few large messages, and its timeout grows with their bytes")
{
    OutgoingQueue queue(std::make_shared<SendBudget>());
    for (int i = 0; i < 8; ++i) {
        queue.push(configUpdate(200 << 10));
    }
    const auto batch = queue.next();
    REQUIRE(batch);
    CHECK(batch->envelopes.size() == 2);
    CHECK(batch->timeout > std::chrono::seconds(3));
    queue.push(heartbeat(1));
    CHECK(queue.next()->timeout < std::chrono::milliseconds(1'100));
}

// Guards against running out of memory when every change enqueues a copy of the configuration for an unreachable peer.
TEST_CASE("the queue of one peer is bounded in bytes, and the newest messages stay")
{
    const auto budget = std::make_shared<SendBudget>();
    OutgoingQueue queue(budget);
    std::size_t dropped = 0;
    for (int i = 0; i < 100; ++i) {
        dropped += queue.push(configUpdate(Megabyte - 1000));
    }
    CHECK(dropped == 96);
    CHECK(queue.queuedCount() == 4);
    CHECK(budget->held() <= 4 * Megabyte);
}

// Guards against running out of memory when many peers are unreachable at once.
TEST_CASE("the queues of all peers together are bounded in bytes, but small and log messages are always accepted")
{
    const auto budget = std::make_shared<SendBudget>();
    std::vector<std::unique_ptr<OutgoingQueue>> queues;
    for (int i = 0; i < 100; ++i) {
        queues.push_back(std::make_unique<OutgoingQueue>(budget));
        for (int change = 0; change < 3; ++change) {
            queues.back()->push(configUpdate(Megabyte - 1000));
        }
    }
    CHECK(budget->held() <= 32 * Megabyte);
    CHECK(queues.back()->push(configUpdate(Megabyte)) == 1);
    CHECK(queues.back()->push(heartbeat(1)) == 0);
    CHECK(queues.back()->push(logMessage(1)) == 0);
    CHECK(queues.back()->queuedCount() >= 2);
    queues.clear();
    CHECK(budget->held() == 0);
}
