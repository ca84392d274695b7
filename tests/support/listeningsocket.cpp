#include "support/listeningsocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace cumindyke::test
{

ListeningSocket::ListeningSocket(const std::string &host, std::uint16_t port)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    // A successor listens while connections of its predecessor still wait for their last packets.
    const int enabled = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &bound.sin_addr);
    if (bind(m_socket, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) != 0 || listen(m_socket, 128) != 0) {
        throw std::runtime_error("the address " + host + " can't be bound");
    }
    socklen_t length = sizeof bound;
    getsockname(m_socket, reinterpret_cast<sockaddr *>(&bound), &length);
    m_address = Address{.host = host, .port = ntohs(bound.sin_port)};
}

ListeningSocket::~ListeningSocket()
{
    close();
}

int ListeningSocket::accept() const
{
    return accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
}

void ListeningSocket::shutDown() const
{
    shutdown(m_socket, SHUT_RDWR);
}

void ListeningSocket::close()
{
    if (m_socket >= 0) {
        ::close(std::exchange(m_socket, -1));
    }
}

}
