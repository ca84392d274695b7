#include "entry/frontdoors.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

// Guards against a front door that refuses all its callers while its VM has no path to the upstreams, though the other VMs reach them.
TEST_CASE("callers of a front door without a path to the upstreams are served through another VM, each request once")
{
    FrontDoors doors;
    REQUIRE(eventually([&] { return doors.isServed(0, "/warm"); }));
    REQUIRE(eventually([&] { return doors.isServed(1, "/warm"); }));
    doors.cut = GENERATE(Cut::Refused, Cut::Hangs);
    CHECK(doors.servedCount(0, "/cut", 20) == 20);
    CHECK(doors.servedCount(1, "/other", 20) == 20);
    for (int i = 0; i < 20; ++i) {
        CHECK(doors.booking.runs("/cut" + std::to_string(i)) == 1);
    }
    SECTION("it sends them itself again when the path is back")
    {
        const auto relayedCount = [&] { return doors.metrics.counter("cumindyke_relayed_connections_total", "", {}).value(); };
        CHECK(relayedCount() > 0);
        doors.cut = Cut::None;
        int round = 0;
        CHECK(eventually([&] {
            const double before = relayedCount();
            return doors.servedCount(0, "/back" + std::to_string(round++) + "-", 5) == 5 && relayedCount() == before;
        }));
    }
}
