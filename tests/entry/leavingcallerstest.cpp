#include "entry/httpserver.h"
#include "support/processes.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

#include <pthread.h>

#include <atomic>
#include <ctime>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr std::size_t LongAnswerBytes = 8U << 20;

/// A server that ends no answer. In "/run/" requests run, in "/stream/" a first event is out, in "/paused/" more is written than the caller reads, and
/// "/done/" is answered.
class UnendingServer
{
public:
    UnendingServer()
    {
        auto door = HttpServer::listen(m_loop, Address{.host = m_network.host(1), .port = 0}, std::chrono::seconds(5));
        REQUIRE(ok(door));
        m_door = std::move(valueOf(door));
        m_door->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) { start(exchange); });
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~UnendingServer()
    {
        m_loop.stop();
        m_thread.join();
        m_held.clear();
    }
    UnendingServer(const UnendingServer &) = delete;
    UnendingServer &operator=(const UnendingServer &) = delete;

    Address address() const
    {
        return Address{.host = m_network.host(1), .port = m_door->port()};
    }
    /// Processor time of the server's thread.
    Duration processorTime()
    {
        clockid_t clock = 0;
        timespec used{};
        REQUIRE(pthread_getcpuclockid(m_thread.native_handle(), &clock) == 0);
        REQUIRE(clock_gettime(clock, &used) == 0);
        return std::chrono::seconds(used.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(used.tv_nsec));
    }

    std::atomic<int> arrivedCount = 0;
    std::atomic<int> leftCount = 0;

private:
    void start(const std::shared_ptr<Exchange> &exchange)
    {
        ++arrivedCount;
        if (exchange->path() == "/done/") {
            exchange->reply(200, "text/plain", "done");
            return;
        }
        // Kept after the caller has left, as a request is while its upstream's connection is closed.
        m_held.push_back(exchange);
        exchange->callerDisconnected().connect([this] { ++leftCount; });
        if (exchange->path() == "/stream/") {
            exchange->startStream(200, "text/event-stream");
            exchange->streamData("data: 1\n\n");
        } else if (exchange->path() == "/paused/") {
            exchange->startStream(200, "text/event-stream");
            exchange->streamData(std::string(LongAnswerBytes, 'x'));
        }
    }

    TestNetwork m_network;
    EventLoop m_loop;
    std::unique_ptr<HttpServer> m_door;
    std::vector<std::shared_ptr<Exchange>> m_held;
    std::thread m_thread;
};

const std::string Head = "Host: h\r\nContent-Length: 2\r\n\r\n";

/// Sends the request, with bytes behind it if they are given, and waits until it is in its state.
void begin(UnendingServer &server, RawConnection &caller, const std::string &path, const std::string &behind)
{
    const int before = server.arrivedCount;
    REQUIRE(caller.send("POST " + path + " HTTP/1.1\r\n" + Head + "ab"));
    REQUIRE(eventually([&] { return server.arrivedCount > before; }));
    if (path == "/stream/") {
        REQUIRE(caller.readUntil("data: 1").find("data: 1") != std::string::npos);
    }
    if (!behind.empty()) {
        REQUIRE(caller.send(behind));
    }
}

/// Whether the server's thread uses less than a tenth of a processor while nothing happens. A thread that spins uses far more, also on a busy machine.
bool isIdle(UnendingServer &server)
{
    constexpr Duration Watched = std::chrono::milliseconds(500);
    const Duration before = server.processorTime();
    std::this_thread::sleep_for(Watched);
    const Duration used = server.processorTime() - before;
    const auto usedUs = std::chrono::duration_cast<std::chrono::microseconds>(used).count();
    UNSCOPED_INFO("processor time: " << usedUs << " us of 500 ms");
    return used < Watched / 10;
}

}

// A caller that closes its connection with something unread resets it. The event of the closed socket did not report that: its upstream ran to the end, and
// the server's thread spun until the answer came.
TEST_CASE("a caller that leaves is noticed, however it leaves, and costs no processor time")
{
    UnendingServer server;
    const std::string path = GENERATE("/run/", "/stream/", "/paused/");
    const std::string behind = GENERATE("", "GET /done/ HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string way = GENERATE("close", "half-close", "reset", "half-close, then reset");
    INFO(path << ", " << way << (behind.empty() ? "" : ", with a request behind it"));
    auto caller = std::make_unique<RawConnection>(server.address(), path == "/paused/" ? 4096 : 0);
    begin(server, *caller, path, behind);
    CHECK(isIdle(server));
    CHECK(server.leftCount == 0);
    if (way.starts_with("half-close")) {
        caller->shutdownSending();
    }
    if (way.ends_with("reset")) {
        caller->resetOnClose();
    }
    if (way != "half-close") {
        caller.reset();
    }
    CHECK(eventually([&] { return server.leftCount == 1; }));
    CHECK(isIdle(server));
    CHECK(server.leftCount == 1);
}

// Guards against a caller's connection without a request that costs processor time after it was reset.
TEST_CASE("a caller that leaves before or after its request costs no processor time")
{
    UnendingServer server;
    const std::string sent = GENERATE("", "POST /run/ HT", "POST /run/ HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\nab");
    const bool isAnswered = GENERATE(false, true);
    const bool isReset = GENERATE(false, true);
    INFO("'" << sent << "' " << (isAnswered ? "after an answer, " : "") << (isReset ? "reset" : "closed"));
    auto caller = std::make_unique<RawConnection>(server.address());
    if (isAnswered) {
        REQUIRE(caller->send("GET /done/ HTTP/1.1\r\nHost: h\r\n\r\n"));
        REQUIRE(caller->readUntil("done").find("done") != std::string::npos);
    }
    REQUIRE(caller->send(sent));
    if (isReset) {
        caller->resetOnClose();
    }
    caller.reset();
    CHECK(isIdle(server));
    CHECK(server.arrivedCount == (isAnswered ? 1 : 0));
}
