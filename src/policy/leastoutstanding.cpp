#include "policy/leastoutstanding.h"

namespace cumindyke
{

std::optional<Slot> LeastOutstanding::acquire(const PendingRequest &request, const Declarations &declarations, const VersionName &version, TimePoint /*now*/)
{
    const Upstream *best = nullptr;
    double lowestUtilisation = 1;
    for (const auto &[name, upstream] : declarations.upstreams()) {
        if (upstream.service != request.service || upstream.version != version) {
            continue;
        }
        const double utilisation = static_cast<double>(inFlight(name)) / upstream.slots;
        if (utilisation < lowestUtilisation) {
            best = &upstream;
            lowestUtilisation = utilisation;
        }
    }
    if (!best) {
        return {};
    }
    ++m_inFlight[best->name];
    return Slot{.upstream = best->name};
}

void LeastOutstanding::release(const Slot &slot, TimePoint /*now*/)
{
    const auto found = m_inFlight.find(slot.upstream);
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
