#include "domain/move.h"

#include <algorithm>

namespace cumindyke
{

const char *toString(MoveState state)
{
    switch (state) {
    case MoveState::Ramping:
        return "ramping";
    case MoveState::Soaking:
        return "soaking";
    case MoveState::Done:
        return "done";
    case MoveState::RolledBack:
        return "taken back";
    case MoveState::Aborted:
        return "aborted";
    }
    return "unknown";
}

namespace
{

bool isTransitionAllowed(MoveState state, MoveState next)
{
    switch (next) {
    case MoveState::Ramping:
        return state == MoveState::Ramping;
    case MoveState::Soaking:
        return state == MoveState::Ramping || state == MoveState::Soaking;
    case MoveState::Done:
        return state == MoveState::Soaking;
    case MoveState::RolledBack:
    case MoveState::Aborted:
        return state == MoveState::Ramping || state == MoveState::Soaking;
    }
    return false;
}

}

Result<Move> Move::start(const Declarations &declarations, const ServiceName &service, const VersionName &to, WallTime deadline, WallTime now)
{
    const Service *declaredService = declarations.service(service);
    if (!declaredService) {
        return Error{ErrorKind::NotFound, "no service '" + service.value + "': declare it first"};
    }
    if (declaredService->version == to) {
        return Error{ErrorKind::Invalid, "service '" + service.value + "' is on version '" + to.value + "' already: name another version"};
    }
    if (upstreamCount(declarations, service, to) == 0) {
        return Error{ErrorKind::NotFound,
                     "service '" + service.value + "' has no upstream of version '" + to.value + "': declare at least one, then start the move"};
    }
    if (deadline <= now) {
        return Error{ErrorKind::Invalid, "the move's deadline has passed: give a later one"};
    }
    return Move{
        .name = MoveName{service.value + "-" + to.value + "-" + std::to_string(now.value)},
        .service = service,
        .from = declaredService->version,
        .to = to,
        .started = now,
        .deadline = deadline,
        .state = MoveState::Ramping,
        .share = Permille{0},
        .reason = "started",
        .stateSince = now,
    };
}

Result<cumindyke::Done> Move::decide(MoveState next, Permille newShare, std::string newReason, WallTime now)
{
    if (!isTransitionAllowed(state, next)) {
        return Error{ErrorKind::Invalid, "move '" + name.value + "' is " + toString(state) + " and can't become " + toString(next) + ": start a new move"};
    }
    if (newShare > WholeShare) {
        return Error{ErrorKind::Invalid, "a share over 1000 thousandths: give 0 to 1000"};
    }
    if (next != state) {
        stateSince = now;
    }
    state = next;
    const bool isRollback = next == MoveState::RolledBack || next == MoveState::Aborted;
    share = isRollback ? Permille{0} : next == MoveState::Done ? WholeShare : newShare;
    reason = std::move(newReason);
    return cumindyke::Done{};
}

Result<cumindyke::Done> Move::abort(const std::string &author, WallTime now)
{
    return decide(MoveState::Aborted, Permille{0}, author.empty() ? "aborted by an operator" : "aborted by " + author, now);
}

std::optional<Error> brokenMoveRule(const Move &move, const Declarations &declarations)
{
    if (!move.isOpen()) {
        return {};
    }
    const std::string remedy = ": abort the move '" + move.name.value + "' or wait for its end";
    const Service *service = declarations.service(move.service);
    if (!service) {
        return Error{ErrorKind::Invalid, "service '" + move.service.value + "' can't be removed during a move" + remedy};
    }
    if (service->version != move.from) {
        return Error{ErrorKind::Invalid, "the version of service '" + move.service.value + "' can't be changed during a move" + remedy};
    }
    for (const VersionName &version : {move.from, move.to}) {
        if (upstreamCount(declarations, move.service, version) == 0) {
            return Error{ErrorKind::Invalid, "the last upstream of version '" + version.value + "' can't be removed during a move" + remedy};
        }
    }
    return {};
}

std::vector<UpstreamName> upstreamsInMove(const Declarations &declarations, const Move &move, const VersionName &version)
{
    std::vector<UpstreamName> upstreamNames;
    for (const auto &[name, upstream] : declarations.upstreams()) {
        if (upstream.service == move.service && upstream.version == version) {
            upstreamNames.push_back(name);
        }
    }
    const bool isNew = version == move.to;
    const bool hasSmallShare = isNew ? move.state == MoveState::Ramping : move.state == MoveState::Soaking;
    const std::size_t share = isNew ? move.share.value : WholeShare.value - move.share.value;
    if (!hasSmallShare || share >= WholeShare.value) {
        return upstreamNames;
    }
    // The largest number of upstreams, at least one, with which each gets at least as many requests as each of the other version's upstreams.
    const std::size_t otherCount = upstreamCount(declarations, move.service, isNew ? move.from : move.to);
    const std::size_t targetCount = otherCount * share / (WholeShare.value - share);
    upstreamNames.resize(std::clamp<std::size_t>(targetCount, 1, std::max<std::size_t>(1, upstreamNames.size())));
    return upstreamNames;
}

std::set<UpstreamName> excludedUpstreams(const Declarations &declarations, const std::vector<Move> &moves, const std::set<DataCentreName> &evacuated)
{
    std::set<UpstreamName> excluded;
    for (const auto &[name, upstream] : declarations.upstreams()) {
        if (evacuated.contains(upstream.dataCentre)) {
            excluded.insert(name);
        }
    }
    for (const Move &move : moves) {
        if (!move.isOpen()) {
            continue;
        }
        const std::vector<UpstreamName> participating = upstreamsInMove(declarations, move, move.to);
        for (const auto &[name, upstream] : declarations.upstreams()) {
            if (upstream.service == move.service && upstream.version == move.to && std::ranges::find(participating, name) == participating.end()) {
                excluded.insert(name);
            }
        }
    }
    return excluded;
}

std::size_t upstreamCount(const Declarations &declarations, const ServiceName &service, const VersionName &version)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(declarations.upstreams(), [&](const auto &entry) { return entry.second.service == service && entry.second.version == version; }));
}

}
