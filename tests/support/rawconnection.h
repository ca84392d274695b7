#pragma once

#include "common/types.h"

#include <string>
#include <string_view>

namespace cumindyke::test
{

/// A TCP connection on which a test sends arbitrary bytes.
class RawConnection
{
public:
    explicit RawConnection(const Address &address, int receiveBufferBytes = 0);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /// False when the peer has closed the connection.
    bool send(std::string_view bytes) const;
    /// Shuts down the sending direction; answers can still be read.
    void shutdownSending() const;
    /// From now on closing the connection resets it.
    void resetOnClose() const;
    /// Reads until the bytes read contain the text, the peer closes the connection, or WaitTimeout is over. Returns all bytes read so far.
    std::string readUntil(const std::string &text);
    /// Reads at most this many bytes, without waiting for any.
    void readNow(std::size_t bytes);
    std::string readAll()
    {
        return readUntil({});
    }
    /// Whether the last read ended because the connection was reset.
    bool wasReset() const
    {
        return m_wasReset;
    }

private:
    int m_socket;
    std::string m_received;
    bool m_wasReset = false;
};

}
