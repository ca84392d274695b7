#pragma once

#include "peer/peertransport.h"

#include <functional>

namespace cumindyke
{

/// Dispatches received envelopes to the tasks that handle them. Called from gRPC's threads.
struct PeerRouter
{
    std::function<void(PeerMessage)> control;
    std::function<void(PeerMessage)> entry;
    std::function<void(PeerMessage)> cell;

    void deliver(const VmName &from, v1::Envelope &&envelope) const;
};

}
