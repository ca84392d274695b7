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

/// One VM's part in version moves: which version a request gets, and what became of the requests of each version.
class VersionTraffic
{
public:
    VersionTraffic(VmName vm, std::string incarnation, Metrics &metrics);

    void setMoves(const std::vector<v1::Move> &moves, const Declarations &declarations);
    /// The version that a request is meant for from its arrival on; empty: the service's declared one.
    VersionName choose(const CallerRequest &request, TimePoint now) const;
    /// The version it may go to now: the declared one when the move has ended or is tripped meanwhile.
    VersionName confirm(const Service &service, const VersionName &meant, TimePoint now) const;
    /// Upstreams that a move gives nothing at its present share.
    const std::set<UpstreamName> &restingUpstreams() const
    {
        return m_resting;
    }

    /// The request goes to the upstream, which has so many of its slots in use by this VM.
    void sent(const CallerRequest &request, const Upstream &upstream, TimePoint now);
    /// So many tokens of its answer have come.
    void tokensCame(const RequestId &id, std::uint64_t tokens, TimePoint now);
    /// Its run ended.
    void ended(const RequestId &id, RunResult::Kind kind, TimePoint deadline, TimePoint now);
    /// The request is over for its caller, sent or not: counted for the burn report. A run still under way says nothing of the version.
    void finished(const CallerRequest &request, RequestEnd end);

    /// All counters, for the leader; counts what waits too long meanwhile.
    v1::OutcomeReport report(TimePoint now);
    bool isTripped(const ServiceName &service, TimePoint now) const
    {
        return m_router.isTripped(service, now);
    }

private:
    struct Running
    {
        OutcomeKey key;
        UpstreamName upstream;
        TimePoint sentAt;
        TimePoint firstTokenAt{};
        std::uint8_t passed = 0;
        bool hasFirstToken = false;
        bool hasPace = false;
    };

    void countPace(Running &running, std::uint64_t tokens, TimePoint now);
    void forget(std::map<RequestId, Running>::iterator running);
    void note(const Move &move);

    const VmName m_vm;
    const std::string m_incarnation;
    Metrics &m_metrics;
    std::uint64_t m_sequence = 0;
    std::map<MoveName, MoveState> m_states;
    VersionRouter m_router;
    OutcomeCounters m_counters;
    std::set<UpstreamName> m_resting;
    std::map<RequestId, Running> m_running;
    std::map<UpstreamName, std::uint32_t> m_inFlight;
};

}
