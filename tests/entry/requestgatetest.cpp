#include "entry/httpserver.h"
#include "entry/requestreader.h"
#include "support/processes.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <mutex>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

const std::string Post = "POST /a HTTP/1.1\r\nHost: a\r\n";
const std::string Inner = "POST /inner HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// A server that answers with what it read, "/slow" after a while, and remembers the bodies' sizes.
class EchoServer
{
public:
    EchoServer()
        : m_timer(m_loop, [this] { answer(*std::exchange(m_slow, nullptr)); })
    {
        auto door = HttpServer::listen(m_loop, Address{.host = network.host(1), .port = 0}, std::chrono::seconds(30));
        REQUIRE(ok(door));
        m_door = std::move(valueOf(door));
        m_door->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) {
            {
                const std::lock_guard lock(m_mutex);
                m_ran.push_back(exchange->method() + " " + exchange->target() + " " + exchange->path() + " " + exchange->body());
            }
            if (exchange->path() != "/slow") {
                answer(*exchange);
                return;
            }
            m_slow = exchange;
            m_timer.startOnce(std::chrono::milliseconds(100));
        });
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~EchoServer()
    {
        m_loop.stop();
        m_thread.join();
    }
    EchoServer(const EchoServer &) = delete;
    EchoServer &operator=(const EchoServer &) = delete;

    Address address() const
    {
        return Address{.host = network.host(1), .port = m_door->port()};
    }
    std::vector<std::string> ran() const
    {
        const std::lock_guard lock(m_mutex);
        return m_ran;
    }

    TestNetwork network;

private:
    static void answer(Exchange &exchange)
    {
        exchange.reply(200, "text/plain", "ran " + exchange.target());
    }

    EventLoop m_loop;
    Timer m_timer;
    std::shared_ptr<Exchange> m_slow;
    std::unique_ptr<HttpServer> m_door;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_ran;
    std::thread m_thread;
};

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

}

// Guards against what is read depending on how the network splits it: a head, a chunk's size and the next request come in pieces of one byte and all at once.
TEST_CASE("requests are read alike in whatever pieces they arrive")
{
    const std::string first = Post + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nDigest: x\r\n\r\n";
    const std::string second = "\r\nPOST //b/c?d HTTP/1.1\r\nHost:\ta\r\nContent-Length: 3\r\n\r\nabc";
    const std::string third = "GET http://a/e?f HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string bytes = first + second + third + Inner;
    for (const std::size_t step : {std::size_t(1), std::size_t(7), bytes.size()}) {
        const EchoServer server;
        RawConnection connection(server.address());
        for (std::size_t at = 0; at < bytes.size(); at += step) {
            connection.send(std::string_view(bytes).substr(at, step));
        }
        CAPTURE(step);
        CHECK(countOf(connection.readAll(), "HTTP/1.1 200 OK") == 4);
        CHECK(server.ran() == std::vector<std::string>{"POST /a /a abc0123456789", "POST //b/c?d //b/c abc", "GET /e?f /e ", "POST /inner /inner "});
    }
}

// Guards against a refusal in the middle of the answer before, and against a request that runs behind a refused one.
TEST_CASE("a pipelined request is refused after the answers before it, and nothing behind it runs")
{
    const EchoServer server;
    RawConnection connection(server.address());
    connection.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n" + Post + "\r\n" + Post + "Content-Length : 5\r\n\r\n" + Inner);
    const std::string received = connection.readAll();
    CHECK(countOf(received, "HTTP/1.1 ") == 3);
    CHECK(received.find("ran /slow") < received.find("ran /a"));
    CHECK(received.find("ran /a") < received.find("HTTP/1.1 400 Bad Request"));
    CHECK_FALSE(connection.wasReset());
    CHECK(server.ran() == std::vector<std::string>{"GET /slow /slow ", "POST /a /a "});
}

// Guards against a refusal behind an answer that ends the connection: its caller takes all that follows for a part of that answer.
TEST_CASE("nothing is sent after an answer that closes the connection")
{
    const EchoServer server;
    RawConnection connection(server.address());
    connection.send("GET /slow HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nno request\r\n\r\n");
    const std::string received = connection.readAll();
    CHECK(countOf(received, "HTTP/1.1 ") == 1);
    CHECK(received.ends_with("ran /slow"));
}

