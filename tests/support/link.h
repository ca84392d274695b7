#pragma once

#include "common/types.h"

#include <memory>

namespace cumindyke::test
{

/// A TCP relay between two processes that can stop working the way networks do: without a word to either end.
class Link
{
public:
    enum class Mode {
        Forward,
        Drop, ///< bytes vanish both ways, connections stay open, new ones open too
        DropAnswers, ///< bytes towards the target arrive, those back vanish
        Hang, ///< nothing is read, so the senders' buffers fill up
    };

    /// Listens at one address and connects to the other for each connection.
    Link(const Address &listen, const Address &target);
    ~Link();
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    /// For open connections and new ones, at once.
    void setMode(Mode mode);
    /// The connections that are open now stay silent for good; new ones work.
    void stallOpenConnections();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
