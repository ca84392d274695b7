#include "peer/outgoingqueue.h"

#include <algorithm>
#include <iterator>

namespace cumindyke
{

namespace
{

/// Longer than any healthy round trip between data centres; shorter than a lease.
constexpr Duration CallDeadline = std::chrono::milliseconds(1000);
/// What waits for an unreachable peer is bounded; the oldest goes first, since every sender resends.
constexpr std::size_t MaxWaiting = 4096;
constexpr std::size_t MaxBatch = 256;

}

std::size_t OutgoingQueue::push(v1::Envelope envelope)
{
    std::size_t dropped = 0;
    if (m_waiting.size() >= MaxWaiting) {
        m_waiting.erase(m_waiting.begin());
        dropped = 1;
    }
    m_waiting.push_back(std::move(envelope));
    return dropped;
}

std::optional<OutgoingBatch> OutgoingQueue::next()
{
    if (m_underWay || m_waiting.empty()) {
        return {};
    }
    m_underWay = true;
    const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(std::min(m_waiting.size(), MaxBatch));
    OutgoingBatch batch{.envelopes = {std::make_move_iterator(m_waiting.begin()), std::make_move_iterator(end)}, .deadline = CallDeadline};
    m_waiting.erase(m_waiting.begin(), end);
    return batch;
}

void OutgoingQueue::ended()
{
    m_underWay = false;
}

}
