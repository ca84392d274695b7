#pragma once

#include "bench/world.h"
#include "domain/declarations.h"
#include "policy/leastoutstanding.h"

#include <deque>
#include <map>

namespace cumindyke
{

/// The declarations that an experiment's upstreams stand for.
std::vector<Change> declarationsOf(World &world);

/// What a careful team has without coordination: on each entry VM a first-come queue per service and the shipped LeastOutstanding;
/// an upstream that refused a connection is left out for a second.
class BaselinePolicy
{
public:
    explicit BaselinePolicy(World &world);

private:
    struct Vm
    {
        std::map<ServiceName, std::deque<std::uint32_t>> queues;
        LeastOutstanding capacity;
        Declarations declarations;
        std::map<UpstreamName, TimePoint> refusedUntil;
    };

    void arrived(const BenchRequest &request, TimePoint now);
    void dispatchEnded(const BenchRequest &request, const BenchUpstream &upstream, DispatchEnd end, TimePoint now);
    void serve(std::uint32_t vm, const ServiceName &service, TimePoint now);
    void leaveOut(Vm &vm, const UpstreamName &upstream, TimePoint now);
    void takeBack(std::uint32_t vm, TimePoint now);

    World &m_world;
    std::vector<Change> m_changes;
    std::map<ServiceName, VersionName> m_versions;
    std::vector<Vm> m_vms;
};

}
