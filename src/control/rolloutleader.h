#pragma once

#include "control/fleetaggregate.h"
#include "control/rollouts.h"

#include <vector>

namespace cumindyke
{

/// Health of a version compared with the other versions of its service in the same time.
enum class VersionHealth {
    Unproven, ///< too few answers
    Healthy,
    Failing, ///< fails more often than the other versions
    Slow, ///< takes several times as long as the other versions
};

/// Compares a version with the other versions of its service.
///
/// Failing: under a null hypothesis of 1.5 times the others' failure rate, and at least 2 in 100, as many failures have a probability under 1 in
/// 10,000. Slow: the mean of at least 20 answers is over 2.5 times the others' mean; a cold start stays under twice.
VersionHealth evaluateVersion(const v1::VersionCounts &target, const v1::VersionCounts &others);

/// Decides on rollouts that last seconds, too short for the steps and the always-valid test of declared moves (MoveRamp needs 40 s).
///
/// The target gets a small share, then a larger one near the end of the time, then all traffic. It is rolled back as soon as its answers are worse
/// than the others', and at the time limit if there are too few answers.
std::vector<v1::RolloutVerdict> decideRollouts(const RolloutMap &rollouts, FleetAggregate &aggregate, WallTime now);

}
