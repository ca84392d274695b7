#include "raft/replicacluster.h"

#include "ctl/client.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

std::vector<std::string> changes(int count)
{
    std::vector<std::string> ids;
    for (int i = 1; i <= count; ++i) {
        ids.push_back("change-" + std::to_string(i));
    }
    return ids;
}

/// Until the folder's log was written to after the restart, and its replica votes: two of three need it then.
bool hasLeader(const ReplicaCluster &cluster)
{
    return eventually([&] { return cluster.leader() != 0; });
}

}

// Operators apply changes while the leader is killed, twice. Each change is sent again with its id until it is answered. No answered change
// may be missing, none may be there twice, and a resend after all that gets the first answer.
TEST_CASE("five daemons keep every acknowledged change when leaders are killed")
{
    ReplicaCluster cluster(5, 5);
    REQUIRE(hasLeader(cluster));
    std::vector<std::uint64_t> revisions;
    for (int i = 1; i <= 60; ++i) {
        if (i == 20 || i == 40) {
            const int leader = cluster.leader();
            REQUIRE(leader != 0);
            cluster.kill(leader);
        }
        revisions.push_back(cluster.change(i));
    }
    CHECK(cluster.history() == changes(60));
    v1::ApplyRequest resend;
    resend.set_command_id("change-1");
    REQUIRE(eventually([&] {
        const auto again = OperatorClient(cluster.daemon(cluster.leader()).rpc(), Patience).apply(resend);
        return ok(again) && valueOf(again).revision() == revisions[0] && valueOf(again).outcome() == v1::CommandReply::ACCEPTED;
    }));
}

// A replica is down while 500 changes go by. It must get them when it is back: then another replica is killed, and with two of three left
// changes are accepted only if the one that came back takes part.
TEST_CASE("a replica that missed 500 changes catches up and counts again")
{
    ReplicaCluster cluster(3, 3);
    REQUIRE(hasLeader(cluster));
    cluster.change(1);
    cluster.kill(3);
    for (int i = 2; i <= 500; ++i) {
        cluster.change(i);
    }
    cluster.restart(3);
    cluster.change(501);
    cluster.kill(1);
    cluster.change(502);
    CHECK(cluster.history() == changes(502));
    CHECK(cluster.voters() == std::set<int>{1, 2, 3});
}

// A replica comes back with an empty disk. As a voter it could vote twice in a term, and what it had acknowledged is gone: it must come
// back as a learner. When it is a voter again, another replica is lost at once, and nothing acknowledged may be missing.
TEST_CASE("a replica with a wiped disk is admitted anew, and the next loss is survived")
{
    ReplicaCluster cluster(3, 3);
    REQUIRE(hasLeader(cluster));
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
    CHECK(cluster.history() == changes(12));
}

// A replica's VM is lost for good. Another VM with a disk takes its place without anybody's doing, and right after that a second replica
// is lost: with the new one, two of three remain, and every acknowledged change is there.
TEST_CASE("a lost replica is replaced by another VM, and a second loss right after is survived")
{
    ReplicaCluster cluster(5, 3, "replace_replica_after_ms = 1000\n");
    REQUIRE(hasLeader(cluster));
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
    CHECK(cluster.history() == changes(12));
}
