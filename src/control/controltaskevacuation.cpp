// The control task's handling of operators' evacuation orders, on the VM that receives them.

#include "control/controltask.h"

#include "common/log.h"

namespace cumindyke
{

namespace
{

/// An operator waits this long for an answer, then sends the order again. An order that lost against a later one is renewed only within this time: afterwards
/// it may be one that the operator has taken back.
constexpr Duration OperatorPatience = std::chrono::seconds(1);

}

void ControlTask::handle(EvacuationRequest &request)
{
    const bool isKnown = request.dataCentre == m_options.dataCentre || m_options.dataCentres.contains(request.dataCentre);
    if (!isKnown) {
        request.answer(
            Error{ErrorKind::NotFound, "there is no data centre '" + request.dataCentre.value + "': check its name against [[data_centres]] of the settings"});
        return;
    }
    submitEvacuation(std::move(request), m_follower.version(), EventLoop::now());
}

void ControlTask::submitEvacuation(EvacuationRequest request, std::uint64_t baseVersion, TimePoint receivedAt)
{
    v1::Command command;
    command.set_command_id("evacuation/" + m_options.vm.value + "/" + std::to_string(m_nextEvacuationId++));
    command.mutable_evacuation()->set_data_centre(request.dataCentre.value);
    command.mutable_evacuation()->set_active(request.active);
    command.mutable_evacuation()->set_base_version(baseVersion);
    logChange("control",
              "evacuation-ordered",
              {{"command", command.command_id()},
               {"data_centre", request.dataCentre.value},
               {"active", request.active ? "yes" : "no"},
               {"base_version", std::to_string(baseVersion)}});
    Proposal proposal{.command = std::move(command), .answer = [this, request = std::move(request), receivedAt](const Result<v1::ProposeReply> &result) {
                          if (!ok(result)) {
                              request.answer(errorOf(result));
                              return;
                          }
                          const v1::CommandReply &reply = valueOf(result).reply();
                          const bool hasLost = reply.outcome() == v1::CommandReply::CONFLICT;
                          if (hasLost && EventLoop::now() - receivedAt < OperatorPatience) {
                              submitEvacuation(request, reply.revision(), receivedAt);
                          } else if (hasLost) {
                              request.answer(Error{ErrorKind::Unavailable, reply.message()});
                          } else if (reply.outcome() != v1::CommandReply::ACCEPTED) {
                              request.answer(Error{ErrorKind::NotFound, reply.message()});
                          } else {
                              request.answer(Done{});
                          }
                      }};
    handle(proposal);
}

}
