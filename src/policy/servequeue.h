#pragma once

#include "policy/capacity.h"

namespace cumindyke
{

/// Maximum number of queued requests that one pass examines; requests further back are not in the demand to the schedulers either.
constexpr std::size_t MaxServedPerPass = 128;

/// Assigns the source's capacity to queued requests in the queue's order. A request that gets no slot does not block those behind it:
/// during a version move the free capacity may belong to another version, and a grant may be for another request. dispatch(request, slot)
/// is called after the request has been dequeued.
template<CapacitySource Source, typename Dispatch>
void serveQueue(PendingQueue &queue, Source &source, const Declarations &declarations, const VersionName &serviceVersion, TimePoint now, Dispatch dispatch)
{
    if constexpr (requires { source.exhausted(now); }) {
        if (source.exhausted(now)) {
            return;
        }
    }
    for (const PendingRequest *waiting : queue.inOrder(MaxServedPerPass)) {
        const VersionName &version = waiting->version.value.empty() ? serviceVersion : waiting->version;
        const std::optional<Slot> slot = source.acquire(*waiting, declarations, version, now);
        if (!slot) {
            continue;
        }
        const PendingRequest request = *waiting;
        queue.dequeue(request.id);
        dispatch(request, *slot);
    }
}

}
