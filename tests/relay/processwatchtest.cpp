#include "relay/processwatch.h"

#include "support/hangingaddress.h"
#include "support/listeningsocket.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr Duration Limit = std::chrono::milliseconds(300);
constexpr std::string_view Healthy = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Accepts one connection, sends "early", and answers one request.
class WatchedProcess
{
public:
    WatchedProcess(const std::string &host, std::string_view early, std::string_view answer, std::uint16_t port = 0)
        : m_listener(host, port)
        , m_thread([this, early, answer] { serve(early, answer); })
    {
    }
    ~WatchedProcess()
    {
        end();
    }
    WatchedProcess(const WatchedProcess &) = delete;
    WatchedProcess &operator=(const WatchedProcess &) = delete;

    /// Closes all sockets, as the kernel does when a process is killed.
    void end()
    {
        m_listener.shutDown();
        while (!m_hasEnded) {
            const std::lock_guard lock(m_mutex);
            if (m_connection >= 0) {
                shutdown(m_connection, SHUT_RDWR);
            }
        }
        if (m_thread.joinable()) {
            m_thread.join();
        }
        m_listener.close();
    }
    const Address &address() const
    {
        return m_listener.address();
    }
    /// The request that was answered.
    const std::string &request() const
    {
        return m_request;
    }

private:
    void serve(std::string_view early, std::string_view answer)
    {
        const int connection = m_listener.accept();
        setConnection(connection);
        if (connection < 0) {
            m_hasEnded = true;
            return;
        }
        send(connection, early.data(), early.size(), MSG_NOSIGNAL);
        std::array<char, 1024> bytes{};
        for (ssize_t got = 1; got > 0;) {
            got = recv(connection, bytes.data(), bytes.size(), 0);
            m_request.append(bytes.data(), got > 0 ? static_cast<std::size_t>(got) : 0);
            if (m_request.ends_with("\r\n\r\n")) {
                send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
            }
        }
        setConnection(-1);
        close(connection);
        m_hasEnded = true;
    }
    void setConnection(int connection)
    {
        const std::lock_guard lock(m_mutex);
        m_connection = connection;
    }

    ListeningSocket m_listener;
    std::mutex m_mutex;
    int m_connection = -1;
    std::atomic<bool> m_hasEnded = false;
    std::string m_request;
    std::thread m_thread;
};

class Watch
{
public:
    explicit Watch(const Address &upstream)
        : m_watch(m_loop,
                  upstream,
                  std::nullopt,
                  LivenessRequest{.target = "/healthz",
                                  .host = "desk.example",
                                  .headers = {{"Cumindyke-Expect-Instance", "i-1"}},
                                  .instanceHeader = "Cumindyke-Instance-Id",
                                  .instance = "i-1"},
                  [this] { ++m_openedCount; })
    {
    }

    /// Runs until the request would be sent.
    void awaitOpened()
    {
        for (int turn = 0; m_openedCount == 0 && turn < 2000; ++turn) {
            runFor(std::chrono::milliseconds(1));
        }
        REQUIRE(m_openedCount == 1);
    }
    void runFor(Duration time)
    {
        Timer timer(m_loop, [this] { m_loop.stop(); });
        timer.startOnce(time);
        m_loop.run();
    }
    AnswerEndProof proofAtEnd()
    {
        std::optional<AnswerEndProof> result;
        m_watch.verifyEnd(EventLoop::now(), Limit, [&](AnswerEndProof proof) {
            result = proof;
            m_loop.stop();
        });
        m_loop.run();
        CHECK(m_openedCount == 1);
        return *result;
    }
    /// How long the proof takes when it is asked for late in a turn of the loop.
    Duration timeOfProofAfter(Duration busyTime)
    {
        TimePoint askedAt;
        TimePoint provedAt;
        Timer turn(m_loop, [&] {
            std::this_thread::sleep_for(busyTime);
            askedAt = EventLoop::now();
            m_watch.verifyEnd(askedAt, Limit, [&](AnswerEndProof) {
                provedAt = EventLoop::now();
                m_loop.stop();
            });
        });
        turn.startOnce(Duration::zero());
        m_loop.run();
        return provedAt - askedAt;
    }

private:
    EventLoop m_loop;
    int m_openedCount = 0;
    ProcessWatch m_watch;
};

}

