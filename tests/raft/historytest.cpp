#include "raft/simulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace cumindyke::raft::test;
using namespace cumindyke::raft;

namespace
{

constexpr std::uint64_t SeedsPerCase = 125;
constexpr std::uint64_t InjectedFaultSeeds = 2000;

/// First seed; scripts/soak sets CUMINDYKE_FIRST_SEED to run other seeds than CI.
std::uint64_t firstSeed()
{
    const char *text = std::getenv("CUMINDYKE_FIRST_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 1;
}

/// Runs histories in which clients append and read while replicas crash in the middle of a sync, lose data folders and are partitioned one
/// way or both, messages are lost, duplicated and delayed, and leaders transfer leadership. No acknowledged command may be lost or applied
/// twice, no term may have two leaders, replicas must have the same state at the same index, and reads must see everything that was
/// acknowledged before.
void runSeeds(std::uint64_t part, FaultProfile faultProfile = FaultProfile::Usual)
{
    SimulationResult sum;
    for (std::uint64_t i = 0; i < SeedsPerCase; ++i) {
        const std::uint64_t seed = firstSeed() + part * SeedsPerCase + i;
        const SimulationResult result = simulate(seed, InjectedFault::None, faultProfile);
        INFO("seed " << seed);
        CHECK_THAT(result.failedCheck, Catch::Matchers::Equals(""));
        sum.acknowledged += result.acknowledged;
        sum.reads += result.reads;
        sum.leaders += result.leaders;
        sum.membershipChanges += result.membershipChanges;
        sum.installs += result.installs;
    }
    // Guard against vacuous histories: a simulation in which nothing happens passes every check.
    CHECK(sum.acknowledged > SeedsPerCase * 50);
    CHECK(sum.reads > SeedsPerCase * 30);
    CHECK(sum.leaders > SeedsPerCase * 3);
    CHECK(sum.membershipChanges > SeedsPerCase);
    CHECK(sum.installs > SeedsPerCase);
    WARN("acknowledged " << sum.acknowledged << ", reads " << sum.reads << ", leaders " << sum.leaders << ", membership changes " << sum.membershipChanges
                         << ", snapshots installed " << sum.installs);
}

/// Returns how many of the first InjectedFaultSeeds seeds fail a check.
template<typename Order>
std::size_t countDetections(InjectedFault injectedFault, FaultProfile faultProfile = FaultProfile::Usual)
{
    std::size_t found = 0;
    for (std::uint64_t seed = 1; seed <= InjectedFaultSeeds; ++seed) {
        found += simulate<Order>(seed, injectedFault, faultProfile).failedCheck.empty() ? 0 : 1;
    }
    WARN(found << " of " << InjectedFaultSeeds << " seeds detected it");
    return found;
}

}

TEST_CASE("seeded histories part 1")
{
    runSeeds(0);
}

TEST_CASE("seeded histories part 2")
{
    runSeeds(1);
}

TEST_CASE("seeded histories part 3")
{
    runSeeds(2);
}

TEST_CASE("seeded histories part 4")
{
    runSeeds(3);
}

TEST_CASE("seeded histories part 5")
{
    runSeeds(4);
}

TEST_CASE("seeded histories part 6")
{
    runSeeds(5);
}

TEST_CASE("seeded histories part 7")
{
    runSeeds(6);
}

TEST_CASE("seeded histories part 8")
{
    runSeeds(7);
}

// These tests show that the checks can fail: each breaks a rule that the log relies on, and at least one seed must detect it.
TEST_CASE("the histories detect an acknowledgement before the sync")
{
    CHECK(countDetections<SendThenSync>(InjectedFault::None) > 0);
}

TEST_CASE("the histories detect a vote that is lost in a restart")
{
    CHECK(countDetections<SyncThenSend>(InjectedFault::VoteLost) > 0);
}

TEST_CASE("the histories detect a wiped replica that votes under its old identity")
{
    CHECK(countDetections<SyncThenSend>(InjectedFault::WipedReplicaVotes) > 0);
}

// Guards against a stale read: a revoked key that still works. Replicas that restart at the same time elect a leader at once if all deny
// leading; a partitioned one sends no reply and may still serve reads.
TEST_CASE("seeded histories with simultaneous restarts")
{
    runSeeds(0, FaultProfile::SimultaneousRestarts);
    runSeeds(1, FaultProfile::SimultaneousRestarts);
}

TEST_CASE("the histories detect a vote promise that is lost in a restart")
{
    CHECK(countDetections<SyncThenSend>(InjectedFault::PromiseLost, FaultProfile::SimultaneousRestarts) > 0);
}
