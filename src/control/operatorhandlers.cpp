#include "control/operatorhandlers.h"

#include "control/convert.h"

namespace cumindyke
{

namespace
{

/// Proposes a command and answers the call with its CommandReply.
void propose(ControlTask &control, v1::Command command, const ReplyCallback<v1::CommandReply> &answer)
{
    control.post(Proposal{
        .command = std::move(command),
        .answer =
            [answer](const Result<v1::ProposeReply> &result) {
                if (!ok(result)) {
                    answer(errorOf(result));
                    return;
                }
                answer(valueOf(result).reply());
            },
    });
}

/// Asks the leader and answers the call with the given field of the leader's answer.
template<typename Reply>
void askLeader(ControlTask &control, const v1::LeaderQuestion &question, const ReplyCallback<Reply> &answer, const Reply &(v1::LeaderAnswer::*field)() const)
{
    control.post(Question{
        .question = question,
        .answer =
            [answer, field](const Result<v1::LeaderAnswer> &result) {
                if (!ok(result)) {
                    answer(errorOf(result));
                    return;
                }
                answer((valueOf(result).*field)());
            },
    });
}

void addLeaderQuestions(OperatorHandlers &handlers, ControlTask &control)
{
    handlers.history = [&control](const v1::HistoryRequest &request, const ReplyCallback<v1::HistoryReply> &answer) {
        v1::LeaderQuestion question;
        *question.mutable_history() = request;
        askLeader(control, question, answer, &v1::LeaderAnswer::history);
    };
    handlers.members = [&control](const v1::MembersRequest & /*request*/, const ReplyCallback<v1::MembersReply> &answer) {
        v1::LeaderQuestion question;
        question.mutable_members();
        askLeader(control, question, answer, &v1::LeaderAnswer::members);
    };
    handlers.changeMembers = [&control](const v1::ChangeMembersRequest &request, const ReplyCallback<v1::CommandReply> &answer) {
        v1::LeaderQuestion question;
        *question.mutable_change_members() = request;
        askLeader(control, question, answer, &v1::LeaderAnswer::change_members);
    };
    handlers.report = [&control](const v1::ReportRequest &request, const ReplyCallback<v1::ReportReply> &answer) {
        v1::LeaderQuestion question;
        *question.mutable_report() = request;
        askLeader(control, question, answer, &v1::LeaderAnswer::report);
    };
    handlers.suspects = [&control](const v1::SuspectsRequest & /*request*/, const ReplyCallback<v1::SuspectsReply> &answer) {
        v1::LeaderQuestion question;
        question.mutable_suspects();
        askLeader(control, question, answer, &v1::LeaderAnswer::suspects);
    };
    handlers.evacuations = [&control](const v1::EvacuationsRequest & /*request*/, const ReplyCallback<v1::EvacuationsReply> &answer) {
        v1::LeaderQuestion question;
        question.mutable_evacuations();
        askLeader(control, question, answer, &v1::LeaderAnswer::evacuations);
    };
    handlers.saveSnapshot = [&control](const v1::SaveSnapshotRequest & /*request*/, const ReplyCallback<v1::SaveSnapshotReply> &answer) {
        v1::LeaderQuestion question;
        question.mutable_save_snapshot();
        askLeader(control, question, answer, &v1::LeaderAnswer::save_snapshot);
    };
}

}

OperatorHandlers operatorHandlers(ControlTask &control)
{
    OperatorHandlers handlers;
    handlers.apply = [&control](const v1::ApplyRequest &request, const ReplyCallback<v1::CommandReply> &answer) {
        v1::Command command;
        command.set_command_id(request.command_id());
        *command.mutable_apply() = request;
        propose(control, std::move(command), answer);
    };
    handlers.startMove = [&control](const v1::StartMoveRequest &request, const ReplyCallback<v1::CommandReply> &answer) {
        v1::Command command;
        command.set_command_id(request.command_id());
        *command.mutable_start_move() = request;
        propose(control, std::move(command), answer);
    };
    handlers.abortMove = [&control](const v1::AbortMoveRequest &request, const ReplyCallback<v1::CommandReply> &answer) {
        v1::Command command;
        command.set_command_id(request.command_id());
        *command.mutable_abort_move() = request;
        propose(control, std::move(command), answer);
    };
    handlers.get = [&control](const v1::GetRequest & /*request*/, const ReplyCallback<v1::Declarations> &answer) {
        control.post(FollowerQuery{[answer](const Follower &follower) { answer(toWire(*follower.declarations())); }});
    };
    handlers.moves = [&control](const v1::MovesRequest & /*request*/, const ReplyCallback<v1::MovesReply> &answer) {
        control.post(FollowerQuery{[answer](const Follower &follower) {
            v1::MovesReply reply;
            reply.mutable_moves()->Assign(follower.moves().begin(), follower.moves().end());
            answer(reply);
        }});
    };
    handlers.watch = [&control](const v1::WatchRequest &request, const std::shared_ptr<EventSink> &sink) {
        control.post(Watch{.after = Revision{request.after_revision()}, .sink = sink});
    };
    handlers.restoreSnapshot = [&control](const v1::RestoreSnapshotRequest &request, const ReplyCallback<v1::CommandReply> &answer) {
        v1::Command command;
        command.set_command_id(request.command_id());
        *command.mutable_restore() = request;
        propose(control, std::move(command), answer);
    };
    handlers.clearSuspect = [&control](const v1::ClearSuspectRequest &request, const ReplyCallback<v1::CommandReply> &answer) {
        v1::Command command;
        command.set_command_id(request.command_id());
        command.mutable_suspects()->add_cleared(request.fingerprint());
        propose(control, std::move(command), answer);
    };
    handlers.evacuate = [&control](const v1::EvacuateRequest &request, const ReplyCallback<v1::CommandReply> &answer) {
        control.post(
            EvacuationRequest{.dataCentre = DataCentreName{request.data_centre()}, .active = !request.end(), .answer = [answer](const Result<Done> &result) {
                                  if (!ok(result)) {
                                      answer(errorOf(result));
                                      return;
                                  }
                                  v1::CommandReply reply;
                                  reply.set_outcome(v1::CommandReply::ACCEPTED);
                                  answer(reply);
                              }});
    };
    addLeaderQuestions(handlers, control);
    return handlers;
}

}
