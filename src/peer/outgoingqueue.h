#pragma once

#include "common/types.h"

#include "peer.pb.h"

#include <array>
#include <atomic>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace cumindyke
{

/// What messages to all peers together take while they wait or are under way. Safe from any thread.
class SendBudget
{
public:
    void add(std::size_t bytes)
    {
        m_held += bytes;
    }
    void release(std::size_t bytes)
    {
        m_held -= bytes;
    }
    std::size_t held() const
    {
        return m_held;
    }
    /// How much more bulk may be held.
    std::size_t room() const;

private:
    std::atomic<std::size_t> m_held = 0;
};

/// Messages of one lane keep their order and share calls; those of another lane don't wait for them.
enum class Lane {
    Log, ///< of the replicated log, which takes messages out of order for lost ones
    Signal, ///< small ones: beats, leases, answers
    Bulk, ///< configurations, and whatever else is large
};
constexpr std::size_t LaneCount = 3;

/// Messages for one peer that go in one call.
struct OutgoingBatch
{
    Lane lane = Lane::Signal;
    std::vector<v1::Envelope> envelopes;
    std::size_t bytes = 0;
    /// The call is given up after this, and its messages are lost.
    Duration deadline{};
};

/// What waits for one peer, pure: decides what goes in the next call, and what is dropped when too much waits. Messages may be lost, repeated or
/// late: every sender resends what it needs.
class OutgoingQueue
{
public:
    explicit OutgoingQueue(std::shared_ptr<SendBudget> budget);
    ~OutgoingQueue();
    OutgoingQueue(const OutgoingQueue &) = delete;
    OutgoingQueue &operator=(const OutgoingQueue &) = delete;

    /// Adds a message; the oldest of its lane go when the lane is full. Returns how many were dropped.
    std::size_t push(v1::Envelope envelope);
    /// The next call of a lane that has none under way and something waiting.
    std::optional<OutgoingBatch> next();
    /// The lane's call has ended.
    void ended(Lane lane);

    std::size_t waiting() const;

private:
    struct Message
    {
        v1::Envelope envelope;
        std::size_t bytes = 0;
    };
    struct Queue
    {
        std::deque<Message> waiting;
        std::size_t waitingBytes = 0;
        std::size_t underWayBytes = 0;
        bool underWay = false;
    };

    OutgoingBatch takeBatch(Lane lane, Queue &queue);
    void dropOldest(Queue &queue);

    std::shared_ptr<SendBudget> m_budget;
    std::array<Queue, LaneCount> m_queues;
};

}
