#pragma once

#include "common/result.h"
#include "common/types.h"
#include "peer/peertransport.h"

#include "operator.pb.h"

#include <functional>
#include <memory>

namespace cumindyke
{

/// Completes an operator's call. Must be called exactly once, from any thread.
template<typename Reply>
using ReplyCallback = std::function<void(const Result<Reply> &)>;

/// The event stream of one operator's watch. Safe from any thread.
class EventSink
{
public:
    virtual ~EventSink() = default;
    virtual void send(const v1::Event &event) = 0;
    virtual void end(const Error &why) = 0;
    /// Returns true once the operator has disconnected or the stream has ended.
    virtual bool isClosed() const = 0;
};

/// Handlers of operators' calls. Called from gRPC's threads: an implementation posts to its task and replies from there.
struct OperatorHandlers
{
    std::function<void(const v1::ApplyRequest &, ReplyCallback<v1::CommandReply>)> apply;
    std::function<void(const v1::GetRequest &, ReplyCallback<v1::Declarations>)> get;
    std::function<void(const v1::WatchRequest &, std::shared_ptr<EventSink>)> watch;
    std::function<void(const v1::HistoryRequest &, ReplyCallback<v1::HistoryReply>)> history;
    std::function<void(const v1::StartMoveRequest &, ReplyCallback<v1::CommandReply>)> startMove;
    std::function<void(const v1::AbortMoveRequest &, ReplyCallback<v1::CommandReply>)> abortMove;
    std::function<void(const v1::MovesRequest &, ReplyCallback<v1::MovesReply>)> moves;
    std::function<void(const v1::MembersRequest &, ReplyCallback<v1::MembersReply>)> members;
    std::function<void(const v1::SuspectsRequest &, ReplyCallback<v1::SuspectsReply>)> suspects;
    std::function<void(const v1::ClearSuspectRequest &, ReplyCallback<v1::CommandReply>)> clearSuspect;
    std::function<void(const v1::EvacuateRequest &, ReplyCallback<v1::CommandReply>)> evacuate;
    std::function<void(const v1::EvacuationsRequest &, ReplyCallback<v1::EvacuationsReply>)> evacuations;
    std::function<void(const v1::ChangeMembersRequest &, ReplyCallback<v1::CommandReply>)> changeMembers;
    std::function<void(const v1::ReportRequest &, ReplyCallback<v1::ReportReply>)> report;
    std::function<void(const v1::SaveSnapshotRequest &, ReplyCallback<v1::SaveSnapshotReply>)> saveSnapshot;
    std::function<void(const v1::RestoreSnapshotRequest &, ReplyCallback<v1::CommandReply>)> restoreSnapshot;
};

/// The gRPC server of one daemon: serves operators' calls and peers' messages on one address.
class RpcServer
{
public:
    /// Starts the server. Error: Unavailable, when the address can't be bound. With port 0 the kernel chooses the port: see port().
    static Result<std::unique_ptr<RpcServer>>
    start(const Address &address, OperatorHandlers handlers, PeerReceiver receiver, const std::optional<TlsFiles> &tls = {});
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    std::uint16_t port() const;
    /// Rejects new calls and waits for the calls in progress, at most for the grace period.
    void stop(std::chrono::milliseconds grace);

private:
    struct Private;
    RpcServer();

    std::unique_ptr<Private> d;
};

}
