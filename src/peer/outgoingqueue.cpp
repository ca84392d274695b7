#include "peer/outgoingqueue.h"

#include "peer/transfertime.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Longer than any healthy round trip between data centres, and shorter than a lease.
constexpr Duration BaseCallTimeout = std::chrono::milliseconds(1000);
/// Limits on the messages queued for one lane of an unreachable peer. The oldest are dropped first, since every sender resends.
constexpr std::size_t MaxQueuedMessages = 4096;
constexpr std::size_t MaxQueuedBytes = 4 << 20;
constexpr std::size_t MaxBatchMessages = 256;
constexpr std::size_t MaxBatchBytes = 512 << 10;
/// Larger messages go to the bulk lane, since they would delay the small ones behind them.
constexpr std::size_t MaxSignalBytes = 16 << 10;
/// For all peers together: an eighth of the memory of a small VM.
constexpr std::size_t MaxHeldBytes = 32 << 20;

Lane laneOf(const v1::Envelope &envelope, std::size_t bytes)
{
    if (envelope.has_raft()) {
        return Lane::Log;
    }
    return envelope.has_config_update() || bytes > MaxSignalBytes ? Lane::Bulk : Lane::Signal;
}

}

std::size_t SendBudget::available() const
{
    const std::size_t held = m_held;
    return held < MaxHeldBytes ? MaxHeldBytes - held : 0;
}

OutgoingQueue::OutgoingQueue(std::shared_ptr<SendBudget> budget)
    : m_budget(std::move(budget))
{
}

OutgoingQueue::~OutgoingQueue()
{
    for (const Queue &queue : m_queues) {
        m_budget->release(queue.queuedBytes + queue.inFlightBytes);
    }
}

std::size_t OutgoingQueue::push(v1::Envelope envelope)
{
    const std::size_t bytes = envelope.ByteSizeLong();
    const Lane lane = laneOf(envelope, bytes);
    Queue &queue = m_queues[static_cast<std::size_t>(lane)];
    std::size_t dropped = 0;
    while (!queue.messages.empty() && (queue.messages.size() >= MaxQueuedMessages || queue.queuedBytes + bytes > MaxQueuedBytes)) {
        dropOldest(queue);
        dropped += 1;
    }
    while (lane == Lane::Bulk && !queue.messages.empty() && bytes > m_budget->available()) {
        dropOldest(queue);
        dropped += 1;
    }
    if (lane == Lane::Bulk && bytes > m_budget->available()) {
        return dropped + 1;
    }
    m_budget->acquire(bytes);
    queue.queuedBytes += bytes;
    queue.messages.push_back(Message{.envelope = std::move(envelope), .bytes = bytes});
    return dropped;
}

void OutgoingQueue::dropOldest(Queue &queue)
{
    m_budget->release(queue.messages.front().bytes);
    queue.queuedBytes -= queue.messages.front().bytes;
    queue.messages.pop_front();
}

std::optional<OutgoingBatch> OutgoingQueue::next()
{
    for (std::size_t lane = 0; lane < LaneCount; ++lane) {
        Queue &queue = m_queues[lane];
        if (!queue.isCallInFlight && !queue.messages.empty()) {
            return takeBatch(static_cast<Lane>(lane), queue);
        }
    }
    return {};
}

OutgoingBatch OutgoingQueue::takeBatch(Lane lane, Queue &queue)
{
    OutgoingBatch batch{.lane = lane};
    while (!queue.messages.empty() && batch.envelopes.size() < MaxBatchMessages) {
        Message &message = queue.messages.front();
        if (!batch.envelopes.empty() && batch.bytes + message.bytes > MaxBatchBytes) {
            break;
        }
        batch.bytes += message.bytes;
        batch.envelopes.push_back(std::move(message.envelope));
        queue.messages.pop_front();
    }
    batch.timeout = BaseCallTimeout + transferTimeout(batch.bytes);
    queue.queuedBytes -= batch.bytes;
    queue.inFlightBytes = batch.bytes;
    queue.isCallInFlight = true;
    return batch;
}

void OutgoingQueue::endCall(Lane lane)
{
    Queue &queue = m_queues[static_cast<std::size_t>(lane)];
    queue.isCallInFlight = false;
    m_budget->release(std::exchange(queue.inFlightBytes, 0));
}

std::size_t OutgoingQueue::queuedCount() const
{
    std::size_t count = 0;
    for (const Queue &queue : m_queues) {
        count += queue.messages.size();
    }
    return count;
}

}
