#pragma once

#include "common/result.h"
#include "common/types.h"
#include "domain/declarations.h"

#include <set>
#include <string>
#include <vector>

namespace cumindyke
{

enum class MoveState {
    Ramping, ///< the new version's share grows with the evidence
    Soaking, ///< the new version gets nearly all requests; the old one stays loaded and keeps a small share for comparison
    Done, ///< the new version gets all requests, and is the declared version
    RolledBack, ///< the old version gets all requests again, by the leader's verdict
    Aborted, ///< the old version gets all requests again, by an operator's command
};

/// Returns the state as operators read it: "ramping", "soaking", "done", "taken back" or "aborted".
const char *toString(MoveState state);

/// A share of a service's requests in thousandths.
using Permille = Strong<struct PermilleTag, std::uint32_t>;
constexpr Permille WholeShare{1000};

/// A move of a service's requests from its declared version to another one by a deadline. Times are wall-clock times, as given by operators.
///
/// State transitions: Ramping -> Soaking -> Done; Ramping or Soaking (the open states) -> RolledBack or Aborted. A closed move never changes, so
/// a verdict that was decided before an abort and is applied after it has no effect.
struct Move
{
    MoveName name;
    ServiceName service;
    VersionName from;
    VersionName to;
    WallTime started;
    WallTime deadline;
    MoveState state = MoveState::Ramping;
    /// The new version's share of the requests.
    Permille share;
    /// Reason of the last decision, for operators.
    std::string reason;
    /// When the state last changed.
    WallTime stateSince;

    bool isOpen() const
    {
        return state == MoveState::Ramping || state == MoveState::Soaking;
    }

    /// Starts a move under the declarations in force. Errors: NotFound (the service, or any upstream of the version), Invalid (the declared
    /// version, or a deadline that has passed).
    static Result<Move> start(const Declarations &declarations, const ServiceName &service, const VersionName &to, WallTime deadline, WallTime now);
    /// Applies the leader's verdict: another share in the same state, or the next state. Error: Invalid, when the transition is not allowed.
    Result<Done> decide(MoveState next, Permille share, std::string reason, WallTime now);
    /// Aborts the move on an operator's command. Error: Invalid, when the move is closed.
    Result<Done> abort(const std::string &author, WallTime now);

    bool operator==(const Move &) const = default;
};

/// Returns the first rule of an open move that the declarations would violate if they replaced the present ones, or nothing. An open move
/// requires its service, the service's declared version, and at least one upstream of each of the two versions.
std::optional<Error> brokenMoveRule(const Move &move, const Declarations &declarations);

/// Returns the upstreams of one of a move's versions that are used at the present share. They are chosen in the order of their names, so that
/// every VM chooses the same ones. The version with the small share (the new one while ramping, the old one while soaking) uses few upstreams
/// at full load rather than many at a low load. So a fault that appears only under load appears while the share is small, and the versions can
/// be compared at similar loads. The old version's other upstreams stay loaded, and get requests for which the used ones have no free slot.
std::vector<UpstreamName> upstreamsInMove(const Declarations &declarations, const Move &move, const VersionName &version);

/// Returns the upstreams that get no new requests, which entry VMs and schedulers exclude: those of open moves' new versions that are not used at the
/// present share, and those of evacuated data centres.
std::set<UpstreamName> excludedUpstreams(const Declarations &declarations, const std::vector<Move> &moves, const std::set<DataCentreName> &evacuated);

/// Returns the number of upstreams of a version of a service.
std::size_t upstreamCount(const Declarations &declarations, const ServiceName &service, const VersionName &version);

}
