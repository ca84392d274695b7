// UpstreamPool: the choice of the upstream that is predicted to answer first.

#include "placement/upstreampool.h"

#include <algorithm>
#include <limits>

namespace cumindyke
{

namespace
{

/// A request leaves its data centre, which costs traffic, only if the local answer would take longer by this factor.
constexpr double RemotePenalty = 1.4;
/// Slowdown of a first event on an engine whose slots are all in use: its batch alternates with the prefill of prompts.
constexpr double LoadWeight = 0.5;
/// Share of the longest allowed pause that a stream's usual pauses may take: some streams pause for longer.
constexpr double MaxPauseRatio = 0.7;
/// Part of what a cold upstream bears that is left for the requests that other placement servers granted since their last notices.
constexpr double LocalColdReserve = 0.1;
constexpr double RemoteColdReserve = 0.45;
/// Shortest time between two requests of this server to an upstream of another data centre that may be cold. The server there learns of each by a notice,
/// which is under way for less than two such times.
constexpr Duration RemoteGrantInterval = std::chrono::milliseconds(60);
/// Part of a cold upstream's rate that the placement server before this one may have used up in its last second.
constexpr double PredecessorPart = 0.5;
constexpr Duration PredecessorTime = std::chrono::milliseconds(1200);
constexpr Duration MinSlotTime = std::chrono::milliseconds(1);
/// Maximum concurrent requests at an upstream of unknown pace.
constexpr std::uint32_t MaxRequestsOnUnmeasured = 3;

}

bool UpstreamPool::isUsable(const Upstream &upstream, TimePoint now) const
{
    const bool isStale = m_listInParts && upstream.isRemote && m_listReadable && now - upstream.lastListedAt > MaxListAge;
    const bool isLeftToOthers = upstream.isRemote && isLimited(upstream, now);
    const bool isEvacuated = m_evacuated.contains(upstream.instance.dataCentre);
    return !isStale && !isLeftToOthers && !isEvacuated && !upstream.instance.draining && !upstream.isLeaving && now >= upstream.ejectedUntil;
}

/// A limited upstream is left to the placement server of its own data centre, which alone can keep to the limit, or to the slots of a brittle one.
bool UpstreamPool::isLimited(const Upstream &upstream, TimePoint now) const
{
    return upstream.rates->named.isLimited() || (upstream.isCold && upstream.coldRate > 0) || now < upstream.brittleUntil;
}

bool UpstreamPool::isLeft(const Upstream &upstream, const PlacementQuery &query, TimePoint now) const
{
    return upstream.isRemote ? query.isRemoteLeft : query.isLocalLeft && !isLimited(upstream, now);
}

bool UpstreamPool::isInRegions(const Upstream &upstream, const PlacementQuery &query) const
{
    if (!query.homeRegions) {
        return true;
    }
    const auto region = m_options.regions.find(upstream.instance.dataCentre);
    return region != m_options.regions.end() && query.homeRegions->contains(region->second);
}

bool UpstreamPool::mayRunRemotely(const std::optional<std::set<RegionName>> &homeRegions) const
{
    return !homeRegions || std::ranges::any_of(m_options.regions, [&](const auto &pair) {
        const auto &[dataCentre, region] = pair;
        return dataCentre != m_options.localDataCentre && !m_evacuated.contains(dataCentre) && homeRegions->contains(region);
    });
}

UpstreamPool::Obstacle UpstreamPool::obstacleFor(const PlacementQuery &query) const
{
    Obstacle obstacle = Obstacle::None;
    for (const Upstream *upstream : upstreamsOf(query.service)) {
        const bool isAtHome = isInRegions(*upstream, query);
        const bool isEvacuated = m_evacuated.contains(upstream->instance.dataCentre);
        if (isAtHome && !isEvacuated) {
            return Obstacle::None;
        }
        obstacle = !query.homeRegions ? Obstacle::Evacuated : Obstacle::NotAtHome;
    }
    return obstacle;
}

/// An upstream that gets more requests than it bears while cold crashes. It may become cold at any moment, which is known only when the list is read again:
/// until then its requests keep to the most that a cold one bears. One that is known to be cold gets its service's rate, from its own data centre.
bool UpstreamPool::mayGrantWhileCold(const Upstream &upstream, TimePoint now) const
{
    if (upstream.coldRate <= 0) {
        return true;
    }
    if (upstream.isRemote && now - upstream.lastGrantedAt < RemoteGrantInterval) {
        return false;
    }
    const double unknown = now - m_servingSince < PredecessorTime ? PredecessorPart : 0;
    const double most = (upstream.coldRate * m_options.coldRateFactor + m_options.coldRateExtra) * (1 - unknown);
    const double reserve = upstream.isRemote ? RemoteColdReserve : LocalColdReserve;
    // Without a valid time in the list it may be cold.
    const bool mayBeCold = upstream.isCold || !upstream.instance.coldFor;
    const double bound = mayBeCold ? std::min(upstream.coldRate, most * (1 - reserve)) : most * (1 - reserve);
    return upstream.rates->granted.mayGrant(bound * m_requestShare, now);
}

bool UpstreamPool::isEligible(const Upstream &upstream, const PlacementQuery &query, TimePoint now) const
{
    if (!isUsable(upstream, now) || query.tried.contains(upstream.instance.name) || !isInRegions(upstream, query)) {
        return false;
    }
    if (isPaused(upstream, query, now)) {
        return false;
    }
    if (query.isOnTrial && m_trials.contains(upstream.instance.name)) {
        return false;
    }
    if (query.versions.target.value.empty()) {
        return true;
    }
    return (upstream.instance.version == query.versions.target) == query.versions.toTarget;
}

bool UpstreamPool::isPaused(const Upstream &upstream, const PlacementQuery &query, TimePoint now) const
{
    if (!query.pauses || query.pauses->empty()) {
        return false;
    }
    const auto pause = query.pauses->find(processOf(upstream.instance));
    return pause != query.pauses->end() && now < pause->second;
}

Duration UpstreamPool::timeUntilUnpaused(const PlacementQuery &query, TimePoint now) const
{
    std::optional<TimePoint> soonest;
    for (const Upstream *upstream : upstreamsOf(query.service)) {
        if (!isUsable(*upstream, now) || !isInRegions(*upstream, query)) {
            continue;
        }
        if (!isPaused(*upstream, query, now)) {
            return Duration::zero();
        }
        const TimePoint end = query.pauses->at(processOf(upstream->instance));
        soonest = std::min(soonest.value_or(end), end);
    }
    return soonest ? *soonest - now : Duration::zero();
}

double UpstreamPool::fastestPace(const ServiceName &service) const
{
    double fastestPaceMs = std::numeric_limits<double>::max();
    for (const Upstream *upstream : upstreamsOf(service)) {
        fastestPaceMs = upstream->paceMs > 0 ? std::min(fastestPaceMs, upstream->paceMs) : fastestPaceMs;
    }
    return fastestPaceMs == std::numeric_limits<double>::max() ? 1 : fastestPaceMs;
}

/// An upstream that was slow once would otherwise get no request, and never be measured again, as long as the others have room. Those of another data
/// centre are measured there.
bool UpstreamPool::isPaceExpired(const Upstream &upstream, TimePoint now) const
{
    return !upstream.isRemote && upstream.paceExpiresAt && now >= *upstream.paceExpiresAt;
}

/// An engine processes the prompts that arrived before this one first. A plain upstream slows down as it fills.
double UpstreamPool::predictedMs(const Upstream &upstream, double paceMs, std::uint32_t promptTokens, double fastestPaceMs) const
{
    const double load = static_cast<double>(upstream.ownLoad.requests + upstream.peerLoad.requests) / upstream.instance.slots;
    const auto model = m_firstEventModels.find(upstream.instance.service);
    if (promptTokens == 0 || model == m_firstEventModels.end()) {
        return paceMs * (1 + load);
    }
    const double pendingTokens = static_cast<double>(upstream.ownLoad.tokens + upstream.peerLoad.tokens);
    const double firstEventMs = model->second.predictedMs(pendingTokens + promptTokens, paceMs / fastestPaceMs);
    return firstEventMs > 0 ? firstEventMs * (1 + LoadWeight * load) : paceMs * (1 + load);
}

/// The slots of a brittle upstream are shared by all servers that place requests: if each of them filled it, it would refuse, and crash.
std::uint32_t UpstreamPool::usableSlots(const Upstream &upstream, TimePoint now) const
{
    const std::uint32_t slots = upstream.instance.slots;
    return now < upstream.brittleUntil ? std::max<std::uint32_t>(1, static_cast<std::uint32_t>(slots * m_requestShare)) : slots;
}

/// An upstream without a measured pace counts as the fastest, so that it gets requests. If it were filled before it was measured and were the
/// slowest, its answers would be late, and it would hold requests that others could have served.
std::uint32_t UpstreamPool::freeSlots(const Upstream &upstream, TimePoint now) const
{
    const std::uint32_t requests = upstream.ownLoad.requests + upstream.peerLoad.requests;
    const bool isUnmeasured = upstream.paceMs <= 0 && m_firstEventModels.contains(upstream.instance.service);
    const std::uint32_t slots = usableSlots(upstream, now);
    const std::uint32_t bound = isUnmeasured ? std::min(MaxRequestsOnUnmeasured, slots) : slots;
    return bound - std::min(bound, requests);
}

bool UpstreamPool::hasFreeSlot(const Upstream &upstream, TimePoint now) const
{
    return freeSlots(upstream, now) > 0 && upstream.rates->named.maySend(m_requestShare, now) && mayGrantWhileCold(upstream, now);
}

/// Returns whether the whole answer is likely to arrive before its deadline. A long answer on a slow engine is not: its caller would get nothing, and
/// it would occupy a slot for all that time.
bool UpstreamPool::wouldFinishInTime(const Upstream &upstream, const PlacementQuery &query, double firstEventMs, double fastestPaceMs) const
{
    if (query.timeToDeadline <= Duration::zero() || query.expectedEvents == 0) {
        return true;
    }
    const double paceMs = upstream.paceMs > 0 ? upstream.paceMs : fastestPaceMs;
    const double remainingMs = std::chrono::duration<double, std::milli>(query.timeToDeadline).count();
    return firstEventMs + paceMs * query.expectedEvents <= remainingMs;
}

/// Returns whether any upstream would finish the answer in time when idle, so that waiting for another upstream may help.
bool UpstreamPool::anyWouldFinishInTime(const PlacementQuery &query, double fastestPaceMs, TimePoint now) const
{
    return std::ranges::any_of(upstreamsOf(query.service), [&](const Upstream *upstream) {
        return isEligible(*upstream, query, now) && wouldFinishInTime(*upstream, query, 0, fastestPaceMs);
    });
}

/// An engine processes new prompts between the steps of its running streams, which pause for the duration of the prefill or of its chunks between two
/// events, whichever is shorter. On engines several times slower than the others this pause makes all their streams late.
bool UpstreamPool::wouldExceedMaxPause(const Upstream &upstream, const PlacementQuery &query, double fastestPaceMs) const
{
    const auto model = m_firstEventModels.find(upstream.instance.service);
    const auto pauses = m_pauseRatios.find(upstream.instance.service);
    const bool isIdle = upstream.ownLoad.requests + upstream.peerLoad.requests == 0;
    if (query.maxPauseMs <= 0 || isIdle || upstream.paceMs <= 0 || model == m_firstEventModels.end() || pauses == m_pauseRatios.end()) {
        return false;
    }
    const double pendingTokens = static_cast<double>(upstream.ownLoad.tokens + upstream.peerLoad.tokens + query.promptTokens);
    const double prefillMs = model->second.predictedPrefillMs(pendingTokens, upstream.paceMs / fastestPaceMs);
    const double maxExtraPauseMs = std::max(pauses->second.ratio() - 1, 0.0) * upstream.paceMs;
    return upstream.paceMs + std::min(prefillMs, maxExtraPauseMs) > MaxPauseRatio * query.maxPauseMs;
}

Placement UpstreamPool::choose(const PlacementQuery &query, TimePoint now) const
{
    const double fastestPaceMs = fastestPace(query.service);
    // An answer that no upstream would finish in time is placed anyway, since the estimate may be wrong.
    const bool mustFinishInTime = anyWouldFinishInTime(query, fastestPaceMs, now);
    const Upstream *best = nullptr;
    double bestMs = 0;
    double bestScore = std::numeric_limits<double>::max();
    for (const Upstream *candidate : upstreamsOf(query.service)) {
        const Upstream &upstream = *candidate;
        if (!hasFreeSlot(upstream, now) || isLeft(upstream, query, now) || !isEligible(upstream, query, now)
            || wouldExceedMaxPause(upstream, query, fastestPaceMs)) {
            continue;
        }
        // An upstream without a measured pace counts as the fastest, so that it gets requests.
        const double paceMs = upstream.paceMs > 0 ? upstream.paceMs : fastestPaceMs;
        const double responseMs = predictedMs(upstream, paceMs, query.promptTokens, fastestPaceMs);
        if (mustFinishInTime && !wouldFinishInTime(upstream, query, responseMs, fastestPaceMs)) {
            continue;
        }
        const double scoredMs = isPaceExpired(upstream, now) ? predictedMs(upstream, fastestPaceMs, query.promptTokens, fastestPaceMs) : responseMs;
        const double score = scoredMs * (upstream.isRemote ? RemotePenalty : 1);
        if (score < bestScore) {
            bestScore = score;
            bestMs = responseMs;
            best = &upstream;
        }
    }
    if (!best) {
        return Placement{.remoteMayHelp = true};
    }
    const auto model = m_firstEventModels.find(query.service);
    const bool isEngine = query.promptTokens > 0 && model != m_firstEventModels.end();
    const double idleMs = isEngine ? model->second.predictedMs(query.promptTokens, 1) : 0;
    const double soonestMs = idleMs > 0 ? idleMs : fastestPaceMs;
    return Placement{
        .upstream = &best->instance,
        .predictedTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(bestMs)),
        .remoteMayHelp = best->isRemote || bestMs > RemotePenalty * soonestMs,
    };
}

