#pragma once

#include "bench/world.h"
#include "domain/declarations.h"
#include "policy/leastoutstanding.h"

#include <deque>
#include <map>

namespace cumindyke
{

/// Returns the declarations of the scenario's organisations and upstreams.
std::vector<Change> scenarioDeclarations(World &world);

/// The baseline without coordination between VMs: each entry VM has a first-come, first-served queue per service and the shipped
/// LeastOutstanding, and ejects an upstream that refused a connection for a second.
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
        std::map<UpstreamName, TimePoint> ejectedUntil;
    };

    void handleArrival(const BenchRequest &request, TimePoint now);
    void handleDispatchEnd(const BenchRequest &request, const BenchUpstream &upstream, DispatchResult result, TimePoint now);
    void dispatchQueued(std::uint32_t vm, const ServiceName &service, TimePoint now);
    void eject(Vm &vm, const UpstreamName &upstream, TimePoint now);
    void updateDeclarations(std::uint32_t vm, TimePoint now);

    World &m_world;
    std::vector<Change> m_declarationChanges;
    std::map<ServiceName, VersionName> m_versions;
    std::vector<Vm> m_vms;
};

}
