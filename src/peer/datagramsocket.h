#pragma once

#include "common/eventloop.h"
#include "common/result.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <string_view>

struct event;

namespace cumindyke
{

/// A UDP socket on a task's event loop, for messages that carry a complete state, so that a lost one is harmless. With gRPC, an entry VM
/// used about 0.04 of a core for 500 calls a second; several messages per request would use up a VM that has 0.12 of a core.
class DatagramSocket
{
public:
    /// Binds a socket to the address. Error: Unavailable, when the address can't be bound.
    static Result<std::unique_ptr<DatagramSocket>> bind(EventLoop &loop, const Address &address);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Sends a datagram without blocking; it is lost if the kernel can't accept it at once.
    void send(const Address &to, std::string_view bytes);
    /// Emitted for each datagram, with the sender's IPv4 address and the payload.
    sigc::signal<void, const std::string &, std::string_view> &received()
    {
        return m_received;
    }

private:
    DatagramSocket(EventLoop &loop, int socket);
    static void onReadable(int fd, short what, void *self);
    void receive();

    const int m_socket;
    event *m_event;
    sigc::signal<void, const std::string &, std::string_view> m_received;
};

}
