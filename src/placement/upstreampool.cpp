#include "placement/upstreampool.h"

#include "common/hash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cumindyke
{

namespace
{

/// A request leaves its data centre only if the local answer would take longer by this factor: traffic between data centres has a price.
constexpr double RemotePenalty = 1.4;
/// Slowdown of a first event on an engine whose slots are all in use: its batch alternates with the prefill of prompts.
constexpr double LoadWeight = 0.5;
/// Share of the longest allowed pause that may be used; the rest is for streams that pause longer than most.
constexpr double MaxPauseRatio = 0.7;
/// Maximum concurrent requests at an upstream of unknown pace.
constexpr std::uint32_t MaxRequestsOnUnmeasured = 3;
/// A server with any requests sends a notice every 30 ms. The load of a server that timed out is reported by its successor.
constexpr Duration NoticeTimeout = std::chrono::milliseconds(400);
/// The load of each upstream with requests is repeated at least once in this many notices, or backup notices, for receivers that missed a notice or
/// are new. A notice of all loads would not fit in a datagram.
constexpr std::uint64_t NoticeSlices = 16;
constexpr std::uint64_t BackupNoticeSlices = 4;
/// Exceeds the number of notices after which a load is repeated to a backup.
constexpr std::uint64_t MaxNoticesWithoutLoad = 100;
/// Weight of the newest observation: about the last ten count.
constexpr double PaceWeight = 0.1;
constexpr Duration MinEjectionTime = std::chrono::milliseconds(200);
constexpr Duration MaxEjectionTime = std::chrono::seconds(4);
/// A single failure may be chance; this many in a row eject an upstream.
constexpr int FailuresBeforeEjection = 2;
constexpr Duration RefusalEjectionTime = std::chrono::milliseconds(100);
/// The platform's list shows the new owner of an address within this time.
constexpr Duration MisdirectionEjectionTime = std::chrono::seconds(3);

}

void UpstreamPool::setList(const std::vector<UpstreamInstance> &instances, TimePoint now)
{
    std::map<InstanceName, Upstream> next;
    addInstances(next, instances, now);
    m_listInParts = false;
    replaceUpstreams(std::move(next));
}

void UpstreamPool::setListPart(const DataCentreName &dataCentre, const std::vector<UpstreamInstance> &instances, TimePoint now)
{
    std::map<InstanceName, Upstream> next;
    for (const auto &[name, upstream] : m_upstreams) {
        if (upstream.instance.dataCentre != dataCentre) {
            next.emplace_hint(next.end(), name, upstream);
        }
    }
    addInstances(next, instances, now);
    m_listInParts = true;
    replaceUpstreams(std::move(next));
}

void UpstreamPool::addInstances(std::map<InstanceName, Upstream> &next, const std::vector<UpstreamInstance> &instances, TimePoint now)
{
    for (const UpstreamInstance &instance : instances) {
        const auto known = m_upstreams.find(instance.name);
        const bool isSameProcess
            = known != m_upstreams.end() && known->second.instance.startedAtMs == instance.startedAtMs && known->second.instance.address == instance.address;
        if (known != m_upstreams.end() && !isSameProcess) {
            m_requestRates.forget(instance.name);
        }
        Upstream upstream = isSameProcess ? known->second : Upstream{};
        // Requests in flight are released by name, whichever process they were sent to.
        upstream.ownLoad = known == m_upstreams.end() ? Load{} : known->second.ownLoad;
        upstream.instance = instance;
        upstream.isRemote = instance.dataCentre != m_localDataCentre;
        upstream.lastListedAt = now;
        upstream.sliceHash = checksum(instance.name.value);
        next.insert_or_assign(instance.name, std::move(upstream));
    }
}

void UpstreamPool::replaceUpstreams(std::map<InstanceName, Upstream> &&next)
{
    m_upstreams.swap(next);
    m_upstreamsByService.clear();
    for (const auto &[name, upstream] : m_upstreams) {
        m_upstreamsByService[upstream.instance.service].push_back(&upstream);
    }
    for (auto &[name, upstream] : m_upstreams) {
        upstream.peerLoad = {};
    }
    for (const auto &[vm, peer] : m_peers) {
        addLoads(peer, 1);
    }
}

void UpstreamPool::addLoads(const Peer &peer, int sign)
{
    for (const auto &[name, received] : peer.loads) {
        addLoad(name, received.load, sign);
    }
}

void UpstreamPool::addLoad(const InstanceName &name, const Load &load, int sign)
{
    Upstream *upstream = find(name);
    if (!upstream) {
        return;
    }
    if (sign > 0) {
        upstream->peerLoad.requests += load.requests;
        upstream->peerLoad.tokens += load.tokens;
    } else {
        upstream->peerLoad.requests -= std::min(upstream->peerLoad.requests, load.requests);
        upstream->peerLoad.tokens -= std::min(upstream->peerLoad.tokens, load.tokens);
    }
}

/// Drops loads that the peer has not reported for a long time: they ended, and the notice that reported it was lost.
void UpstreamPool::expireUnreported(Peer &peer)
{
    std::erase_if(peer.loads, [&](const auto &pair) {
        const bool isExpired = peer.sequence - pair.second.sequence > MaxNoticesWithoutLoad;
        if (isExpired) {
            addLoad(pair.first, pair.second.load, -1);
        }
        return isExpired;
    });
}

void UpstreamPool::handleNotice(const VmName &vm, const v1::LoadNotice &notice, TimePoint now)
{
    Peer &peer = m_peers[vm];
    if (notice.incarnation() == peer.incarnation && notice.sequence() <= peer.sequence) {
        return;
    }
    if (notice.incarnation() != peer.incarnation) {
        addLoads(peer, -1);
        peer.loads.clear();
    }
    peer.incarnation = notice.incarnation();
    peer.sequence = notice.sequence();
    peer.lastReceivedAt = now;
    for (const v1::UpstreamLoad &load : notice.loads()) {
        const InstanceName name{load.upstream()};
        ReceivedLoad &received = peer.loads[name];
        addLoad(name, received.load, -1);
        received = ReceivedLoad{.load = {.requests = load.in_flight(), .tokens = load.prompt_tokens()}, .sequence = notice.sequence()};
        addLoad(name, received.load, 1);
        Upstream *upstream = find(name);
        if (upstream && upstream->paceMs == 0) {
            // Adopts the pace measured by the peer, so that a server that has just taken over need not send requests to slow upstreams to
            // measure them.
            upstream->paceMs = load.pace_ms();
        }
    }
    expireUnreported(peer);
}

void UpstreamPool::expireTimedOut(TimePoint now)
{
    m_requestRates.expire(now);
    for (auto &[vm, peer] : m_peers) {
        if (now - peer.lastReceivedAt > NoticeTimeout && !peer.loads.empty()) {
            addLoads(peer, -1);
            peer.loads.clear();
        }
    }
}

bool UpstreamPool::isUsable(const Upstream &upstream, TimePoint now) const
{
    const bool isStale = m_listInParts && upstream.isRemote && m_listReadable && now - upstream.lastListedAt > MaxListAge;
    // A limited upstream is left to the placement server of its own data centre, which alone can keep to the limit.
    const bool isLeftToOthers = upstream.isRemote && m_requestRates.isLimited(upstream.instance.name);
    return !isStale && !isLeftToOthers && !upstream.instance.draining && now >= upstream.ejectedUntil;
}

bool UpstreamPool::isEligible(const Upstream &upstream, const PlacementQuery &query, TimePoint now) const
{
    if (!isUsable(upstream, now) || query.tried.contains(upstream.instance.name)) {
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

double UpstreamPool::fastestPace(const ServiceName &service) const
{
    double fastestPaceMs = std::numeric_limits<double>::max();
    for (const Upstream *upstream : upstreamsOf(service)) {
        fastestPaceMs = upstream->paceMs > 0 ? std::min(fastestPaceMs, upstream->paceMs) : fastestPaceMs;
    }
    return fastestPaceMs == std::numeric_limits<double>::max() ? 1 : fastestPaceMs;
}

/// An engine processes the prompts that arrived before this one first. A plain upstream slows down as it fills.
double UpstreamPool::predictedMs(const Upstream &upstream, std::uint32_t promptTokens, double fastestPaceMs) const
{
    // An upstream without a measured pace counts as the fastest, so that it gets requests.
    const double paceMs = upstream.paceMs > 0 ? upstream.paceMs : fastestPaceMs;
    const double load = static_cast<double>(upstream.ownLoad.requests + upstream.peerLoad.requests) / upstream.instance.slots;
    const auto model = m_firstEventModels.find(upstream.instance.service);
    if (promptTokens == 0 || model == m_firstEventModels.end()) {
        return paceMs * (1 + load);
    }
    const double pendingTokens = static_cast<double>(upstream.ownLoad.tokens + upstream.peerLoad.tokens);
    const double firstEventMs = model->second.predictedMs(pendingTokens + promptTokens, paceMs / fastestPaceMs);
    return firstEventMs > 0 ? firstEventMs * (1 + LoadWeight * load) : paceMs * (1 + load);
}

/// An upstream without a measured pace counts as the fastest, so that it gets requests. If it were filled before it was measured and were the
/// slowest, its answers would be late, and it would hold requests that others could have served.
bool UpstreamPool::hasFreeSlot(const Upstream &upstream, TimePoint now) const
{
    if (!m_requestRates.maySend(upstream.instance.name, m_requestShare, now)) {
        return false;
    }
    const std::uint32_t requests = upstream.ownLoad.requests + upstream.peerLoad.requests;
    const bool isUnmeasured = upstream.paceMs <= 0 && m_firstEventModels.contains(upstream.instance.service);
    return requests < (isUnmeasured ? std::min(MaxRequestsOnUnmeasured, upstream.instance.slots) : upstream.instance.slots);
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
        if (!isEligible(upstream, query, now) || !hasFreeSlot(upstream, now) || wouldExceedMaxPause(upstream, query, fastestPaceMs)) {
            continue;
        }
        const double responseMs = predictedMs(upstream, query.promptTokens, fastestPaceMs);
        if (mustFinishInTime && !wouldFinishInTime(upstream, query, responseMs, fastestPaceMs)) {
            continue;
        }
        const double score = responseMs * (upstream.isRemote ? RemotePenalty : 1);
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

bool UpstreamPool::hasFreeSlot(const ServiceName &service, TimePoint now) const
{
    return std::ranges::any_of(upstreamsOf(service), [this, now](const Upstream *upstream) { return isUsable(*upstream, now) && hasFreeSlot(*upstream, now); });
}

const std::vector<const UpstreamPool::Upstream *> &UpstreamPool::upstreamsOf(const ServiceName &service) const
{
    static const std::vector<const Upstream *> Empty;
    const auto found = m_upstreamsByService.find(service);
    return found == m_upstreamsByService.end() ? Empty : found->second;
}

UpstreamPool::Upstream *UpstreamPool::find(const InstanceName &name)
{
    const auto found = m_upstreams.find(name);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

void UpstreamPool::acquireSlot(const InstanceName &name, std::uint32_t promptTokens, TimePoint now)
{
    m_requestRates.recordSent(name, m_requestShare, now);
    if (Upstream *upstream = find(name)) {
        ++upstream->ownLoad.requests;
        upstream->ownLoad.tokens += promptTokens;
    }
}

void UpstreamPool::recordPrefillDone(const InstanceName &name, std::uint32_t promptTokens)
{
    if (Upstream *upstream = find(name)) {
        upstream->ownLoad.tokens -= std::min<std::uint64_t>(upstream->ownLoad.tokens, promptTokens);
    }
}

void UpstreamPool::releaseSlot(const InstanceName &name)
{
    Upstream *upstream = find(name);
    if (upstream && upstream->ownLoad.requests > 0) {
        --upstream->ownLoad.requests;
    }
}

void UpstreamPool::recordTrialEnded(const InstanceName &name)
{
    const auto found = m_trials.find(name);
    if (found != m_trials.end() && --found->second == 0) {
        m_trials.erase(found);
    }
}

std::uint64_t UpstreamPool::pendingPromptTokens(const InstanceName &name) const
{
    const auto found = m_upstreams.find(name);
    return found == m_upstreams.end() ? 0 : found->second.ownLoad.tokens + found->second.peerLoad.tokens;
}

void UpstreamPool::recordFirstEvent(const InstanceName &name, double tokens, double milliseconds)
{
    const Upstream *upstream = find(name);
    if (!upstream || upstream->paceMs <= 0) {
        return;
    }
    m_firstEventModels[upstream->instance.service].record(tokens, milliseconds, upstream->paceMs / fastestPace(upstream->instance.service));
}

void UpstreamPool::recordPace(const InstanceName &name, double milliseconds)
{
    if (Upstream *upstream = find(name)) {
        upstream->paceMs = upstream->paceMs == 0 ? milliseconds : (1 - PaceWeight) * upstream->paceMs + PaceWeight * milliseconds;
    }
}

void UpstreamPool::recordEarlyPace(const InstanceName &name, double milliseconds)
{
    Upstream *upstream = find(name);
    if (upstream && upstream->paceMs == 0) {
        upstream->paceMs = milliseconds;
    }
}

bool UpstreamPool::knowsPace(const InstanceName &name) const
{
    const auto found = m_upstreams.find(name);
    return found != m_upstreams.end() && found->second.paceMs > 0;
}

void UpstreamPool::recordPauses(const InstanceName &name, double meanMs, double longestPauseMs)
{
    if (const Upstream *upstream = find(name)) {
        m_pauseRatios[upstream->instance.service].record(meanMs, longestPauseMs);
    }
}

void UpstreamPool::recordSuccess(const InstanceName &name)
{
    if (Upstream *upstream = find(name)) {
        upstream->consecutiveFailures = 0;
    }
}

void UpstreamPool::recordFailure(const InstanceName &name, TimePoint now)
{
    Upstream *upstream = find(name);
    if (!upstream) {
        return;
    }
    ++upstream->consecutiveFailures;
    if (upstream->consecutiveFailures >= FailuresBeforeEjection) {
        const int doublings = std::min(upstream->consecutiveFailures - FailuresBeforeEjection, 6);
        upstream->ejectedUntil = now + std::min<Duration>(MinEjectionTime * (1 << doublings), MaxEjectionTime);
    }
}

void UpstreamPool::recordRefusal(const InstanceName &name, TimePoint now)
{
    if (Upstream *upstream = find(name)) {
        upstream->ejectedUntil = std::max(upstream->ejectedUntil, now + RefusalEjectionTime);
    }
}

void UpstreamPool::recordMisdirection(const InstanceName &name, TimePoint now)
{
    if (Upstream *upstream = find(name)) {
        upstream->ejectedUntil = std::max(upstream->ejectedUntil, now + MisdirectionEjectionTime);
    }
}

std::uint32_t UpstreamPool::inFlight(const InstanceName &name) const
{
    const auto found = m_upstreams.find(name);
    return found == m_upstreams.end() ? 0 : found->second.ownLoad.requests + found->second.peerLoad.requests;
}

bool UpstreamPool::ReportedLoad::markReportedIfDue(const Load &now, bool isTurn)
{
    if (now != load) {
        load = now;
        repeatZero = now == Load{};
        return true;
    }
    return isTurn && (now != Load{} || std::exchange(repeatZero, false));
}

void UpstreamPool::writeNotice(v1::LoadNotice &notice, bool forBackup)
{
    const std::uint64_t sliceHash = notice.sequence() % NoticeSlices;
    m_backupNoticeCount += forBackup ? 1 : 0;
    const std::uint64_t backupSlice = m_backupNoticeCount % BackupNoticeSlices;
    for (auto &[name, upstream] : m_upstreams) {
        bool due = upstream.reported.markReportedIfDue(upstream.ownLoad, upstream.sliceHash % NoticeSlices == sliceHash);
        if (forBackup) {
            const bool isBackupTurn = upstream.sliceHash % BackupNoticeSlices == backupSlice;
            due = upstream.reportedToBackups.markReportedIfDue(upstream.ownLoad, isBackupTurn) || (isBackupTurn && upstream.paceMs > 0) || due;
        }
        if (!due) {
            continue;
        }
        v1::UpstreamLoad &load = *notice.add_loads();
        load.set_upstream(name.value);
        load.set_in_flight(upstream.ownLoad.requests);
        load.set_prompt_tokens(upstream.ownLoad.tokens);
        if (forBackup) {
            load.set_pace_ms(upstream.paceMs);
        }
    }
}

}
