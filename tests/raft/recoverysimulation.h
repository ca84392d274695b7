#pragma once

#include <cstdint>
#include <string>

namespace cumindyke::raft::test
{

struct RecoveryResult
{
    /// First check that failed; empty if all checks passed.
    std::string failedCheck;
    /// Checks that every living VM holds a lease of the leader in time, and those left out since no majority lived.
    std::size_t checks = 0;
    std::size_t skipped = 0;
    std::size_t wipes = 0;
    std::size_t replacements = 0;
    std::size_t powerLosses = 0;
    std::size_t partitions = 0;
    /// Kills of all VMs, and those after which no seed was a voter.
    std::size_t killsOfAll = 0;
    std::size_t killsWithoutVotingSeed = 0;
    std::size_t membershipChanges = 0;
    /// Longest time from the last fault to a lease on every living VM, in milliseconds.
    std::int64_t longestRecoveryMs = 0;
    /// Leader announcements sent, and the seconds of virtual time.
    std::size_t announcements = 0;
    std::int64_t seconds = 0;
};

/// Simulates a fleet in virtual time: machines with disks, of which up to seven vote, and machines without. Up to two machines with disks at once are
/// wiped, replaced by empty ones at new addresses, without power or cut off; sometimes all processes are killed, and the history ends with such a
/// kill. VMs know only the three seeds of their settings and what they learn from each other. After each fault, every living VM must hold a lease
/// of the leader within 5 s if a majority of the voters lives.
RecoveryResult simulateRecovery(std::uint64_t seed);

}
