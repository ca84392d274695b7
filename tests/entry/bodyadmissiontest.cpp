#include "entry/httpserver.h"
#include "support/processes.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

#include <mutex>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr std::size_t Budget = 2 << 20;
constexpr std::size_t LargeBytes = 1 << 20;
const std::string Host = " HTTP/1.1\r\nHost: a\r\n";

std::string headOf(const std::string &path, std::size_t length, const std::string &fields = {})
{
    return "POST " + path + Host + fields + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string largeBody(char byte)
{
    return std::string(LargeBytes, byte);
}

/// Holds the requests to "/hold" until they are released and answers the others at once, with the first byte and the length of what it read. Requests to
/// "/refused" are refused by their heads.
class HoldingServer
{
public:
    HoldingServer()
        : m_timer(m_loop, [this] { releaseIfAsked(); })
    {
        auto door = HttpServer::listen(m_loop, Address{.host = network.host(1), .port = 0}, std::chrono::seconds(30));
        REQUIRE(ok(door));
        m_door = std::move(valueOf(door));
        m_door->limitBodies(Budget, m_metrics);
        m_door->setHeadCheck([](const RequestHead &head, std::string_view) {
            return head.target == "/refused" ? std::optional(makeHeadRefusal("401 Unauthorized", "X-Id: 7\r\n", "no key", "refused\n")) : std::nullopt;
        });
        m_door->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) {
            if (exchange->path() == "/hold") {
                m_held.push_back(exchange);
                ++m_heldCount;
            } else {
                answer(*exchange);
            }
        });
        m_timer.startEvery(std::chrono::milliseconds(5));
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~HoldingServer()
    {
        m_loop.stop();
        m_thread.join();
    }
    HoldingServer(const HoldingServer &) = delete;
    HoldingServer &operator=(const HoldingServer &) = delete;

    Address address() const
    {
        return Address{.host = network.host(1), .port = m_door->port()};
    }
    void waitUntilHeld(int count) const
    {
        REQUIRE(eventually([&] { return m_heldCount == count; }));
    }
    void release()
    {
        m_isReleased = true;
    }
    std::string metrics()
    {
        return m_metrics.text();
    }

    TestNetwork network;

private:
    static void answer(Exchange &exchange)
    {
        exchange.reply(200, "text/plain", exchange.body().substr(0, 1) + std::to_string(exchange.body().size()));
    }
    void releaseIfAsked()
    {
        if (m_isReleased) {
            for (const auto &exchange : m_held) {
                answer(*exchange);
            }
            m_held.clear();
        }
    }

    EventLoop m_loop;
    Timer m_timer;
    Metrics m_metrics;
    std::unique_ptr<HttpServer> m_door;
    std::vector<std::shared_ptr<Exchange>> m_held;
    std::atomic<int> m_heldCount = 0;
    std::atomic<bool> m_isReleased = false;
    std::thread m_thread;
};

}

