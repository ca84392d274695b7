#include "relay/relayserver.h"

#include "common/mailbox.h"
#include "entry/httpserver.h"
#include "fakeplatform/rawupstream.h"
#include "support/listeningsocket.h"
#include "support/processes.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <string_view>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

/// A relay, and an upstream that answers "/whole" with a body and breaks "/broken" off.
class Relay
{
public:
    explicit Relay(bool isAvailable = true)
    {
        auto door = HttpServer::listen(m_loop, Address{.host = network.host(2), .port = 0}, std::chrono::seconds(5));
        REQUIRE(ok(door));
        m_upstream = std::move(valueOf(door));
        upstream = Address{.host = network.host(2), .port = m_upstream->port()};
        m_upstream->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) { answer(exchange); });
        address = Address{.host = network.host(1), .port = 7614};
        auto relay = RelayServer::listen(m_loop, RelayServerOptions{.address = address, .connectTimeout = std::chrono::seconds(1)}, m_metrics);
        REQUIRE(ok(relay));
        m_relay = std::move(valueOf(relay));
        m_relay->setPath(isAvailable ? RelayPath::Whole : RelayPath::None);
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~Relay()
    {
        m_loop.stop();
        m_thread.join();
    }
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Closes all sockets of the relay, as the end of its process does.
    void end()
    {
        m_end.post(0);
    }

    /// Sends a request through the relay. Calls "onData" for each piece of the answer.
    HttpAnswer request(
        const std::string &target,
        const Address &to,
        const std::function<void()> &onData = [] {}) const
    {
        HttpAnswer received;
        EventLoop loop;
        UpstreamCall call(loop,
                          UpstreamRequest{.id = RequestId{"r"},
                                          .address = to,
                                          .method = "GET",
                                          .target = target,
                                          .headers = {},
                                          .body = {},
                                          .idHeader = "Cumindyke-Request-Id",
                                          .allowsCloseDelimitedBody = true,
                                          .relay = address},
                          {});
        call.head().connect([&](const AnswerHead &head) { received.status = head.status; });
        call.data().connect([&](std::string_view bytes) {
            received.body += bytes;
            onData();
        });
        call.finished().connect([&] { loop.stop(); });
        call.failed().connect([&](CallFailure failure) {
            received.failure = failure;
            loop.stop();
        });
        call.start();
        loop.run();
        return received;
    }

    TestNetwork network;
    Address address;
    Address upstream;