Duration UpstreamPool::idleFirstEventTime(const ServiceName &service, std::uint32_t promptTokens) const
{
    const auto model = m_firstEventModels.find(service);
    const double ms = promptTokens == 0 || model == m_firstEventModels.end() ? 0 : model->second.predictedMs(promptTokens, 1);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

const UpstreamPool::MeanPace &UpstreamPool::meanPace(const ServiceName &service)
{
    const auto [mean, isMissing] = m_meanPaces.try_emplace(service);
    if (isMissing) {
        double sum = 0;
        std::uint32_t known = 0;
        for (const Upstream *upstream : upstreamsOf(service)) {
            sum += upstream->paceMs;
            known += upstream->paceMs > 0 ? 1 : 0;
        }
        if (known > 0) {
            mean->second.milliseconds = sum / known;
            mean->second.slowness = mean->second.milliseconds / fastestPace(service);
        }
    }
    return mean->second;
}

Duration UpstreamPool::expectedSlotTime(const ServiceName &service, std::uint32_t promptTokens, std::uint32_t expectedEvents)
{
    const MeanPace &pace = meanPace(service);
    const auto times = m_answerTimes.find(service);
    const double plainMs = times != m_answerTimes.end() && times->second.value() > 0 ? times->second.value() : pace.milliseconds;
    const auto model = m_firstEventModels.find(service);
    const double firstEventMs = model == m_firstEventModels.end() ? 0 : model->second.predictedMs(promptTokens, pace.slowness);
    const double ms = promptTokens == 0 ? plainMs : firstEventMs + pace.milliseconds * expectedEvents;
    // Never zero: before anything is learned, requests count alike.
    return std::max<Duration>(std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms)), MinSlotTime);
}

