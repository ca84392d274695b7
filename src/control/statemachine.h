#pragma once

#include "control/claims.h"
#include "control/crashledger.h"
#include "control/evacuations.h"
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

/// The state that results from the replicated log: declarations, moves, rollouts, routes, cells, claims and the answers to commands. Deterministic:
/// every replica that applies the same commands in the same order has the same state. Reads no clock.
class StateMachine
{
public:
    /// Applies one command of the log and returns its answer. A command id that was applied before gets its saved answer and changes nothing.
    v1::ProposeReply apply(const v1::Command &command);

    const Declarations &declarations() const
    {
        return m_declarations;
    }
    /// Moves by name, in every state; a closed move is kept until a newer move of its service starts.
    const std::map<std::string, v1::Move> &moves() const
    {
        return m_moves;
    }
    /// The assignment of each cell by the cell's name. The epoch of a cell is kept while no VM holds it.
    const std::map<std::string, v1::CellAssignment> &cells() const
    {
        return m_cells;
    }
    /// Counts every accepted change of the state that VMs must have in force.
    std::uint64_t version() const
    {
        return m_version;
    }
    /// The last publication that took effect, as it went through the log.
    const v1::PublishRoutes &routes() const
    {
        return m_routes;
    }
    /// The route table in force and its changes; version 0 if none was published.
    const RouteHistory &routeHistory() const
    {
        return m_routeHistory;
    }
    const RolloutMap &rollouts() const
    {
        return m_rollouts;
    }
    /// The data of the burn report.
    const BurnSeries &burn() const
    {
        return m_burn;
    }
    /// Returns the accepted changes after a revision, oldest first; empty if they are older than the history kept.
    std::vector<v1::HistoryEntry> historyAfter(Revision revision) const;
    /// Returns the answer that a command got when it was applied; null if it was not applied, or its answer is no longer saved.
    const v1::ProposeReply *savedAnswer(const std::string &commandId) const;

    /// Requests that may end the upstreams that run them.
    const CrashLedger &crashLedger() const
    {
        return m_crashLedger;
    }
    const Evacuations &evacuations() const
    {
        return m_evacuations;
    }
    const Claims &claims() const
    {
        return m_claims;
    }

    /// Serializes the whole state, and restores it. Errors: Storage if the bytes are no snapshot.
    std::string snapshot() const;
    Result<Done> restore(const std::string &bytes);

private:
    Result<Done> restoreFrom(const v1::StateSnapshot &snapshot);
    v1::ProposeReply applyClaim(const v1::Command &command);
    v1::CommandReply applyChanges(const v1::Command &command, const v1::ApplyRequest &request);
    v1::CommandReply applyMoveVerdict(const v1::Command &command);
    v1::CommandReply assignCell(const v1::CellAssignment &assignment);
    v1::CommandReply restoreDeclarations(const v1::Command &command, const v1::RestoreSnapshotRequest &request);
    v1::CommandReply publishRoutes(const v1::PublishRoutes &publication);
    v1::CommandReply applyStartRollout(const v1::Command &command);
    v1::CommandReply acceptedReply() const;
    void addHistory(const v1::Command &command, const std::string &author, const google::protobuf::RepeatedPtrField<v1::Change> &changes);
    void saveAnswer(const std::string &commandId, const v1::ProposeReply &reply);

    Declarations m_declarations;
    Claims m_claims;
    CrashLedger m_crashLedger;
    Evacuations m_evacuations;
    std::map<std::string, v1::Move> m_moves;
    std::map<std::string, v1::CellAssignment> m_cells;
    v1::PublishRoutes m_routes;
    RouteHistory m_routeHistory;
    RolloutMap m_rollouts;
    std::uint64_t m_version = 0;
    BurnSeries m_burn;
    std::deque<v1::HistoryEntry> m_history;
    /// Saved answers by command id, and the ids in the order of their commands: the oldest are evicted first.
    std::map<std::string, v1::ProposeReply> m_savedAnswers;
    std::deque<std::string> m_savedAnswerOrder;
};

}
