#include "support/testdeployment.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

// Guards, on the front door's own path, against an upstream in need that gets as many requests as its slots take.
TEST_CASE("an upstream that names a request limit gets no more than that from the front doors of all VMs")
{
    constexpr Duration LearningTime = std::chrono::seconds(1);
    constexpr Duration Window = std::chrono::seconds(4);
    constexpr int MaxInWindow = 17;
    constexpr std::size_t Vms = 2;
    TestDeployment deployment({.vms = Vms});
    deployment.booking().setFaults(R"({"request_limit":"2.0"})");
    std::atomic<bool> stopped = false;
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < 3 * Vms; ++caller) {
        callers.emplace_back([&deployment, &stopped, caller] {
            while (!stopped) {
                http(deployment.daemonAddress(caller % Vms), "GET", "/services/booking/halls", ApiKeyHeaders);
            }
        });
    }
    std::this_thread::sleep_for(LearningTime);
    const int before = countEvents(deployment.booking().log(), "run");
    std::this_thread::sleep_for(Window);
    const int sent = countEvents(deployment.booking().log(), "run") - before;
    CHECK(sent <= MaxInWindow);
    CHECK(sent > 0);
    deployment.booking().setFaults(R"({"request_limit":""})");
    CHECK(eventually([&] { return countEvents(deployment.booking().log(), "run") > before + 200; }));
    stopped = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
}
