#include "control/movecommands.h"

namespace cumindyke
{

namespace
{

v1::MoveState toWire(MoveState state)
{
    switch (state) {
    case MoveState::Ramping:
        return v1::MOVE_STATE_RAMPING;
    case MoveState::Soaking:
        return v1::MOVE_STATE_SOAKING;
    case MoveState::Done:
        return v1::MOVE_STATE_DONE;
    case MoveState::RolledBack:
        return v1::MOVE_STATE_TAKEN_BACK;
    case MoveState::Aborted:
        return v1::MOVE_STATE_ABORTED;
    }
    return v1::MOVE_STATE_UNSPECIFIED;
}

/// A state that this version of the program does not know counts as aborted: the old version keeps the traffic.
MoveState fromWire(v1::MoveState state)
{
    switch (state) {
    case v1::MOVE_STATE_RAMPING:
        return MoveState::Ramping;
    case v1::MOVE_STATE_SOAKING:
        return MoveState::Soaking;
    case v1::MOVE_STATE_DONE:
        return MoveState::Done;
    case v1::MOVE_STATE_TAKEN_BACK:
        return MoveState::RolledBack;
    default:
        return MoveState::Aborted;
    }
}

v1::CommandReply replyWith(const Declarations &declarations, v1::CommandReply::Outcome outcome, const std::string &message)
{
    v1::CommandReply reply;
    reply.set_outcome(outcome);
    reply.set_revision(declarations.revision().value);
    reply.set_message(message);
    return reply;
}

v1::CommandReply invalid(const Declarations &declarations, const std::string &message)
{
    return replyWith(declarations, v1::CommandReply::INVALID, message);
}

}

v1::Move toWire(const Move &move)
{
    v1::Move wire;
    wire.set_name(move.name.value);
    wire.set_service(move.service.value);
    wire.set_from_version(move.from.value);
    wire.set_to_version(move.to.value);
    wire.set_started_ms(move.started.value);
    wire.set_deadline_ms(move.deadline.value);
    wire.set_state(toWire(move.state));
    wire.set_share_permille(move.share.value);
    wire.set_reason(move.reason);
    wire.set_state_since_ms(move.stateSince.value);
    return wire;
}

Move fromWire(const v1::Move &wire)
{
    return Move{
        .name = MoveName{wire.name()},
        .service = ServiceName{wire.service()},
        .from = VersionName{wire.from_version()},
        .to = VersionName{wire.to_version()},
        .started = WallTime{wire.started_ms()},
        .deadline = WallTime{wire.deadline_ms()},
        .state = fromWire(wire.state()),
        .share = Permille{wire.share_permille()},
        .reason = wire.reason(),
        .stateSince = WallTime{wire.state_since_ms()},
    };
}

std::vector<Move> movesFromWire(const std::vector<v1::Move> &moves)
{
    std::vector<Move> parsed;
    for (const v1::Move &wire : moves) {
        parsed.push_back(fromWire(wire));
    }
    return parsed;
}

std::vector<Move> fromWire(const MoveMap &moves)
{
    std::vector<Move> parsed;
    for (const auto &[name, wire] : moves) {
        parsed.push_back(fromWire(wire));
    }
    return parsed;
}

v1::CommandReply startMove(MoveMap &moves, const Declarations &declarations, const v1::StartMoveRequest &request, WallTime now)
{
    for (const auto &[name, wire] : moves) {
        if (wire.service() == request.service() && fromWire(wire).isOpen()) {
            return invalid(declarations, "service '" + request.service() + "' has the open move '" + name + "': abort it or wait for its end");
        }
    }
    const Result<Move> move
        = Move::start(declarations, ServiceName{request.service()}, VersionName{request.to_version()}, WallTime{request.deadline_ms()}, now);
    if (!ok(move)) {
        return invalid(declarations, errorOf(move).message);
    }
    std::erase_if(moves, [&request](const auto &entry) { return entry.second.service() == request.service(); });
    const std::string &name = valueOf(move).name.value;
    moves[name] = toWire(valueOf(move));
    return replyWith(declarations, v1::CommandReply::ACCEPTED, "move '" + name + "' started");
}

v1::CommandReply abortMove(MoveMap &moves, const Declarations &declarations, const v1::AbortMoveRequest &request, WallTime now)
{
    const auto found = moves.find(request.move());
    if (found == moves.end()) {
        return invalid(declarations, "no move '" + request.move() + "': see cumindykectl move status");
    }
    Move move = fromWire(found->second);
    const Result<Done> aborted = move.abort(request.author(), now);
    if (!ok(aborted)) {
        return invalid(declarations, errorOf(aborted).message);
    }
    found->second = toWire(move);
    return replyWith(declarations, v1::CommandReply::ACCEPTED, "move '" + request.move() + "' aborted");
}

AppliedVerdict applyVerdict(MoveMap &moves, const Declarations &declarations, const v1::MoveVerdict &verdict, WallTime now)
{
    const auto found = moves.find(verdict.move());
    if (found == moves.end()) {
        return {.reply = invalid(declarations, "no move '" + verdict.move() + "': a newer one took its place"), .newDeclaration = {}};
    }
    Move move = fromWire(found->second);
    const Result<Done> decided = move.decide(fromWire(verdict.state()), Permille{verdict.share_permille()}, verdict.reason(), now);
    if (!ok(decided)) {
        return {.reply = invalid(declarations, errorOf(decided).message), .newDeclaration = {}};
    }
    found->second = toWire(move);
    AppliedVerdict applied{.reply = replyWith(declarations, v1::CommandReply::ACCEPTED, ""), .newDeclaration = {}};
    const Service *service = declarations.service(move.service);
    if (move.state == MoveState::Done && service) {
        applied.newDeclaration = *service;
        applied.newDeclaration->version = move.to;
    }
    return applied;
}

std::optional<Error> brokenMoveRule(const MoveMap &moves, const Declarations &declarations)
{
    for (const auto &[name, wire] : moves) {
        if (std::optional<Error> violation = brokenMoveRule(fromWire(wire), declarations)) {
            return violation;
        }
    }
    return {};
}

}
