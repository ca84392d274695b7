#include "peer/datagramsocket.h"

#include "common/address.h"

#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>

namespace cumindyke
{

namespace
{

/// Largest UDP payload over IPv4.
constexpr std::size_t MaxPayloadBytes = 65'507;
/// Datagrams read per event, so that a flood of datagrams does not starve the other events of the loop.
constexpr int MaxDatagramsPerEvent = 64;

}

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::bind(EventLoop &loop, const Address &address)
{
    const std::optional<sockaddr_in> localAddress = socketAddress(address);
    const int socket = localAddress ? ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
    if (socket < 0 || ::bind(socket, reinterpret_cast<const sockaddr *>(&*localAddress), sizeof *localAddress) != 0) {
        if (socket >= 0) {
            close(socket);
        }
        return Error{ErrorKind::Unavailable,
                     "the UDP address " + toString(address) + " can't be bound: check that it is this VM's IPv4 address and that nothing else uses the port"};
    }
    return std::unique_ptr<DatagramSocket>(new DatagramSocket(loop, socket));
}

DatagramSocket::DatagramSocket(EventLoop &loop, int socket)
    : m_socket(socket)
    , m_event(event_new(loop.base(), socket, EV_READ | EV_PERSIST, &DatagramSocket::onReadable, this))
{
    event_add(m_event, nullptr);
}

DatagramSocket::~DatagramSocket()
{
    event_free(m_event);
    close(m_socket);
}

void DatagramSocket::send(const Address &to, std::string_view bytes)
{
    const std::optional<sockaddr_in> peer = socketAddress(to);
    if (peer) {
        sendto(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL, reinterpret_cast<const sockaddr *>(&*peer), sizeof *peer);
    }
}

void DatagramSocket::onReadable(int /*fd*/, short /*what*/, void *self)
{
    static_cast<DatagramSocket *>(self)->receive();
}

void DatagramSocket::receive()
{
    static thread_local std::array<char, MaxPayloadBytes> buffer;
    for (int i = 0; i < MaxDatagramsPerEvent; ++i) {
        sockaddr_in from{};
        socklen_t length = sizeof from;
        const ssize_t size = recvfrom(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr *>(&from), &length);
        if (size < 0) {
            return;
        }
        std::array<char, INET_ADDRSTRLEN> host{};
        inet_ntop(AF_INET, &from.sin_addr, host.data(), host.size());
        m_received.emit(host.data(), std::string_view(buffer.data(), static_cast<std::size_t>(size)));
    }
}

}
