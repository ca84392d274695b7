#include "support/testdeployment.h"

#include <catch2/catch.hpp>

using namespace cumindyke::test;

// Guards, on the front door's own path, against a request that ends each upstream that runs it.
TEST_CASE("a completion that ended three upstreams does not reach the fourth")
{
    constexpr int Upstreams = 4;
    constexpr int Copies = 8;
    TestDeployment deployment({.draftingUpstreams = Upstreams, .vms = 2, .upstreamArguments = {"--crash-on", "fatal"}});
    HttpAnswer last;
    for (int copy = 0; copy < Copies; ++copy) {
        last = deployment.draft("a fatal prompt", 5, {}, static_cast<std::size_t>(copy % 2));
    }
    int running = 0;
    for (std::size_t upstream = 0; upstream < Upstreams; ++upstream) {
        running += deployment.drafting(upstream).process().running() ? 1 : 0;
    }
    CHECK(running == 1);
    CHECK(last.status == 503);
    CHECK(last.header("X-Cumindyke-Outcome") == "not-run");
    CHECK(deployment.draft("a harmless prompt", 5).status == 200);

    const std::string suspects = deployment.daemon().ctl({"suspects"}).out;
    CHECK(suspects.find("crashes 3") != std::string::npos);
    CHECK(suspects.find("refused_until_ms") != std::string::npos);
    CHECK(deployment.daemon().ctl({"suspects", "clear", suspects.substr(0, suspects.find(' '))}).exitCode == 0);
    CHECK(deployment.daemon().ctl({"suspects"}).out.empty());
    CHECK(deployment.daemon().ctl({"suspects", "clear", "no fingerprint"}).exitCode == 2);
}
