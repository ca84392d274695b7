#pragma once

#include "common/types.h"

#include <cstdint>

/// Which request goes to which upstream, and when: decisions only, no sockets and no clocks.
namespace cumindyke
{

/// One try of a request, from the moment it waits for room until its sending ended. Unique in a process.
using PlacementId = Strong<struct PlacementIdTag, std::uint64_t>;

/// One process of an upstream. The platform names each start of it anew, or uses the name again: see "born".
using InstanceName = Strong<struct InstanceNameTag, std::string>;

/// An entry of the platform's list of upstreams.
struct UpstreamInstance
{
    InstanceName name;
    ServiceName service;
    Address address;
    DataCentreName dataCentre;
    VersionName version;
    /// Requests it runs at once.
    std::uint32_t slots = 1;
    /// It leaves: it gets no new work.
    bool draining = false;
    /// Milliseconds since 1970 of its start; 0: not told. With the name it tells one process from the next at the same name.
    std::int64_t startedAtMs = 0;

    bool operator==(const UpstreamInstance &) const = default;
};

/// The list of upstreams is read every second; an attempt that fails takes less than another.
constexpr Duration MaxListAge = std::chrono::milliseconds(2000);

}
