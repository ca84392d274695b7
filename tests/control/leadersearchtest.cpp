#include "control/leadersearch.h"

#include <catch2/catch.hpp>

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
TEST_CASE("a replica that follows a leader names it, however many of its questions go unanswered")
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
