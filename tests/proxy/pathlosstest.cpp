#include "proxy/entryvmtasks.h"
#include "proxy/keptconnection.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

/// Cuts the first VMs off, and returns the share of requests served there when the cut has lasted for a while.
double servedShareBehindCut(EntryVmTasks &vms, Cut cut, int cutCount)
{
    constexpr int Requests = 20;
    for (int vm = 0; vm < cutCount; ++vm) {
        REQUIRE(eventually([&] { return vms.isServed(vm, "warm" + std::to_string(vm) + "-" + std::to_string(vms.platform.seen().size())); }));
        vms.cuts[static_cast<std::size_t>(vm)] = cut;
    }
    int served = 0;
    for (int vm = 0; vm < cutCount; ++vm) {
        vms.servedCount(vm, "early" + std::to_string(vm) + "-", 2);
    }
    for (int vm = 0; vm < cutCount; ++vm) {
        served += vms.servedCount(vm, "cut" + std::to_string(vm) + "-", Requests);
    }
    return static_cast<double>(served) / (cutCount * Requests);
}

}

// Guards against refusing all callers of a VM whose connections to every upstream are refused.
TEST_CASE("callers of a VM whose connections to all upstreams are refused are served through another VM")
{
    EntryVmTasks vms(2);
    CHECK(servedShareBehindCut(vms, Cut::Refused, 1) == 1);
    CHECK(vms.servedCount(1, "other", 20) == 20);
}

// Guards against refusing all callers of a VM whose connections to every upstream hang.
TEST_CASE("callers of a VM whose connections to all upstreams hang are served through another VM")
{
    EntryVmTasks vms(2);
    CHECK(servedShareBehindCut(vms, Cut::Hangs, 1) == 1);
    CHECK(vms.servedCount(1, "other", 20) == 20);
}

// Guards against a relay that has no path either, and against laying the lost paths of most VMs on the upstreams.
TEST_CASE("callers are served while most VMs have no path to the upstreams")
{
    EntryVmTasks vms(4);
    CHECK(servedShareBehindCut(vms, Cut::Hangs, 3) == 1);
    CHECK(vms.servedCount(3, "other", 20) == 20);
}

// Guards against a stream that is broken or a request that runs twice on its way through another VM.
TEST_CASE("a stream through another VM comes whole, and each request runs once")
{
    EntryVmTasks vms(2);
    REQUIRE(servedShareBehindCut(vms, Cut::Refused, 1) == 1);
    const HttpAnswer stream = vms.request(0, "s-1", "/drafts/stream");
    CHECK(stream.status == 200);
    CHECK(stream.body.find("part 3") != std::string::npos);
    CHECK(vms.runs("s-1") == 1);
    for (int i = 0; i < 20; ++i) {
        CHECK(vms.runs("cut0-" + std::to_string(i)) == 1);
    }
}

// Guards against a relay whose shutdown cuts the streams of other VMs' callers.
TEST_CASE("a VM that shuts down first finishes the streams that it relays")
{
    EntryVmTasks vms(2);
    REQUIRE(servedShareBehindCut(vms, Cut::Refused, 1) == 1);
    HttpAnswer stream;
    std::thread caller([&] {
        HeaderList headers = callerHeaders("s-1");
        headers[2].second = "9000";
        stream = http(vms.callerAddress(0), "POST", "/drafts/slow-stream", headers, "s-1");
    });
    REQUIRE(eventually([&] { return vms.runs("s-1") == 1; }));
    std::atomic<bool> hasDrained = false;
    vms.tasks[1]->post(ProxyDrain{.drained = [&] { hasDrained = true; }});
    // The stream takes over four seconds, and the VM has no other request.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    CHECK_FALSE(hasDrained);
    caller.join();
    CHECK(stream.status == 200);
    CHECK(stream.body.find("part 3") != std::string::npos);
    CHECK(vms.runs("s-1") == 1);
    CHECK(eventually([&] { return hasDrained.load(); }));
}

// Guards against requests that are lost since their VM still asks a relay that shuts down.
TEST_CASE("callers of a VM without a path are served while one of its relays shuts down")
{
    EntryVmTasks vms(3);
    REQUIRE(servedShareBehindCut(vms, Cut::Refused, 1) == 1);
    std::atomic<bool> hasDrained = false;
    vms.tasks[1]->post(ProxyDrain{.drained = [&] { hasDrained = true; }});
    CHECK(vms.servedCount(0, "later", 20) == 20);
    CHECK(eventually([&] { return hasDrained.load(); }));
    CHECK(vms.servedCount(0, "after", 20) == 20);
}

