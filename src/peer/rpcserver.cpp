#include "peer/rpcserver.h"

#include "operator.grpc.pb.h"
#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <deque>
#include <mutex>

namespace cumindyke
{

namespace
{

constexpr int MaxMessageBytes = 64 << 20;

grpc::Status toStatus(const Error &error)
{
    switch (error.kind) {
    case ErrorKind::BadRequest:
    case ErrorKind::Invalid:
        return {grpc::StatusCode::INVALID_ARGUMENT, error.message};
    case ErrorKind::NotFound:
        return {grpc::StatusCode::NOT_FOUND, error.message};
    case ErrorKind::Conflict:
        return {grpc::StatusCode::ABORTED, error.message};
    case ErrorKind::Unauthorised:
    case ErrorKind::Forbidden:
        return {grpc::StatusCode::PERMISSION_DENIED, error.message};
    case ErrorKind::Unavailable:
    case ErrorKind::Overloaded:
        return {grpc::StatusCode::UNAVAILABLE, error.message};
    default:
        return {grpc::StatusCode::INTERNAL, error.message};
    }
}

/// Passes a unary call to its handler. The reply object is valid until the call is finished.
template<typename Request, typename Reply>
grpc::ServerUnaryReactor *serveUnary(grpc::CallbackServerContext *context,
                                     const std::function<void(const Request &, ReplyCallback<Reply>)> &handler,
                                     const Request *request,
                                     Reply *reply)
{
    grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
    if (!handler) {
        reactor->Finish({grpc::StatusCode::UNIMPLEMENTED, "this VM does not serve this call: send it to a VM with the role"});
        return reactor;
    }
    handler(*request, [reactor, reply](const Result<Reply> &result) {
        if (!ok(result)) {
            reactor->Finish(toStatus(errorOf(result)));
            return;
        }
        *reply = valueOf(result);
        reactor->Finish(grpc::Status::OK);
    });
    return reactor;
}

/// Writes events one at a time, as gRPC requires; further events are queued here.
class WatchReactor : public grpc::ServerWriteReactor<v1::Event>
{
public:
    /// The handler's end of the stream. It outlives the reactor, which gRPC deletes.
    class Sink : public EventSink
    {
    public:
        explicit Sink(WatchReactor *reactor)
            : m_reactor(reactor)
        {
        }
        void send(const v1::Event &event) override
        {
            const std::lock_guard lock(m_mutex);
            if (m_reactor) {
                m_reactor->enqueue(event);
            }
        }
        void end(const Error &why) override
        {
            const std::lock_guard lock(m_mutex);
            if (m_reactor) {
                m_reactor->finishOnce(toStatus(why));
            }
        }
        bool isClosed() const override
        {
            const std::lock_guard lock(m_mutex);
            return !m_reactor;
        }
        void detach()
        {
            const std::lock_guard lock(m_mutex);
            m_reactor = nullptr;
        }

    private:
        mutable std::mutex m_mutex;
        WatchReactor *m_reactor;
    };

    WatchReactor()
        : m_sink(std::make_shared<Sink>(this))
    {
    }

    std::shared_ptr<EventSink> sink() const
    {
        return m_sink;
    }

    void OnWriteDone(bool written) override
    {
        if (!written) {
            finishOnce(grpc::Status::CANCELLED);
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_queuedEvents.pop_front();
        if (!m_queuedEvents.empty() && !m_finished) {
            StartWrite(&m_queuedEvents.front());
        }
    }

    void OnCancel() override
    {
        finishOnce(grpc::Status::CANCELLED);
    }

    void OnDone() override
    {
        m_sink->detach();
        delete this;
    }

private:
    void enqueue(const v1::Event &event)
    {
        const std::lock_guard lock(m_mutex);
        if (m_finished) {
            return;
        }
        m_queuedEvents.push_back(event);
        if (m_queuedEvents.size() == 1) {
            StartWrite(&m_queuedEvents.front());
        }
    }

    void finishOnce(const grpc::Status &status)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_finished) {
            m_finished = true;
            Finish(status);
        }
    }

    std::shared_ptr<Sink> m_sink;
    std::mutex m_mutex;
    std::deque<v1::Event> m_queuedEvents;
    bool m_finished = false;
};

class OperatorService : public v1::Operator::CallbackService
{
public:
    explicit OperatorService(OperatorHandlers handlers)
        : m_handlers(std::move(handlers))
    {
    }

