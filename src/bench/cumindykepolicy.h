#pragma once

#include "bench/world.h"
#include "cell/cellscheduler.h"
#include "cell/grantpool.h"
#include "policy/lengthestimate.h"
#include "policy/servequeue.h"
#include "policy/shedding.h"

#include <map>
#include <optional>

namespace cumindyke
{

/// Switches that turn off single parts of the shipped decision code for an experiment.
struct CumindykeOptions
{
    PlacementOptions placement;
    bool adaptWindows = true;
    bool useCacheEvents = true;
    bool fairByWork = true;
    bool useSchedulers = true;
    bool keepSlots = true;
};

/// Runs the shipped decision code on emulated VMs: queues, grant books and cell schedulers as in the daemon, with timers, simulated
/// network delays and polling of the engines' load reports.
class CumindykePolicy
{
public:
    CumindykePolicy(World &world, const CumindykeOptions &options);

private:
    struct Vm
    {
        VmName name;
        std::map<ServiceName, PendingQueue> queues;
        GrantPool book;
        LengthEstimate lengths;
        std::unordered_map<std::uint32_t, Slot> slots;
        bool flushScheduled = false;
    };
    struct Cell
    {
        CellName name;
        ServiceName service;
        std::uint32_t dataCentre = 0;
        std::uint32_t hostVm = 0;
        Epoch epoch{1};
        std::optional<CellScheduler> scheduler;
        std::vector<std::uint32_t> upstreams;
        std::map<std::uint32_t, std::uint64_t> cacheSequences;
        bool stepScheduled = false;
    };

    void makeCells();
    void startScheduler(Cell &cell, TimePoint now);
    void handleArrival(const BenchRequest &request, TimePoint now);
    void enqueue(const BenchRequest &request, TimePoint now);
    void handleDispatchEnd(const BenchRequest &request, const BenchUpstream &upstream, DispatchResult result, TimePoint now);
    void handleVmFailure(std::uint32_t vm, TimePoint now);
    void handleSchedulerFailure(const std::string &cell, TimePoint now);
    void dispatchQueued(std::uint32_t vm, TimePoint now);
    void sweepQueues(std::uint32_t vm, TimePoint now);
    void scheduleFlush(std::uint32_t vm, TimePoint now);
    void flush(std::uint32_t vm, TimePoint now);
    void scheduleSchedulerStep(Cell &cell, TimePoint now);
    void stepScheduler(Cell &cell, TimePoint now);
    void pollEngines(Cell &cell, TimePoint now);

    World &m_world;
    CumindykeOptions m_options;
    std::map<ServiceName, VersionName> m_versions;
    Declarations m_declarations;
    std::vector<Vm> m_vms;
    std::map<CellName, Cell> m_cells;
    std::unordered_map<RequestId, std::uint32_t> m_requestIndexes;
};

}