// Guards against an answer of a process that has ended, or that was never reached, which is taken for a whole one.
TEST_CASE("an answer's end is proved only by an answer on a connection that was open before the request")
{
    const TestNetwork network;
    const std::string host = network.host(1);
    SECTION("the process answers")
    {
        WatchedProcess process(host, "", Healthy);
        Watch watch(process.address());
        watch.awaitOpened();
        CHECK(watch.proofAtEnd() == AnswerEndProof::Answered);
        process.end();
        CHECK(process.request() == "GET /healthz HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nCumindyke-Expect-Instance: i-1\r\n\r\n");
    }
    SECTION("the process is full")
    {
        const WatchedProcess process(host, "", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        Watch watch(process.address());
        watch.awaitOpened();
        CHECK(watch.proofAtEnd() == AnswerEndProof::Answered);
    }
    SECTION("the connection stays open, but nothing answers on it")
    {
        const ListeningSocket frozen(host);
        Watch watch(frozen.address());
        watch.awaitOpened();
        CHECK(watch.proofAtEnd() == AnswerEndProof::Unanswered);
    }
    SECTION("only a part of an answer's head comes")
    {
        const WatchedProcess process(host, "", "HTTP/1.1 200 OK\r\n");
        Watch watch(process.address());
        watch.awaitOpened();
        CHECK(watch.proofAtEnd() == AnswerEndProof::Unanswered);
    }
    SECTION("what the process sent on its own comes late")
    {
        const WatchedProcess process(host, "", "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n");
        Watch watch(process.address());
        watch.awaitOpened();
        CHECK(watch.proofAtEnd() == AnswerEndProof::Unanswered);
    }
    SECTION("the process sent an answer before it was asked, and ends")
    {
        WatchedProcess process(host, Healthy, "");
        Watch watch(process.address());
        watch.awaitOpened();
        watch.runFor(std::chrono::milliseconds(50));
        process.end();
        CHECK(watch.proofAtEnd() == AnswerEndProof::Closed);
    }
    SECTION("another upstream answers at the address")
    {
        const WatchedProcess process(host, "", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
        Watch watch(process.address());
        watch.awaitOpened();
        CHECK(watch.proofAtEnd() == AnswerEndProof::Unanswered);
    }
    SECTION("a gateway answers for the process")
    {
        const WatchedProcess process(host, "", "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n");
        Watch watch(process.address());
        watch.awaitOpened();
        CHECK(watch.proofAtEnd() == AnswerEndProof::Unanswered);
    }
    SECTION("another upstream names itself in its answer")
    {
        const WatchedProcess process(host, "", "HTTP/1.1 200 OK\r\ncumindyke-instance-id: i-2\r\nContent-Length: 0\r\n\r\n");
        Watch watch(process.address());
        watch.awaitOpened();
        CHECK(watch.proofAtEnd() == AnswerEndProof::Unanswered);
    }
    SECTION("the process has ended, and a successor answers at its address")
    {
        auto process = std::make_unique<WatchedProcess>(host, "", Healthy);
        const Address address = process->address();
        Watch watch(address);
        watch.awaitOpened();
        process.reset();
        const WatchedProcess successor(host, "", Healthy, address.port);
        CHECK(watch.proofAtEnd() == AnswerEndProof::Closed);
    }
    SECTION("nobody listens")
    {
        ListeningSocket ended(host);
        ended.close();
        Watch watch(ended.address());
        watch.awaitOpened();
        CHECK(watch.proofAtEnd() == AnswerEndProof::Unwatched);
    }
    SECTION("nobody answers")
    {
        const HangingAddress hanging(network.host(2));
        Watch watch(hanging.address());
        watch.awaitOpened();
        CHECK(watch.proofAtEnd() == AnswerEndProof::Unwatched);
    }
}

// Guards against a reset that is not waited for as long as promised, because the loop counts a timer from the beginning of a turn that took long.
TEST_CASE("the end of an answer is watched for the whole time in which a reset is seen, however busy the loop is")
{
    const TestNetwork network;
    for (const int busyMs : {0, 5, 15, 40}) {
        CAPTURE(busyMs);
        const WatchedProcess process(network.host(1), "", Healthy);
        Watch watch(process.address());
        watch.awaitOpened();
        CHECK(watch.timeOfProofAfter(std::chrono::milliseconds(busyMs)) >= ProcessWatch::MinTime);
    }
}
