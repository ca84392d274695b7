#include "relay/relaychoice.h"

#include <algorithm>

namespace cumindyke
{

void RelayChoice::setFleet(const v1::FleetTally &fleet)
{
    m_candidates.clear();
    for (const v1::PlacementVm &vm : fleet.placement_vms()) {
        m_candidates.push_back(Candidate{.vm = VmName{vm.vm()}, .dataCentre = DataCentreName{vm.data_centre()}});
    }
    std::erase_if(m_excludedUntil, [this](const auto &pair) { return !isMember(pair.first); });
}

bool RelayChoice::isMember(const VmName &vm) const
{
    return std::ranges::any_of(m_candidates, [&vm](const Candidate &candidate) { return candidate.vm == vm; });
}

bool RelayChoice::isUsable(const Candidate &candidate, const std::optional<std::set<RegionName>> &homeRegions, TimePoint now) const
{
    const auto excluded = m_excludedUntil.find(candidate.vm);
    if (candidate.vm == m_self || (excluded != m_excludedUntil.end() && now < excluded->second)) {
        return false;
    }
    if (!homeRegions) {
        return true;
    }
    const auto region = m_regions.find(candidate.dataCentre);
    return region != m_regions.end() && homeRegions->contains(region->second);
}

bool RelayChoice::hasUsable(const std::optional<std::set<RegionName>> &homeRegions, TimePoint now) const
{
    return std::ranges::any_of(m_candidates, [&](const Candidate &candidate) { return isUsable(candidate, homeRegions, now); });
}

std::optional<VmName> RelayChoice::next(const std::optional<std::set<RegionName>> &homeRegions, TimePoint now)
{
    for (const bool isLocalTurn : {true, false}) {
        for (std::size_t i = 0; i < m_candidates.size(); ++i) {
            const std::size_t index = (m_turn + 1 + i) % m_candidates.size();
            const Candidate &candidate = m_candidates[index];
            if ((candidate.dataCentre == m_localDataCentre) == isLocalTurn && isUsable(candidate, homeRegions, now)) {
                m_turn = index;
                return candidate.vm;
            }
        }
    }
    return {};
}

}
