#pragma once

#include "common/metrics.h"
#include "entry/activerequest.h"
#include "policy/outcomecounters.h"
#include "policy/versionrouter.h"
#include "report/requestendcounters.h"

#include "declarations.pb.h"
#include "report.pb.h"

#include <map>
#include <memory>
#include <string>

namespace cumindyke
{

/// Version moves on one entry VM: chooses the version of each request and counts the outcomes of each version's requests.
class VersionTraffic
{
public:
    VersionTraffic(VmName vm, std::string incarnation, Metrics &metrics);

    void setMoves(const std::vector<v1::Move> &moves, const Declarations &declarations, const std::set<DataCentreName> &evacuated);
    /// Returns the version for a new request; empty: the service's declared version.
    VersionName chooseVersion(const CallerRequest &request, TimePoint now) const;
    /// Returns the chosen version while its move is open and not tripped, else the service's declared version.
    VersionName confirmVersion(const Service &service, const VersionName &chosen, TimePoint now) const;
    /// Upstreams that get no new requests: see excludedUpstreams() in domain/move.h.
    const std::set<UpstreamName> &excludedUpstreams() const
    {
        return m_excludedUpstreams;
    }

    /// Records that the request is sent to the upstream. Its load class is the ratio of the upstream's slots that this VM uses already.
    void recordSent(const CallerRequest &request, const Upstream &upstream, TimePoint now);
    /// Records the number of tokens of the answer received so far.
    void recordTokens(const RequestId &id, std::uint64_t tokens, TimePoint now);
    /// Records the end of the request's attempt.
    void recordAttemptEnd(const RequestId &id, AttemptResult::Kind kind, TimePoint deadline, TimePoint now);
    /// Records the final answer to the caller, of a request sent or not, for the burn report. An attempt still in progress is not counted for
    /// its version.
    void recordRequestEnd(const CallerRequest &request, RequestEnd end);

    /// Returns all counters, for the leader, after counting the requests that still wait for their first token.
    v1::OutcomeReport outcomeReport(TimePoint now);
    bool isTripped(const ServiceName &service, TimePoint now) const
    {
        return m_router.isTripped(service, now);
    }

private:
    struct RunningAttempt
    {
        OutcomeKey key;
        UpstreamName upstream;
        TimePoint sentAt;
        TimePoint firstTokenAt{};
        std::uint8_t firstTokenBoundsPassed = 0;
        bool hasFirstToken = false;
        bool paceRecorded = false;
    };

    void recordPace(RunningAttempt &attempt, std::uint64_t tokens, TimePoint now);
    void removeAttempt(std::map<RequestId, RunningAttempt>::iterator attempt);
    void recordMoveState(const Move &move);

    const VmName m_vm;
    const std::string m_incarnation;
    Metrics &m_metrics;
    std::uint64_t m_sequence = 0;
    std::map<MoveName, MoveState> m_moveStates;
    VersionRouter m_router;
    OutcomeCounters m_counters;
    std::set<UpstreamName> m_excludedUpstreams;
    std::map<RequestId, RunningAttempt> m_runningAttempts;
    std::map<UpstreamName, std::uint32_t> m_inFlight;
};

}
