#include "peer/peertransport.h"
#include "peer/rpcserver.h"

#include "common/address.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>
#include <vector>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

bool isConnectedTo(int descriptor, const Address &address)
{
    // gRPC maps IPv4 addresses into IPv6.
    sockaddr_in6 peer{};
    socklen_t length = sizeof peer;
    in6_addr host{};
    return getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &length) == 0 && peer.sin6_family == AF_INET6
        && inet_pton(AF_INET6, ("::ffff:" + address.host).c_str(), &host) == 1 && IN6_ARE_ADDR_EQUAL(&host, &peer.sin6_addr)
        && ntohs(peer.sin6_port) == address.port;
}

/// An option of the connections of this process to this address.
std::vector<int> optionOfConnectionsTo(const Address &address, int level, int option)
{
    constexpr int MaxDescriptor = 1024;
    std::vector<int> values;
    for (int descriptor = 0; descriptor < MaxDescriptor; ++descriptor) {
        if (!isConnectedTo(descriptor, address)) {
            continue;
        }
        int value = 0;
        socklen_t length = sizeof value;
        getsockopt(descriptor, level, option, &value, &length);
        values.push_back(value);
    }
    return values;
}

}

// Guards against a connection to a VM that can't be reached and is held for minutes, or ended by probes that a TCP_USER_TIMEOUT cuts short.
TEST_CASE("a connection between VMs gives up 2 s after data was not acknowledged, and sends no keep-alive probes of TCP")
{
    const TestNetwork network;
    const Address address{.host = network.host(2), .port = 7604};
    std::atomic<bool> hasArrived = false;
    auto server = RpcServer::start(address, {}, [&hasArrived](const VmName &, v1::Envelope &&) { hasArrived = true; }, {});
    REQUIRE(ok(server));
    PeerTransport transport(VmName{network.host(1)});
    transport.setDefaultPort(address.port);
    v1::Envelope update;
    update.mutable_config_update()->set_version(7);
    transport.send(VmName{address.host}, update);
    REQUIRE(eventually([&hasArrived] { return hasArrived.load(); }));
    CHECK(optionOfConnectionsTo(address, IPPROTO_TCP, TCP_USER_TIMEOUT) == std::vector<int>{2000});
    CHECK(optionOfConnectionsTo(address, SOL_SOCKET, SO_KEEPALIVE) == std::vector<int>{0});
}

namespace
{

/// A process that accepts one connection, of which nothing but the beginning is answered, and resets it when it ends.
class DyingProcess
{
public:
    explicit DyingProcess(const Address &address)
        : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const sockaddr_in bound = *socketAddress(address);
        const int enabled = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        REQUIRE(bind(m_listener, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) == 0);
        REQUIRE(listen(m_listener, 1) == 0);
    }
    /// Accepts the connection, and waits until the first call is under way.
    void serve()
    {
        m_connection = accept(m_listener, nullptr, nullptr);
        // An empty SETTINGS frame of HTTP/2.
        constexpr std::array<unsigned char, 9> Settings{0, 0, 0, 4, 0, 0, 0, 0, 0};
        REQUIRE(send(m_connection, Settings.data(), Settings.size(), 0) == static_cast<ssize_t>(Settings.size()));
        std::string received;
        while (received.find("cumindyke") == std::string::npos) {
            std::array<char, 4096> bytes{};
            const ssize_t count = recv(m_connection, bytes.data(), bytes.size(), 0);
            REQUIRE(count > 0);
            received.append(bytes.data(), static_cast<std::size_t>(count));
        }
    }
    void end()
    {
        const linger discard{.l_onoff = 1, .l_linger = 0};
        setsockopt(m_connection, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        close(m_connection);
        close(m_listener);
    }

private:
    int m_listener;
    int m_connection = -1;
};

}

// Guards against a VM that has no configuration for a second after its restart: the leader's message goes to the process before, and is lost.
TEST_CASE("a configuration that is under way to a process that ends is delivered to its successor")
{
    const TestNetwork network;
    const Address address{.host = network.host(2), .port = 7604};
    DyingProcess before(address);
    PeerTransport transport(VmName{network.host(1)});
    transport.setDefaultPort(address.port);
    v1::Envelope update;
    update.mutable_config_update()->set_version(7);
    transport.send(VmName{address.host}, update);
    before.serve();
    before.end();
    std::atomic<std::uint64_t> version = 0;
    const auto receive = [&version](const VmName &, v1::Envelope &&envelope) { version = envelope.config_update().version(); };
    auto server = RpcServer::start(address, {}, receive, {});
    REQUIRE(ok(server));
    CHECK(eventually([&version] { return version == 7; }, std::chrono::seconds(3)));
}

// Guards against VMs that have no configuration for seconds after a common restart: a VM relayed the configuration to VMs that did not
// listen yet, and the messages to them were lost.
TEST_CASE("a configuration for a VM that does not listen yet is delivered once it listens")
{
    const TestNetwork network;
    constexpr std::uint16_t Port = 7604;
    const VmName peer{network.host(2)};
    PeerTransport transport(VmName{network.host(1)});
    transport.setDefaultPort(Port);
    v1::Envelope update;
    update.mutable_config_update()->set_version(7);
    transport.send(peer, update);
    // Longer than the first attempt takes to be refused, and shorter than the timeout of the call.
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    std::atomic<std::uint64_t> version = 0;
    const auto receive = [&version](const VmName &, v1::Envelope &&envelope) { version = envelope.config_update().version(); };
    auto server = RpcServer::start(Address{.host = network.host(2), .port = Port}, {}, receive, {});
    REQUIRE(ok(server));
    CHECK(eventually([&version] { return version == 7; }));
}
