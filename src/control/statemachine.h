#pragma once

#include "control/claims.h"
#include "control/rollouts.h"
#include "control/routehistory.h"
#include "domain/declarations.h"
#include "report/burnseries.h"

#include "control.pb.h"

#include <deque>
#include <map>
#include <string>

namespace cumindyke
{

/// What the replicated log adds up to: the declarations, moves, claims and the answers given to commands.
/// Deterministic: every replica that applies the same commands in the same order holds the same state, and no clock is read here.
class StateMachine
{
public:
    /// Applies one command of the log and returns its answer. A command id seen before gets its first answer and changes nothing.
    v1::ProposeReply apply(const v1::Command &command);

    const Declarations &declarations() const
    {
        return m_declarations;
    }
    /// Moves by name, in every state; a finished one stays until a newer move of its service starts.
    const std::map<std::string, v1::Move> &moves() const
    {
        return m_moves;
    }
    /// Who schedules each cell, by the cell's name; a cell that ever had a holder keeps its epoch.
    const std::map<std::string, v1::CellAssignment> &cells() const
    {
        return m_cells;
    }
    /// Counts every accepted change of declarations, moves and cells: what VMs must have in force.
    std::uint64_t version() const
    {
        return m_version;
    }
    /// The last publication that took effect, as it went through the log.
    const v1::PublishRoutes &routes() const
    {
        return m_routes;
    }
    /// The routes in force, and what other VMs need to have them; version 0: none yet.
    const RouteHistory &routeHistory() const
    {
        return m_routeHistory;
    }
    const RolloutMap &rollouts() const
    {
        return m_rollouts;
    }
    /// What the burn report is made from.
    const BurnSeries &burn() const
    {
        return m_burn;
    }
    /// Accepted changes after a revision, oldest first; empty when they are older than what is kept.
    std::vector<v1::HistoryEntry> historyAfter(Revision revision) const;
    /// What a command was answered when it was applied; null when it was not, or long ago.
    const v1::ProposeReply *answerTo(const std::string &commandId) const;

    const Claims &claims() const
    {
        return m_claims;
    }

    /// The whole state as bytes, and back. Errors: Storage, when the bytes are not a snapshot.
    std::string snapshot() const;
    Result<Done> restore(const std::string &bytes);

private:
    v1::ProposeReply applyClaim(const v1::Command &command);
    v1::CommandReply applyChanges(const v1::Command &command, const v1::ApplyRequest &request);
    v1::CommandReply decideMove(const v1::Command &command);
    v1::CommandReply assignCell(const v1::CellAssignment &assignment);
    v1::CommandReply restoreDeclarations(const v1::Command &command, const v1::RestoreSnapshotRequest &request);
    v1::CommandReply publishRoutes(const v1::PublishRoutes &publication);
    v1::CommandReply orderRollout(const v1::Command &command);
    v1::CommandReply accepted() const;
    void addHistory(const v1::Command &command, const std::string &author, const google::protobuf::RepeatedPtrField<v1::Change> &changes);
    void remember(const std::string &commandId, const v1::ProposeReply &reply);

    Declarations m_declarations;
    Claims m_claims;
    std::map<std::string, v1::Move> m_moves;
    std::map<std::string, v1::CellAssignment> m_cells;
    v1::PublishRoutes m_routes;
    RouteHistory m_routeHistory;
    RolloutMap m_rollouts;
    std::uint64_t m_version = 0;
    BurnSeries m_burn;
    std::deque<v1::HistoryEntry> m_history;
    /// Answers by command id, and the ids in the order they came, so that the oldest go first.
    std::map<std::string, v1::ProposeReply> m_answers;
    std::deque<std::string> m_answerOrder;
};

}
