#include "entry/httpserver.h"
#include "support/processes.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr Duration ReadLimit = std::chrono::seconds(1);
constexpr Duration Interval = std::chrono::milliseconds(100);
/// The stream lasts longer than the limit.
constexpr int Pieces = 16;

std::string pieceOf(int number)
{
    return "piece " + std::to_string(number) + ";";
}

/// A server that answers "/stream" with several pieces, and other paths at once.
class StreamingServer
{
public:
    StreamingServer()
        : m_timer(m_loop, [this] { sendPiece(); })
    {
        auto door = HttpServer::listen(m_loop, Address{.host = network.host(1), .port = 0}, ReadLimit);
        REQUIRE(ok(door));
        m_door = std::move(valueOf(door));
        m_door->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) {
            if (exchange->path() != "/stream") {
                exchange->reply(200, "text/plain", "ran " + exchange->path());
                return;
            }
            m_stream = exchange;
            m_sent = 0;
            exchange->startStream(200, "text/plain");
            m_timer.startEvery(Interval);
        });
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~StreamingServer()
    {
        m_loop.stop();
        m_thread.join();
    }
    StreamingServer(const StreamingServer &) = delete;
    StreamingServer &operator=(const StreamingServer &) = delete;

    Address address() const
    {
        return Address{.host = network.host(1), .port = m_door->port()};
    }

    TestNetwork network;

private:
    void sendPiece()
    {
        if (m_sent == Pieces) {
            m_timer.stop();
            m_stream->endStream();
            m_stream.reset();
            return;
        }
        m_stream->streamData(pieceOf(++m_sent));
    }

    EventLoop m_loop;
    Timer m_timer;
    std::unique_ptr<HttpServer> m_door;
    std::shared_ptr<Exchange> m_stream;
    int m_sent = 0;
    std::thread m_thread;
};

/// Requests a stream and sends the parts of the next request during it: one after the first piece, one after the next to last, one after the end.
std::string answersTo(const StreamingServer &server, const std::string &method, const std::vector<std::string> &nextRequest)
{
    RawConnection connection(server.address());
    connection.send(method + " /stream HTTP/1.1\r\nHost: a\r\n" + (method == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n");
    connection.readUntil(pieceOf(1));
    connection.send(nextRequest[0]);
    connection.readUntil(pieceOf(Pieces - 1));
    connection.send(nextRequest[1]);
    connection.readUntil("0\r\n\r\n");
    connection.send(nextRequest[2]);
    return connection.readUntil("ran /next");
}

}

// Guards against a 408 in the middle of an answer: its caller sends the next request in parts while a long answer comes, and the time limit for receiving a
// request was taken to begin with the first part.
TEST_CASE("the time limit for receiving a request does not cut an answer that is still being sent")
{
    const StreamingServer server;
    for (const std::string method : {"GET", "POST"}) {
        const std::string answers = answersTo(server, method, {"GET /ne", "xt HTTP/1.1\r\nHo", "st: a\r\n\r\n"});
        CAPTURE(method, answers);
        CHECK(answers.find("408") == std::string::npos);
        for (int piece = 1; piece <= Pieces; ++piece) {
            CHECK(answers.find(pieceOf(piece)) != std::string::npos);
        }
        CHECK(answers.find("0\r\n\r\nHTTP/1.1 200 OK") != std::string::npos);
        CHECK(answers.find("ran /next") != std::string::npos);
    }
}

// Guards against a caller that keeps a connection for days since the part of a request that it sent during an answer is not limited any more.
TEST_CASE("the time limit holds for a request whose first part came during an answer")
{
    const StreamingServer server;
    RawConnection connection(server.address());
    connection.send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
    connection.readUntil(pieceOf(1));
    connection.send("GET /next HTTP/1.1\r\n");
    connection.readUntil("0\r\n\r\n");
    bool isOpen = true;
    CHECK(eventually([&] { return !(isOpen = isOpen && connection.send("a")); }));
    CHECK(connection.readAll().find("0\r\n\r\nHTTP/1.1 408") != std::string::npos);
}
