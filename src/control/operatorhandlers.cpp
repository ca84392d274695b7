#include "control/operatorhandlers.h"

#include "control/convert.h"

namespace cumindyke
{

namespace
{

/// Proposes a command and answers the call with its CommandReply.
void propose(ControlTask &control, v1::Command command, const Answer<v1::CommandReply> &answer)
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

}

OperatorHandlers operatorHandlers(ControlTask &control)
{
    OperatorHandlers handlers;
    handlers.apply = [&control](const v1::ApplyRequest &request, const Answer<v1::CommandReply> &answer) {
        v1::Command command;
        command.set_command_id(request.command_id());
        *command.mutable_apply() = request;
        propose(control, std::move(command), answer);
    };
    handlers.startMove = [&control](const v1::StartMoveRequest &request, const Answer<v1::CommandReply> &answer) {
        v1::Command command;
        command.set_command_id(request.command_id());
        *command.mutable_start_move() = request;
        propose(control, std::move(command), answer);
    };
    handlers.abortMove = [&control](const v1::AbortMoveRequest &request, const Answer<v1::CommandReply> &answer) {
        v1::Command command;
        command.set_command_id(request.command_id());
        *command.mutable_abort_move() = request;
        propose(control, std::move(command), answer);
    };
    handlers.get = [&control](const v1::GetRequest & /*request*/, const Answer<v1::Declarations> &answer) {
        control.post(StateQuery{[answer](const StateMachine &state) { answer(toWire(state.declarations())); }});
    };
    handlers.history = [&control](const v1::HistoryRequest &request, const Answer<v1::HistoryReply> &answer) {
        const Revision after{request.after_revision()};
        control.post(StateQuery{[answer, after](const StateMachine &state) {
            v1::HistoryReply reply;
            for (const v1::HistoryEntry &entry : state.historyAfter(after)) {
                *reply.add_entries() = entry;
            }
            answer(reply);
        }});
    };
    handlers.moves = [&control](const v1::MovesRequest & /*request*/, const Answer<v1::MovesReply> &answer) {
        control.post(StateQuery{[answer](const StateMachine &state) {
            v1::MovesReply reply;
            for (const auto &[name, move] : state.moves()) {
                *reply.add_moves() = move;
            }
            answer(reply);
        }});
    };
    handlers.watch = [](const v1::WatchRequest & /*request*/, const std::shared_ptr<EventSink> &sink) {
        sink->end(Error{ErrorKind::Unavailable, "watch is not served by this VM: use history"});
    };
    return handlers;
}

}
