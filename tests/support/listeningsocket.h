#pragma once

#include "common/types.h"

#include <cstdint>
#include <string>

namespace cumindyke::test
{

/// A listening TCP socket whose connections are accepted one by one, by a test that plays a server without any library.
class ListeningSocket
{
public:
    /// Port 0: any free one.
    explicit ListeningSocket(const std::string &host, std::uint16_t port = 0);
    ~ListeningSocket();
    ListeningSocket(const ListeningSocket &) = delete;
    ListeningSocket &operator=(const ListeningSocket &) = delete;

    /// Waits for a connection; returns -1 after shutDown().
    int accept() const;
    /// Ends accept() in another thread.
    void shutDown() const;
    /// Closes the socket, with the connections that were not accepted.
    void close();
    const Address &address() const
    {
        return m_address;
    }

private:
    int m_socket;
    Address m_address;
};

}
