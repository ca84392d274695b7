#include "peer/peerdatagrams.h"

namespace cumindyke
{

namespace
{

/// A few packets: the more packets a datagram is split into, the likelier is the loss of one, and with it of the whole datagram.
constexpr std::size_t MaxDatagramBytes = 8 << 10;
/// Limits the memory used for senders that are no VMs: several times the number of VMs of the largest system.
constexpr std::size_t MaxSenders = 2000;

}

Result<std::unique_ptr<PeerDatagrams>> PeerDatagrams::open(EventLoop &loop, const Address &ownAddress)
{
    auto socket = DatagramSocket::bind(loop, ownAddress);
    if (!ok(socket)) {
        return errorOf(socket);
    }
    return std::unique_ptr<PeerDatagrams>(new PeerDatagrams(std::move(valueOf(socket)), ownAddress));
}

PeerDatagrams::PeerDatagrams(std::unique_ptr<DatagramSocket> socket, const Address &ownAddress)
    : m_socket(std::move(socket))
    , m_ownAddress(ownAddress)
{
    m_socket->received().connect([this](const std::string &host, std::string_view bytes) { handleDatagram(host, bytes); });
}

bool PeerDatagrams::send(const VmName &to, const v1::Envelope &envelope)
{
    const Result<Address> peer = parseAddress(to.value + ":" + std::to_string(m_ownAddress.port));
    if (!ok(peer)) {
        return false;
    }
    v1::PeerBatch batch;
    batch.set_from(m_ownAddress.host);
    batch.set_to(to.value);
    *batch.add_envelopes() = envelope;
    const std::string bytes = batch.SerializeAsString();
    if (bytes.size() > MaxDatagramBytes) {
        return false;
    }
    m_socket->send(valueOf(peer), bytes);
    return true;
}

void PeerDatagrams::handleDatagram(const std::string &host, std::string_view bytes)
{
    v1::PeerBatch batch;
    const bool isValid = batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) && batch.from() == host && batch.to() == m_ownAddress.host;
    if (!isValid) {
        return;
    }
    if (m_senders.size() < MaxSenders) {
        m_senders.insert(VmName{host});
    }
    for (v1::Envelope &envelope : *batch.mutable_envelopes()) {
        PeerMessage message{.from = VmName{host}, .envelope = std::move(envelope)};
        m_received.emit(message);
    }
}

}