// Guards against a refusal that its caller never sees: a connection that is closed with unread bytes is reset, and the reset discards the answer.
TEST_CASE("a refusal reaches a caller that still sends, and the connection ends all the same")
{
    const EchoServer server;
    RawConnection connection(server.address());
    connection.send(Post + "Content-Length: 5, 5\r\n\r\n" + std::string(1 << 20, 'x'));
    CHECK(connection.readAll().starts_with("HTTP/1.1 400 Bad Request\r\n"));
    CHECK_FALSE(connection.wasReset());
    CHECK(eventually([&] { return !connection.send(std::string(1 << 16, 'x')); }));
    CHECK(server.ran().empty());
}

// Guards against a body in chunks that runs in part: its head is given to the parser before the last chunk has come.
TEST_CASE("a body that breaks off the rules after its first chunks does not run")
{
    const EchoServer server;
    RawConnection connection(server.address());
    connection.send(Post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    connection.send("3\r\nabcd\r\n0\r\n\r\n" + Inner);
    CHECK(connection.readAll().starts_with("HTTP/1.1 400 Bad Request\r\n"));
    CHECK_FALSE(connection.wasReset());
    CHECK(server.ran().empty());
}

// Guards against a limit that moves: libevent is given heads in another form than they were sent.
TEST_CASE("heads and bodies within the limits are served, and larger ones refused")
{
    const EchoServer server;
    const std::size_t limit = RequestReader::MaxHeadBytes;
    const std::string line = "POST /a HTTP/1.1\r\nHost: a\r\n";
    const auto status = [&server](const std::string &bytes) {
        RawConnection connection(server.address());
        connection.send(bytes);
        return connection.readUntil("\r\n\r\n").substr(0, 12);
    };
    std::string fields;
    while (fields.size() < limit * 2 / 3) {
        fields += "a:\tb\r\n";
    }
    CHECK(status(line + "A: " + std::string(limit - 100, 'x') + "\r\n\r\n") == "HTTP/1.1 200");
    CHECK(status(line + fields + "\r\n") == "HTTP/1.1 200");
    CHECK(status(line + "A: " + std::string(limit, 'x') + "\r\n\r\n") == "HTTP/1.1 431");
    CHECK(status(line + "A: " + std::string(limit, 'x')) == "HTTP/1.1 431");
    CHECK(status("GET /" + std::string(limit, 'x')) == "HTTP/1.1 431");
    const std::string body(RequestReader::MaxBodyBytes, 'x');
    CHECK(status(line + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body) == "HTTP/1.1 200");
    CHECK(status(line + "Transfer-Encoding: chunked\r\n\r\n400000\r\n" + body + "\r\n0\r\n\r\n") == "HTTP/1.1 200");
    CHECK(status(line + "Content-Length: " + std::to_string(body.size() + 1) + "\r\n\r\n" + body) == "HTTP/1.1 413");
    CHECK(status(line + "Transfer-Encoding: chunked\r\n\r\n400001\r\n" + body) == "HTTP/1.1 413");
    CHECK(status(line + "Transfer-Encoding: chunked\r\n\r\n400000\r\n" + body + "\r\n1\r\n") == "HTTP/1.1 413");
}

// Guards against a caller that waits for ever to send its body.
TEST_CASE("a caller that asks whether to send its body is told so once its head is accepted")
{
    const EchoServer server;
    RawConnection connection(server.address());
    connection.send(Post + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    CHECK(connection.readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    connection.send("abc");
    CHECK(connection.readUntil("ran /a").find("HTTP/1.1 200 OK") != std::string::npos);
    CHECK(server.ran() == std::vector<std::string>{"POST /a /a abc"});
}

// Guards against callers of HTTP/1.0 that are refused for a host that they need not send.
TEST_CASE("requests of HTTP/1.0 are served with and without a connection that is kept")
{
    const EchoServer server;
    RawConnection once(server.address());
    once.send("GET /a HTTP/1.0\r\n\r\n");
    CHECK(once.readAll().ends_with("ran /a"));
    RawConnection kept(server.address());
    kept.send("GET /b HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /c HTTP/1.0\r\n\r\n");
    const std::string received = kept.readAll();
    CHECK(received.find("ran /b") < received.find("ran /c"));
}
