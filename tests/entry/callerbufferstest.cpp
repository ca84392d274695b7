#include "entry/httpserver.h"
#include "support/processes.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

#include <malloc.h>

#include <map>
#include <mutex>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr int EventCount = 40'000;

/// A server that counts its callers' bytes. It answers "/events" with EventCount small events at once, "/held" not at all, and other paths with "done".
class CountingServer
{
public:
    CountingServer()
    {
        auto door = HttpServer::listen(m_loop, Address{.host = network.host(1), .port = 0}, std::chrono::seconds(30));
        REQUIRE(ok(door));
        m_door = std::move(valueOf(door));
        m_door->countBuffers([this](CallerId id, const CallerBuffers &buffers) {
            const std::lock_guard lock(m_mutex);
            if (buffers.total() == 0) {
                m_buffers.erase(id);
            } else {
                m_buffers[id] = buffers;
            }
        });
        m_door->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) { answer(exchange); });
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~CountingServer()
    {
        m_loop.stop();
        m_thread.join();
        m_held.clear();
        // Open connections are still counted when they are closed.
        m_door.reset();
    }
    CountingServer(const CountingServer &) = delete;
    CountingServer &operator=(const CountingServer &) = delete;

    Address address() const
    {
        return Address{.host = network.host(1), .port = m_door->port()};
    }
    CallerBuffers total() const
    {
        const std::lock_guard lock(m_mutex);
        CallerBuffers sum;
        for (const auto &[id, buffers] : m_buffers) {
            sum.receiving += buffers.receiving;
            sum.held += buffers.held;
            sum.unread += buffers.unread;
        }
        return sum;
    }
    bool holdsNothing() const
    {
        return eventually([this] { return total() == CallerBuffers{}; });
    }

    TestNetwork network;

private:
    void answer(const std::shared_ptr<Exchange> &exchange)
    {
        if (exchange->path() == "/held") {
            m_held.push_back(exchange);
            exchange->callerDisconnected().connect([this] { releaseHeld(); });
            return;
        }
        if (exchange->path() != "/events") {
            exchange->reply(200, "text/plain", "done");
            return;
        }
        exchange->startStream(200, "text/event-stream");
        for (int event = 0; event < EventCount; ++event) {
            exchange->streamData("data: twenty bytes\n\n");
        }
        exchange->endStream();
    }

    /// An exchange can't be destroyed in a slot of its own signal.
    void releaseHeld()
    {
        for (std::shared_ptr<Exchange> &exchange : m_held) {
            m_loop.releaseLater(std::move(exchange));
        }
        m_held.clear();
    }

    EventLoop m_loop;
    std::unique_ptr<HttpServer> m_door;
    std::vector<std::shared_ptr<Exchange>> m_held;
    mutable std::mutex m_mutex;
    std::map<CallerId, CallerBuffers> m_buffers;
    std::thread m_thread;
};

std::string headOf(const std::string &path, std::size_t bodyLength)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bodyLength) + "\r\n\r\n";
}

}

// Guards against bytes that are counted in no state, or for ever.
TEST_CASE("a request is counted while it is received and while it is held, and no longer when its connection is closed")
{
    const CountingServer server;
    {
        const RawConnection connection(server.address());
        connection.send(headOf("/held", 50'000) + std::string(20'000, 'b'));
        REQUIRE(eventually([&] { return server.total().receiving > 20'000; }));
        CHECK(server.total().held == 0);
        CHECK(server.total().receiving < 30'000);
        connection.send(std::string(30'000, 'b'));
        REQUIRE(eventually([&] { return server.total().held > 50'000; }));
        CHECK(server.total().receiving == 0);
        CHECK(server.total().held < 52'000);
    }
    CHECK(server.holdsNothing());
}

// Guards against a count that grows with each request on a connection that stays open.
TEST_CASE("requests that follow each other on one connection leave nothing counted")
{
    const CountingServer server;
    RawConnection connection(server.address());
    for (int request = 0; request < 5; ++request) {
        // The head of the next request comes with the first one.
        connection.send(headOf("/a", 10) + "0123456789" + headOf("/b", 10).substr(0, 20));
        connection.readUntil("done");
        connection.send(headOf("/b", 10).substr(20) + "0123456789");
    }
    CHECK(server.holdsNothing());
}

// Guards against a caller that makes the VM use 2 MB for a header of 32 KB, which is counted as 32 KB.
TEST_CASE("a header is counted with the memory of its fields")
{
    const CountingServer server;
    const RawConnection connection(server.address());
    std::string head = "POST /held HTTP/1.1\r\n";
    for (int field = 0; field < 4000; ++field) {
        head += "a:b\r\n";
    }
    connection.send(head);
    CHECK(eventually([&] { return server.total().receiving > 4000 * 200; }));
}

// Guards against memory of 1 KB for each event that waits for a slow reader: the budget would bound a tenth or less of what is used.
TEST_CASE("small events that are not read take about the memory that is counted")
{
    const CountingServer server;
    RawConnection reader(server.address(), 4096);
    const std::size_t before = mallinfo2().uordblks;
    reader.send(headOf("/events", 0));
    REQUIRE(eventually([&] { return server.total().unread > 500'000; }));
    const std::size_t used = mallinfo2().uordblks - std::min<std::size_t>(before, mallinfo2().uordblks);
    CAPTURE(used, server.total().unread);
    CHECK(used < 2 * server.total().unread);
    const std::string received = reader.readUntil("\r\n0\r\n\r\n");
    CHECK(static_cast<int>(std::ranges::count(received, 'd')) >= EventCount);
    CHECK(server.holdsNothing());
}
