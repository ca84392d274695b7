#pragma once

#include "policy/capacity.h"

namespace cumindyke
{

/// Waiting requests that one pass looks at; those behind them are not in the demand either.
constexpr std::size_t MaxServedPerPass = 128;

/// Gives the source's capacity to waiting requests, in the queue's order. A request that gets no slot does not hold up those behind it:
/// with a version move under way the capacity may be another version's, and a grant may be for another request. dispatch(request, slot)
/// is called after the request has left the queue.
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
