#pragma once

#include "common/types.h"

#include <memory>

namespace cumindyke::test
{

/// A TCP relay between two processes that simulates network faults: neither end is notified of them.
class Link
{
public:
    enum class Mode {
        Forward,
        Drop, ///< bytes are discarded in both directions; connections stay open and new ones are accepted
        DropAnswers, ///< bytes to the target are forwarded, bytes from the target are discarded
        Hang, ///< nothing is read, so the senders' buffers fill up
    };

    /// Listens at an address and opens a connection to the target for each accepted connection.
    Link(const Address &listen, const Address &target);
    ~Link();
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    /// Applies to open and new connections immediately.
    void setMode(Mode mode);
    /// Discards all further bytes of the connections that are open now; new connections work.
    void stallOpenConnections();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
