#pragma once

#include "common/types.h"

#include <string>
#include <string_view>

namespace cumindyke::test
{

/// A TCP connection on which a test sends any bytes it likes.
class RawConnection
{
public:
    explicit RawConnection(const Address &address, int receiveBufferBytes = 0);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /// False when the peer has closed the connection.
    bool send(std::string_view bytes) const;
    /// No more bytes come from here; answers can still be read.
    void closeSending() const;
    /// Reads until what was read contains the text, the peer closes, or the patience of tests is over.
    std::string readUntil(const std::string &text);
    std::string readAll()
    {
        return readUntil({});
    }

private:
    int m_socket;
    std::string m_read;
};

}
