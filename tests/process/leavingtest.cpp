#include "support/testdeployment.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

// The platform's list marks the VM of one engine as leaving: once the daemon has read the list, all requests go to the other engine, and a
// list that cannot be parsed changes nothing.
TEST_CASE("an upstream whose VM the platform lists as leaving gets no new requests")
{
    const TemporaryFolder folder;
    const std::string list = folder.file("vms.json");
    writeFile(list, R"({"vms":[]})");
    TestDeployment deployment(TestDeploymentOptions{.draftingUpstreams = 2, .extraSettings = "platform_list = \"" + list + "\"\n"});
    REQUIRE(streamedText(deployment.draft("before", 2).body).whole);
    writeFile(list, R"({"vms":[{"address":")" + deployment.drafting(0).address().host + R"(","state":"leaving"}]})");
    REQUIRE(eventually([&deployment] { return deployment.daemon().log().find("leaving-vms") != std::string::npos; }));
    writeFile(list, "{");
    REQUIRE(eventually([&deployment] { return deployment.daemon().log().find("platform-list-unreadable") != std::string::npos; }));
    const int before = countEvents(deployment.drafting(0).log(), "run");
    for (int i = 0; i < 12; ++i) {
        CHECK(streamedText(deployment.draft("after " + std::to_string(i), 2).body).whole);
    }
    CHECK(countEvents(deployment.drafting(0).log(), "run") == before);
}

// Nothing else shortens a graceful shutdown: running answers are cut when drain_limit_ms has passed.
TEST_CASE("the drain limit ends a graceful shutdown and is logged")
{
    TestDeployment deployment(TestDeploymentOptions{.upstreamArguments = {"--step-ms", "1000"}, .extraSettings = "drain_limit_ms = 300\n"});
    std::thread caller([&deployment] { deployment.draft("long", 1000); });
    REQUIRE(eventually([&deployment] { return countEvents(deployment.drafting().log(), "run") == 1; }));
    deployment.daemon().process().signal(SIGTERM);
    deployment.daemon().process().wait();
    caller.join();
    CHECK(deployment.daemon().log().find("drain-limit-passed") != std::string::npos);
}
