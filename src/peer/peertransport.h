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

/// Sends envelopes to other VMs. Messages may be lost, duplicated or delayed, but never corrupted: every sender resends what it needs.
///
/// Each lane has at most one call in flight to a peer. Messages sent meanwhile are queued and go as one batch, so the number of calls grows
/// with round trips, not with messages, and large messages don't delay small ones. Each call has a deadline, and the queued bytes are
/// bounded. A dead connection shows as several exceeded deadlines in a row and is then replaced by a new one.
class PeerTransport
{
public:
    explicit PeerTransport(VmName self, std::optional<TlsFiles> tls = {}, Metrics *metrics = nullptr);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// Replaces the list of known peers. Safe from any thread.
    void setPeers(const std::map<VmName, Address> &peers);
    /// Enables sending to unknown peers whose names are IPv4 addresses, at this port: where VMs are added and removed without notice, a
    /// VM's name is its address. Safe from any thread.
    void setDefaultPort(std::uint16_t port);
    /// Sends an envelope; an envelope to an unknown peer is dropped, but see setDefaultPort(). Safe from any thread.
    void send(const VmName &to, v1::Envelope envelope);

private:
    class Link;
    VmName m_self;
    const std::optional<TlsFiles> m_tls;
    struct Private;
    std::shared_ptr<Private> d;
};

/// An envelope received from another VM.
struct PeerMessage
{
    VmName from;
    v1::Envelope envelope;
};

/// Sends an envelope to another VM or to this one. Safe from any thread.
using PeerSender = std::function<void(const VmName &to, v1::Envelope envelope)>;

/// Handles a received envelope. Called from gRPC's threads, so it only posts to a mailbox.
using PeerReceiver = std::function<void(const VmName &from, v1::Envelope &&envelope)>;

}
