#pragma once

#include "common/address.h"
#include "common/eventloop.h"
#include "common/result.h"
#include "peer/datagramsocket.h"
#include "peer/peertransport.h"

#include <memory>

namespace cumindyke
{

/// Small envelopes between VMs without connections: for what is told again anyway, such as beats and leases.
///
/// Failure guarded against: with a call for each beat, a leader held two connections for each VM of the fleet. When 300 VMs started at once it
/// accepted them so slowly that every attempt was given up before it was through, and begun again, until no VM had a lease.
///
/// Datagrams carry no proof of their sender, so they aren't used under TLS.
class PeerDatagrams
{
public:
    /// VMs are named by their IPv4 addresses, and all use the same port. Error: Unavailable, when the address can't be bound.
    static Result<std::unique_ptr<PeerDatagrams>> open(EventLoop &loop, const Address &own);

    /// False when the envelope is too large for a datagram, or the peer's name is no address.
    bool send(const VmName &to, const v1::Envelope &envelope);
    /// Emitted on the loop for each envelope from another VM.
    sigc::signal<void, PeerMessage &> &received()
    {
        return m_received;
    }

private:
    PeerDatagrams(std::unique_ptr<DatagramSocket> socket, const Address &own);
    void take(const std::string &host, std::string_view bytes);

    const std::unique_ptr<DatagramSocket> m_socket;
    const Address m_own;
    sigc::signal<void, PeerMessage &> m_received;
};

}