Duration UpstreamPool::likelyAnswerTime(const ServiceName &service, std::uint32_t promptTokens) const
{
    const auto times = m_answerTimes.find(service);
    const double observed = times == m_answerTimes.end() ? 0 : times->second.value();
    const Duration idle = idleFirstEventTime(service, promptTokens);
    if (promptTokens > 0) {
        return observed > 1 ? std::chrono::duration_cast<Duration>(idle * observed) : idle;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(observed));
}

bool UpstreamPool::hasFreeSlot(const ServiceName &service, TimePoint now) const
{
    return std::ranges::any_of(upstreamsOf(service), [this, now](const Upstream *upstream) { return isUsable(*upstream, now) && hasFreeSlot(*upstream, now); });
}

UpstreamPool::FreeSlots UpstreamPool::freeSlots(const ServiceName &service, TimePoint now) const
{
    FreeSlots free;
    for (const Upstream *upstream : upstreamsOf(service)) {
        if (!isUsable(*upstream, now) || !hasFreeSlot(*upstream, now)) {
            continue;
        }
        std::uint32_t &count = upstream->isRemote ? free.remote : isLimited(*upstream, now) ? free.unshared : free.shared;
        count += freeSlots(*upstream, now);
    }
    return free;
}

const std::vector<const UpstreamPool::Upstream *> &UpstreamPool::upstreamsOf(const ServiceName &service) const
{
    static const std::vector<const Upstream *> Empty;
    const auto found = m_upstreamsByService.find(service);
    return found == m_upstreamsByService.end() ? Empty : found->second;
}

}
