#include "raft/replicacluster.h"

#include "ctl/client.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

std::vector<std::string> changeIds(int count)
{
    std::vector<std::string> ids;
    for (int i = 1; i <= count; ++i) {
        ids.push_back("change-" + std::to_string(i));
    }
    return ids;
}

/// Waits until a leader is known; returns whether there is one.
bool waitForLeader(const ReplicaCluster &cluster)
{
    return eventually([&] { return cluster.leader() != 0; });
}

}

// Operators apply changes while the leader is killed twice. Each change is resent with its id until it is answered. No acknowledged change
// may be missing or applied twice, and a resend at the end gets the first answer.
TEST_CASE("five daemons keep every acknowledged change when leaders are killed")
{
    ReplicaCluster cluster(5, 5);
    REQUIRE(waitForLeader(cluster));
    std::vector<std::uint64_t> revisions;
    for (int i = 1; i <= 60; ++i) {
        if (i == 20 || i == 40) {
            const int leader = cluster.leader();
            REQUIRE(leader != 0);
            cluster.kill(leader);
        }
        revisions.push_back(cluster.change(i));
    }
    CHECK(cluster.history() == changeIds(60));
    v1::ApplyRequest resend;
    resend.set_command_id("change-1");
    REQUIRE(eventually([&] {
        const auto again = OperatorClient(cluster.daemon(cluster.leader()).rpc(), WaitTimeout).apply(resend);
        return ok(again) && valueOf(again).revision() == revisions[0] && valueOf(again).outcome() == v1::CommandReply::ACCEPTED;
    }));
}

// A replica is down while 500 changes are applied. It must receive them after its restart: then another replica is killed, and the
// remaining two of three accept changes only if the restarted one takes part.
TEST_CASE("a replica that missed 500 changes catches up and counts towards the quorum")
{
    ReplicaCluster cluster(3, 3);
    REQUIRE(waitForLeader(cluster));
    cluster.change(1);
    cluster.kill(3);
    for (int i = 2; i <= 500; ++i) {
        cluster.change(i);
    }
    cluster.restart(3);
    cluster.change(501);
    cluster.kill(1);
    cluster.change(502);
    CHECK(cluster.history() == changeIds(502));
    CHECK(cluster.voters() == std::set<int>{1, 2, 3});
}

// A replica restarts with an empty disk. As a voter it could vote twice in a term, and the entries it acknowledged are lost, so it must
// rejoin as a learner. As soon as it is a voter again, another replica is killed, and no acknowledged change may be missing.
TEST_CASE("a replica with a wiped disk is admitted again, and the cluster survives the next loss")
{
    ReplicaCluster cluster(3, 3);
    REQUIRE(waitForLeader(cluster));
    for (int i = 1; i <= 10; ++i) {
        cluster.change(i);
    }
    cluster.kill(3);
    cluster.wipe(3);
    cluster.change(11);
    cluster.restart(3);
    REQUIRE(eventually([&] { return cluster.daemon(3).log().find("change=waiting-to-be-admitted") != std::string::npos; }));
    REQUIRE(eventually([&] { return cluster.daemon(3).log().find("change=admitted") != std::string::npos; }));
    REQUIRE(eventually([&] { return cluster.voters() == std::set<int>{1, 2, 3}; }));
    cluster.kill(cluster.leader() == 1 ? 1 : 2);
    cluster.change(12);
    CHECK(cluster.history() == changeIds(12));
}

// A replica's VM is gone for good. Another VM with a disk replaces it without operator action, and then a second replica is killed: with
// the new one, two of three remain and hold every acknowledged change.
TEST_CASE("a lost replica is replaced by another VM, and the cluster survives a second loss right after")
{
    ReplicaCluster cluster(5, 3, "replace_replica_after_ms = 1000\n");
    REQUIRE(waitForLeader(cluster));
    for (int i = 1; i <= 10; ++i) {
        cluster.change(i);
    }
    cluster.kill(3);
    cluster.change(11);
    REQUIRE(eventually([&] {
        const std::set<int> voters = cluster.voters();
        return voters.size() == 3 && !voters.contains(3);
    }));
    cluster.kill(cluster.leader() == 1 ? 1 : 2);
    cluster.change(12);
    CHECK(cluster.history() == changeIds(12));
}
