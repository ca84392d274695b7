#pragma once

#include "common/result.h"
#include "peer/credentials.h"

#include "operator.grpc.pb.h"

#include <chrono>
#include <memory>
#include <string>

namespace cumindyke
{

/// Client of one daemon's operator service. Each call blocks until the reply arrives or the timeout passes; the kind of an error is derived
/// from the gRPC status. Only watch() has no timeout.
class OperatorClient
{
public:
    OperatorClient(const std::string &server, std::chrono::milliseconds timeout, const std::optional<TlsFiles> &tls = {});

    Result<v1::CommandReply> apply(const v1::ApplyRequest &request);
    Result<v1::Declarations> get();
    Result<v1::HistoryReply> history(const v1::HistoryRequest &request);
    Result<v1::CommandReply> startMove(const v1::StartMoveRequest &request);
    Result<v1::CommandReply> abortMove(const v1::AbortMoveRequest &request);
    Result<v1::MovesReply> moves();
    Result<v1::MembersReply> members();
    Result<v1::SuspectsReply> suspects();
    Result<v1::CommandReply> evacuate(const v1::EvacuateRequest &request);
    Result<v1::EvacuationsReply> evacuations();
    Result<v1::CommandReply> clearSuspect(const v1::ClearSuspectRequest &request);
    Result<v1::CommandReply> changeMembers(const v1::ChangeMembersRequest &request);
    Result<v1::SaveSnapshotReply> saveSnapshot();
    Result<v1::CommandReply> restoreSnapshot(const v1::RestoreSnapshotRequest &request);
    Result<v1::ReportReply> report(const v1::ReportRequest &request = {});
    /// Calls `onEvent` for each event until the callback returns false or the stream ends.
    Result<Done> watch(const v1::WatchRequest &request, const std::function<bool(const v1::Event &)> &onEvent);

private:
    template<typename Reply, typename Request, typename Method>
    Result<Reply> call(Method method, const Request &request);

    std::string m_server;
    std::chrono::milliseconds m_timeout;
    std::unique_ptr<v1::Operator::Stub> m_stub;
};

}
