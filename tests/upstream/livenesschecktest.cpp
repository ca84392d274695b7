#include "entry/httpserver.h"
#include "upstream/livenesschecks.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

/// Checks the address for two requests at once; returns whether both were told that the process has ended.
bool hasEnded(EventLoop &loop, const Address &address)
{
    LivenessChecks checks(loop);
    int endedCount = 0;
    int resultCount = 0;
    const auto onResult = [&](bool ended) {
        endedCount += ended ? 1 : 0;
        if (++resultCount == 2) {
            loop.stop();
        }
    };
    checks.check("engine", address, onResult);
    checks.check("engine", address, onResult);
    loop.run();
    return endedCount == 2;
}

}

// Guards against taking a reset connection for the end of an upstream's process.
TEST_CASE("an upstream has ended only if its address refuses connections")
{
    EventLoop loop;
    auto door = HttpServer::listen(loop, Address{.host = "127.0.0.1", .port = 0}, std::chrono::seconds(1));
    REQUIRE(ok(door));
    const Address address{.host = "127.0.0.1", .port = valueOf(door)->port()};
    CHECK_FALSE(hasEnded(loop, address));
    valueOf(door).reset();
    CHECK(hasEnded(loop, address));
}
