#pragma once

#include "control/fleetaggregate.h"
#include "control/rollouts.h"

#include <vector>

namespace cumindyke
{

/// How a version did against the others of its service at the same time.
enum class VersionHealth {
    Unproved, ///< too few answers yet
    Sound,
    Failing, ///< fails more often than the others
    Slow, ///< takes several times as long as the others
};

/// Compares a version with the rest of its service.
///
/// Failures: with the others' rate (and 2 in 100 at least) as the null, as many failures as were seen have a probability under 1 in 10,000.
/// Slowness: over 20 answers take 2.5 times as long on average; a cold start stays under twice.
VersionHealth judgeVersion(const v1::VersionCounts &target, const v1::VersionCounts &others);

/// The leader's part in rollouts that last seconds, too short for the steps and the always-valid test of declared moves (MoveRamp needs 40 s).
///
/// The target gets one small share, then a larger one near the end of the time, then all. It is rolled back as soon as its answers look
/// worse than the others', and at the time limit when too few answers say anything.
std::vector<v1::RolloutVerdict> decideRollouts(const RolloutMap &rollouts, FleetAggregate &aggregate, WallTime now);

}
