#include "raft/recoverysimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>

using namespace cumindyke::raft::test;

namespace
{

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

}

// Guards against a fleet that refuses every caller for ever after a kill of all, although the machines with disks have a leader: machines of the
// settings were wiped, replaced or without power before and are no voters any more, the leader has no reason to speak to them, and all other VMs ask
// only them. CUMINDYKE_RECOVERY_SEEDS and CUMINDYKE_FIRST_SEED run other seeds than CI.
TEST_CASE("every living VM gets a lease of the leader within 5 s while a majority lives, whatever was lost before")
{
    const std::uint64_t first = numberFromEnvironment("CUMINDYKE_FIRST_SEED", 1);
    const std::uint64_t seeds = numberFromEnvironment("CUMINDYKE_RECOVERY_SEEDS", 50);
    RecoveryResult sum;
    std::size_t failed = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        const RecoveryResult result = simulateRecovery(seed);
        INFO("seed " << seed);
        CHECK_THAT(result.failedCheck, Catch::Matchers::Equals(""));
        failed += result.failedCheck.empty() ? 0 : 1;
        sum.checks += result.checks;
        sum.skipped += result.skipped;
        sum.wipes += result.wipes;
        sum.replacements += result.replacements;
        sum.powerLosses += result.powerLosses;
        sum.partitions += result.partitions;
        sum.killsOfAll += result.killsOfAll;
        sum.killsWithoutVotingSeed += result.killsWithoutVotingSeed;
        sum.membershipChanges += result.membershipChanges;
        sum.longestRecoveryMs = std::max(sum.longestRecoveryMs, result.longestRecoveryMs);
        sum.announcements += result.announcements;
        sum.seconds += result.seconds;
    }
    WARN(failed << " of " << seeds << " seeds failed; checks " << sum.checks << ", without a majority " << sum.skipped << ", wipes " << sum.wipes
                << ", replacements " << sum.replacements << ", losses of power " << sum.powerLosses << ", partitions " << sum.partitions << ", kills of all "
                << sum.killsOfAll << " (" << sum.killsWithoutVotingSeed << " without a voting seed), membership changes " << sum.membershipChanges
                << ", longest recovery " << sum.longestRecoveryMs << " ms, announcements " << sum.announcements << " in " << sum.seconds << " s");
    // Guard against vacuous histories.
    CHECK(sum.checks > seeds * 4);
    CHECK(sum.skipped * 10 < sum.checks);
    CHECK(sum.wipes > seeds / 2);
    CHECK(sum.replacements > seeds / 2);
    CHECK(sum.powerLosses > seeds);
    CHECK(sum.partitions > seeds / 10);
    CHECK(sum.killsOfAll >= seeds);
    CHECK(sum.killsWithoutVotingSeed > seeds / 50);
    CHECK(sum.membershipChanges > seeds * 5);
}
