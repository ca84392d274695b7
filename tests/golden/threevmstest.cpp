#include "support/session.h"
#include "support/testdeployment.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <regex>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

std::string membersOf(const DaemonProcess &daemon)
{
    return daemon.ctl({"members"}).out;
}

bool areAllLive(const DaemonProcess &daemon)
{
    const std::string members = membersOf(daemon);
    return members.find(" lost ") == std::string::npos && members.find(" leader") != std::string::npos && std::count(members.begin(), members.end(), '\n') == 3;
}

/// Returns the index of the daemon that is the control leader.
std::size_t leaderOf(TestDeployment &deployment)
{
    std::smatch match;
    const std::string members = membersOf(deployment.daemon());
    REQUIRE(std::regex_search(members, match, std::regex("vm-([0-9]+) [^\n]* leader")));
    return static_cast<std::size_t>(std::stoi(match[1])) - 1;
}

std::string organisation(const std::string &name)
{
    return "[[organisation]]\nname = \"" + name + "\"\nhighest_tier = \"routine\"\n";
}

}

// Operators and callers use three VMs with a replica each: an accepted change, a conflicting change, a deposit that is resent to other VMs, a
// crash of the leader, a change and a request without it, its restart, and a snapshot that is restored as a new revision.
TEST_CASE("a session with three VMs whose leader is killed matches the recording")
{
    TestDeployment deployment(TestDeploymentOptions{.vms = 3, .replicas = 3});
    REQUIRE(eventually([&deployment] { return areAllLive(deployment.daemon()); }));
    const TemporaryFolder saved;
    const std::string declaredToml = contentOf(deployment.declarations() + "/office.toml");
    Session session;

    const std::size_t leader = leaderOf(deployment);
    const std::size_t second = (leader + 1) % 3;
    const std::size_t third = (leader + 2) % 3;
    DaemonProcess &secondDaemon = deployment.daemon(second);

    session.record("snapshot save", secondDaemon.ctl({"snapshot", "save", saved.file("state")}));
    writeFile(deployment.declarations() + "/zaria.toml", organisation("zaria"));
    session.record("apply DIR --wait, with organisation zaria", secondDaemon.ctl({"apply", deployment.declarations(), "--wait", "--author", "ade"}));
    writeFile(deployment.declarations() + "/jos.toml", organisation("jos"));
    session.record("apply DIR, made against revision 1",
                   deployment.daemon(third).ctl({"apply", deployment.declarations(), "--base-revision", "1", "--author", "bisi"}));
    session.record("POST deposit", deployment.deposit("deposit-1", "hall=3", second));
    session.record("POST deposit again, at another VM", deployment.deposit("deposit-1", "hall=3", third));
    session.record("POST deposit with another payload", deployment.deposit("deposit-1", "hall=4", third));

    deployment.daemon(leader).process().signal(SIGKILL);
    deployment.daemon(leader).process().wait();
    session.record("the leader is killed; apply DIR", secondDaemon.ctl({"apply", deployment.declarations(), "--author", "bisi"}));
    REQUIRE(secondDaemon.waitUntilReady());
    session.record("POST /v1/completions, without the leader", deployment.draft("Notice", 2, {}, second));
    deployment.daemon(leader).start();
    REQUIRE(eventually([&secondDaemon] { return areAllLive(secondDaemon); }));
    session.record("snapshot restore", secondDaemon.ctl({"snapshot", "restore", saved.file("state")}));
    session.record("history", secondDaemon.ctl({"history"}));

    session.replace("vm-" + std::to_string(second + 1) + "-", "vm-0-");
    session.replace("vm-" + std::to_string(third + 1) + "-", "vm-0-");
    session.replace("vm-" + std::to_string(leader + 1) + "-", "vm-0-");
    session.replace("drafting-engine-[0-9]+|booking-service-[0-9]+", "UPSTREAM");
    session.compareWith("threevms");
}
