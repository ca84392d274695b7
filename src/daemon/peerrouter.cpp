#include "daemon/peerrouter.h"

namespace cumindyke
{

void PeerRouter::deliver(const VmName &from, v1::Envelope &&envelope) const
{
    const std::function<void(PeerMessage)> *handler = nullptr;
    switch (envelope.body_case()) {
    case v1::Envelope::kRaft:
    case v1::Envelope::kPropose:
    case v1::Envelope::kProposeReply:
    case v1::Envelope::kConfigUpdate:
    case v1::Envelope::kConfigHeartbeat:
    case v1::Envelope::kConfigLease:
    case v1::Envelope::kRepairOrder:
    case v1::Envelope::kOutcomeReport:
        handler = &control;
        break;
    case v1::Envelope::kDemand:
    case v1::Envelope::kGrantReport:
        handler = &cell;
        break;
    case v1::Envelope::kGrants:
    case v1::Envelope::kJoin:
    case v1::Envelope::kJoinReply:
        handler = &entry;
        break;
    case v1::Envelope::BODY_NOT_SET:
        break;
    }
    if (handler && *handler) {
        (*handler)(PeerMessage{.from = from, .envelope = std::move(envelope)});
    }
}

}
