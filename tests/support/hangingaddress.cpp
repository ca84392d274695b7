#include "support/hangingaddress.h"

#include "common/address.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

namespace cumindyke::test
{

HangingAddress::HangingAddress(const std::string &host)
    : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in bound = *socketAddress(Address{.host = host, .port = 0});
    REQUIRE(bind(m_listener, reinterpret_cast<sockaddr *>(&bound), sizeof bound) == 0);
    REQUIRE(listen(m_listener, 0) == 0);
    socklen_t length = sizeof bound;
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&bound), &length);
    m_address = Address{.host = host, .port = ntohs(bound.sin_port)};
    for (int &caller : m_callers) {
        caller = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        static_cast<void>(connect(caller, reinterpret_cast<sockaddr *>(&bound), sizeof bound));
    }
}

HangingAddress::~HangingAddress()
{
    for (const int caller : m_callers) {
        close(caller);
    }
    close(m_listener);
}

}
