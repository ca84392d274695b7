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

/// Bytes of all queued and in-flight messages to all peers together. Safe from any thread.
class SendBudget
{
public:
    void acquire(std::size_t bytes)
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
    /// Returns how many more bytes of bulk messages fit into the budget.
    std::size_t available() const;

private:
    std::atomic<std::size_t> m_held = 0;
};

/// Messages of one lane keep their order and share calls; messages of different lanes don't wait for each other.
enum class Lane {
    Log, ///< messages of the replicated log, which treats out-of-order messages as lost
    Signal, ///< small messages: heartbeats, leases, answers
    Bulk, ///< configurations and all other large messages
};
constexpr std::size_t LaneCount = 3;

/// Messages to one peer that are sent in one call.
struct OutgoingBatch
{
    Lane lane = Lane::Signal;
    std::vector<v1::Envelope> envelopes;
    std::size_t bytes = 0;
    /// Timeout of the call; its messages are lost when the call does not finish within it.
    Duration timeout{};
};

/// The messages queued for one peer. Pure logic without I/O: decides which messages the next call carries, and which are dropped when too
/// many are queued. Messages may be lost, duplicated or delayed: every sender resends what it needs.
class OutgoingQueue
{
public:
    explicit OutgoingQueue(std::shared_ptr<SendBudget> budget);
    ~OutgoingQueue();
    OutgoingQueue(const OutgoingQueue &) = delete;
    OutgoingQueue &operator=(const OutgoingQueue &) = delete;

    /// Enqueues a message and drops the oldest messages of its lane while the lane is full. Returns the number of dropped messages, the new
    /// one included.
    std::size_t push(v1::Envelope envelope);
    /// Returns the next batch of a lane that has queued messages and no call in flight; empty if there is none.
    std::optional<OutgoingBatch> next();
    /// Records that the call of a lane has ended.
    void endCall(Lane lane);

    std::size_t queuedCount() const;

private:
    struct Message
    {
        v1::Envelope envelope;
        std::size_t bytes = 0;
    };
    struct Queue
    {
        std::deque<Message> messages;
        std::size_t queuedBytes = 0;
        std::size_t inFlightBytes = 0;
        bool isCallInFlight = false;
    };

    OutgoingBatch takeBatch(Lane lane, Queue &queue);
    void dropOldest(Queue &queue);

    std::shared_ptr<SendBudget> m_budget;
    std::array<Queue, LaneCount> m_queues;
};

}
