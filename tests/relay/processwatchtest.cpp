#include "relay/processwatch.h"

#include "fakeplatform/rawupstream.h"
#include "support/hangingaddress.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

/// A listening socket of this process; connections stay in its backlog until they are accepted.
class Listener
{
public:
    explicit Listener(const std::string &host, std::uint16_t port = 0)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_port = htons(port);
        inet_pton(AF_INET, host.c_str(), &bound.sin_addr);
        REQUIRE(bind(m_socket, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) == 0);
        REQUIRE(listen(m_socket, 16) == 0);
        socklen_t length = sizeof bound;
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&bound), &length);
        address = Address{.host = host, .port = ntohs(bound.sin_port)};
    }
    ~Listener()
    {
        end();
    }
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    void closeAccepted() const
    {
        close(accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC));
    }
    void end()
    {
        if (m_socket >= 0) {
            close(std::exchange(m_socket, -1));
        }
    }

    Address address;

private:
    int m_socket;
};

class Watch
{
public:
    explicit Watch(const Address &upstream)
        : m_watch(m_loop, upstream, std::nullopt)
    {
    }

    void runFor(Duration time)
    {
        Timer timer(m_loop, [this] { m_loop.stop(); });
        timer.startOnce(time);
        m_loop.run();
    }
    AnswerEndProof proofAtEnd(Duration untilEvent = {}, const std::function<void()> &event = {})
    {
        std::optional<AnswerEndProof> result;
        m_watch.verifyEnd([&](AnswerEndProof proof) {
            result = proof;
            m_loop.stop();
        });
        if (event) {
            runFor(untilEvent);
            event();
        }
        if (!result) {
            m_loop.run();
        }
        return *result;
    }

private:
    EventLoop m_loop;
    ProcessWatch m_watch;
};

constexpr Duration Settled = std::chrono::milliseconds(10);

}

// Guards against an answer of a process that has ended, or that was never reached, which is taken for a whole one.
TEST_CASE("an answer's end is proved only by a connection that stays open")
{
    const TestNetwork network;
    Listener upstream(network.host(1));
    Watch watch(upstream.address);
    SECTION("the process still runs, although it does not accept the connection")
    {
        watch.runFor(Settled);
        CHECK(watch.proofAtEnd() == AnswerEndProof::Held);
    }
    SECTION("the process ends after the answer's connection")
    {
        watch.runFor(Settled);
        CHECK(watch.proofAtEnd(std::chrono::milliseconds(5), [&] { upstream.end(); }) == AnswerEndProof::Closed);
    }
    SECTION("the process ends before it is seen")
    {
        watch.runFor(Settled);
        upstream.end();
        CHECK(watch.proofAtEnd() == AnswerEndProof::Closed);
    }
    SECTION("the connection may be a successor's")
    {
        CHECK(watch.proofAtEnd() == AnswerEndProof::HeldLate);
    }
    SECTION("nobody listens")
    {
        upstream.end();
        Watch late(upstream.address);
        CHECK(late.proofAtEnd() == AnswerEndProof::Refused);
    }
    SECTION("nobody answers")
    {
        const HangingAddress hanging(network.host(2));
        Watch cut(hanging.address());
        CHECK(cut.proofAtEnd() == AnswerEndProof::NoAnswer);
    }
}

// Guards against a successor's connection that is taken for the process's own: the end of an answer is seen late if its caller reads slowly.
TEST_CASE("a watch whose connection was closed during the answer stays unproved when a connection could be opened again")
{
    const TestNetwork network;
    const Listener upstream(network.host(1));
    Watch watch(upstream.address);
    watch.runFor(Settled);
    upstream.closeAccepted();
    watch.runFor(std::chrono::milliseconds(100));
    CHECK(watch.proofAtEnd() == AnswerEndProof::Closed);
}

// Guards against a successor's connection that is taken for the process's own, since it was opened again at the process's end.
TEST_CASE("a watch whose connection was closed just before the answer's end proves nothing")
{
    const TestNetwork network;
    const Listener upstream(network.host(1));
    Watch watch(upstream.address);
    watch.runFor(Settled);
    upstream.closeAccepted();
    watch.runFor(std::chrono::milliseconds(5));
    CHECK(watch.proofAtEnd() == AnswerEndProof::Closed);
}

// Guards against a successor's connection that is taken for the process's own, since the process had stopped listening during its answer.
TEST_CASE("a watch whose connection was refused during the answer stays unproved when a successor listens")
{
    const TestNetwork network;
    Listener upstream(network.host(1));
    const Address address = upstream.address;
    upstream.end();
    Watch watch(address);
    watch.runFor(Settled);
    const Listener successor(network.host(1), address.port);
    watch.runFor(std::chrono::milliseconds(100));
    CHECK(watch.proofAtEnd() == AnswerEndProof::Refused);
}
