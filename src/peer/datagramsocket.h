#pragma once

#include "common/eventloop.h"
#include "common/result.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <string_view>

struct event;

namespace cumindyke
{

/// A UDP socket on a task's loop, for messages that tell a whole state and of which a lost one costs nothing. With gRPC
/// an entry VM used about 0.04 of a core for 500 calls a second; several messages a request would use up a VM that has 0.12 of one.
class DatagramSocket
{
public:
    /// Error: Unavailable, when the address can't be bound.
    static Result<std::unique_ptr<DatagramSocket>> bind(EventLoop &loop, const Address &address);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Never waits; what the kernel does not take at once is lost.
    void send(const Address &to, std::string_view bytes);
    /// Emitted for each datagram, with the IPv4 address of its sender.
    sigc::signal<void, const std::string &, std::string_view> &received()
    {
        return m_received;
    }

private:
    DatagramSocket(EventLoop &loop, int socket);
    static void readable(int fd, short what, void *self);
    void receive();

    const int m_socket;
    event *m_event;
    sigc::signal<void, const std::string &, std::string_view> m_received;
};

}
