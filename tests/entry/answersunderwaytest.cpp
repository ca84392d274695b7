#include "entry/httpserver.h"
#include "support/processes.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

/// More than the kernel holds for a caller that reads nothing.
constexpr std::size_t AnswerBytes = 16 << 20;

/// A server that answers each request at once with AnswerBytes; "/broken" is broken off.
class LargeAnswers
{
public:
    explicit LargeAnswers(bool countsBuffers)
        : m_timer(m_loop, [this] { hasAnswers = m_door->hasAnswersUnderWay(); })
    {
        auto door = HttpServer::listen(m_loop, Address{.host = network.host(1), .port = 0}, std::chrono::seconds(30));
        REQUIRE(ok(door));
        m_door = std::move(valueOf(door));
        if (countsBuffers) {
            m_door->countBuffers([](CallerId, const CallerBuffers &) {});
        }
        m_door->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) {
            ++requests;
            if (exchange->path() == "/broken") {
                exchange->startStream(200, "text/plain");
                exchange->abort();
                return;
            }
            exchange->reply(200, "text/plain", std::string(AnswerBytes, 'a'));
        });
        m_timer.startEvery(std::chrono::milliseconds(5));
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~LargeAnswers()
    {
        m_loop.stop();
        m_thread.join();
    }
    LargeAnswers(const LargeAnswers &) = delete;
    LargeAnswers &operator=(const LargeAnswers &) = delete;

    Address address() const
    {
        return Address{.host = network.host(1), .port = m_door->port()};
    }

    TestNetwork network;
    std::atomic<bool> hasAnswers = false;
    std::atomic<int> requests = 0;

private:
    EventLoop m_loop;
    Timer m_timer;
    std::unique_ptr<HttpServer> m_door;
    std::thread m_thread;
};

std::string requestOf(const std::string &path, const std::string &version)
{
    return "GET " + path + " HTTP/" + version + "\r\nHost: a\r\n\r\n";
}

}

// Guards against a planned stop that cuts an answer which its caller has not read to the end: the process exited once its requests had ended, though a part of
// an answer was still in its buffers.
TEST_CASE("an answer is under way until its caller has read it or has closed the connection")
{
    for (const bool countsBuffers : {false, true}) {
        CAPTURE(countsBuffers);
        LargeAnswers server(countsBuffers);
        {
            RawConnection reader(server.address(), 4096);
            reader.send(requestOf("/", "1.1"));
            REQUIRE(eventually([&] { return server.hasAnswers.load(); }));
            CHECK(reader.readUntil("\r\n\r\n" + std::string(AnswerBytes, 'a')).size() > AnswerBytes);
            CHECK(eventually([&] { return !server.hasAnswers; }));
            // On the same connection.
            reader.send(requestOf("/", "1.1"));
            CHECK(eventually([&] { return server.hasAnswers.load(); }));
        }
        CHECK(eventually([&] { return !server.hasAnswers; }));
        for (const std::string version : {"1.0", "1.1"}) {
            const int before = server.requests;
            RawConnection broken(server.address());
            broken.send(requestOf("/broken", version));
            CHECK(eventually([&] { return server.requests > before; }));
            CHECK(eventually([&] { return !server.hasAnswers; }));
        }
    }
}
