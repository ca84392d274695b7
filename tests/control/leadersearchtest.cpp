#include "control/leadersearch.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cumindyke;

namespace
{

const VmName SeedA{"seed-a"};
const VmName SeedB{"seed-b"};
const VmName Leader{"not-a-seed"};

}

// Guards against VMs that refuse all callers after the leader froze, although a new one was elected that the settings do not name. If its first
// replies are late, replicas that follow it would ask the next candidate and pass that candidate on as a hint, so that no VM ever names the leader
// again.
TEST_CASE("a replica that follows a leader names it whatever requests get no reply")
{
    LeaderSearch search({SeedA, SeedB});
    search.setFollowedLeader(Leader);
    search.onLeaderHint(Leader);
    search.onNoReply(Leader);
    search.onLeaderHint(SeedB);
    CHECK(search.leader() == Leader);
    SECTION("until it follows no leader any more")
    {
        search.setFollowedLeader({});
        CHECK(search.leader() == SeedB);
        search.onNoReply(SeedB);
        CHECK(search.leader() == SeedA);
    }
}

// Guards against a restarted entry VM that refuses all requests during a partition of the core in which the other half has a leader. All replicas
// that its settings name are unreachable; the leader of its former lease named the others.
TEST_CASE("replicas that the last leader named are asked when those of the settings do not reply")
{
    LeaderSearch search({SeedA, SeedB});
    search.onLeaderHint(SeedA);
    search.setReplicas({SeedA, SeedB, Leader});
    std::set<VmName> asked;
    for (int attempt = 0; attempt < 3; ++attempt) {
        asked.insert(search.leader());
        search.onNoReply(search.leader());
    }
    CHECK(asked.contains(Leader));
}

// Guards against a VM that never asks some of its candidates: the first one always names a VM that has ended, and each search that fails there began
// again at the first one.
TEST_CASE("every candidate is asked although the first one always names a silent VM")
{
    LeaderSearch search({SeedA, SeedB});
    std::set<VmName> asked;
    for (int attempt = 0; attempt < 6; ++attempt) {
        const VmName target = search.leader();
        asked.insert(target);
        if (target == SeedA) {
            search.onLeaderHint(Leader);
        } else {
            search.onNoReply(target);
        }
    }
    CHECK(asked.contains(SeedB));
}

// Guards against VMs that are sent back to a leader that was replaced, by others that have not heard of the new one.
TEST_CASE("a hint of an earlier term than the newest known one is ignored")
{
    LeaderSearch search({SeedA, SeedB});
    search.onLeaderHint(Leader, 5);
    search.onLeaderHint(SeedB, 4);
    CHECK(search.leader() == Leader);
    search.setFollowedLeader(SeedA, 4);
    CHECK(search.leader() == Leader);
    search.onLeaderHint(SeedB, 6);
    CHECK(search.leader() == SeedB);
    SECTION("but a lease counts whatever its term, after a system that was set up anew")
    {
        search.setFollowedLeader({});
        search.onLeaderReply(SeedA, 1);
        CHECK(search.leader() == SeedA);
        search.onLeaderHint(SeedB, 2);
        CHECK(search.leader() == SeedB);
    }
}

// Guards against replicas that were replaced long ago and are asked in place of the present ones.
TEST_CASE("the voters of the more up-to-date log are asked")
{
    LeaderSearch search({SeedA});
    search.setReplicas({Leader}, {.term = 3, .index = 10});
    search.setReplicas({SeedB}, {.term = 2, .index = 90});
    CHECK(search.replicas() == std::vector<VmName>{Leader});
    search.setReplicas({SeedB}, {.term = 3, .index = 11});
    CHECK(search.replicas() == std::vector<VmName>{SeedB});
}

// Guards against a quarter of a second without service after a start: the first seed of the settings is this VM.
TEST_CASE("a VM asks itself only if there is no other candidate")
{
    CHECK(LeaderSearch({SeedA, SeedB}, SeedA).leader() == SeedB);
    CHECK(LeaderSearch({SeedA}, SeedA).leader() == SeedA);
}

// Guards against VMs that never get a lease after a start: two replicas without a leader that take each other for it would send each VM that asks one
// of them to the other for ever, and a third would never be asked.
TEST_CASE("a VM that only presumes a leader gives no hint")
{
    LeaderSearch search({SeedA, SeedB});
    CHECK_FALSE(search.hint());
    search.onLeaderHint(SeedB);
    CHECK_FALSE(search.hint());
    search.onLeaderReply(SeedB);
    CHECK(search.hint() == SeedB);
    search.onNoReply(SeedB);
    CHECK_FALSE(search.hint());
}
