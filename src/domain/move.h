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
    Ramping, ///< the new version gets a share that grows with the evidence
    Soaking, ///< nearly all traffic is on the new version; the old one stays loaded and keeps a small share to compare with
    Done, ///< all traffic is on the new version, which is the declared one now
    RolledBack, ///< the old version has all traffic again, by the leader's verdict
    Aborted, ///< the old version has all traffic again, by an operator's command
};

/// "ramping", "soaking", "done", "taken back", "aborted": as operators read it.
const char *toString(MoveState state);

/// A share of a service's requests in thousandths.
using Permille = Strong<struct PermilleTag, std::uint32_t>;
constexpr Permille WholeShare{1000};

/// A move of one service's traffic from its declared version to another, by a deadline. Times are wall-clock, as operators give them.
///
/// States: Ramping -> Soaking -> Done; RolledBack and Aborted from either open state. A closed move never changes again, so a verdict
/// that was decided before an abort and applied after it has no effect.
struct Move
{
    MoveName name;
    ServiceName service;
    VersionName from;
    VersionName to;
    WallTime started;
    WallTime deadline;
    MoveState state = MoveState::Ramping;
    /// What the new version may get.
    Permille share;
    /// Why the state is what it is, in words for the operator.
    std::string reason;
    WallTime stateSince;

    bool isOpen() const
    {
        return state == MoveState::Ramping || state == MoveState::Soaking;
    }

    /// A new move under the declarations in force. Errors: NotFound (service, or no upstream of the version), Invalid (same version, or
    /// a deadline that has passed).
    static Result<Move> start(const Declarations &declarations, const ServiceName &service, const VersionName &to, WallTime deadline, WallTime now);
    /// The leader's verdict: another share in the same state, or the next state. Error: Invalid, when the state does not allow it.
    Result<Done> decide(MoveState next, Permille share, std::string reason, WallTime now);
    /// An operator ends the move. Error: Invalid, when it is closed.
    Result<Done> abort(const std::string &author, WallTime now);

    bool operator==(const Move &) const = default;
};

/// The first rule of open moves that declarations would break if they replaced the present ones, or nothing: an open move keeps its
/// service, the service's declared version, and at least one upstream of each of the two versions.
std::optional<Error> brokenMoveRule(const Move &move, const Declarations &declarations);

/// The upstreams of one of the two versions that take part at a share, in the order of their names, so every VM picks the same ones.
/// The version with the small share (the new one while ramping, the old one while soaking) gets few upstreams at full load each rather
/// than many at a trickle: a fault that shows only under load shows while the share is small, and the two versions can be compared at
/// like loads. The old version's other upstreams stay warm; they may take what the ones in use have no room for.
std::vector<UpstreamName> upstreamsInMove(const Declarations &declarations, const Move &move, const VersionName &version);

/// The upstreams of open moves' new versions that get no new work at the present share: entry VMs and schedulers leave them out.
std::set<UpstreamName> excludedUpstreams(const Declarations &declarations, const std::vector<Move> &moves);

/// How many upstreams a version of a service has.
std::size_t upstreamCount(const Declarations &declarations, const ServiceName &service, const VersionName &version);

}
