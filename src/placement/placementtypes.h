#pragma once

#include "common/types.h"

#include <algorithm>
#include <cstdint>
#include <optional>

/// Placement: the decision which request is sent to which upstream, and when. Contains no sockets and no clocks.
namespace cumindyke
{

/// Identifies one attempt of a request, from entering the queue until the attempt ends. Unique within a process.
using PlacementId = Strong<struct PlacementIdTag, std::uint64_t>;

/// Name of an upstream process. The platform may give a restarted process a new name or reuse the old one: see "startedAtMs".
using InstanceName = Strong<struct InstanceNameTag, std::string>;

/// An entry of the platform's list of upstreams.
struct UpstreamInstance
{
    InstanceName name;
    ServiceName service;
    Address address;
    DataCentreName dataCentre;
    VersionName version;
    /// Number of requests that the upstream runs concurrently.
    std::uint32_t slots = 1;
    /// The upstream is shutting down and gets no new requests.
    bool draining = false;
    /// Start time of the process in milliseconds since 1970; 0: unknown. Together with the name it distinguishes a process from a successor of
    /// the same name.
    std::int64_t startedAtMs = 0;
    /// How long the process is still cold after its start; none: unknown.
    std::optional<Duration> coldFor = Duration::zero();

    bool operator==(const UpstreamInstance &) const = default;
};

/// Decisions of a placement server that settings switch on; without them it decides as before.
struct PlacementFeatures
{
    /// Within a rank, organisations share what is short by the work that their requests cost.
    bool fairShares = false;
    /// An organisation over its limit spends it on its most urgent requests, wherever they arrive.
    bool rankedLimits = false;
    /// Requests that can't be in time are refused at their arrival, and refused ones are told when there is room for them.
    bool plannedReturns = false;
    /// Slots are left to other data centres in which more urgent requests wait.
    bool sharedWaiting = false;
};

/// Milliseconds as written into messages, which hold no negative numbers.
inline std::uint32_t wireMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, wholeMilliseconds(duration)));
}

/// The list of upstreams is read every second; a failed read takes less than another second.
constexpr Duration MaxListAge = std::chrono::milliseconds(2000);

}
