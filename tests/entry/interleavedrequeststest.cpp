#include "entry/httpserver.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

/// Turns of the loop after which what is due at once has been done.
constexpr int SomeTurns = 20;

/// A server and one caller's connection in one thread, whose loop is advanced turn by turn, so that a test sets the order of events.
class SteppedServer
{
public:
    SteppedServer()
    {
        restart();
    }
    ~SteppedServer()
    {
        disconnect();
    }
    SteppedServer(const SteppedServer &) = delete;
    SteppedServer &operator=(const SteppedServer &) = delete;

    void restart()
    {
        auto door = HttpServer::listen(loop, Address{.host = m_network.host(1), .port = 0}, std::chrono::seconds(30));
        REQUIRE(ok(door));
        m_door = std::move(valueOf(door));
        m_door->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) {
            ran.push_back(exchange->method() + " " + exchange->target() + " " + exchange->body());
            waiting.push_back(exchange);
        });
    }

    void connect()
    {
        disconnect();
        m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int noDelay = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
        sockaddr_in to{.sin_family = AF_INET, .sin_port = htons(m_door->port()), .sin_addr = {}, .sin_zero = {}};
        inet_pton(AF_INET, m_network.host(1).c_str(), &to.sin_addr);
        REQUIRE(::connect(m_socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0);
    }
    void disconnect()
    {
        if (m_socket >= 0) {
            close(m_socket);
        }
        m_socket = -1;
        received.clear();
        ran.clear();
        waiting.clear();
        hasEnded = false;
    }
    /// Closes the connection, by a reset or in order, and keeps what has arrived at the server.
    void leave(bool resets)
    {
        const linger discard{.l_onoff = resets ? 1 : 0, .l_linger = 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        close(std::exchange(m_socket, -1));
    }
    void stopServer()
    {
        m_door.reset();
    }
    void send(std::string_view bytes) const
    {
        ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    /// Returns how many of the bytes the server, and the kernel, take now.
    std::size_t sendNow(std::string_view bytes) const
    {
        return static_cast<std::size_t>(std::max<ssize_t>(::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT), 0));
    }
    void turn()
    {
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
        std::array<char, 4096> buffer{};
        while (m_socket >= 0) {
            const ssize_t got = recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
            hasEnded = hasEnded || got == 0;
            if (got <= 0) {
                return;
            }
            received.append(buffer.data(), static_cast<std::size_t>(got));
            // The server's next answer waits for this acknowledgement.
            const int atOnce = 1;
            setsockopt(m_socket, IPPROTO_TCP, TCP_QUICKACK, &atOnce, sizeof atOnce);
        }
    }
    /// Advances the loop until the condition holds; false if it does not in time.
    bool turnUntil(const std::function<bool()> &condition, std::chrono::seconds timeout = std::chrono::seconds(5))
    {
        const TimePoint end = EventLoop::now() + timeout;
        while (!condition() && EventLoop::now() < end) {
            turn();
        }
        return condition();
    }
    void answerFirst()
    {
        const std::shared_ptr<Exchange> exchange = waiting.front();
        waiting.erase(waiting.begin());
        exchange->reply(200, "text/plain", "ran " + exchange->target() + ";");
    }
    /// Answers the requests, one after the other, until this number has arrived.
    void answerAll(std::size_t expected)
    {
        while (ran.size() < expected || !waiting.empty()) {
            if (!turnUntil([this] { return !waiting.empty(); })) {
                return;
            }
            answerFirst();
        }
    }

    EventLoop loop;
    std::string received;
    bool hasEnded = false;
    std::vector<std::string> ran;
    /// Requests that are not answered yet.
    std::vector<std::shared_ptr<Exchange>> waiting;

private:
    TestNetwork m_network;
    std::unique_ptr<HttpServer> m_door;
    int m_socket = -1;
};

/// When the rest of the requests arrives, relative to the answer to the first one.
enum class Moment { BeforeAnswer, WithAnswer, AfterAnswer, TurnAfterAnswer, MuchLater };
constexpr std::array AllMoments{Moment::BeforeAnswer, Moment::WithAnswer, Moment::AfterAnswer, Moment::TurnAfterAnswer, Moment::MuchLater};

constexpr std::size_t MaxDescription = 2000;

const std::string First = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

/// Sends the first request with a part of the next ones, and the rest at the moment, and answers all that runs. Returns false if the first did not run.
bool play(SteppedServer &server, const std::string &part, const std::string &rest, Moment moment, std::size_t expected)
{
    server.connect();
    server.send(First + part);
    if (!server.turnUntil([&] { return !server.waiting.empty(); })) {
        return false;
    }
    if (moment == Moment::BeforeAnswer) {
        server.send(rest);
        server.turn();
    }
    server.answerFirst();
    if (moment == Moment::WithAnswer) {
        server.send(rest);
    }
    const bool isAnswered = server.turnUntil([&] { return server.received.find("ran /a;") != std::string::npos; });
    if (moment == Moment::TurnAfterAnswer) {
        server.turn();
    }
    if (moment == Moment::MuchLater) {
        for (int count = 0; count < SomeTurns; ++count) {
            server.turn();
        }
    }
    if (moment != Moment::BeforeAnswer && moment != Moment::WithAnswer) {
        server.send(rest);
    }
    server.answerAll(expected);
    return isAnswered;
}

std::string describe(Moment moment, std::size_t cut, const SteppedServer &server)
{
    return "moment " + std::to_string(static_cast<int>(moment)) + ", cut " + std::to_string(cut) + ", ran " + std::to_string(server.ran.size()) + ", received "
        + server.received + "\n";
}

}

