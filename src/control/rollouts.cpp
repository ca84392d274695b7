#include "control/rollouts.h"

namespace cumindyke
{

RolloutChange startRollout(RolloutMap &rollouts, const v1::StartRollout &request, WallTime now)
{
    const auto newest = rollouts.find(request.service());
    if (newest != rollouts.end() && newest->second.target() == request.target()) {
        return RolloutChange::None;
    }
    v1::Rollout rollout;
    rollout.set_service(request.service());
    rollout.set_target(request.target());
    rollout.set_duration_ms(request.duration_ms());
    rollout.set_started_at_ms(now.value);
    rollout.set_state(v1::ROLLOUT_IN_PROGRESS);
    rollouts[request.service()] = rollout;
    return RolloutChange::Changed;
}

RolloutChange applyRolloutVerdict(RolloutMap &rollouts, const v1::RolloutVerdict &verdict)
{
    const auto newest = rollouts.find(verdict.service());
    if (newest == rollouts.end() || newest->second.target() != verdict.target() || newest->second.started_at_ms() != verdict.started_at_ms()
        || newest->second.state() != v1::ROLLOUT_IN_PROGRESS) {
        return RolloutChange::None;
    }
    newest->second.set_state(verdict.state());
    newest->second.set_share_permille(verdict.share_permille());
    newest->second.set_reason(verdict.reason());
    return RolloutChange::Changed;
}

}
