#include "common/address.h"
#include "soak/answerchecker.h"
#include "support/listeningsocket.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr int Connections = 60;
/// The link silences or resets a few.
constexpr int MostConnections = 45;
constexpr std::uint16_t Port = 9000;

/// A link to a target, and connections through it.
class LinkedConnections
{
public:
    LinkedConnections(const TestNetwork &network, const TemporaryFolder &folder, const Address &target)
        : m_address{.host = network.host(2), .port = Port}
        , m_link({std::string(CUMINDYKE_BIN) + "/linkproxy", "7", toString(m_address), toString(target)}, folder.file("link"), folder.file("link"))
    {
        for (int number = 0; number < Connections; ++number) {
            REQUIRE(eventually([this] { return connectOne(); }));
        }
    }
    ~LinkedConnections()
    {
        for (const pollfd &connection : m_connections) {
            close(connection.fd);
        }
    }
    LinkedConnections(const LinkedConnections &) = delete;
    LinkedConnections &operator=(const LinkedConnections &) = delete;

    void send(std::size_t connection, const std::string &bytes) const
    {
        REQUIRE(::send(m_connections[connection].fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }
    /// Reads what has come on all connections, and returns the number of those that have ended.
    std::size_t read()
    {
        poll(m_connections.data(), m_connections.size(), 10);
        for (std::size_t at = 0; at < m_connections.size(); ++at) {
            std::array<char, 64 << 10> buffer{};
            if (m_connections[at].revents == 0) {
                continue;
            }
            const ssize_t got = recv(m_connections[at].fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (got > 0) {
                received[at].append(buffer.data(), static_cast<std::size_t>(got));
            } else if (got == 0 || errno != EAGAIN) {
                ends[at] = got == 0 ? ConnectionEnd::InOrder : ConnectionEnd::Reset;
                endOrder.push_back(at);
                // A negative number is passed over by poll().
                close(std::exchange(m_connections[at].fd, -1));
                m_connections[at].revents = 0;
            }
        }
        return endOrder.size();
    }

    std::vector<std::string> received{Connections};
    std::vector<ConnectionEnd> ends = std::vector<ConnectionEnd>(Connections, ConnectionEnd::Open);
    std::vector<std::size_t> endOrder;

private:
    bool connectOne()
    {
        const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = socketAddress(m_address).value();
        if (connect(connection, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            close(connection);
            return false;
        }
        m_connections.push_back({.fd = connection, .events = POLLIN, .revents = 0});
        return true;
    }

    const Address m_address;
    Process m_link;
    std::vector<pollfd> m_connections;
};

}

// A soak over a link that loses or changes bytes, or makes an end of a reset, would blame the daemons for it.
TEST_CASE("a link passes bytes on whole and in order, and resets as resets")
{
    const TestNetwork network;
    const TemporaryFolder folder;
    const ListeningSocket target(network.host(1));
    std::string sent;
    for (int number = 0; sent.size() < 80'000; ++number) {
        sent += std::to_string(number) + "\n";
    }
    std::thread server([&] {
        for (int connection = target.accept(); connection >= 0; connection = target.accept()) {
            const timeval timeout{.tv_sec = 1, .tv_usec = 0};
            setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
            char wanted = 0;
            if (recv(connection, &wanted, 1, 0) == 1 && ::send(connection, sent.data(), sent.size(), MSG_NOSIGNAL) > 0 && wanted == 'r') {
                const linger discard{.l_onoff = 1, .l_linger = 0};
                setsockopt(connection, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
            }
            close(connection);
        }
    });
    LinkedConnections connections(network, folder, target.address());
    for (std::size_t at = 0; at < Connections; ++at) {
        connections.send(at, at % 2 == 0 ? "e" : "r");
    }
    CHECK(eventually([&] { return connections.read() >= MostConnections; }));
    target.shutDown();
    server.join();

    int wholeCount = 0;
    for (std::size_t at = 0; at < Connections; ++at) {
        CAPTURE(at);
        CHECK(sent.starts_with(connections.received[at]));
        if (connections.ends[at] == ConnectionEnd::InOrder) {
            CHECK(at % 2 == 0);
            CHECK(connections.received[at].size() == sent.size());
            ++wholeCount;
        }
    }
    CHECK(wholeCount >= Connections / 4);
}

// On loopback all ends of a killed process arrive at once. Without ends that come late and in another order, the soak can't find a daemon that
// concludes from the silence of one connection that the process of another one runs.
TEST_CASE("a link delivers the ends of a killed process one by one and in another order")
{
    const TestNetwork network;
    const TemporaryFolder folder;
    const Address target{.host = network.host(1), .port = Port};
    Process process({std::string(CUMINDYKE_BIN) + "/unframedupstream", target.host, std::to_string(target.port)}, folder.file("target"), folder.file("target"));
    REQUIRE(eventually([&] { return contentOf(folder.file("target")).ends_with("listening\n"); }));
    LinkedConnections connections(network, folder, target);
    // Connections are opened in their order, so an answer on a late one shows that those before it are open.
    connections.send(Connections - 1, "GET / HTTP/1.1\r\n\r\n");
    connections.send(Connections - 2, "GET / HTTP/1.1\r\n\r\n");
    REQUIRE(eventually([&] {
        connections.read();
        return !connections.received[Connections - 1].empty() || !connections.received[Connections - 2].empty();
    }));
    process.signal(SIGKILL);
    process.wait();
    CHECK(eventually([&] { return connections.read() >= MostConnections; }));
    CHECK_FALSE(std::ranges::is_sorted(connections.endOrder));
}