// Guards against an end of the process: the rest of a pipelined request arrived between the end of the answer before and the read that was scheduled for its
// first part, so that the parser was made to read while a request was being answered.
TEST_CASE("a pipelined request whose rest arrives when the answer before has just ended runs once")
{
    SteppedServer server;
    CHECK(play(server, "GET /b HT", "TP/1.1\r\nHost: a\r\n\r\n", Moment::BeforeAnswer, 2));
    CHECK(server.ran == std::vector<std::string>{"GET /a ", "GET /b "});
    CHECK(server.turnUntil([&] { return server.received.ends_with("ran /b;"); }));
}

// Guards against the same fault in all other orders: each place at which pipelined requests can be cut, and each moment at which the rest can arrive.
TEST_CASE("pipelined requests run once, whole and in order wherever they are cut and whenever the rest arrives")
{
    const std::string bytes = "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
                              "\r\nPOST //c HTTP/1.1\r\nHost:\ta\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nDigest: x\r\n\r\n"
                              "GET /d HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::vector<std::string> all{"GET /a ", "POST /b body", "POST //c abc", "GET /d "};
    SteppedServer server;
    std::string wrong;
    for (const Moment moment : AllMoments) {
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            const bool isAnswered = play(server, bytes.substr(0, cut), bytes.substr(cut), moment, all.size());
            const bool isComplete = server.turnUntil([&] { return server.received.ends_with("ran /d;"); });
            if (!isAnswered || !isComplete || server.ran != all) {
                wrong += describe(moment, cut, server);
            }
        }
    }
    INFO(wrong.substr(0, MaxDescription));
    CHECK(wrong.empty());
}

// Guards against a refusal that is sent into an answer, that lets a later request run, or that leaves the connection open, in the same orders.
TEST_CASE("a pipelined request that is refused ends the connection wherever it is cut and whenever the rest arrives")
{
    const std::string bytes = "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\nGET /c HTTP/1.1\r\nHost: a\r\n\r\n";
    SteppedServer server;
    std::string wrong;
    for (const Moment moment : AllMoments) {
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            const bool isAnswered = play(server, bytes.substr(0, cut), bytes.substr(cut), moment, 1);
            server.turnUntil([&] { return server.hasEnded; });
            const std::size_t refusal = server.received.find("HTTP/1.1 400 Bad Request");
            const bool isRefused = refusal != std::string::npos && refusal == server.received.find("ran /a;") + 7;
            if (!isAnswered || server.ran.size() != 1 || !isRefused || !server.hasEnded) {
                wrong += describe(moment, cut, server);
            }
        }
    }
    INFO(wrong.substr(0, MaxDescription));
    CHECK(wrong.empty());
}

