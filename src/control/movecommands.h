#pragma once

#include "domain/move.h"

#include "control.pb.h"

#include <map>
#include <string>

/// The commands of the replicated log that concern moves. Deterministic; the time is the command's own.
namespace cumindyke
{

v1::Move toWire(const Move &move);
Move fromWire(const v1::Move &move);

std::vector<Move> movesFromWire(const std::vector<v1::Move> &moves);

using MoveMap = std::map<std::string, v1::Move>;

std::vector<Move> fromWire(const MoveMap &moves);

/// Starts a move. A closed move of the same service is dropped; an open one refuses the new one (INVALID).
v1::CommandReply startMove(MoveMap &moves, const Declarations &declarations, const v1::StartMoveRequest &request, WallTime now);
v1::CommandReply abortMove(MoveMap &moves, const Declarations &declarations, const v1::AbortMoveRequest &request, WallTime now);

/// The leader's verdict, applied.
struct AppliedVerdict
{
    v1::CommandReply reply;
    /// What the declarations must change to: set when the move is done and its new version becomes the declared one.
    std::optional<Service> declared;
};
AppliedVerdict applyVerdict(MoveMap &moves, const Declarations &declarations, const v1::MoveVerdict &verdict, WallTime now);

/// Why declarations can't come into force while the moves are open, or nothing.
std::optional<Error> brokenMoveRule(const MoveMap &moves, const Declarations &declarations);

}