// Guards against callers whose large bodies use up the memory of a VM, and against a body that is cut or mixed with another one because it has waited.
TEST_CASE("a body waits at its caller until there is room for it, and is then read whole")
{
    HoldingServer server;
    RawConnection first(server.address());
    REQUIRE(first.send(headOf("/hold", LargeBytes) + largeBody('a')));
    server.waitUntilHeld(1);
    // With the part of a head, a part of the body, and the whole request in one piece before it waits.
    RawConnection second(server.address());
    std::thread sender([&second] { second.send(headOf("/b", LargeBytes) + largeBody('b')); });
    RawConnection third(server.address());
    REQUIRE(third.send(headOf("/c", 200'000) + std::string(1000, 'c')));
    REQUIRE(eventually([&] { return server.metrics().find("cumindyke_body_waits_total 1") != std::string::npos; }));
    CHECK(third.send(std::string(199'000, 'c')));
    CHECK(third.readUntil("c200000").find("HTTP/1.1 200") == 0);
    server.release();
    CHECK(second.readUntil("b1048576").find("HTTP/1.1 200") == 0);
    sender.join();
    CHECK(first.readUntil("a1048576").find("HTTP/1.1 200") == 0);
}

// Guards against a small request that has to wait because others hold large ones, and against a pipelined one that is lost behind a body that waits.
TEST_CASE("small requests are served while large bodies wait, and pipelined ones after them")
{
    HoldingServer server;
    RawConnection first(server.address());
    REQUIRE(first.send(headOf("/hold", LargeBytes) + largeBody('a')));
    server.waitUntilHeld(1);
    RawConnection second(server.address());
    std::thread sender([&second] { second.send(headOf("/b", LargeBytes) + largeBody('b') + headOf("/d", 1) + "d"); });
    REQUIRE(eventually([&] { return server.metrics().find("cumindyke_body_waits_total 1") != std::string::npos; }));
    RawConnection small(server.address());
    REQUIRE(small.send(headOf("/s", 10) + "ssssssssss"));
    CHECK(small.readUntil("s10").find("HTTP/1.1 200") == 0);
    server.release();
    const std::string answers = second.readUntil("d1");
    CHECK(answers.find("b1048576") < answers.find("d1"));
    sender.join();
}

// Guards against a parser that is told to read while it answers, which ends the process: a body that waits comes right behind a request that is answered.
TEST_CASE("a body that waits behind an answered request on its connection is read whole when there is room")
{
    HoldingServer server;
    RawConnection first(server.address());
    REQUIRE(first.send(headOf("/hold", LargeBytes) + largeBody('a')));
    server.waitUntilHeld(1);
    std::vector<std::unique_ptr<RawConnection>> pipelining;
    for (int i = 0; i < 5; ++i) {
        pipelining.push_back(std::make_unique<RawConnection>(server.address()));
        // The whole second request has arrived when its room comes, so that nothing else has the parser read.
        REQUIRE(pipelining.back()->send(headOf("/s", 1) + "s" + headOf("/e", 200'000) + std::string(1000, 'e')));
        CHECK(pipelining.back()->readUntil("s1").find("HTTP/1.1 200") == 0);
        CHECK(pipelining.back()->send(std::string(199'000, 'e')));
    }
    server.release();
    for (const auto &connection : pipelining) {
        CHECK(connection->readUntil("e200000").find("e200000") != std::string::npos);
    }
}

// Guards against a request that waits for ever, and against a refusal that is lost or leaves the connection open.
TEST_CASE("a body that finds no room in time is refused with 503 and when to come back")
{
    HoldingServer server;
    RawConnection first(server.address());
    REQUIRE(first.send(headOf("/hold", LargeBytes) + largeBody('a')));
    server.waitUntilHeld(1);
    RawConnection second(server.address());
    REQUIRE(second.send(headOf("/b", LargeBytes) + std::string(100'000, 'b')));
    const std::string answer = second.readAll();
    CHECK(answer.find("HTTP/1.1 503") == 0);
    CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(answer.find("not-run") != std::string::npos);
    CHECK(answer.find("200 OK") == std::string::npos);
}

// Guards against senders that keep the room of others by sending nothing.
TEST_CASE("a body that has stopped arriving makes room for others")
{
    HoldingServer server;
    RawConnection slow(server.address());
    REQUIRE(slow.send(headOf("/a", LargeBytes) + std::string(LargeBytes - 1, 'a')));
    bool isServed = eventually(
        [&] {
            RawConnection next(server.address());
            return next.send(headOf("/b", LargeBytes) + largeBody('b')) && next.readUntil("b1048576").find("HTTP/1.1 200") == 0;
        },
        std::chrono::seconds(20));
    CHECK(isServed);
    CHECK(slow.readAll().find("HTTP/1.1 503") == 0);
}

// Guards against bodies that a VM reads though their heads say that they are refused.
TEST_CASE("a request is refused by its head before its body has arrived")
{
    HoldingServer server;
    RawConnection expecting(server.address());
    REQUIRE(expecting.send(headOf("/refused", LargeBytes, "Expect: 100-continue\r\n")));
    const std::string answer = expecting.readAll();
    CHECK(answer.find("HTTP/1.1 401 Unauthorized\r\n") == 0);
    CHECK(answer.find("X-Id: 7\r\n") != std::string::npos);
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);

    RawConnection chunked(server.address());
    REQUIRE(chunked.send("POST /refused" + Host + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"));
    CHECK(chunked.readAll().find("HTTP/1.1 401") == 0);

    // What is behind the head is no request.
    RawConnection whole(server.address());
    whole.send(headOf("/refused", LargeBytes) + largeBody('a') + headOf("/s", 1) + "s");
    CHECK(whole.readAll().find("200 OK") == std::string::npos);
}
