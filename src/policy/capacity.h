#pragma once

#include "domain/declarations.h"
#include "policy/pendingqueue.h"

#include <concepts>
#include <optional>

namespace cumindyke
{

/// Leave to send one request to one upstream.
struct Slot
{
    UpstreamName upstream;
    /// The grant it came from; 0 when it came from no scheduler.
    std::uint64_t grant = 0;
};

/// Where an entry VM's capacity comes from: a cell's grants, or this VM's own count of what it has in flight.
template<typename T>
concept CapacitySource
    = requires(T source, const PendingRequest &request, const Declarations &declarations, const VersionName &version, const Slot &slot, TimePoint now)
{
    // A slot for the request on an upstream of the version, or nothing for now.
    {
        source.acquire(request, declarations, version, now)
        } -> std::same_as<std::optional<Slot>>;
    // The request that used the slot has ended, or never went out.
    source.release(slot, now);
};

}
