#pragma once

#include "domain/declarations.h"

#include <map>

namespace cumindyke
{

/// Requests in flight per upstream, as this VM knows them, and the choice of the upstream with the smallest part of its slots in use.
class LeastOutstanding
{
public:
    /// The upstream of the service and version with a free slot and the smallest share in use, or null.
    const Upstream *choose(const Declarations &declarations, const ServiceName &service, const VersionName &version) const;
    void started(const UpstreamName &upstream);
    void ended(const UpstreamName &upstream);

private:
    std::uint32_t inFlight(const UpstreamName &upstream) const;

    std::map<UpstreamName, std::uint32_t> m_inFlight;
};

}
