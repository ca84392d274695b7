#pragma once

#include "control/statemachine.h"
#include "policy/moveramp.h"

#include "report.pb.h"

#include <map>

namespace cumindyke
{

/// The leader's side of version moves: collects the outcomes of all VMs and decides on each open move.
///
/// Its state is evidence only. A new leader starts from the state and share in the log and collects evidence anew, so that a leader change may delay
/// a share or an end but never repeats or skips one.
class MoveLeader
{
public:
    void recordOutcomes(const v1::OutcomeReport &report);
    /// Returns the verdicts to propose now. To be called every EvaluationIntervalMs while leading.
    std::vector<v1::MoveVerdict> advance(const StateMachine &state, WallTime now);
    /// Drops all evidence when this VM stops or restarts leading.
    void reset();
    /// Returns once a minute the counts for the burn report, to be proposed. The counts of a leader's last minute are lost with it.
    std::optional<v1::BurnBucket> takeDueBurnBucket(WallTime now);

private:
    OutcomeCollector m_collector;
    BurnCountMap m_minuteCounts;
    WallTime m_minuteEnd;
    std::map<std::string, MoveRamp> m_ramps;
};

/// Returns the id of the command that carries a verdict. The same decision on the same state has the same id, so that a repeat while the first
/// command is pending changes nothing.
std::string commandIdFor(const v1::MoveVerdict &verdict, const StateMachine &state);

}
