#pragma once

#include "domain/move.h"

#include "control.pb.h"

#include <map>
#include <string>

/// The commands of the replicated log that concern moves. Deterministic: the time is that of the command.
namespace cumindyke
{

v1::Move toWire(const Move &move);
Move fromWire(const v1::Move &move);

std::vector<Move> movesFromWire(const std::vector<v1::Move> &moves);

using MoveMap = std::map<std::string, v1::Move>;

std::vector<Move> fromWire(const MoveMap &moves);

/// Starts a move. A closed move of the same service is removed; if one is open, the new move is refused (INVALID).
v1::CommandReply startMove(MoveMap &moves, const Declarations &declarations, const v1::StartMoveRequest &request, WallTime now);
v1::CommandReply abortMove(MoveMap &moves, const Declarations &declarations, const v1::AbortMoveRequest &request, WallTime now);

/// The result of applying a verdict of the leader.
struct AppliedVerdict
{
    v1::CommandReply reply;
    /// The service with its new declared version; set when the move is done.
    std::optional<Service> newDeclaration;
};
AppliedVerdict applyVerdict(MoveMap &moves, const Declarations &declarations, const v1::MoveVerdict &verdict, WallTime now);

/// Returns the rule that declarations would break while the moves are open; no value if they break none.
std::optional<Error> brokenMoveRule(const MoveMap &moves, const Declarations &declarations);

}
