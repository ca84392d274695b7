#pragma once

#include "peer/peertransport.h"

#include <functional>

namespace cumindyke
{

/// Takes each kind of envelope to the task that owns the matter. Called from gRPC's threads.
struct PeerRouter
{
    std::function<void(PeerMessage)> control;
    std::function<void(PeerMessage)> entry;
    std::function<void(PeerMessage)> cell;

    void deliver(const VmName &from, v1::Envelope &&envelope) const;
};

}
