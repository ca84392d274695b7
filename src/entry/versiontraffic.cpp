#include "entry/versiontraffic.h"

#include "common/log.h"
#include "control/movecommands.h"
#include "report/outcomereport.h"

#include <algorithm>
#include <bit>

namespace cumindyke
{

namespace
{

/// Equal ranges of the ratio of an upstream's slots in use.
constexpr std::uint32_t LoadClassCount = 4;

}

VersionTraffic::VersionTraffic(VmName vm, std::string incarnation, Metrics &metrics)
    : m_vm(std::move(vm))
    , m_incarnation(std::move(incarnation))
    , m_metrics(metrics)
{
}

void VersionTraffic::setMoves(const std::vector<v1::Move> &moves, const Declarations &declarations, const std::set<DataCentreName> &evacuated)
{
    std::vector<Move> parsed;
    for (const v1::Move &wire : moves) {
        parsed.push_back(fromWire(wire));
        recordMoveState(parsed.back());
    }
    m_excludedUpstreams = cumindyke::excludedUpstreams(declarations, parsed, evacuated);
    m_router.setMoves(parsed);
}

/// Updates the metric of a move's share, and logs its state when that has changed or is seen for the first time.
void VersionTraffic::recordMoveState(const Move &move)
{
    m_metrics
        .gauge("cumindyke_move_share_ratio",
               "Share of the service's requests that the move's new version may get",
               {{"service", move.service.value}, {"from", move.from.value}, {"to", move.to.value}})
        .set(static_cast<double>(move.share.value) / WholeShare.value);
    const auto [known, isNew] = m_moveStates.try_emplace(move.name, move.state);
    if (!isNew && known->second == move.state) {
        return;
    }
    known->second = move.state;
    m_metrics.counter("cumindyke_move_states_total", "States that moves came into", {{"service", move.service.value}, {"state", toString(move.state)}}).add();
    std::string change = std::string("move-") + toString(move.state);
    std::ranges::replace(change, ' ', '-');
    logChange("move", change, {{"move", move.name.value}, {"from", move.from.value}, {"to", move.to.value}, {"reason", move.reason}});
}

VersionName VersionTraffic::chooseVersion(const CallerRequest &request, TimePoint now) const
{
    return m_router.choose(request.service, VersionName{}, request.id, !request.idempotencyKey.empty(), now);
}

VersionName VersionTraffic::confirmVersion(const Service &service, const VersionName &chosen, TimePoint now) const
{
    const Move *move = m_router.openMove(service.name);
    return move && move->to == chosen && !m_router.isTripped(service.name, now) ? chosen : service.version;
}

void VersionTraffic::recordSent(const CallerRequest &request, const Upstream &upstream, TimePoint now)
{
    std::uint32_t &inFlight = m_inFlight[upstream.name];
    const std::uint32_t load = LoadClassCount * inFlight / std::max<std::uint32_t>(1, upstream.slots);
    RunningAttempt attempt{
        .key = OutcomeKey{.service = request.service,
                          .version = upstream.version,
                          .route = request.route,
                          .lengthClass = static_cast<std::uint8_t>(std::bit_width(std::max<std::uint32_t>(1, request.maxAnswerTokens.value) - 1)),
                          .loadClass = static_cast<std::uint8_t>(std::min(LoadClassCount - 1, load)),
                          .tier = request.rank},
        .upstream = upstream.name,
        .sentAt = now,
    };
    ++inFlight;
    m_counters.sent(attempt.key);
    m_runningAttempts.insert_or_assign(request.id, std::move(attempt));
}

void VersionTraffic::recordTokens(const RequestId &id, std::uint64_t tokens, TimePoint now)
{
    const auto found = m_runningAttempts.find(id);
    if (found == m_runningAttempts.end() || found->second.paceRecorded || tokens == 0) {
        return;
    }
    RunningAttempt &attempt = found->second;
    if (!attempt.hasFirstToken) {
        m_counters.recordFirstTokenWait(attempt.key, attempt.firstTokenBoundsPassed, now - attempt.sentAt);
        attempt.hasFirstToken = true;
        attempt.firstTokenAt = now;
    }
    if (tokens > PaceSampleTokens) {
        recordPace(attempt, tokens, now);
    }
}

void VersionTraffic::recordPace(RunningAttempt &attempt, std::uint64_t tokens, TimePoint now)
{
    attempt.paceRecorded = true;
    if (tokens > 1) {
        m_counters.recordTokenInterval(attempt.key, (now - attempt.firstTokenAt) / static_cast<std::int64_t>(tokens - 1));
    }
}

void VersionTraffic::recordAttemptEnd(const RequestId &id, AttemptResult::Kind kind, TimePoint deadline, TimePoint now)
{
    const auto found = m_runningAttempts.find(id);
    if (found == m_runningAttempts.end()) {
        return;
    }
    const OutcomeKey &key = found->second.key;
    OutcomeCounts &counts = m_counters.ended(key);
    switch (kind) {
    case AttemptResult::Kind::Completed:
        ++(now <= deadline ? counts.onTime : counts.late);
        break;
    case AttemptResult::Kind::NotRun:
        ++counts.refused;
        break;
    case AttemptResult::Kind::Failed:
        ++counts.failed;
        break;
    case AttemptResult::Kind::Lost:
        ++counts.unknown;
        break;
    }
    if (kind != AttemptResult::Kind::NotRun) {
        m_router.ended(key.service, key.version, kind != AttemptResult::Kind::Completed, now);
    }
    removeAttempt(found);
}

void VersionTraffic::recordRequestEnd(const CallerRequest &request, RequestEnd end)
{
    OutcomeCounts &counts
        = m_counters.ended(OutcomeKey{.service = request.service, .version = {}, .route = {}, .lengthClass = 0, .loadClass = 0, .tier = request.rank});
    switch (end) {
    case RequestEnd::OnTime:
        ++counts.onTime;
        break;
    case RequestEnd::Late:
        ++counts.late;
        break;
    case RequestEnd::Failed:
        ++counts.failed;
        break;
    case RequestEnd::Refused:
        ++counts.refused;
        break;
    case RequestEnd::Unknown:
        ++counts.unknown;
        break;
    }
    const auto found = m_runningAttempts.find(request.id);
    if (found != m_runningAttempts.end()) {
        removeAttempt(found);
    }
}

void VersionTraffic::removeAttempt(std::map<RequestId, RunningAttempt>::iterator attempt)
{
    std::uint32_t &inFlight = m_inFlight[attempt->second.upstream];
    inFlight -= std::min<std::uint32_t>(1, inFlight);
    m_runningAttempts.erase(attempt);
}

v1::OutcomeReport VersionTraffic::outcomeReport(TimePoint now)
{
    for (auto &[id, attempt] : m_runningAttempts) {
        if (!attempt.hasFirstToken) {
            m_counters.recordFirstTokenWait(attempt.key, attempt.firstTokenBoundsPassed, now - attempt.sentAt);
        }
    }
    return toWire(m_vm, m_incarnation, ++m_sequence, m_counters.counts());
}

}
