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

constexpr std::uint32_t LoadClasses = 4;

}

VersionTraffic::VersionTraffic(VmName vm, std::string incarnation, Metrics &metrics)
    : m_vm(std::move(vm))
    , m_incarnation(std::move(incarnation))
    , m_metrics(metrics)
{
}

void VersionTraffic::setMoves(const std::vector<v1::Move> &moves, const Declarations &declarations)
{
    std::vector<Move> parsed;
    for (const v1::Move &wire : moves) {
        parsed.push_back(fromWire(wire));
        note(parsed.back());
    }
    m_resting = cumindyke::excludedUpstreams(declarations, parsed);
    m_router.setMoves(parsed);
}

/// A line when a move's state changes, and its share as a metric; a state that was there before this VM's start gets a line too.
void VersionTraffic::note(const Move &move)
{
    m_metrics
        .gauge("cumindyke_move_share_ratio",
               "Share of the service's requests that the move's new version may get",
               {{"service", move.service.value}, {"from", move.from.value}, {"to", move.to.value}})
        .set(static_cast<double>(move.share.value) / WholeShare.value);
    const auto [known, isNew] = m_states.try_emplace(move.name, move.state);
    if (!isNew && known->second == move.state) {
        return;
    }
    known->second = move.state;
    m_metrics.counter("cumindyke_move_states_total", "States that moves came into", {{"service", move.service.value}, {"state", toString(move.state)}}).add();
    std::string change = std::string("move-") + toString(move.state);
    std::ranges::replace(change, ' ', '-');
    logChange("move", change, {{"move", move.name.value}, {"from", move.from.value}, {"to", move.to.value}, {"reason", move.reason}});
}

VersionName VersionTraffic::choose(const CallerRequest &request, TimePoint now) const
{
    return m_router.choose(request.service, VersionName{}, request.id, !request.idempotencyKey.empty(), now);
}

VersionName VersionTraffic::confirm(const Service &service, const VersionName &meant, TimePoint now) const
{
    const Move *move = m_router.openMove(service.name);
    return move && move->to == meant && !m_router.isTripped(service.name, now) ? meant : service.version;
}

void VersionTraffic::sent(const CallerRequest &request, const Upstream &upstream, TimePoint now)
{
    std::uint32_t &inFlight = m_inFlight[upstream.name];
    const std::uint32_t load = LoadClasses * inFlight / std::max<std::uint32_t>(1, upstream.slots);
    Running running{
        .key = OutcomeKey{.service = request.service,
                          .version = upstream.version,
                          .route = request.route,
                          .lengthClass = static_cast<std::uint8_t>(std::bit_width(std::max<std::uint32_t>(1, request.answerTokens.value) - 1)),
                          .loadClass = static_cast<std::uint8_t>(std::min(LoadClasses - 1, load)),
                          .tier = request.rank},
        .upstream = upstream.name,
        .sentAt = now,
    };
    ++inFlight;
    m_counters.sent(running.key);
    m_running.insert_or_assign(request.id, std::move(running));
}

void VersionTraffic::tokensCame(const RequestId &id, std::uint64_t tokens, TimePoint now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end() || found->second.hasPace || tokens == 0) {
        return;
    }
    Running &running = found->second;
    if (!running.hasFirstToken) {
        m_counters.recordFirstTokenWait(running.key, running.passed, now - running.sentAt);
        running.hasFirstToken = true;
        running.firstTokenAt = now;
    }
    if (tokens > PaceSampleTokens) {
        countPace(running, tokens, now);
    }
}

void VersionTraffic::countPace(Running &running, std::uint64_t tokens, TimePoint now)
{
    running.hasPace = true;
    if (tokens > 1) {
        m_counters.recordTokenInterval(running.key, (now - running.firstTokenAt) / static_cast<std::int64_t>(tokens - 1));
    }
}

void VersionTraffic::ended(const RequestId &id, RunResult::Kind kind, TimePoint deadline, TimePoint now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    const OutcomeKey &key = found->second.key;
    OutcomeCounts &counts = m_counters.ended(key);
    switch (kind) {
    case RunResult::Kind::Whole:
        ++(now <= deadline ? counts.onTime : counts.late);
        break;
    case RunResult::Kind::NotRun:
        ++counts.refused;
        break;
    case RunResult::Kind::Failed:
        ++counts.failed;
        break;
    case RunResult::Kind::Lost:
        ++counts.unknown;
        break;
    }
    if (kind != RunResult::Kind::NotRun) {
        m_router.ended(key.service, key.version, kind != RunResult::Kind::Whole, now);
    }
    forget(found);
}

void VersionTraffic::finished(const CallerRequest &request, RequestEnd end)
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
    const auto found = m_running.find(request.id);
    if (found != m_running.end()) {
        forget(found);
    }
}

void VersionTraffic::forget(std::map<RequestId, Running>::iterator running)
{
    std::uint32_t &inFlight = m_inFlight[running->second.upstream];
    inFlight -= std::min<std::uint32_t>(1, inFlight);
    m_running.erase(running);
}

v1::OutcomeReport VersionTraffic::report(TimePoint now)
{
    for (auto &[id, running] : m_running) {
        if (!running.hasFirstToken) {
            m_counters.recordFirstTokenWait(running.key, running.passed, now - running.sentAt);
        }
    }
    return toWire(m_vm, m_incarnation, ++m_sequence, m_counters.counts());
}

}
