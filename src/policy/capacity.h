#pragma once

#include "domain/declarations.h"
#include "policy/pendingqueue.h"

#include <concepts>
#include <optional>

namespace cumindyke
{

/// The right to send one request to one upstream.
struct Slot
{
    UpstreamName upstream;
    /// Number under which the capacity source tracks the slot; 0 when the source does not track slots one by one.
    std::uint64_t grant = 0;
};

/// Supplies an entry VM with slots, from the grants of the cells' schedulers or from this VM's own count of its requests in flight.
template<typename T>
concept CapacitySource
    = requires(T source, const PendingRequest &request, const Declarations &declarations, const VersionName &version, const Slot &slot, TimePoint now)
{
    // Returns a slot for the request on an upstream of the version, or nothing while none is free.
    {
        source.acquire(request, declarations, version, now)
        } -> std::same_as<std::optional<Slot>>;
    // Releases a slot whose request has ended or was never sent.
    source.release(slot, now);
};

}