private:
    void answer(const std::shared_ptr<Exchange> &exchange)
    {
        if (exchange->path() != "/broken") {
            exchange->reply(200, "text/plain", std::string(300'000, 'x'));
            return;
        }
        exchange->startStream(200, "text/plain");
        exchange->streamData("part");
        m_broken = exchange;
        m_timer.startOnce(std::chrono::milliseconds(20));
    }

    EventLoop m_loop;
    Metrics m_metrics;
    std::unique_ptr<HttpServer> m_upstream;
    std::unique_ptr<RelayServer> m_relay;
    Mailbox<int> m_end{m_loop, [this](int && /*unused*/) { m_relay.reset(); }};
    std::shared_ptr<Exchange> m_broken;
    Timer m_timer{m_loop, [this] { m_broken->abort(); }};
    std::thread m_thread;
};

/// An upstream that sends the head and a part of the body of an unframed answer, and resets the connection at once.
class ResettingUpstream
{
public:
    explicit ResettingUpstream(const std::string &host)
        : m_listener(host)
        , m_thread([this] { serve(); })
    {
    }
    ~ResettingUpstream()
    {
        m_listener.shutDown();
        m_thread.join();
    }
    ResettingUpstream(const ResettingUpstream &) = delete;
    ResettingUpstream &operator=(const ResettingUpstream &) = delete;

    const Address &address() const
    {
        return m_listener.address();
    }

private:
    void serve() const
    {
        constexpr std::string_view Part = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nCumindyke-Request-Id: r\r\n\r\npart";
        for (int connection = m_listener.accept(); connection >= 0; connection = m_listener.accept()) {
            std::string request;
            std::array<char, 4096> bytes{};
            for (ssize_t got = 1; got > 0 && request.find("\r\n\r\n") == std::string::npos;) {
                got = recv(connection, bytes.data(), bytes.size(), 0);
                request.append(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
            }
            send(connection, Part.data(), Part.size(), MSG_NOSIGNAL);
            const linger discard{.l_onoff = 1, .l_linger = 0};
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
            close(connection);
        }
    }

    const ListeningSocket m_listener;
    std::thread m_thread;
};

}

TEST_CASE("an answer comes whole through a relay")
{
    Relay relay;
    const HttpAnswer answer = relay.request("/whole", relay.upstream);
    CHECK(answer.status == 200);
    CHECK(answer.body.size() == 300'000);
    CHECK_FALSE(answer.failure);
}

// Guards against an answer that is broken off at the upstream and looks complete behind the relay.
TEST_CASE("an answer that is broken off is broken off behind a relay too")
{
    Relay relay;
    const HttpAnswer answer = relay.request("/broken", relay.upstream);
    CHECK(answer.status == 200);
    CHECK(answer.failure == CallFailure::Lost);
}

// Guards against a reset that is passed on as an end in order: part of an answer without a length or chunks would look complete behind the relay.
TEST_CASE("an unframed answer whose connection is reset right behind its last bytes is broken off behind a relay")
{
    constexpr int Requests = 400;
    const Relay relay;
    const ResettingUpstream upstream(relay.network.host(3));
    int ended = 0;
    int received = 0;
    for (int request = 0; request < Requests; ++request) {
        const HttpAnswer answer = relay.request("/", upstream.address());
        ended += answer.failure ? 0 : 1;
        received += answer.body.empty() ? 0 : 1;
    }
    CHECK(ended == 0);
    // Guards against a test whose upstream resets the connection before its answer is read.
    CHECK(received > 0);
}

// Guards against an answer without a length or chunks that looks complete because the relay's process ended.
TEST_CASE("an unframed answer is broken off when its relay ends")
{
    Relay relay;
    RawUpstream upstream(relay.network.host(3));
    upstream.setAnswer({.contentType = "text/plain", .body = "whole"});
    CHECK_FALSE(relay.request("/", upstream.address()).failure);
    upstream.setAnswer({.contentType = "text/plain", .body = "part", .end = RawUpstream::End::Never});
    const HttpAnswer answer = relay.request("/", upstream.address(), [&relay] { relay.end(); });
    CHECK(answer.body == "part");
    CHECK(answer.failure == CallFailure::Lost);
}

// Guards against laying a relay's failure on the upstream, and the upstream's on the relay.
TEST_CASE("a relay tells an upstream that it can't reach from one that it may not connect to")
{
    const Relay relay;
    CHECK(relay.request("/whole", Address{.host = relay.network.host(3), .port = 1}).failure == CallFailure::NotSent);
    const Relay unavailable(false);
    CHECK(unavailable.request("/whole", unavailable.upstream).failure == CallFailure::RelayFailed);
}

// Guards against a relay that is used for anything but connections, or kept busy by a request that never ends.
TEST_CASE("a relay refuses what is no request for a connection to an address")
{
    Relay relay;
    for (const char *request : {"GET / HTTP/1.1\r\n\r\n", "CONNECT upstream:80 HTTP/1.1\r\n\r\n", "CONNECT \r\n\r\n", "\r\n\r\n"}) {
        RawConnection connection(relay.address);
        connection.send(request);
        CHECK(connection.readAll().starts_with("HTTP/1.1 503"));
    }
    RawConnection connection(relay.address);
    connection.send(std::string(5000, 'x'));
    CHECK(connection.readAll().starts_with("HTTP/1.1 503"));
}
