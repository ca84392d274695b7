#pragma once

#include "bench/workload.h"

#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>

namespace cumindyke
{

/// How a dispatch of a request ended.
enum class DispatchEnd {
    Whole, ///< the whole answer came
    NotSent, ///< the connection was refused: it has not run and may be dispatched again
    Lost, ///< the upstream died or failed while it ran
};

/// How a request ended.
enum class BenchEnd { None, OnTime, Late, Failed, Shed };

/// What happened to a request.
struct BenchRecord
{
    BenchEnd end = BenchEnd::None;
    std::optional<std::uint32_t> upstream;
    TimePoint dispatched;
    TimePoint firstToken;
    TimePoint ended;
    std::uint32_t refusedConnections = 0;
    /// Prompt tokens computed for it, and those of them that lay in another free upstream's cache.
    std::uint32_t prefilled = 0;
    std::uint32_t cachedElsewhere = 0;
};

/// An upstream of the experiment: an engine, and the faults it has.
struct BenchUpstream
{
    UpstreamName name;
    ServiceName service;
    VersionName version;
    std::uint32_t dataCentre = 0;
    std::uint32_t slots = 0;
    EngineSpeed speed;
    EngineModel engine;
    bool alive = true;
    double slowness = 1;
    /// Of the requests that finish, every failEvery-th fails instead (0: none). For moves to bad versions.
    std::uint32_t failEvery = 0;
    std::uint32_t finished = 0;
    std::unordered_map<RequestId, std::uint32_t> running;
    std::optional<TimePoint> stepScheduled;

    /// "SERVICE/DATA CENTRE", as in the daemon.
    std::string cell() const
    {
        return service.value + "/dc" + std::to_string(dataCentre);
    }
};

/// What the experiment counts over a run.
struct BenchCounters
{
    std::uint64_t dispatchedTwice = 0;
    std::uint64_t tierInversions = 0;
    std::uint64_t controlMessages = 0;
    std::uint64_t controlBytes = 0;
};

/// The fakes at the edges of the decision code: callers, engines, the network between VMs, and virtual time. A policy sets the
/// hooks, hears of arrivals, ends and faults through them, and acts by dispatch(), shed() and send().
class World
{
public:
    World(const Scenario &scenario, std::uint64_t seed);

    /// Hooks of the policy under test; all must be set before run().
    std::function<void(const BenchRequest &, TimePoint now)> arrived;
    std::function<void(const BenchRequest &, const BenchUpstream &, DispatchEnd, TimePoint now)> dispatchEnded;
    std::function<void(std::uint32_t vm, TimePoint now)> vmLost;
    std::function<void(const std::string &cell, TimePoint now)> schedulerLost;
    /// Observers of every end, for verdicts on versions and for tests.
    std::vector<std::function<void(const BenchRequest &, const BenchRecord &, TimePoint now)>> observers;

    /// Runs until every request has ended and no event is left before the end of the drain.
    void run();

    void dispatch(const BenchRequest &request, std::uint32_t upstream, TimePoint now);
    /// Refuses a request that waits: "not run".
    void shed(const BenchRequest &request, TimePoint now);
    /// Calls back at a time; events of one time run in the order in which they were asked for.
    void at(TimePoint when, std::function<void(TimePoint now)> event);
    /// Delivers a message of some bytes between data centres after the network's delay.
    void send(std::uint32_t fromDataCentre, std::uint32_t toDataCentre, std::size_t bytes, std::function<void(TimePoint now)> deliver);

    const Scenario &scenario() const
    {
        return m_scenario;
    }
    const std::vector<BenchRequest> &requests() const
    {
        return m_requests;
    }
    const std::vector<BenchRecord> &records() const
    {
        return m_records;
    }
    std::vector<BenchUpstream> &upstreams()
    {
        return m_upstreams;
    }
    std::uint32_t upstreamIndex(const UpstreamName &name) const
    {
        return m_upstreamIndex.at(name);
    }
    std::uint32_t dataCentreOfVm(std::uint32_t vm) const
    {
        return vm % m_scenario.dataCentres;
    }
    bool vmAlive(std::uint32_t vm) const
    {
        return m_vmAlive[vm];
    }
    BenchCounters &counters()
    {
        return m_counters;
    }
    /// True while requests are still to come or have not ended.
    bool busy() const
    {
        return m_ended < m_requests.size();
    }
    /// Sets an upstream's speed, for faults and bad versions.
    void setSlowness(std::uint32_t upstream, double factor);

private:
    struct Event
    {
        TimePoint when;
        std::uint64_t number;
        std::function<void(TimePoint)> run;
    };
    struct Later
    {
        bool operator()(const Event &left, const Event &right) const
        {
            return std::tie(left.when, left.number) > std::tie(right.when, right.number);
        }
    };

    void makeUpstreams();
    void scheduleFault(const ScenarioFault &fault);
    void arrive(std::uint32_t index, TimePoint now);
    void loseUpstream(std::uint32_t upstream, TimePoint now);
    void loseVm(std::uint32_t vm, TimePoint now);
    void step(std::uint32_t upstream, TimePoint now);
    void scheduleStep(std::uint32_t upstream);
    void finish(std::uint32_t index, BenchEnd end, TimePoint now);
    void finishDispatch(std::uint32_t upstream, std::uint32_t index, DispatchEnd end, TimePoint now);
    std::uint32_t cachedElsewhere(const BenchRequest &request, std::uint32_t upstream) const;
    bool lowerTierServedOrWaiting(const BenchRequest &request) const;

    Scenario m_scenario;
    std::vector<BenchRequest> m_requests;
    std::vector<BenchRecord> m_records;
    std::vector<BenchUpstream> m_upstreams;
    std::unordered_map<UpstreamName, std::uint32_t> m_upstreamIndex;
    std::vector<bool> m_vmAlive;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    std::uint64_t m_eventCount = 0;
    std::size_t m_ended = 0;
    TimePoint m_now;
    BenchCounters m_counters;
    /// Requests that have arrived and neither been dispatched nor ended, by service and tier.
    std::map<std::pair<ServiceName, TierRank>, std::uint32_t> m_waiting;
    /// When a request of a service and tier was last dispatched.
    std::map<std::pair<ServiceName, TierRank>, TimePoint> m_lastDispatch;
};

}
