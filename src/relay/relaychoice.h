#pragma once

#include "common/types.h"

#include "control.pb.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cumindyke
{

/// Chooses the VM through which requests are sent while this VM has no path to the upstreams. Pure: time is an argument.
///
/// Takes the VMs of its own data centre in turn, then those of the others. One that could not be used is left out for a while.
class RelayChoice
{
public:
    RelayChoice(VmName self, DataCentreName localDataCentre, std::map<DataCentreName, RegionName> regions)
        : m_self(std::move(self))
        , m_localDataCentre(std::move(localDataCentre))
        , m_regions(std::move(regions))
    {
    }

    void setFleet(const v1::FleetTally &fleet);
    /// "homeRegions": the regions in which the request's body may be; none: all.
    std::optional<VmName> next(const std::optional<std::set<RegionName>> &homeRegions, TimePoint now);
    /// Whether next() would return a VM.
    bool hasUsable(const std::optional<std::set<RegionName>> &homeRegions, TimePoint now) const;
    void recordFailure(const VmName &vm, TimePoint now)
    {
        m_excludedUntil[vm] = now + ExclusionTime;
    }

private:
    /// A VM that has no path either, or is down, is asked again after this time.
    static constexpr Duration ExclusionTime = std::chrono::seconds(1);

    struct Candidate
    {
        VmName vm;
        DataCentreName dataCentre;
    };

    bool isMember(const VmName &vm) const;
    bool isUsable(const Candidate &candidate, const std::optional<std::set<RegionName>> &homeRegions, TimePoint now) const;

    const VmName m_self;
    const DataCentreName m_localDataCentre;
    const std::map<DataCentreName, RegionName> m_regions;
    std::vector<Candidate> m_candidates;
    std::map<VmName, TimePoint> m_excludedUntil;
    std::size_t m_turn = 0;
};

}
