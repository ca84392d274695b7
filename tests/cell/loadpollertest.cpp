#include "cell/loadpoller.h"
#include "entry/httpserver.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <limits>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

/// Joined with commas.
std::string join(std::initializer_list<std::string> entries)
{
    std::string joined;
    for (const std::string &entry : entries) {
        joined.append(entry).append(",");
    }
    joined.pop_back();
    return joined;
}

}

TEST_CASE("an engine's load report and cache events are parsed, and malformed answers are errors")
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

// Guards against cache events that are lost, or asked for again from the first one on, since one event can't be parsed.
TEST_CASE("an odd cache event is passed over and the others are kept")
{
    const std::string sound = R"({"sequence":4,"prefix":9,"stored":true})";
    for (const std::string &odd : {std::string("null"),
                                   std::string(R"({"prefix":9})"),
                                   std::string(R"({"sequence":1e400,"prefix":9})"),
                                   std::string(R"({"sequence":-1,"prefix":9})"),
                                   R"({"sequence":)" + std::string(400, '9') + "}",
                                   std::string("{\"sequence\":5,\"prefix\":9,\"x\":\"\xff\"}"),
                                   R"({"sequence":)" + std::string(1'000'000, '[') + std::string(1'000'000, ']') + "}"}) {
        CAPTURE(odd.substr(0, 60));
        for (const std::string &entries : {join({odd, sound}), join({sound, odd})}) {
            const auto events = parsePrefixEvents(R"({"events":[)" + entries + "]}");
            REQUIRE(ok(events));
            CHECK(valueOf(events) == std::vector<PrefixEvent>{{.sequence = 4, .prefix = 9, .stored = true}});
        }
        CHECK_FALSE(ok(parsePrefixEvents(R"({"events":[)" + join({sound, odd}))));
    }
}

// Guards against an engine that looks idle since its report has a number that is too large, and against a report that ends the process.
TEST_CASE("a load report with odd values is an error, or they count as the most cautious ones")
{
    CHECK(valueOf(parseLoadReport(R"({"running":4294967296,"waiting":99999999999})")).running == std::numeric_limits<std::uint32_t>::max());
    CHECK(valueOf(parseLoadReport(R"({"running":3,"version":")" + std::string(1 << 20, 'v') + R"("})")) == LoadReport{.running = 3});
    CHECK_FALSE(ok(parseLoadReport(R"({"running":1e400})")));
    CHECK_FALSE(ok(parseLoadReport(std::string(1'000'000, '['))));
    CHECK(valueOf(parseLoadReport(R"({"running":3,"x":)" + std::string(1'000'000, '[') + std::string(1'000'000, ']') + "}")).running == 3);
}

TEST_CASE("an engine that crashes is reported as unreachable while the others are still polled")
{
    // One of two engines is killed. Its polls then fail at once (refused connections) and are reported, while the other engine's reports continue,
    // since each engine has a poller of its own.
    const TemporaryFolder folder;
    const TestNetwork network;
    FakeUpstreamProcess first(folder, "first", network.host(11));
    const FakeUpstreamProcess second(folder, "second", network.host(12));
    EventLoop loop;
    LoadPoller poller(loop, std::chrono::milliseconds(20));
    bool killed = false;
    bool firstUnreachable = false;
    int secondReports = 0;
    poller.loadReceived().connect([&](const UpstreamName &name, const LoadReport & /*report*/) {
        if (name == UpstreamName{"first"} && !killed) {
            killed = true;
            first.process().signal(SIGKILL);
            first.process().wait();
        }
        if (name == UpstreamName{"second"} && firstUnreachable && ++secondReports == 3) {
            loop.stop();
        }
    });
    poller.unreachable().connect([&](const UpstreamName &name) {
        CHECK(name == UpstreamName{"first"});
        firstUnreachable = true;
    });
    Timer limit(loop, [&loop] { loop.stop(); });
    limit.startOnce(WaitTimeout);
    poller.setUpstreams(
        {Upstream{.name = UpstreamName{"first"}, .address = first.address()}, Upstream{.name = UpstreamName{"second"}, .address = second.address()}});
    loop.run();
    CHECK(killed);
    CHECK(firstUnreachable);
    CHECK(secondReports >= 3);
}

// Failure guarded against: an engine without load reports that was unreachable once got no requests until the next change of the declarations,
// since only a load report made it usable again. Any complete answer must make it reachable.
TEST_CASE("an engine without load reports is reachable again after any complete answer")
{
    const TestNetwork network;
    EventLoop loop;
    auto engine = HttpServer::listen(loop, Address{network.host(11), 0}, std::chrono::seconds(30));
    REQUIRE(ok(engine));
    valueOf(engine)->arrived().connect([](const std::shared_ptr<Exchange> &exchange) { exchange->reply(404, "text/plain", "no such path\n"); });
    LoadPoller poller(loop, std::chrono::milliseconds(20));
    bool reachable = false;
    poller.loadReceived().connect([](const UpstreamName & /*name*/, const LoadReport & /*report*/) { FAIL("there is no report"); });
    poller.reachable().connect([&](const UpstreamName &name) {
        CHECK(name == UpstreamName{"silent"});
        reachable = true;
        loop.stop();
    });
    Timer limit(loop, [&loop] { loop.stop(); });
    limit.startOnce(WaitTimeout);
    poller.setUpstreams({Upstream{.name = UpstreamName{"silent"}, .address = Address{network.host(11), valueOf(engine)->port()}}});
    loop.run();
    CHECK(reachable);
}
