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

// What callers see: after the leader froze, every VM refuses for as long as it stays frozen and longer, although a new leader was elected.
// The new leader is not among the VMs that the settings name. Its first answers are late, so the replicas that follow it ask the next
// candidate, and whoever asks them is sent to a candidate too: nobody ever names the leader again.
TEST_CASE("a replica that follows a leader names it whatever goes unanswered")
{
    LeaderSearch search({SeedA, SeedB});
    search.followed(Leader);
    search.learned(Leader);
    search.gaveNoAnswer(Leader);
    search.learned(SeedB);
    CHECK(search.leader() == Leader);
    SECTION("until it hears no leader any more")
    {
        search.followed({});
        CHECK(search.leader() == SeedB);
        search.gaveNoAnswer(SeedB);
        CHECK(search.leader() == SeedA);
    }
}

// What callers see: an entry VM that was restarted refuses everything while the core is cut in two, though the other half has a leader.
// All replicas that its settings name are on the far side of the cut; it had a lease before, whose leader knew the others.
TEST_CASE("replicas that the last leader named are asked when those of the settings are silent")
{
    LeaderSearch search({SeedA, SeedB});
    search.learned(SeedA);
    search.learnedReplicas({SeedA, SeedB, Leader});
    std::set<VmName> asked;
    for (int silence = 0; silence < 3; ++silence) {
        asked.insert(search.leader());
        search.gaveNoAnswer(search.leader());
    }
    CHECK(asked.contains(Leader));
}

// What callers see: no VM ever gets a lease after a start. Two replicas that hear no leader take each other for it; whoever asks one is sent
// to the other, at once and for ever, and never asks a third.
TEST_CASE("a VM that only guesses the leader names nobody")
{
    LeaderSearch search({SeedA, SeedB});
    CHECK_FALSE(search.hint());
    search.learned(SeedB);
    CHECK_FALSE(search.hint());
    search.answered(SeedB);
    CHECK(search.hint() == SeedB);
    search.gaveNoAnswer(SeedB);
    CHECK_FALSE(search.hint());
}
