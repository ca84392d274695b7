#pragma once

#include "bench/workload.h"

#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>

namespace cumindyke
{

/// Result of one attempt to dispatch a request.
enum class DispatchResult {
    Completed, ///< the whole answer arrived
    ConnectionRefused, ///< the upstream did not receive the request, which may be dispatched again
    Failed, ///< the upstream died or failed while it ran the request
};

/// Final result of a request.
enum class RequestResult { Pending, OnTime, Late, Failed, Shed };

/// What happened to a request so far.
struct BenchRecord
{
    RequestResult result = RequestResult::Pending;
    std::optional<std::uint32_t> upstream;
    TimePoint dispatchedAt;
    TimePoint firstTokenAt;
    TimePoint endedAt;
    std::uint32_t refusedConnections = 0;
    /// Prompt tokens computed for the request, and how many of them another upstream with a free slot had cached.
    std::uint32_t prefilled = 0;
    std::uint32_t cachedOnOtherUpstream = 0;
};

/// An upstream of the experiment: an engine with its present faults.
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
    /// Every failureInterval-th request that finishes is reported as failed (0: none). For moves to bad versions.
    std::uint32_t failureInterval = 0;
    std::uint32_t finishedCount = 0;
    std::unordered_map<RequestId, std::uint32_t> running;
    std::optional<TimePoint> scheduledStepAt;

    /// Returns the name of the cell, "SERVICE/DATA CENTRE" as in the daemon.
    std::string cell() const
    {
        return service.value + "/dc" + std::to_string(dataCentre);
    }
};

/// Counters of a run.
struct BenchCounters
{
    std::uint64_t dispatchedTwice = 0;
    std::uint64_t tierInversions = 0;
    std::uint64_t controlMessages = 0;
    std::uint64_t controlBytes = 0;
};

/// Simulates the environment of the decision code: callers, engines, the network between VMs, and virtual time. A policy sets the
/// callbacks for arrivals, ended dispatches and faults, and acts through dispatch(), shed() and send().
class World
{
public:
    World(const Scenario &scenario, std::uint64_t seed);

    /// Callbacks of the policy under test, to be set before run(). onArrival and onDispatchEnded are required.
    std::function<void(const BenchRequest &, TimePoint now)> onArrival;
    std::function<void(const BenchRequest &, const BenchUpstream &, DispatchResult, TimePoint now)> onDispatchEnded;
    std::function<void(std::uint32_t vm, TimePoint now)> onVmFailed;
    std::function<void(const std::string &cell, TimePoint now)> onSchedulerFailed;
    /// Called with the result of every request, for verdicts on versions and for tests.
    std::vector<std::function<void(const BenchRequest &, const BenchRecord &, TimePoint now)>> observers;

    /// Runs until every request has ended or no event is left.
    void run();

    void dispatch(const BenchRequest &request, std::uint32_t upstream, TimePoint now);
    /// Refuses a waiting request with the answer "not run".
    void shed(const BenchRequest &request, TimePoint now);
    /// Schedules a callback; callbacks for the same time run in the order in which they were scheduled.
    void schedule(TimePoint when, std::function<void(TimePoint now)> event);
    /// Delivers a message after the network delay and counts its bytes.
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
        return m_upstreamIndexes.at(name);
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
    /// Returns whether requests have not arrived or not ended yet.
    bool hasUnfinishedRequests() const
    {
        return m_finishedCount < m_requests.size();
    }
    /// Sets the slowdown factor of an upstream, for faults and bad versions.
    void setSlowness(std::uint32_t upstream, double factor);

private:
    struct Event
    {
        TimePoint when;
        std::uint64_t sequence;
        std::function<void(TimePoint)> callback;
    };
    struct RunsLater
    {
        bool operator()(const Event &left, const Event &right) const
        {
            return std::tie(left.when, left.sequence) > std::tie(right.when, right.sequence);
        }
    };

    void makeUpstreams();
    void scheduleFault(const ScenarioFault &fault);
    void handleArrival(std::uint32_t index, TimePoint now);
    void failUpstream(std::uint32_t upstream, TimePoint now);
    void failVm(std::uint32_t vm, TimePoint now);
    void advanceEngine(std::uint32_t upstream, TimePoint now);
    void scheduleEngineStep(std::uint32_t upstream);
    void finishRequest(std::uint32_t index, RequestResult result, TimePoint now);
    void finishDispatch(std::uint32_t upstream, std::uint32_t index, DispatchResult result, TimePoint now);
    std::uint32_t cachedOnOtherUpstream(const BenchRequest &request, std::uint32_t upstream) const;
    bool lowerTierDispatchedOrWaiting(const BenchRequest &request) const;

    Scenario m_scenario;
    std::vector<BenchRequest> m_requests;
    std::vector<BenchRecord> m_records;
    std::vector<BenchUpstream> m_upstreams;
    std::unordered_map<UpstreamName, std::uint32_t> m_upstreamIndexes;
    std::vector<bool> m_vmAlive;
    std::priority_queue<Event, std::vector<Event>, RunsLater> m_events;
    std::uint64_t m_eventSequence = 0;
    std::size_t m_finishedCount = 0;
    TimePoint m_now;
    BenchCounters m_counters;
    /// Requests that have arrived and neither been dispatched nor ended, by service and tier.
    std::map<std::pair<ServiceName, TierRank>, std::uint32_t> m_waitingCounts;
    /// Time of the last dispatch, by service and tier.
    std::map<std::pair<ServiceName, TierRank>, TimePoint> m_lastDispatchedAt;
};

}
