#pragma once

#include "common/metrics.h"
#include "common/types.h"
#include "peer/credentials.h"

#include "peer.pb.h"

#include <functional>
#include <map>
#include <memory>

namespace cumindyke
{

/// Sends envelopes to other VMs. Messages may be lost, repeated or late, never damaged: every sender resends what it needs.
///
/// One call of a lane is under way to a peer at a time; what is sent meanwhile waits and goes as one batch, so the number of calls grows
/// with round trips, not with messages, and large messages don't keep small ones waiting. Each call has a deadline, and what waits is bounded
/// in bytes. A connection that went silent for good shows as passed deadlines, and is replaced by a new one after some in a row.
class PeerTransport
{
public:
    explicit PeerTransport(VmName self, std::optional<TlsFiles> tls = {}, Metrics *metrics = nullptr);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// The peers that can be reached from now on. Safe from any thread.
    void setPeers(const std::map<VmName, Address> &peers);
    /// From now on an unknown peer whose name is an IPv4 address is reached there, at this port: where VMs come and go without notice, their
    /// names say where they are. Safe from any thread.
    void reachByAddress(std::uint16_t port);
    /// Safe from any thread. To an unknown peer: dropped, but see reachByAddress().
    void send(const VmName &to, v1::Envelope envelope);

private:
    class Link;
    VmName m_self;
    const std::optional<TlsFiles> m_tls;
    struct Private;
    std::shared_ptr<Private> d;
};

/// An envelope that came from another VM.
struct PeerMessage
{
    VmName from;
    v1::Envelope envelope;
};

/// Sends an envelope to another VM, or to this one. Safe from any thread.
using PeerSender = std::function<void(const VmName &to, v1::Envelope envelope)>;

/// Takes an envelope that arrived; called from gRPC's threads, so it only posts to a mailbox.
using PeerReceiver = std::function<void(const VmName &from, v1::Envelope &&envelope)>;

}
