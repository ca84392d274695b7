#pragma once

#include "common/eventloop.h"
#include "common/types.h"

#include <functional>

struct bufferevent;

namespace cumindyke
{

enum class Liveness {
    Answers, ///< a connection was accepted
    Refuses, ///< a connection was refused
    Unknown, ///< nothing answered, or the connection was reset
};

/// Whether the process of an upstream that refused a connection has ended, or this VM has lost its path to it.
enum class EndVerdict {
    Ended,
    Runs,
    Unknown, ///< the VMs that were asked have lost their paths too
};

/// Finds out whether the process of an upstream has ended, by connecting to its address once. Only a refused connection proves it: a connection that is
/// accepted, reset or not answered says nothing, since the upstream may be full, or the network between may be cut.
class LivenessCheck
{
public:
    /// "onResult" is called once from the loop, within MaxTime, unless the check is destroyed before. It may destroy the check.
    LivenessCheck(EventLoop &loop, const Address &address, std::function<void(Liveness)> onResult);
    ~LivenessCheck();
    LivenessCheck(const LivenessCheck &) = delete;
    LivenessCheck &operator=(const LivenessCheck &) = delete;

    static constexpr Duration MaxTime = std::chrono::milliseconds(300);

private:
    static void onEvent(bufferevent *connection, short what, void *self);
    void finish(Liveness liveness);

    bufferevent *m_connection;
    std::function<void(Liveness)> m_onResult;
    /// Ends a check whose connection can't even be attempted.
    Timer m_timer;
};

}
