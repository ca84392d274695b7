#include "control/leaderdiscovery.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cumindyke;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};
const VmName Self{"self"};
const VmName SeedA{"seed-a"};
const VmName SeedB{"seed-b"};
const VmName Voter{"voter"};
const VmName Learner{"learner"};
const VmName Asker{"asker"};

LeaderDiscovery discoveryOf(const VmName &vm)
{
    return LeaderDiscovery(LeaderDiscoveryOptions{.vm = vm, .candidates = {SeedA, SeedB}, .seeds = {SeedA, SeedB}, .hasReplica = true});
}

v1::Membership membershipOf(const std::vector<VmName> &voters, const std::vector<VmName> &learners = {})
{
    v1::Membership membership;
    for (const VmName &voter : voters) {
        membership.add_voters(voter.value);
    }
    for (const VmName &learner : learners) {
        membership.add_learners(learner.value);
    }
    return membership;
}

/// Returns the VMs that get a heartbeat within the time if none of them replies.
std::set<VmName> askedWithin(LeaderDiscovery &discovery, Duration time)
{
    std::set<VmName> asked;
    discovery.start(Start);
    for (TimePoint now = Start; now < Start + time; now += std::chrono::milliseconds(50)) {
        if (discovery.isHeartbeatDue(now)) {
            discovery.onHeartbeatSent(now);
            asked.insert(discovery.leader());
        }
    }
    return asked;
}

}

// Guards against a former voter that restarts and asks only the seeds of its settings, which know no leader, although its log names the voters.
TEST_CASE("the voters in a VM's own log are asked for the leader")
{
    LeaderDiscovery discovery = discoveryOf(Self);
    discovery.setMembership(membershipOf({Self, Voter}), {.term = 2, .index = 8});
    CHECK(askedWithin(discovery, std::chrono::seconds(2)).contains(Voter));
}

// Guards against VMs without a disk that know only the seeds, while no seed knows the leader: the seeds' logs name the VMs that do.
TEST_CASE("a VM that knows no leader names the voters of its log, and a VM that it refused asks them")
{
    LeaderDiscovery seed = discoveryOf(SeedA);
    seed.setMembership(membershipOf({Voter}), {.term = 2, .index = 8});
    v1::ConfigHeartbeat heartbeat;
    heartbeat.set_beat(1);
    const v1::ConfigLease refusal = seed.refuse(Asker, heartbeat);
    CHECK(refusal.leader().empty());
    LeaderDiscovery asker = discoveryOf(Asker);
    CHECK_FALSE(asker.handleRefusal(refusal, Start));
    CHECK(askedWithin(asker, std::chrono::seconds(2)).contains(Voter));
}

// A VM with an empty disk must not name VMs that it doesn't know.
TEST_CASE("a VM that knows nothing names nobody")
{
    const v1::ConfigLease refusal = discoveryOf(SeedA).refuse(Asker, {});
    CHECK(refusal.leader().empty());
    CHECK(refusal.replicas().empty());
    CHECK(refusal.leader_term() == 0);
}

// Guards against a fleet in which the voters have a leader and every other VM asks seeds that don't know it, for as long as it runs.
TEST_CASE("members tell the leader to the seeds that are no members")
{
    LeaderDiscovery member = discoveryOf(Self);
    member.setMembership(membershipOf({Self, Voter}, {SeedB}), {.term = 2, .index = 8});
    CHECK(member.seedsToTell(Start).empty());
    member.setFollowedLeader(Voter, 2);
    REQUIRE(member.seedsToTell(Start) == std::vector<VmName>{SeedA});
    CHECK(member.seedsToTell(Start).empty());
    CHECK(member.seedsToTell(Start + std::chrono::seconds(2)).size() == 1);
    // A new leader is announced at once.
    member.setFollowedLeader(Learner, 3);
    CHECK(member.seedsToTell(Start + std::chrono::seconds(2)).size() == 1);
    const v1::ConfigLease announcement = member.announcementFor(SeedA);
    CHECK(announcement.leader() == Learner.value);
    CHECK(announcement.leader_term() == 3);

    SECTION("a seed that is told asks the leader at once, and names it only when it has a lease")
    {
        LeaderDiscovery seed = discoveryOf(SeedA);
        CHECK(seed.handleRefusal(announcement, Start));
        CHECK(seed.leader() == Learner);
        CHECK(seed.leaderFor(Asker).value.empty());
        v1::ConfigLease lease;
        lease.set_length_ms(2000);
        lease.set_leader_term(3);
        seed.handleGrant(Learner, lease, Start);
        CHECK(seed.leaderFor(Asker) == Learner);
    }
    SECTION("nothing is announced without a leader")
    {
        member.setFollowedLeader({}, 3);
        CHECK(member.seedsToTell(Start + std::chrono::seconds(9)).empty());
    }
}

// Guards against announcements of a leader that ended long ago, by a replica with an empty disk that a late message reached.
TEST_CASE("a VM that is no member announces no leader")
{
    LeaderDiscovery discovery = discoveryOf(Self);
    discovery.setMembership({}, {});
    discovery.setFollowedLeader(Voter, 2);
    CHECK(discovery.seedsToTell(Start).empty());
}

// Guards against a chain of hints that keeps a VM from its other candidates: a hint is followed at once only once, unless its term is newer.
TEST_CASE("a hint of a newer term is followed at once after another hint")
{
    LeaderDiscovery discovery = discoveryOf(Asker);
    discovery.start(Start);
    const auto refusalNaming = [](const VmName &leader, std::uint64_t term) {
        v1::ConfigLease refusal;
        refusal.set_beat(1);
        refusal.set_leader(leader.value);
        refusal.set_leader_term(term);
        return refusal;
    };
    CHECK(discovery.handleRefusal(refusalNaming(Voter, 4), Start));
    CHECK_FALSE(discovery.handleRefusal(refusalNaming(Learner, 4), Start));
    CHECK(discovery.handleRefusal(refusalNaming(Voter, 5), Start));
    CHECK_FALSE(discovery.handleRefusal(refusalNaming(Learner, 4), Start));
    CHECK(discovery.leader() == Voter);
}

// Guards against a heartbeat that is answered in a loop: the leader of which this VM has just heard asked for the leader before.
TEST_CASE("a kept heartbeat is answered once a leader is known, but not to the leader itself")
{
    LeaderDiscovery discovery = discoveryOf(SeedA);
    v1::ConfigHeartbeat heartbeat;
    heartbeat.set_beat(5);
    discovery.refuse(Asker, heartbeat);
    discovery.refuse(Voter, heartbeat);
    CHECK(discovery.takeAnswerable(false).empty());
    discovery.setFollowedLeader(Voter, 2);
    const auto answerable = discovery.takeAnswerable(false);
    CHECK(answerable.size() == 1);
    CHECK(answerable.contains(Asker));
    CHECK(discovery.takeAnswerable(false).empty());
}
