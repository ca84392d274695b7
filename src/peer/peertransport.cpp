#include "peer/peertransport.h"

#include "common/address.h"
#include "common/log.h"
#include "peer.grpc.pb.h"
#include "peer/outgoingqueue.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <mutex>
#include <set>

namespace cumindyke
{

namespace
{

/// A connection with this many exceeded deadlines in a row is assumed dead and is replaced. The number doubles with each replacement that
/// did not help, up to the maximum: otherwise a slow peer would have to accept more connections the slower it is.
constexpr int MinTimeoutsBeforeReconnect = 2;
constexpr int MaxTimeoutsBeforeReconnect = 8;
/// A connection without a call for this long is closed, so that a VM keeps connections only to the VMs that it currently communicates with.
constexpr int IdleConnectionTimeoutMs = 60'000;
/// Limits the peers added by name, as a protection against invented names: several times the number of VMs of the largest system.
constexpr std::size_t MaxNamedPeers = 2000;
constexpr int MaxMessageBytes = 64 << 20;
constexpr std::chrono::seconds LossLogInterval{1};

/// Counts the lost messages of all links, and logs at most one line per interval. Safe from any thread.
class LossLog
{
public:
    explicit LossLog(Metrics *metrics)
        : m_metrics(metrics)
    {
    }

    void recordLoss(const VmName &peer, const std::string &why, std::size_t batchBytes, std::size_t queuedCount)
    {
        if (m_metrics) {
            m_metrics->counter("cumindyke_peer_losses_total", "Calls to other VMs, or messages of full queues, that were lost", {{"why", why}}).add();
        }
        const std::lock_guard lock(m_mutex);
        m_losses += 1;
        m_peers.insert(peer);
        const auto now = std::chrono::steady_clock::now();
        if (now < m_nextLineAt) {
            return;
        }
        m_nextLineAt = now + LossLogInterval;
        logChange("peer",
                  "messages-lost",
                  {{"losses", std::to_string(m_losses)},
                   {"peers", std::to_string(m_peers.size())},
                   {"last_peer", peer.value},
                   {"why", why},
                   {"batch_bytes", std::to_string(batchBytes)},
                   {"waiting", std::to_string(queuedCount)}});
        m_losses = 0;
        m_peers.clear();
    }

private:
    Metrics *const m_metrics;
    std::mutex m_mutex;
    std::chrono::steady_clock::time_point m_nextLineAt{};
    std::size_t m_losses = 0;
    std::set<VmName> m_peers;
};

std::string reasonOf(const grpc::Status &status)
{
    switch (status.error_code()) {
    case grpc::StatusCode::DEADLINE_EXCEEDED:
        return "deadline-passed";
    case grpc::StatusCode::UNAVAILABLE:
        return "unreachable";
    default:
        return "rpc-error-" + std::to_string(status.error_code());
    }
}

/// State shared by all links of a process.
struct Shared
{
    explicit Shared(Metrics *metrics)
        : losses(metrics)
    {
        if (metrics) {
            heldBytes = metrics->gauge("cumindyke_peer_held_bytes", "Messages to other VMs that wait or are under way");
        }
    }

    std::shared_ptr<SendBudget> budget = std::make_shared<SendBudget>();
    std::optional<Gauge> heldBytes;
    LossLog losses;
};

std::shared_ptr<grpc::Channel> connectTo(const Address &address, const std::optional<TlsFiles> &tls, int attempt)
{
    grpc::ChannelArguments arguments;
    // Without a distinct argument, gRPC would reuse the old, dead connection for the new channel.
    arguments.SetInt("cumindyke.attempt", attempt);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 10'000);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 2'000);
    arguments.SetInt(GRPC_ARG_CLIENT_IDLE_TIMEOUT_MS, IdleConnectionTimeoutMs);
    // VMs that start together connect quickly with these figures; gRPC's defaults would wait 20 s for an attempt that began while the peer
    // was unreachable. The backoff grows with each failed attempt: a peer that accepts slowly, since many VMs connect to it, would
    // otherwise never complete a connection.
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 30);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 200);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1'000);
    arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
    return grpc::CreateCustomChannel(toString(address), channelCredentials(tls), arguments);
}

}

/// The connection, queue and calls of one peer. Calls end on gRPC's threads, so all state is guarded by the mutex.
class PeerTransport::Link : public std::enable_shared_from_this<PeerTransport::Link>
{
public:
    Link(VmName self, VmName peer, Address address, std::optional<TlsFiles> tls, std::shared_ptr<Shared> shared)
        : m_self(std::move(self))
        , m_peer(std::move(peer))
        , m_address(std::move(address))
        , m_tls(std::move(tls))
        , m_shared(std::move(shared))
        , m_queue(m_shared->budget)
    {
    }

    const Address &address() const
    {
        return m_address;
    }

    void send(v1::Envelope envelope)
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.push(std::move(envelope)) > 0) {
            m_shared->losses.recordLoss(m_peer, "queue-full", 0, m_queue.queuedCount());
        }
        updateHeldBytes();
        startPendingCalls();
    }

