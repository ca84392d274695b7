#include "support/soaksocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace cumindyke::test
{

namespace
{

constexpr timeval SendTimeout{.tv_sec = 3, .tv_usec = 0};

}

int connectTo(const Address &address)
{
    int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int noDelay = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
    setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &SendTimeout, sizeof SendTimeout);
    sockaddr_in to{.sin_family = AF_INET, .sin_port = htons(address.port), .sin_addr = {}, .sin_zero = {}};
    inet_pton(AF_INET, address.host.c_str(), &to.sin_addr);
    if (connect(connection, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        closeSocket(connection);
    }
    return connection;
}

void setReceiveTimeout(int socket, std::chrono::milliseconds timeout)
{
    const timeval value{.tv_sec = timeout.count() / 1000, .tv_usec = timeout.count() % 1000 * 1000};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

void closeSocket(int &socket)
{
    if (socket >= 0) {
        close(std::exchange(socket, -1));
    }
}

}