    grpc::ServerUnaryReactor *Apply(grpc::CallbackServerContext *context, const v1::ApplyRequest *request, v1::CommandReply *reply) override
    {
        return serveUnary(context, m_handlers.apply, request, reply);
    }
    grpc::ServerUnaryReactor *Get(grpc::CallbackServerContext *context, const v1::GetRequest *request, v1::Declarations *reply) override
    {
        return serveUnary(context, m_handlers.get, request, reply);
    }
    grpc::ServerWriteReactor<v1::Event> *Watch(grpc::CallbackServerContext * /*context*/, const v1::WatchRequest *request) override
    {
        auto *reactor = new WatchReactor;
        m_handlers.watch(*request, reactor->sink());
        return reactor;
    }
    grpc::ServerUnaryReactor *History(grpc::CallbackServerContext *context, const v1::HistoryRequest *request, v1::HistoryReply *reply) override
    {
        return serveUnary(context, m_handlers.history, request, reply);
    }
    grpc::ServerUnaryReactor *StartMove(grpc::CallbackServerContext *context, const v1::StartMoveRequest *request, v1::CommandReply *reply) override
    {
        return serveUnary(context, m_handlers.startMove, request, reply);
    }
    grpc::ServerUnaryReactor *AbortMove(grpc::CallbackServerContext *context, const v1::AbortMoveRequest *request, v1::CommandReply *reply) override
    {
        return serveUnary(context, m_handlers.abortMove, request, reply);
    }
    grpc::ServerUnaryReactor *Moves(grpc::CallbackServerContext *context, const v1::MovesRequest *request, v1::MovesReply *reply) override
    {
        return serveUnary(context, m_handlers.moves, request, reply);
    }
    grpc::ServerUnaryReactor *Members(grpc::CallbackServerContext *context, const v1::MembersRequest *request, v1::MembersReply *reply) override
    {
        return serveUnary(context, m_handlers.members, request, reply);
    }
    grpc::ServerUnaryReactor *Suspects(grpc::CallbackServerContext *context, const v1::SuspectsRequest *request, v1::SuspectsReply *reply) override
    {
        return serveUnary(context, m_handlers.suspects, request, reply);
    }
    grpc::ServerUnaryReactor *ClearSuspect(grpc::CallbackServerContext *context, const v1::ClearSuspectRequest *request, v1::CommandReply *reply) override
    {
        return serveUnary(context, m_handlers.clearSuspect, request, reply);
    }
    grpc::ServerUnaryReactor *Evacuate(grpc::CallbackServerContext *context, const v1::EvacuateRequest *request, v1::CommandReply *reply) override
    {
        return serveUnary(context, m_handlers.evacuate, request, reply);
    }
    grpc::ServerUnaryReactor *Evacuations(grpc::CallbackServerContext *context, const v1::EvacuationsRequest *request, v1::EvacuationsReply *reply) override
    {
        return serveUnary(context, m_handlers.evacuations, request, reply);
    }
    grpc::ServerUnaryReactor *ChangeMembers(grpc::CallbackServerContext *context, const v1::ChangeMembersRequest *request, v1::CommandReply *reply) override
    {
        return serveUnary(context, m_handlers.changeMembers, request, reply);
    }
    grpc::ServerUnaryReactor *Report(grpc::CallbackServerContext *context, const v1::ReportRequest *request, v1::ReportReply *reply) override
    {
        return serveUnary(context, m_handlers.report, request, reply);
    }
    grpc::ServerUnaryReactor *SaveSnapshot(grpc::CallbackServerContext *context, const v1::SaveSnapshotRequest *request, v1::SaveSnapshotReply *reply) override
    {
        return serveUnary(context, m_handlers.saveSnapshot, request, reply);
    }
    grpc::ServerUnaryReactor *RestoreSnapshot(grpc::CallbackServerContext *context, const v1::RestoreSnapshotRequest *request, v1::CommandReply *reply) override
    {
        return serveUnary(context, m_handlers.restoreSnapshot, request, reply);
    }

private:
    OperatorHandlers m_handlers;
};

class PeerService : public v1::Peer::CallbackService
{
public:
    explicit PeerService(PeerReceiver receiver)
        : m_receiver(std::move(receiver))
    {
    }

    grpc::ServerUnaryReactor *Deliver(grpc::CallbackServerContext *context, const v1::PeerBatch *batch, v1::PeerAck * /*ack*/) override
    {
        const VmName from{batch->from()};
        for (const v1::Envelope &envelope : batch->envelopes()) {
            m_receiver(from, v1::Envelope(envelope));
        }
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

private:
    PeerReceiver m_receiver;
};

}

struct RpcServer::Private
{
    std::unique_ptr<OperatorService> operatorService;
    std::unique_ptr<PeerService> peerService;
    std::unique_ptr<grpc::Server> server;
    int port = 0;
};

RpcServer::RpcServer()
    : d(std::make_unique<Private>())
{
}

RpcServer::~RpcServer()
{
    stop(std::chrono::milliseconds(0));
}

Result<std::unique_ptr<RpcServer>>
RpcServer::start(const Address &address, OperatorHandlers handlers, PeerReceiver receiver, const std::optional<TlsFiles> &tls)
{
    std::unique_ptr<RpcServer> started(new RpcServer);
    started->d->operatorService = std::make_unique<OperatorService>(std::move(handlers));
    started->d->peerService = std::make_unique<PeerService>(std::move(receiver));
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 5'000);
    builder.SetMaxReceiveMessageSize(MaxMessageBytes);
    builder.AddListeningPort(toString(address), serverCredentials(tls), &started->d->port);
    builder.RegisterService(started->d->operatorService.get());
    builder.RegisterService(started->d->peerService.get());
    started->d->server = builder.BuildAndStart();
    if (!started->d->server || started->d->port == 0) {
        return Error{ErrorKind::Unavailable,
                     "the address " + toString(address) + " can't be bound: check that it is this VM's and that nothing else uses the port"};
    }
    return started;
}

std::uint16_t RpcServer::port() const
{
    return static_cast<std::uint16_t>(d->port);
}

void RpcServer::stop(std::chrono::milliseconds grace)
{
    if (d->server) {
        d->server->Shutdown(std::chrono::system_clock::now() + grace);
        d->server.reset();
    }
}

}
