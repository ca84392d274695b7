#include "cell/loadpoller.h"
#include "entry/httpserver.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace cumindyke;
using namespace cumindyke::test;

TEST_CASE("an engine's reports are read, and what is not understood is an error")
{
    const auto load = parseLoadReport(R"({"running":3,"waiting":1,"pending_tokens":700,"draining":true,"version":"v2"})");
    REQUIRE(ok(load));
    CHECK(valueOf(load) == LoadReport{.running = 3, .waiting = 1, .pendingTokens = 700, .draining = true, .version = VersionName{"v2"}});
    CHECK(valueOf(parseLoadReport(R"({"running":"many"})")) == LoadReport{});
    CHECK_FALSE(ok(parseLoadReport("busy")));
    const auto events = parsePrefixEvents(R"({"events":[{"sequence":4,"prefix":9,"stored":true},7]})");
    REQUIRE(ok(events));
    CHECK(valueOf(events) == std::vector<PrefixEvent>{{.sequence = 4, .prefix = 9, .stored = true}});
    CHECK_FALSE(ok(parsePrefixEvents("{}")));
}

TEST_CASE("an engine that dies is reported unreachable while the others go on being asked")
{
    // The scheduler sees reports of two engines; one is killed; from then on its asks fail at once (refused connections) and
    // are reported, and the other engine's reports keep coming, because each engine has an asker of its own.
    const TemporaryFolder folder;
    const TestNetwork network;
    FakeUpstreamProcess first(folder, "first", network.host(11));
    const FakeUpstreamProcess second(folder, "second", network.host(12));
    EventLoop loop;
    LoadPoller watch(loop, std::chrono::milliseconds(20));
    bool killed = false;
    bool firstLost = false;
    int secondReports = 0;
    watch.loadCame().connect([&](const UpstreamName &name, const LoadReport & /*report*/) {
        if (name == UpstreamName{"first"} && !killed) {
            killed = true;
            first.process().signal(SIGKILL);
            first.process().wait();
        }
        if (name == UpstreamName{"second"} && firstLost && ++secondReports == 3) {
            loop.stop();
        }
    });
    watch.unreachable().connect([&](const UpstreamName &name) {
        CHECK(name == UpstreamName{"first"});
        firstLost = true;
    });
    Timer limit(loop, [&loop] { loop.stop(); });
    limit.startOnce(Patience);
    watch.setUpstreams(
        {Upstream{.name = UpstreamName{"first"}, .address = first.address()}, Upstream{.name = UpstreamName{"second"}, .address = second.address()}});
    loop.run();
    CHECK(killed);
    CHECK(firstLost);
    CHECK(secondReports >= 3);
}

// An engine without reports was out of reach once. The scheduler gave it nothing from then on, since only a report took it back in; its slots
// were lost until the next change of the declarations. Any whole answer now counts as a sign of life.
TEST_CASE("an engine without reports is reachable again when it answers anything")
{
    const TestNetwork network;
    EventLoop loop;
    auto engine = FrontDoor::listen(loop, Address{network.host(11), 0}, std::chrono::seconds(30));
    REQUIRE(ok(engine));
    valueOf(engine)->arrived().connect([](const std::shared_ptr<Exchange> &exchange) { exchange->reply(404, "text/plain", "no such path\n"); });
    LoadPoller watch(loop, std::chrono::milliseconds(20));
    bool reachable = false;
    watch.loadCame().connect([](const UpstreamName & /*name*/, const LoadReport & /*report*/) { FAIL("there is no report"); });
    watch.reachable().connect([&](const UpstreamName &name) {
        CHECK(name == UpstreamName{"silent"});
        reachable = true;
        loop.stop();
    });
    Timer limit(loop, [&loop] { loop.stop(); });
    limit.startOnce(Patience);
    watch.setUpstreams({Upstream{.name = UpstreamName{"silent"}, .address = Address{network.host(11), valueOf(engine)->port()}}});
    loop.run();
    CHECK(reachable);
}
