#pragma once

#include "common/types.h"

#include "peer.pb.h"

#include <optional>
#include <vector>

namespace cumindyke
{

/// Messages for one peer that go in one call.
struct OutgoingBatch
{
    std::vector<v1::Envelope> envelopes;
    /// The call is given up after this, and its messages are lost.
    Duration deadline{};
};

/// What waits for one peer, pure: decides what goes in the next call. Messages may be lost, repeated or late: every sender resends what it needs.
class OutgoingQueue
{
public:
    /// Adds a message; the oldest goes when the queue is full. Returns how many were dropped.
    std::size_t push(v1::Envelope envelope);
    /// The next call, if something waits and no call is under way.
    std::optional<OutgoingBatch> next();
    /// The call that is under way has ended.
    void ended();

    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    std::vector<v1::Envelope> m_waiting;
    bool m_underWay = false;
};

}
