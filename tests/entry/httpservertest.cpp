#include "entry/httpserver.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

/// A server that is busy with each request for 20 ms.
class BusyServer
{
public:
    BusyServer()
    {
        auto door = HttpServer::listen(m_loop, Address{.host = network.host(1), .port = 0}, std::chrono::seconds(5));
        REQUIRE(ok(door));
        m_door = std::move(valueOf(door));
        m_door->refuseWhileLate(m_metrics);
        m_door->arrived().connect([](const std::shared_ptr<Exchange> &exchange) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            exchange->reply(200, "text/plain", "done");
        });
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~BusyServer()
    {
        m_loop.stop();
        m_thread.join();
    }
    BusyServer(const BusyServer &) = delete;
    BusyServer &operator=(const BusyServer &) = delete;

    Address address() const
    {
        return Address{.host = network.host(1), .port = m_door->port()};
    }

    TestNetwork network;

private:
    EventLoop m_loop;
    Metrics m_metrics;
    std::unique_ptr<HttpServer> m_door;
    std::thread m_thread;
};

}

// Guards against a server, the front door's too, that accepts more requests than it can handle and answers them all late.
TEST_CASE("a server whose loop is late because of new connections refuses some of them, and serves again afterwards")
{
    constexpr int Callers = 200;
    const BusyServer server;
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&] { answered += http(server.address(), "GET", "/").status == 200 ? 1 : 0; });
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(answered > 0);
    CHECK(answered < Callers);
    CHECK(eventually([&] { return http(server.address(), "GET", "/").status == 200; }));
}
