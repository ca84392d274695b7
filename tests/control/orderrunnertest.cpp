#include "control/orderrunner.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

#include <regex>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

Declarations officeWith(const Address &address, const std::string &version)
{
    const std::vector<Change> changes{
        Tier{.name = TierName{"committee"}, .rank = TierRank{0}},
        Service{.name = ServiceName{"drafting"}, .version = VersionName{"v1"}},
        Upstream{.name = UpstreamName{"drafting-1"},
                 .service = ServiceName{"drafting"},
                 .version = VersionName{version},
                 .dataCentre = DataCentreName{"ikeja"},
                 .address = address},
    };
    const Result<Declarations> declared = Declarations().apply(changes);
    REQUIRE(ok(declared));
    return valueOf(declared);
}

/// Gives orders under an epoch until a condition holds, or the patience is over.
void giveOrders(const Declarations &declarations, std::uint64_t epoch, const std::function<bool()> &until)
{
    EventLoop loop;
    OrderRunner runner(loop, OrderOptions{}, epoch);
    runner.declared(declarations);
    // A former leader whose orders have all ended long ago.
    runner.lead(Epoch{epoch}, EventLoop::now() - std::chrono::minutes(1));
    Timer tick(loop, [&] {
        runner.tick(EventLoop::now());
        if (until()) {
            loop.stop();
        }
    });
    tick.startEvery(std::chrono::milliseconds(20));
    Timer giveUp(loop, [&loop] { loop.stop(); });
    giveUp.startOnce(Patience);
    loop.run();
}

std::size_t ordersIn(const std::string &log)
{
    const std::regex order("\"order\"");
    return static_cast<std::size_t>(std::distance(std::sregex_iterator(log.begin(), log.end(), order), std::sregex_iterator()));
}

bool serves(const FakeUpstreamProcess &upstream, const std::string &version)
{
    const auto state = parseLoadedState(http(upstream.address(), "GET", "/load").body);
    return state && state->argument == version;
}

}

// An upstream is declared with another version than it serves. The leader orders it, once; the leader after it finds it loaded and does
// not order it again, or the engine would be out of service for a second load.
TEST_CASE("a declared version is ordered once, over two leaders")
{
    const TemporaryFolder folder;
    const TestNetwork network;
    const FakeUpstreamProcess upstream(folder, "drafting-1", network.host(11));
    const Declarations declarations = officeWith(upstream.address(), "v2");
    giveOrders(declarations, 1, [&] { return serves(upstream, "v2"); });
    REQUIRE(serves(upstream, "v2"));
    int ticks = 0;
    giveOrders(declarations, 2, [&ticks] { return ++ticks > 50; });
    CHECK(ordersIn(upstream.log()) == 1);
}

TEST_CASE("an upstream that names no version is given no orders")
{
    CHECK_FALSE(parseLoadedState("{}"));
    CHECK_FALSE(parseLoadedState("not JSON"));
    CHECK_FALSE(parseLoadedState(R"({"version":3})"));
    CHECK(parseLoadedState(R"({"version":"v1","loading":true})")->loading);
    CHECK_FALSE(parseLoadedState(R"({"version":"v1"})")->loading);
}
