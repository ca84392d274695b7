#pragma once

#include "policy/capacity.h"

#include <map>

namespace cumindyke
{

/// Requests in flight per upstream, as this VM knows them; gives a slot on the upstream with the smallest part of its slots in use.
/// The baseline that needs no coordination.
class LeastOutstanding
{
public:
    std::optional<Slot> acquire(const PendingRequest &request, const Declarations &declarations, const VersionName &version, TimePoint now);
    void release(const Slot &slot, TimePoint now);

private:
    std::uint32_t inFlight(const UpstreamName &upstream) const;

    std::map<UpstreamName, std::uint32_t> m_inFlight;
};

static_assert(CapacitySource<LeastOutstanding>);

}