// Guards against requests that still take the way through another VM when the path is back.
TEST_CASE("a VM sends requests itself again when its path is back")
{
    EntryVmTasks vms(2);
    REQUIRE(servedShareBehindCut(vms, Cut::Hangs, 1) == 1);
    vms.cuts[0] = Cut::None;
    const auto relayedCount = [&] { return vms.metrics.counter("cumindyke_relayed_connections_total", "", {}).value(); };
    CHECK(eventually([&] {
        const double before = relayedCount();
        return vms.servedCount(0, "back" + std::to_string(vms.platform.seen().size()), 5) == 5 && relayedCount() == before;
    }));
}

// Guards against a crash when a request ends while the others are moved to another path. Connections are refused only by a VM whose event loop is late.
TEST_CASE("a VM that loses its path again and again under load answers every request, and runs none twice")
{
    constexpr int Callers = 48;
    constexpr int Changes = 8;
    EntryVmTasks vms(3, 12);
    REQUIRE(eventually([&] { return vms.isServed(0, "warm" + std::to_string(vms.platform.seen().size())); }));
    std::atomic<bool> isOver = false;
    std::atomic<int> unanswered = 0;
    std::atomic<int> refused = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&, caller] {
            KeptConnection connection(vms.callerAddress(0));
            for (int sent = 0; !isOver; ++sent) {
                const std::string id = "load" + std::to_string(caller) + "-" + std::to_string(sent);
                KeptOutcome outcome = KeptOutcome::Refused;
                // A refused request has not run, so it is sent again under the same id.
                const bool isAccepted = eventually([&] {
                    outcome = connection.request(id);
                    refused += outcome == KeptOutcome::Refused ? 1 : 0;
                    return outcome != KeptOutcome::Refused;
                });
                unanswered += isAccepted && outcome == KeptOutcome::Answered ? 0 : 1;
            }
        });
    }
    for (int change = 0; change < Changes; ++change) {
        constexpr std::array Cuts{Cut::PartlyRefused, Cut::Hangs, Cut::PartlyRefused, Cut::None};
        vms.cuts[0] = Cuts[static_cast<std::size_t>(change) % Cuts.size()];
        std::this_thread::sleep_for(std::chrono::milliseconds(change % 2 == 0 ? 750 : 350));
    }
    isOver = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(unanswered == 0);
    const bool hasRefused = vms.metrics.counter("cumindyke_accept_pauses_total", "", {}).value() > 0;
    CHECK((refused == 0 || hasRefused));
    std::map<std::string, int> runs;
    for (const SeenRequest &run : vms.platform.seen()) {
        CHECK(++runs[run.header("Cumindyke-Request-Id")] == 1);
    }
}

// Guards against a request that ends upstream after upstream since the VM takes the ended ones for a lost path.
TEST_CASE("each request that ends an upstream is reported, however many upstreams have just ended")
{
    constexpr int Crashes = 8;
    constexpr int Callers = 6;
    EntryVmTasks vms(2, 10);
    REQUIRE(eventually([&] { return vms.isServed(0, "warm" + std::to_string(vms.platform.seen().size())); }));
    std::atomic<bool> isOver = false;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&, caller] {
            for (int sent = 0; !isOver; ++sent) {
                vms.request(0, "load" + std::to_string(caller) + "-" + std::to_string(sent));
            }
        });
    }
    for (int crash = 0; crash < Crashes; ++crash) {
        const std::string target = "/deposits/crash" + std::to_string(crash);
        const int endedBefore = vms.platform.endedCount();
        http(vms.callerAddress(0), "POST", target, callerHeaders("crash" + std::to_string(crash)), FakePlatform::CrashingBody);
        if (vms.platform.endedCount() > endedBefore) {
            CAPTURE(crash);
            CHECK(eventually([&] { return vms.isReported(target, FakePlatform::CrashingBody); }, std::chrono::seconds(2)));
        }
    }
    isOver = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(vms.platform.endedCount() > Crashes / 2);
}