private:
    struct Call
    {
        grpc::ClientContext context;
        v1::PeerBatch batch;
        v1::PeerAck ack;
        Lane lane = Lane::Signal;
        Duration timeout{};
        bool isRepeated = false;
    };

    void updateHeldBytes()
    {
        if (m_shared->heldBytes) {
            m_shared->heldBytes->set(static_cast<double>(m_shared->budget->held()));
        }
    }

    void startPendingCalls()
    {
        while (std::optional<OutgoingBatch> batch = m_queue.next()) {
            startCall(std::move(*batch));
        }
    }

    void startCall(OutgoingBatch batch)
    {
        auto call = std::make_shared<Call>();
        call->lane = batch.lane;
        call->timeout = batch.timeout;
        call->batch.set_from(m_self.value);
        call->batch.set_to(m_peer.value);
        for (v1::Envelope &envelope : batch.envelopes) {
            *call->batch.add_envelopes() = std::move(envelope);
        }
        deliver(call);
    }

    void deliver(const std::shared_ptr<Call> &call)
    {
        if (!m_stub) {
            m_stub = v1::Peer::NewStub(connectTo(m_address, m_tls, m_attempt++));
        }
        // Bulk messages are resent rarely, and VMs that have just started begin to listen shortly after their first heartbeat.
        call->context.set_wait_for_ready(call->lane == Lane::Bulk);
        call->context.set_deadline(std::chrono::system_clock::now() + call->timeout);
        m_stub->async()->Deliver(
            &call->context, &call->batch, &call->ack, [self = shared_from_this(), call](const grpc::Status &status) { self->onCallEnded(*call, status); });
    }

    /// Sends the messages again. The connection was open to a process that is gone, and its successor may listen already.
    void repeat(Call &call)
    {
        auto repeated = std::make_shared<Call>();
        repeated->batch.Swap(&call.batch);
        repeated->lane = call.lane;
        repeated->timeout = call.timeout;
        repeated->isRepeated = true;
        // The channel may not have noticed yet that its connection is gone.
        m_stub.reset();
        deliver(repeated);
    }

    void onCallEnded(Call &call, const grpc::Status &status)
    {
        const std::lock_guard lock(m_mutex);
        if (call.lane == Lane::Bulk && !call.isRepeated && status.error_code() == grpc::StatusCode::UNAVAILABLE) {
            repeat(call);
            return;
        }
        m_queue.endCall(call.lane);
        updateHeldBytes();
        if (!status.ok()) {
            m_shared->losses.recordLoss(m_peer, reasonOf(status), call.batch.ByteSizeLong(), m_queue.queuedCount());
        }
        if (status.ok()) {
            m_timeoutsBeforeReconnect = MinTimeoutsBeforeReconnect;
        }
        m_consecutiveTimeouts = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ? m_consecutiveTimeouts + 1 : 0;
        if (m_consecutiveTimeouts >= m_timeoutsBeforeReconnect) {
            m_consecutiveTimeouts = 0;
            m_timeoutsBeforeReconnect = std::min(2 * m_timeoutsBeforeReconnect, MaxTimeoutsBeforeReconnect);
            m_stub.reset();
        }
        startPendingCalls();
    }

    const VmName m_self;
    const VmName m_peer;
    const Address m_address;
    const std::optional<TlsFiles> m_tls;
    std::mutex m_mutex;
    std::unique_ptr<v1::Peer::Stub> m_stub;
    const std::shared_ptr<Shared> m_shared;
    OutgoingQueue m_queue;
    int m_consecutiveTimeouts = 0;
    int m_timeoutsBeforeReconnect = MinTimeoutsBeforeReconnect;
    int m_attempt = 0;
};

struct PeerTransport::Private
{
    explicit Private(Metrics *metrics)
        : shared(std::make_shared<Shared>(metrics))
    {
    }

    std::mutex mutex;
    std::shared_ptr<Shared> shared;
    std::map<VmName, std::shared_ptr<Link>> links;
    /// Port of peers that are named by their address; 0: only the peers of setPeers() are known.
    std::uint16_t defaultPort = 0;
};

PeerTransport::PeerTransport(VmName self, std::optional<TlsFiles> tls, Metrics *metrics)
    : m_self(std::move(self))
    , m_tls(std::move(tls))
    , d(std::make_shared<Private>(metrics))
{
}

PeerTransport::~PeerTransport() = default;

void PeerTransport::setPeers(const std::map<VmName, Address> &peers)
{
    const std::lock_guard lock(d->mutex);
    std::map<VmName, std::shared_ptr<Link>> links;
    for (const auto &[peer, address] : peers) {
        const auto known = d->links.find(peer);
        const bool isUnchanged = known != d->links.end() && known->second->address() == address;
        links.emplace(peer, isUnchanged ? known->second : std::make_shared<Link>(m_self, peer, address, m_tls, d->shared));
    }
    d->links.swap(links);
}

void PeerTransport::setDefaultPort(std::uint16_t port)
{
    const std::lock_guard lock(d->mutex);
    d->defaultPort = port;
}

void PeerTransport::send(const VmName &to, v1::Envelope envelope)
{
    std::shared_ptr<Link> link;
    {
        const std::lock_guard lock(d->mutex);
        auto known = d->links.find(to);
        if (known == d->links.end()) {
            const Result<Address> address = parseAddress(to.value + ":" + std::to_string(d->defaultPort));
            if (d->defaultPort == 0 || !ok(address) || d->links.size() >= MaxNamedPeers) {
                return;
            }
            known = d->links.emplace(to, std::make_shared<Link>(m_self, to, valueOf(address), m_tls, d->shared)).first;
        }
        link = known->second;
    }
    link->send(std::move(envelope));
}

}
