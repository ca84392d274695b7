#include "ctl/client.h"

#include <grpcpp/grpcpp.h>

namespace cumindyke
{

namespace
{

/// The same limit as the daemons', since a snapshot travels in a single message.
constexpr int MaxMessageBytes = 64 << 20;

Error toError(const grpc::Status &status, const std::string &server)
{
    const std::string message = status.error_message();
    switch (status.error_code()) {
    case grpc::StatusCode::INVALID_ARGUMENT:
        return {ErrorKind::Invalid, message};
    case grpc::StatusCode::NOT_FOUND:
        return {ErrorKind::NotFound, message};
    case grpc::StatusCode::ABORTED:
        return {ErrorKind::Conflict, message};
    case grpc::StatusCode::PERMISSION_DENIED:
        return {ErrorKind::Forbidden, message};
    case grpc::StatusCode::UNIMPLEMENTED:
        return {ErrorKind::NotFound, message};
    case grpc::StatusCode::DEADLINE_EXCEEDED:
        return {ErrorKind::OutcomeUnknown,
                "no reply from " + server + " in time: run the same command again with the same --command-id; the change is applied at most once"};
    case grpc::StatusCode::UNAVAILABLE:
        return {ErrorKind::Unavailable, "can't reach " + server + " (" + message + "): check --server and the certificates, or name another VM"};
    default:
        return {ErrorKind::Internal, message};
    }
}

std::shared_ptr<grpc::Channel> makeChannel(const std::string &server, const std::optional<TlsFiles> &tls)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
    return grpc::CreateCustomChannel(server, channelCredentials(tls), arguments);
}

}

OperatorClient::OperatorClient(const std::string &server, std::chrono::milliseconds timeout, const std::optional<TlsFiles> &tls)
    : m_server(server)
    , m_timeout(timeout)
    , m_stub(v1::Operator::NewStub(makeChannel(server, tls)))
{
}

template<typename Reply, typename Request, typename Method>
Result<Reply> OperatorClient::call(Method method, const Request &request)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + m_timeout);
    Reply reply;
    const grpc::Status status = (m_stub.get()->*method)(&context, request, &reply);
    if (!status.ok()) {
        return toError(status, m_server);
    }
    return reply;
}

Result<v1::CommandReply> OperatorClient::apply(const v1::ApplyRequest &request)
{
    return call<v1::CommandReply>(&v1::Operator::Stub::Apply, request);
}

Result<v1::Declarations> OperatorClient::get()
{
    return call<v1::Declarations>(&v1::Operator::Stub::Get, v1::GetRequest());
}

Result<v1::HistoryReply> OperatorClient::history(const v1::HistoryRequest &request)
{
    return call<v1::HistoryReply>(&v1::Operator::Stub::History, request);
}

Result<v1::CommandReply> OperatorClient::startMove(const v1::StartMoveRequest &request)
{
    return call<v1::CommandReply>(&v1::Operator::Stub::StartMove, request);
}

Result<v1::CommandReply> OperatorClient::abortMove(const v1::AbortMoveRequest &request)
{
    return call<v1::CommandReply>(&v1::Operator::Stub::AbortMove, request);
}

Result<v1::MovesReply> OperatorClient::moves()
{
    return call<v1::MovesReply>(&v1::Operator::Stub::Moves, v1::MovesRequest());
}

Result<v1::MembersReply> OperatorClient::members()
{
    return call<v1::MembersReply>(&v1::Operator::Stub::Members, v1::MembersRequest());
}

Result<v1::SuspectsReply> OperatorClient::suspects()
{
    return call<v1::SuspectsReply>(&v1::Operator::Stub::Suspects, v1::SuspectsRequest());
}

Result<v1::CommandReply> OperatorClient::clearSuspect(const v1::ClearSuspectRequest &request)
{
    return call<v1::CommandReply>(&v1::Operator::Stub::ClearSuspect, request);
}

Result<v1::CommandReply> OperatorClient::evacuate(const v1::EvacuateRequest &request)
{
    return call<v1::CommandReply>(&v1::Operator::Stub::Evacuate, request);
}

Result<v1::EvacuationsReply> OperatorClient::evacuations()
{
    return call<v1::EvacuationsReply>(&v1::Operator::Stub::Evacuations, v1::EvacuationsRequest());
}

Result<v1::CommandReply> OperatorClient::changeMembers(const v1::ChangeMembersRequest &request)
{
    return call<v1::CommandReply>(&v1::Operator::Stub::ChangeMembers, request);
}

Result<v1::SaveSnapshotReply> OperatorClient::saveSnapshot()
{
    return call<v1::SaveSnapshotReply>(&v1::Operator::Stub::SaveSnapshot, v1::SaveSnapshotRequest());
}

Result<v1::CommandReply> OperatorClient::restoreSnapshot(const v1::RestoreSnapshotRequest &request)
{
    return call<v1::CommandReply>(&v1::Operator::Stub::RestoreSnapshot, request);
}

Result<v1::ReportReply> OperatorClient::report(const v1::ReportRequest &request)
{
    return call<v1::ReportReply>(&v1::Operator::Stub::Report, request);
}

Result<Done> OperatorClient::watch(const v1::WatchRequest &request, const std::function<bool(const v1::Event &)> &onEvent)
{
    grpc::ClientContext context;
    const auto reader = m_stub->Watch(&context, request);
    v1::Event event;
    while (reader->Read(&event)) {
        if (!onEvent(event)) {
            context.TryCancel();
            reader->Finish();
            return Done{};
        }
    }
    const grpc::Status status = reader->Finish();
    if (!status.ok()) {
        return toError(status, m_server);
    }
    return Done{};
}

}
