// Where requests wait and go: the proxy task's part between admission and sending.

#include "proxy/proxytask.h"

#include "common/hash.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

constexpr Duration TickInterval = std::chrono::milliseconds(20);
/// What an answer takes at least while nothing was learned.
constexpr Duration LeastAnswerTime = std::chrono::milliseconds(50);
/// A request that can't be on time any more still waits for any place this long: a late answer is worth more to its caller than a refusal
/// after which it asks again.
constexpr Duration LateWait = std::chrono::milliseconds(800);
constexpr Duration ShortestRetryAfter = std::chrono::milliseconds(500);
constexpr Duration LongestRetryAfter = std::chrono::seconds(3);
/// Without a refusal for this long an overload is over.
constexpr Duration OverloadEnds = std::chrono::seconds(1);
constexpr std::uint32_t WholeSharePermille = 1000;

}

void ProxyTask::wait(ProxyRequest &request, TimePoint now)
{
    const Duration needed = m_board.soonestIdle(request.order.service, request.order.promptTokens);
    const TimePoint latestStart = request.order.objectiveAt - std::max(needed, LeastAnswerTime);
    const TimePoint giveUpAt = std::min(std::max(latestStart, now) + LateWait, request.order.answerBy);
    request.latestStart = latestStart;
    m_services[request.order.service].line.add(request.local, request.order.rank, latestStart, giveUpAt);
}

PlacementQuery ProxyTask::queryFor(const ProxyRequest &request) const
{
    PlacementQuery query{.service = request.order.service, .versions = {}, .promptTokens = request.order.promptTokens, .tried = request.tried};
    const auto found = m_rollouts.find(request.order.service.value);
    if (found == m_rollouts.end()) {
        return query;
    }
    const v1::Rollout &rollout = found->second;
    const bool completed = rollout.state() == v1::ROLLOUT_COMPLETED;
    const bool open = rollout.state() == v1::ROLLOUT_IN_PROGRESS;
    query.versions.target = VersionName{rollout.target()};
    query.versions.toTarget = completed || (open && checksum(request.order.id.value) % WholeSharePermille < rollout.share_permille());
    return query;
}

std::optional<UpstreamInstance> ProxyTask::place(const ProxyRequest &request, TimePoint now) const
{
    PlacementQuery query = queryFor(request);
    Placement placement = m_board.choose(query, now);
    const auto rollout = m_rollouts.find(request.order.service.value);
    const bool open = rollout != m_rollouts.end() && rollout->second.state() == v1::ROLLOUT_IN_PROGRESS;
    if (!placement.upstream && open && query.versions.toTarget) {
        // The target's upstreams are not there yet, or full: the others take it.
        query.versions.toTarget = false;
        placement = m_board.choose(query, now);
    }
    if (!placement.upstream) {
        return {};
    }
    const bool onTime = now + placement.predicted <= request.order.objectiveAt;
    if (!onTime && now < request.latestStart) {
        // Sent now, it would be late: a place at a faster upstream may become free in time.
        return {};
    }
    return *placement.upstream;
}

/// Sends as many waiting requests as there is room for, most urgent first.
void ProxyTask::pump(const ServiceName &service, TimePoint now)
{
    WaitingLine &line = m_services[service].line;
    for (const LocalRequest local : line.inOrder(now)) {
        ProxyRequest *request = find(local);
        if (!request || request->call) {
            continue; // A sending before it failed at once, and this one was served meanwhile.
        }
        const std::optional<UpstreamInstance> to = place(*request, now);
        if (!to) {
            continue;
        }
        line.remove(local);
        send(*request, *to, now);
    }
    if (!line.empty()) {
        m_tick.startOnce(TickInterval);
    }
}

/// An overload that has lasted for a while is likely to last as long again: who comes back sooner is refused again.
Duration ProxyTask::retryAfterFull(const ServiceName &name, TimePoint now)
{
    Service &service = m_services[name];
    if (now - service.refusedLast > OverloadEnds) {
        service.refusingSince = now;
    }
    service.refusedLast = now;
    return std::clamp(now - service.refusingSince, ShortestRetryAfter, LongestRetryAfter);
}

void ProxyTask::tick()
{
    const TimePoint now = EventLoop::now();
    std::vector<ServiceName> services;
    for (const auto &[name, service] : m_services) {
        services.push_back(name);
    }
    for (const ServiceName &name : services) {
        for (const LocalRequest local : m_services[name].line.takeOverdue(now)) {
            ProxyRequest *overdue = find(local);
            if (!overdue) {
                continue;
            }
            ProxyRequest &request = *overdue;
            if (request.attempts.mayHaveRun()) {
                answerFailure(request, ErrorKind::OutcomeUnknown, "no upstream had room for another try");
            } else {
                answerRefusal(request, "no upstream had room in time", retryAfterFull(name, now));
            }
        }
        pump(name, now);
    }
    endDrainIfDone();
    if (m_drain) {
        m_tick.startOnce(TickInterval);
    }
}

}
