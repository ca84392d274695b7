#include "control/processcluster.h"
#include "control/virtualcluster.h"

#include "ctl/client.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

using namespace cumindyke;
using namespace cumindyke::test;

// Guards against a VM that serves callers under an outdated configuration while its connections stay open without carrying data. It must become
// unready, an apply that waits must list it as lapsed, and it must become ready again by itself with the change in force.
TEST_CASE("a VM that is cut off silently becomes unready, and ready again with the changes accepted meanwhile")
{
    ProcessCluster cluster(4);
    REQUIRE(cluster.apply(2, 1).exitCode == 0);
    REQUIRE(cluster.waitAllReady());
    cluster.setLinks(4, Link::Mode::Drop);
    REQUIRE(eventually([&] { return !cluster.ready(4); }));
    CHECK(cluster.ready(1));
    CHECK(cluster.ready(3));
    const ProcessResult applied = cluster.apply(3, 2, {"--wait"});
    INFO(applied.out << applied.error);
    CHECK(applied.exitCode == 0);
    CHECK(applied.out.find("lapsed: vm-4") != std::string::npos);
    CHECK(applied.out.find("lapsed: vm-2") == std::string::npos);
    CHECK(cluster.revisionOn(2) == 2);
    CHECK_FALSE(cluster.ready(4));
    cluster.setLinks(4, Link::Mode::Forward);
    REQUIRE(cluster.waitAllReady());
    CHECK(cluster.revisionOn(4) == 2);
}

// Guards against a VM that refuses callers for ever because its open connections carry no data any more, for example after a middlebox lost its
// state, while new ones work. The VM must open new connections.
TEST_CASE("a VM whose open connections stop carrying data becomes ready again over new ones")
{
    ProcessCluster cluster(3);
    REQUIRE(cluster.apply(1, 1).exitCode == 0);
    REQUIRE(cluster.waitAllReady());
    cluster.stallOpenConnections(3);
    REQUIRE(cluster.apply(2, 2).exitCode == 0);
    CHECK(eventually([&] { return cluster.revisionOn(3) == 2; }));
    CHECK(cluster.waitAllReady());
}

// Of two operators who change declarations under one revision at two VMs at the same time, one must be told that it won and the other that it lost,
// and to whom.
TEST_CASE("of two concurrent changes at two VMs exactly one is accepted")
{
    ProcessCluster cluster(3);
    REQUIRE(cluster.apply(1, 1).exitCode == 0);
    REQUIRE(cluster.waitAllReady());
    const auto applyAt = [&cluster](int vm, const char *author) { return cluster.apply(vm, vm + 2, {"--base-revision", "1", "--author", author}); };
    auto second = std::async(std::launch::async, applyAt, 2, "ade");
    const ProcessResult first = applyAt(3, "bisi");
    const ProcessResult other = second.get();
    CHECK(first.exitCode + other.exitCode == 3);
    const ProcessResult &lost = first.exitCode == 0 ? other : first;
    CHECK(lost.error.find(first.exitCode == 0 ? "by bisi" : "by ade") != std::string::npos);
    CHECK(eventually([&] { return cluster.revisionOn(1) == 2; }));
}

// After a lost answer the operator resends the command with its id to another VM. It must get the first answer, and the change must be made once.
TEST_CASE("a resend after a lost answer gets the first answer from any VM")
{
    ProcessCluster cluster(3);
    REQUIRE(cluster.apply(1, 1).exitCode == 0);
    REQUIRE(cluster.waitAllReady());
    const Address lossy{cluster.network().host(30), 8081};
    Link link(lossy, Address{cluster.host(2), 8081});
    link.setMode(Link::Mode::DropAnswers);
    v1::ApplyRequest request;
    request.set_command_id("resent");
    request.set_base_revision(1);
    *request.add_changes() = organisationChange(9);
    CHECK_FALSE(ok(OperatorClient(toString(lossy), std::chrono::seconds(2)).apply(request)));
    const auto again = OperatorClient(cluster.daemon(3).rpc(), WaitTimeout).apply(request);
    REQUIRE(ok(again));
    CHECK(valueOf(again).outcome() == v1::CommandReply::ACCEPTED);
    CHECK(valueOf(again).revision() == 2);
    const auto history = OperatorClient(cluster.daemon(3).rpc(), WaitTimeout).history({});
    REQUIRE(ok(history));
    CHECK(valueOf(history).entries_size() == 2);
}

// The VM that holds the log is killed. The others must become unready and not serve their configuration for ever; after its restart they must be
// ready again with every accepted change.
TEST_CASE("VMs without a leader become unready, and ready again after its restart")
{
    ProcessCluster cluster(3);
    REQUIRE(cluster.apply(2, 1).exitCode == 0);
    REQUIRE(cluster.waitAllReady());
    cluster.daemon(1).process().signal(SIGKILL);
    cluster.daemon(1).process().wait();
    REQUIRE(eventually([&] { return !cluster.ready(2) && !cluster.ready(3); }));
    const ProcessResult refused = cluster.apply(2, 2);
    CHECK(refused.exitCode == 4);
    cluster.daemon(1).start();
    REQUIRE(cluster.waitAllReady());
    CHECK(cluster.revisionOn(3) >= 1);
}
