#pragma once

#include "policy/capacity.h"

#include <map>

namespace cumindyke
{

/// Counts this VM's requests in flight per upstream and grants a slot on the upstream with the smallest share of its slots in use.
/// This is the baseline policy: it needs no coordination between VMs.
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
