#include "control/processcluster.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

TEST_CASE("every VM lists the members with the revision in force on each")
{
    ProcessCluster cluster(3);
    REQUIRE(cluster.apply(1, 1, {"--wait"}).exitCode == 0);
    REQUIRE(cluster.waitAllReady());
    const ProcessResult shown = cluster.daemon(3).ctl({"members", "--output", "json"});
    REQUIRE(shown.exitCode == 0);
    const auto members = nlohmann::json::parse(shown.out)["members"];
    REQUIRE(members.size() == 3);
    CHECK(members[0]["vm"] == "vm-1");
    CHECK(members[0]["leader"] == true);
    CHECK(members[0]["replica"] == true);
    CHECK(members[2]["leader"] == false);
    for (const auto &member : members) {
        CHECK(member["live"] == true);
        CHECK(member["revision"] == "1");
    }
    CHECK(cluster.daemon(2).ctl({"members", "add-replica"}).exitCode == 2);
    CHECK(cluster.daemon(2).ctl({"history", "--output", "json"}).exitCode == 0);
}

// A watch at one VM must show changes made at another, each once and in order, including those from before the watch.
TEST_CASE("a watch shows the changes of all VMs in order")
{
    ProcessCluster cluster(2);
    REQUIRE(cluster.apply(1, 1).exitCode == 0);
    REQUIRE(cluster.waitAllReady());
    const TemporaryFolder folder;
    Process watch(
        {std::string(CUMINDYKE_BIN) + "/cumindykectl", "watch", "--count", "3", "--server", cluster.daemon(2).rpc()}, folder.file("out"), folder.file("error"));
    REQUIRE(eventually([&] { return contentOf(folder.file("out")).find("revision 1 ") != std::string::npos; }));
    REQUIRE(cluster.apply(1, 2, {"--wait"}).exitCode == 0);
    REQUIRE(cluster.apply(1, 3, {"--wait"}).exitCode == 0);
    CHECK(watch.wait() == 0);
    const std::string out = contentOf(folder.file("out"));
    CHECK(out.find("revision 2 ") < out.find("revision 3 "));
    CHECK(out.find("revision 3 ") != std::string::npos);
}

// A restored snapshot must put its declarations in force under a new revision; in a system with another history it must be refused.
TEST_CASE("a snapshot is restored as a new revision, and refused by another system")
{
    const TemporaryFolder folder;
    const std::string file = folder.file("snapshot");
    ProcessCluster cluster(2);
    REQUIRE(cluster.apply(1, 1, {"--wait"}).exitCode == 0);
    REQUIRE(cluster.daemon(2).ctl({"snapshot", "save", file}).exitCode == 0);
    REQUIRE(cluster.apply(1, 3, {"--wait"}).exitCode == 0);
    const ProcessResult restored = cluster.daemon(2).ctl({"snapshot", "restore", file});
    CHECK(restored.exitCode == 0);
    CHECK(restored.out.find("accepted: revision 3") != std::string::npos);
    CHECK(eventually([&] { return cluster.revisionOn(2) == 3; }));
    CHECK(cluster.apply(1, 1).out.find("nothing to change") != std::string::npos);

    ProcessCluster other(1);
    REQUIRE(other.apply(1, 2).exitCode == 0);
    const ProcessResult refused = other.daemon(1).ctl({"snapshot", "restore", file});
    CHECK(refused.exitCode == 2);
    CHECK(refused.error.find("another history") != std::string::npos);
    CHECK(other.daemon(1).ctl({"snapshot", "restore", folder.file("none")}).exitCode != 0);
}
