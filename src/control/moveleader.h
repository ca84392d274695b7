#pragma once

#include "control/statemachine.h"
#include "policy/moveramp.h"

#include "report.pb.h"

#include <map>

namespace cumindyke
{

/// The leader's part in version moves: it collects the outcomes of all VMs and decides on each open move.
///
/// What it holds is evidence only. When the leader dies, the next one begins with the log's state and share and gathers evidence anew,
/// so that a change of leaders may delay a share or an end, and never repeats or skips one.
class MoveLeader
{
public:
    void take(const v1::OutcomeReport &report);
    /// The verdicts to propose now. Call it every EvaluationIntervalMs while leading.
    std::vector<v1::MoveVerdict> advance(const StateMachine &state, WallTime now);
    /// This VM no longer leads, or leads anew: evidence from before is of no use.
    void reset();
    /// Once a minute: what the burn report is made from, to be proposed. What a leader counted in its last minute is lost with it.
    std::optional<v1::BurnBucket> burnDue(WallTime now);

private:
    OutcomeCollector m_collector;
    BurnCountMap m_minute;
    WallTime m_minuteEnds;
    std::map<std::string, MoveRamp> m_ramps;
};

/// The id of the command that carries a verdict: the same decision on the same state has the same id, so that a repeat while the first is
/// on its way changes nothing.
std::string commandIdOf(const v1::MoveVerdict &verdict, const StateMachine &state);

}
