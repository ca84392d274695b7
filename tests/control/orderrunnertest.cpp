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

/// Runs an order runner under an epoch until a condition holds or the test's timeout is over.
void runOrders(const Declarations &declarations, std::uint64_t epoch, const std::function<bool()> &until)
{
    EventLoop loop;
    OrderRunner runner(loop, OrderOptions{}, epoch);
    runner.setDeclarations(declarations);
    // The orders of the former leader ended long ago.
    runner.startLeading(Epoch{epoch}, EventLoop::now() - std::chrono::minutes(1));
    Timer tick(loop, [&] {
        runner.tick(EventLoop::now());
        if (until()) {
            loop.stop();
        }
    });
    tick.startEvery(std::chrono::milliseconds(20));
    Timer timeout(loop, [&loop] { loop.stop(); });
    timeout.startOnce(WaitTimeout);
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

// An upstream is declared with another version than it serves. The leader must order the version once, and the next leader must find it loaded: a
// second load would take the engine out of service again.
TEST_CASE("a declared version is ordered once by two successive leaders")
{
    const TemporaryFolder folder;
    const TestNetwork network;
    const FakeUpstreamProcess upstream(folder, "drafting-1", network.host(11));
    const Declarations declarations = officeWith(upstream.address(), "v2");
    runOrders(declarations, 1, [&] { return serves(upstream, "v2"); });
    REQUIRE(serves(upstream, "v2"));
    int ticks = 0;
    runOrders(declarations, 2, [&ticks] { return ++ticks > 50; });
    CHECK(ordersIn(upstream.log()) == 1);
}

TEST_CASE("a load state without a version is rejected")
{
    CHECK_FALSE(parseLoadedState("{}"));
    CHECK_FALSE(parseLoadedState("not JSON"));
    CHECK_FALSE(parseLoadedState(R"({"version":3})"));
    CHECK(parseLoadedState(R"({"version":"v1","loading":true})")->loading);
    CHECK_FALSE(parseLoadedState(R"({"version":"v1"})")->loading);
}
