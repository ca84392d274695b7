#include "peer/peerdatagrams.h"

namespace cumindyke
{

namespace
{

/// A few packets: the more packets a datagram is split into, the likelier is the loss of one, and with it of the whole datagram.
constexpr std::size_t MostBytes = 8 << 10;
/// Bounds the memory used for senders that are no VMs. Several times the number of VMs of the largest system.
constexpr std::size_t MostHeard = 2000;

}

Result<std::unique_ptr<PeerDatagrams>> PeerDatagrams::open(EventLoop &loop, const Address &own)
{
    auto socket = DatagramSocket::bind(loop, own);
    if (!ok(socket)) {
        return errorOf(socket);
    }
    return std::unique_ptr<PeerDatagrams>(new PeerDatagrams(std::move(valueOf(socket)), own));
}

PeerDatagrams::PeerDatagrams(std::unique_ptr<DatagramSocket> socket, const Address &own)
    : m_socket(std::move(socket))
    , m_own(own)
{
    m_socket->received().connect([this](const std::string &host, std::string_view bytes) { take(host, bytes); });
}

bool PeerDatagrams::send(const VmName &to, const v1::Envelope &envelope)
{
    const Result<Address> peer = parseAddress(to.value + ":" + std::to_string(m_own.port));
    if (!ok(peer)) {
        return false;
    }
    v1::PeerBatch batch;
    batch.set_from(m_own.host);
    batch.set_to(to.value);
    *batch.add_envelopes() = envelope;
    const std::string bytes = batch.SerializeAsString();
    if (bytes.size() > MostBytes) {
        return false;
    }
    m_socket->send(valueOf(peer), bytes);
    return true;
}

void PeerDatagrams::take(const std::string &host, std::string_view bytes)
{
    v1::PeerBatch batch;
    const bool isOurs = batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) && batch.from() == host && batch.to() == m_own.host;
    if (!isOurs) {
        return;
    }
    if (m_heard.size() < MostHeard) {
        m_heard.insert(VmName{host});
    }
    for (v1::Envelope &envelope : *batch.mutable_envelopes()) {
        PeerMessage message{.from = VmName{host}, .envelope = std::move(envelope)};
        m_received.emit(message);
    }
}

}
