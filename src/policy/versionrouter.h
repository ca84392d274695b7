#pragma once

#include "domain/move.h"

#include <map>

namespace cumindyke
{

/// Chooses the version of each request on one entry VM while a move is under way.
///
/// The share comes from the log. Which requests get the new version follows from a hash of the request's id, so a request that is
/// dispatched anew keeps its version, and a larger share keeps the requests of the smaller one. Requests that run at most once (keyed, or
/// not idempotent) join only when the move soaks: a failed one can't be sent again, so they are not used to find faults.
///
/// Local trip: after three failed answers of the new version in a row, with none of the old version's in its last three, this VM
/// gives the new version nothing for ten seconds. The leader decides on the evidence of all VMs, but its word takes up to half a second
/// plus a leader's change; a version that fails plainly must not get work meanwhile. Three are enough: at the one failure in a
/// hundred that is tolerated, a good version trips a VM once in a million answers, and then only for ten seconds.
class VersionRouter
{
public:
    /// The moves in force; closed ones are ignored.
    void setMoves(const std::vector<Move> &moves);
    /// The version for a request of a service whose declared version is given.
    VersionName choose(const ServiceName &service, const VersionName &declared, const RequestId &request, bool atMostOnce, TimePoint now) const;
    /// The open move of a service, or null.
    const Move *openMove(const ServiceName &service) const;
    /// A request of the version ended; "bad" as OutcomeCounts counts it.
    void ended(const ServiceName &service, const VersionName &version, bool bad, TimePoint now);
    /// Whether the new version of the service is tripped here.
    bool isTripped(const ServiceName &service, TimePoint now) const;

private:
    struct Local
    {
        Move move;
        int newFailuresInRow = 0;
        int oldAnswersSinceFailure = 3;
        TimePoint trippedUntil{};
    };
    std::map<ServiceName, Local> m_moves;
};

}
