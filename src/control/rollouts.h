#pragma once

#include "common/types.h"

#include "control.pb.h"

#include <map>
#include <string>

namespace cumindyke
{

/// The newest rollout of each routed service, by the service's name.
using RolloutMap = std::map<std::string, v1::Rollout>;

/// Whether a command changed what VMs must have in force.
enum class RolloutChange { None, Changed };

/// An operator's order. The same order again is a resend after a lost answer, so it changes nothing, also after the rollout's end: a
/// resend that began the rollout anew would give a version that was taken back its traffic again.
RolloutChange startRollout(RolloutMap &rollouts, const v1::StartRollout &order, WallTime now);

/// A leader's verdict. It has no effect on a rollout that has ended, or on another one than it was made for: two leaders in turn may
/// decide on the same rollout.
RolloutChange applyRolloutVerdict(RolloutMap &rollouts, const v1::RolloutVerdict &verdict);

}
