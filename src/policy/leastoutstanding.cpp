#include "policy/leastoutstanding.h"

namespace cumindyke
{

const Upstream *LeastOutstanding::choose(const Declarations &declarations, const ServiceName &service, const VersionName &version) const
{
    const Upstream *best = nullptr;
    double bestShare = 1;
    for (const auto &[name, upstream] : declarations.upstreams()) {
        if (upstream.service != service || upstream.version != version) {
            continue;
        }
        const double share = static_cast<double>(inFlight(name)) / upstream.slots;
        if (share < bestShare) {
            best = &upstream;
            bestShare = share;
        }
    }
    return best;
}

void LeastOutstanding::started(const UpstreamName &upstream)
{
    ++m_inFlight[upstream];
}

void LeastOutstanding::ended(const UpstreamName &upstream)
{
    const auto found = m_inFlight.find(upstream);
    if (found != m_inFlight.end() && --found->second == 0) {
        m_inFlight.erase(found);
    }
}

std::uint32_t LeastOutstanding::inFlight(const UpstreamName &upstream) const
{
    const auto found = m_inFlight.find(upstream);
    return found == m_inFlight.end() ? 0 : found->second;
}

}
