#include "peer/outgoingqueue.h"

#include "peer/transfertime.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Longer than any healthy round trip between data centres, and shorter than a lease.
constexpr Duration CallDeadline = std::chrono::milliseconds(1000);
/// Limits on the messages queued for one lane of an unreachable peer. The oldest are dropped first, since every sender resends.
constexpr std::size_t MaxWaiting = 4096;
constexpr std::size_t MaxWaitingBytes = 4 << 20;
constexpr std::size_t MaxBatch = 256;
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

std::size_t SendBudget::room() const
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
        m_budget->release(queue.waitingBytes + queue.underWayBytes);
    }
}

std::size_t OutgoingQueue::push(v1::Envelope envelope)
{
    const std::size_t bytes = envelope.ByteSizeLong();
    const Lane lane = laneOf(envelope, bytes);
    Queue &queue = m_queues[static_cast<std::size_t>(lane)];
    std::size_t dropped = 0;
    while (!queue.waiting.empty() && (queue.waiting.size() >= MaxWaiting || queue.waitingBytes + bytes > MaxWaitingBytes)) {
        dropOldest(queue);
        dropped += 1;
    }
    while (lane == Lane::Bulk && !queue.waiting.empty() && bytes > m_budget->room()) {
        dropOldest(queue);
        dropped += 1;
    }
    if (lane == Lane::Bulk && bytes > m_budget->room()) {
        return dropped + 1;
    }
    m_budget->add(bytes);
    queue.waitingBytes += bytes;
    queue.waiting.push_back(Message{.envelope = std::move(envelope), .bytes = bytes});
    return dropped;
}

void OutgoingQueue::dropOldest(Queue &queue)
{
    m_budget->release(queue.waiting.front().bytes);
    queue.waitingBytes -= queue.waiting.front().bytes;
    queue.waiting.pop_front();
}

std::optional<OutgoingBatch> OutgoingQueue::next()
{
    for (std::size_t lane = 0; lane < LaneCount; ++lane) {
        Queue &queue = m_queues[lane];
        if (!queue.underWay && !queue.waiting.empty()) {
            return takeBatch(static_cast<Lane>(lane), queue);
        }
    }
    return {};
}

OutgoingBatch OutgoingQueue::takeBatch(Lane lane, Queue &queue)
{
    OutgoingBatch batch{.lane = lane};
    while (!queue.waiting.empty() && batch.envelopes.size() < MaxBatch) {
        Message &message = queue.waiting.front();
        if (!batch.envelopes.empty() && batch.bytes + message.bytes > MaxBatchBytes) {
            break;
        }
        batch.bytes += message.bytes;
        batch.envelopes.push_back(std::move(message.envelope));
        queue.waiting.pop_front();
    }
    batch.deadline = CallDeadline + transferTime(batch.bytes);
    queue.waitingBytes -= batch.bytes;
    queue.underWayBytes = batch.bytes;
    queue.underWay = true;
    return batch;
}

void OutgoingQueue::ended(Lane lane)
{
    Queue &queue = m_queues[static_cast<std::size_t>(lane)];
    queue.underWay = false;
    m_budget->release(std::exchange(queue.underWayBytes, 0));
}

std::size_t OutgoingQueue::waiting() const
{
    std::size_t count = 0;
    for (const Queue &queue : m_queues) {
        count += queue.waiting.size();
    }
    return count;
}

}
