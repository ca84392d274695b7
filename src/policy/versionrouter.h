#pragma once

#include "domain/move.h"

#include <map>

namespace cumindyke
{

/// Chooses the version of each request on one entry VM while a move is in progress.
///
/// The new version's share comes from the replicated log. A hash of the request's id decides which requests get the new version, so a
/// request that is dispatched again keeps its version, and the requests of a smaller share are a subset of those of a larger one. Requests
/// that run at most once (keyed, or not idempotent) go to the new version only while the move soaks: a failed one can't be sent again, so
/// they are not used to find faults.
///
/// Local circuit breaker: after three consecutive failures of the new version, while the old version's last three answers did not fail, this
/// VM sends the new version nothing for ten seconds. The leader decides on the evidence of all VMs, but its decision takes up to half a
/// second plus a leader change, and a version that clearly fails must not get work in the meantime. Three failures suffice: at the tolerated
/// rate of one failure in a hundred, a good version trips a VM once in a million answers, and then only for ten seconds.
class VersionRouter
{
public:
    /// Sets the moves in force; closed moves are ignored.
    void setMoves(const std::vector<Move> &moves);
    /// Returns the version for a request of a service, given the service's declared version.
    VersionName choose(const ServiceName &service, const VersionName &declared, const RequestId &request, bool atMostOnce, TimePoint now) const;
    /// Returns the open move of a service, or null.
    const Move *openMove(const ServiceName &service) const;
    /// Records the outcome of a request of the version; "bad" as in OutcomeCounts::bad().
    void ended(const ServiceName &service, const VersionName &version, bool bad, TimePoint now);
    /// Returns whether this VM's circuit breaker for the service's new version is open.
    bool isTripped(const ServiceName &service, TimePoint now) const;

private:
    /// An open move and this VM's recent answers of its two versions.
    struct MoveTraffic
    {
        Move move;
        int consecutiveNewFailures = 0;
        int consecutiveOldAnswers = 3;
        TimePoint trippedUntil{};
    };
    std::map<ServiceName, MoveTraffic> m_moves;
};

}
