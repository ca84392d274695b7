#pragma once

#include "proxy/proxytypes.h"

#include "control.pb.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace cumindyke
{

/// Which part of a service's requests goes to which version.
struct VersionSplit
{
    /// The version a rollout moves to; empty: every version is as good as another.
    VersionName target;
    /// The next request is for the target. Otherwise it is for any other version.
    bool toTarget = false;
    /// Old versions may not be used any more, or the target may not.
    bool onlyThat = false;
};

struct PlacementQuery
{
    ServiceName service;
    VersionSplit versions;
    /// Tried before for this request.
    std::set<InstanceName> tried;
};

/// What this VM knows of each upstream: the platform's list, its own requests in flight, the other VMs' from the leader's sums, how fast
/// it answers, and whether it has just failed. Chooses where the next request goes. Pure: time is an argument.
class UpstreamBoard
{
public:
    explicit UpstreamBoard(DataCentreName here)
        : m_here(std::move(here))
    {
    }

    /// The platform's whole list. An entry whose name was used by an earlier process starts with nothing learned.
    void takeList(const std::vector<UpstreamInstance> &instances);
    void takeFleet(const v1::FleetTally &fleet);

    /// The upstream that will answer soonest, or none when all of them are full or out of use.
    const UpstreamInstance *choose(const PlacementQuery &query, TimePoint now) const;
    /// Whether the service has any upstream that could take a request once it has room.
    bool hasUsable(const PlacementQuery &query, TimePoint now) const;

    void sent(const InstanceName &name);
    void ended(const InstanceName &name);
    /// Milliseconds between events of a stream, or to a plain answer's end: how fast the upstream works.
    void observedPace(const InstanceName &name, double milliseconds);
    void succeeded(const InstanceName &name);
    /// It failed a request or could not be reached: it rests, longer with each failure in a row.
    void failed(const InstanceName &name, TimePoint now);
    /// It is full or leaving and said so: it rests a moment, without counting as a failure.
    void refused(const InstanceName &name, TimePoint now);
    /// Another process has its address.
    void misdirected(const InstanceName &name, TimePoint now);

    void fillTally(v1::EntryTally &tally);
    std::size_t size() const
    {
        return m_upstreams.size();
    }

private:
    struct Upstream
    {
        UpstreamInstance instance;
        std::uint32_t own = 0;
        /// Of the other VMs, as of the leader's last sums.
        std::uint32_t others = 0;
        /// What this VM said of its own in its last tally: the leader's sums hold it.
        std::uint32_t tallied = 0;
        double paceMs = 0;
        int failuresInARow = 0;
        TimePoint restsUntil{};
    };

    bool allowed(const Upstream &upstream, const PlacementQuery &query, TimePoint now) const;
    double fastestPace(const ServiceName &service) const;
    Upstream *find(const InstanceName &name);

    const DataCentreName m_here;
    std::map<InstanceName, Upstream> m_upstreams;
};

}
