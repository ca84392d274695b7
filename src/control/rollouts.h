#pragma once

#include "common/types.h"

#include "control.pb.h"

#include <map>
#include <string>

namespace cumindyke
{

/// The newest rollout of each routed service, by the service's name.
using RolloutMap = std::map<std::string, v1::Rollout>;

/// Whether a command changed the configuration that VMs must have in force.
enum class RolloutChange { None, Changed };

/// Starts a rollout at an operator's request. A repeated request is a resend after a lost answer and changes nothing, also after the end of the
/// rollout: starting anew would give traffic to a version that was rolled back.
RolloutChange startRollout(RolloutMap &rollouts, const v1::StartRollout &request, WallTime now);

/// Applies a verdict of a leader. It has no effect on a closed rollout or on another one than it was made for, since two successive leaders may
/// decide on the same rollout.
RolloutChange applyRolloutVerdict(RolloutMap &rollouts, const v1::RolloutVerdict &verdict);

}
