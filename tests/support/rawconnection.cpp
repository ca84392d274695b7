#include "support/rawconnection.h"

#include "support/processes.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace cumindyke::test
{

RawConnection::RawConnection(const Address &address, int receiveBufferBytes)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receiveBufferBytes > 0) {
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    }
    const timeval timeout{.tv_sec = WaitTimeout.count(), .tv_usec = 0};
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    sockaddr_in to{.sin_family = AF_INET, .sin_port = htons(address.port)};
    inet_pton(AF_INET, address.host.c_str(), &to.sin_addr);
    REQUIRE(connect(m_socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0);
}

RawConnection::~RawConnection()
{
    close(m_socket);
}

bool RawConnection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void RawConnection::resetOnClose() const
{
    const linger value{.l_onoff = 1, .l_linger = 0};
    REQUIRE(setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &value, sizeof value) == 0);
}

void RawConnection::shutdownSending() const
{
    shutdown(m_socket, SHUT_WR);
}

void RawConnection::readNow(std::size_t bytes)
{
    std::string buffer(bytes, '\0');
    const ssize_t got = recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    m_received.append(buffer, 0, static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
}

std::string RawConnection::readUntil(const std::string &text)
{
    std::array<char, 4096> buffer{};
    while (text.empty() || m_received.find(text) == std::string::npos) {
        const ssize_t got = recv(m_socket, buffer.data(), buffer.size(), 0);
        if (got <= 0) {
            m_wasReset = got < 0 && errno == ECONNRESET;
            break;
        }
        m_received.append(buffer.data(), static_cast<std::size_t>(got));
    }
    return m_received;
}

}