// Guards against a timer or a callback that uses a connection which its caller has left, or the server has closed, while bytes of the next request are held, or
// a refusal is due.
TEST_CASE("a connection that closes while pipelined bytes are held leaves nothing behind")
{
    const std::string bytes = "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbodyGET /c HTTP/1.1\r\nHost : a\r\n\r\nGET /d";
    SteppedServer server;
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        for (const int turns : {0, 1, 2}) {
            server.connect();
            server.send(First + bytes.substr(0, cut));
            REQUIRE(server.turnUntil([&] { return !server.waiting.empty(); }));
            if (turns > 0) {
                server.answerFirst();
            }
            for (int count = 1; count < turns; ++count) {
                server.turn();
            }
            server.leave(cut % 2 == 0);
            for (int count = 0; count < SomeTurns; ++count) {
                server.turn();
            }
        }
    }
    CHECK(play(server, "", "GET /b HTTP/1.1\r\nHost: a\r\n\r\n", Moment::WithAnswer, 2));
    CHECK(server.turnUntil([&] { return server.received.ends_with("ran /b;"); }));
}

// Guards against a process that ends for want of memory: whatever a caller sent during a long answer was read and held.
TEST_CASE("what a caller sends during its answer is read up to a bound, and the rest after the answer")
{
    constexpr std::size_t Sent = 64U << 20;
    // Most of it is what the kernel holds.
    constexpr std::size_t MaxTaken = 24U << 20;
    constexpr std::size_t BodyBytes = 4U << 20;
    std::string requests;
    while (requests.size() < Sent) {
        requests += "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, 'x');
    }
    SteppedServer server;
    server.connect();
    server.send(First);
    REQUIRE(server.turnUntil([&] { return !server.waiting.empty(); }));
    server.waiting.front()->startStream(200, "text/plain");
    std::size_t taken = 0;
    for (int refused = 0; refused < 1000 && taken < Sent;) {
        const std::size_t more = server.sendNow(std::string_view(requests).substr(taken, 64U << 10));
        taken += more;
        refused = more == 0 ? refused + 1 : 0;
        // Each piece of the answer makes libevent read again.
        server.waiting.front()->streamData("piece");
        server.turn();
    }
    CHECK(taken < MaxTaken);
    server.waiting.front()->endStream();
    server.waiting.clear();
    REQUIRE(server.turnUntil([&] {
        taken += server.sendNow(std::string_view(requests).substr(taken, 64U << 10));
        return !server.waiting.empty();
    }));
    CHECK(server.waiting.front()->body() == std::string(BodyBytes, 'x'));
}

// Guards against requests that are used after they were freed: a server closes its connections while requests wait for their answers, which are given later.
TEST_CASE("a request that outlives its server is answered without effect")
{
    SteppedServer server;
    for (const bool isStream : {false, true}) {
        server.restart();
        server.connect();
        server.send(First + First);
        REQUIRE(server.turnUntil([&] { return !server.waiting.empty(); }));
        if (isStream) {
            server.waiting.front()->startStream(200, "text/plain");
            server.waiting.front()->streamData("part");
            server.turn();
        }
        int disconnected = 0;
        server.waiting.front()->callerDisconnected().connect([&disconnected] { ++disconnected; });
        server.stopServer();
        CHECK(disconnected == 1);
        CHECK(server.waiting.front()->header("Host").empty());
        server.waiting.front()->streamData("more");
        server.answerFirst();
        for (int count = 0; count < SomeTurns; ++count) {
            server.turn();
        }
        CHECK(server.hasEnded);
        CHECK(server.ran.size() == 1);
    }
}
