#pragma once

#include "common/address.h"
#include "common/eventloop.h"
#include "common/result.h"
#include "peer/datagramsocket.h"
#include "peer/peertransport.h"

#include <memory>
#include <set>

namespace cumindyke
{

/// Exchanges small envelopes between VMs without connections, so that a VM that receives from all others doesn't need a connection to each.
/// Used for messages that are resent periodically anyway, such as heartbeats and leases. Datagrams don't authenticate their sender, so they
/// aren't used under TLS.
class PeerDatagrams
{
public:
    /// Opens the socket. VMs are named by their IPv4 addresses, and all use the same port. Error: Unavailable, when the address can't be
    /// bound.
    static Result<std::unique_ptr<PeerDatagrams>> open(EventLoop &loop, const Address &ownAddress);

    /// Sends an envelope; returns false when the envelope is too large for a datagram or the peer's name is no IPv4 address.
    bool send(const VmName &to, const v1::Envelope &envelope);
    /// Returns whether a datagram was received from the VM since it was last removed by removeSender().
    bool hasReceivedFrom(const VmName &vm) const
    {
        return m_senders.contains(vm);
    }
    void removeSender(const VmName &vm)
    {
        m_senders.erase(vm);
    }
    /// Emitted on the loop for each envelope from another VM.
    sigc::signal<void, PeerMessage &> &received()
    {
        return m_received;
    }

private:
    PeerDatagrams(std::unique_ptr<DatagramSocket> socket, const Address &ownAddress);
    void handleDatagram(const std::string &host, std::string_view bytes);

    const std::unique_ptr<DatagramSocket> m_socket;
    const Address m_ownAddress;
    std::set<VmName> m_senders;
    sigc::signal<void, PeerMessage &> m_received;
};

}
