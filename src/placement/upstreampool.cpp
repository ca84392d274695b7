#include "placement/upstreampool.h"

#include "common/hash.h"

#include <algorithm>
#include <utility>

namespace cumindyke
{

namespace
{

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
/// An upstream that is slow for good gets one request in this time, beside those for which the others have no room.
constexpr Duration MaxPaceAge = std::chrono::seconds(15);
constexpr Duration MinEjectionTime = std::chrono::milliseconds(200);
constexpr Duration MaxEjectionTime = std::chrono::seconds(4);
/// A single failure may be chance; this many in a row eject an upstream.
constexpr int FailuresBeforeEjection = 2;
constexpr Duration RefusalEjectionTime = std::chrono::milliseconds(100);
/// A brittle upstream counts its refusals over a second.
constexpr Duration BrittleEjectionTime = std::chrono::milliseconds(1200);
/// Brittle upstreams say so in all their answers.
constexpr Duration BrittleTime = std::chrono::seconds(3);
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
    const auto isKnownProcess = [this](const UpstreamInstance &instance) {
        const auto known = m_upstreams.find(instance.name);
        return known != m_upstreams.end() && known->second.instance.startedAtMs == instance.startedAtMs && known->second.instance.address == instance.address;
    };
    std::set<InstanceName> stillListed;
    for (const UpstreamInstance &instance : instances) {
        if (isKnownProcess(instance)) {
            stillListed.insert(instance.name);
        }
    }
    for (const UpstreamInstance &instance : instances) {
        const auto known = m_upstreams.find(instance.name);
        const bool isSameProcess = isKnownProcess(instance);
        if (!isSameProcess && stillListed.contains(instance.name)) {
            // Another program repeated the name: its entry must not replace the process that runs requests.
            continue;
        }
        if (known != m_upstreams.end() && !isSameProcess) {
            m_requestRates.forget(instance.name);
        }
        Upstream upstream = isSameProcess ? known->second : Upstream{};
        // Requests in flight are released by name, whichever process they were sent to.
        if (known != m_upstreams.end()) {
            upstream.ownLoad = known->second.ownLoad;
        } else if (auto unlisted = m_unlistedLoads.extract(instance.name)) {
            upstream.ownLoad = unlisted.mapped();
        }
        upstream.instance = instance;
        upstream.isRemote = instance.dataCentre != m_options.localDataCentre;
        upstream.lastListedAt = now;
        upstream.coldUntil = now + instance.coldFor.value_or(Duration::zero());
        updateCold(upstream, now);
        upstream.sliceHash = checksum(instance.name.value);
        upstream.rates = m_requestRates.ratesOf(instance.name);
        upstream.coldRate = coldRateOf(instance.service);
        next.insert_or_assign(instance.name, std::move(upstream));
    }
}

void UpstreamPool::setRoutes(const v1::RouteTable &routes)
{
    m_coldRates.clear();
    for (const v1::RoutedService &service : routes.services()) {
        if (service.cold_rate_per_s() > 0) {
            m_coldRates[ServiceName{service.name()}] = service.cold_rate_per_s();
        }
    }
    for (auto &[name, upstream] : m_upstreams) {
        upstream.coldRate = coldRateOf(upstream.instance.service);
    }
}

double UpstreamPool::coldRateOf(const ServiceName &service) const
{
    const auto rate = m_coldRates.find(service);
    return rate == m_coldRates.end() ? 0 : rate->second;
}

/// A pace that was measured on a cold upstream is used while it is cold, and is not taken for its pace afterwards.
void UpstreamPool::updateCold(Upstream &upstream, TimePoint now)
{
    const bool isCold = now < upstream.coldUntil;
    if (isCold && !upstream.isCold) {
        upstream.warmPaceMs = upstream.isColdPace ? upstream.warmPaceMs : upstream.paceMs;
    }
    if (!isCold && upstream.isCold && upstream.warmPaceMs > 0) {
        upstream.paceMs = upstream.warmPaceMs;
        upstream.isColdPace = false;
    }
    upstream.isCold = isCold;
}

void UpstreamPool::replaceUpstreams(std::map<InstanceName, Upstream> &&next)
{
    m_upstreams.swap(next);
    m_meanPaces.clear();
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

std::optional<std::map<ServiceName, std::uint64_t>> UpstreamPool::handleNotice(const VmName &vm, const v1::LoadNotice &notice, TimePoint now)
{
    Peer &peer = m_peers[vm];
    if (notice.incarnation() == peer.incarnation && notice.sequence() <= peer.sequence) {
        return {};
    }
    std::map<ServiceName, std::uint64_t> placedLocally;
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
        // Without an earlier notice, the requests in flight are those that were granted lately.
        const std::uint64_t grantedBefore = received.granted.value_or(load.granted() - std::min<std::uint64_t>(load.granted(), load.in_flight()));
        if (load.granted() > grantedBefore) {
            m_requestRates.recordSentElsewhere(name, load.granted() - grantedBefore, now);
        }
        received
            = ReceivedLoad{.load = {.requests = load.in_flight(), .tokens = load.prompt_tokens()}, .sequence = notice.sequence(), .granted = load.granted()};
        addLoad(name, received.load, 1);
        Upstream *upstream = find(name);
        if (upstream && !upstream->isRemote && load.granted() > grantedBefore) {
            placedLocally[upstream->instance.service] += load.granted() - grantedBefore;
        }
        if (upstream && upstream->paceMs == 0) {
            // Adopts the pace measured by the peer, so that a server that has just taken over need not send requests to slow upstreams to
            // measure them.
            upstream->paceMs = load.pace_ms();
            upstream->paceExpiresAt = now + MaxPaceAge;
        }
    }
    expireUnreported(peer);
    return placedLocally;
}

void UpstreamPool::expireTimedOut(TimePoint now)
{
    m_requestRates.expire(now);
    m_meanPaces.clear();
    for (auto &[name, upstream] : m_upstreams) {
        updateCold(upstream, now);
    }
    for (auto &[vm, peer] : m_peers) {
        if (now - peer.lastReceivedAt > NoticeTimeout && !peer.loads.empty()) {
            addLoads(peer, -1);
            peer.loads.clear();
        }
    }
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
        ++upstream->granted;
        upstream->lastGrantedAt = now;
        upstream->isOldPace = upstream->isOldPace || isPaceExpired(*upstream, now);
        upstream->paceExpiresAt = now + MaxPaceAge;
        ++upstream->ownLoad.requests;
        upstream->ownLoad.tokens += promptTokens;
        if (upstream->hasRefused && now < upstream->brittleUntil) {
            // This request shows whether it has room again.
            upstream->ejectedUntil = std::max(upstream->ejectedUntil, now + BrittleEjectionTime);
        }
    } else if (m_options.countsUnlisted) {
        Load &load = m_unlistedLoads[name];
        ++load.requests;
        load.tokens += promptTokens;
    }
}

void UpstreamPool::recordPrefillDone(const InstanceName &name, std::uint32_t promptTokens)
{
    if (Upstream *upstream = find(name)) {
        upstream->ownLoad.tokens -= std::min<std::uint64_t>(upstream->ownLoad.tokens, promptTokens);
    } else if (const auto unlisted = m_unlistedLoads.find(name); unlisted != m_unlistedLoads.end()) {
        unlisted->second.tokens -= std::min<std::uint64_t>(unlisted->second.tokens, promptTokens);
    }
}

void UpstreamPool::releaseSlot(const InstanceName &name)
{
    Upstream *upstream = find(name);
    if (upstream && upstream->ownLoad.requests > 0) {
        --upstream->ownLoad.requests;
    }
    const auto unlisted = m_unlistedLoads.find(name);
    if (!upstream && unlisted != m_unlistedLoads.end() && --unlisted->second.requests == 0) {
        m_unlistedLoads.erase(unlisted);
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
    if (!upstream || upstream->paceMs <= 0 || upstream->isCold) {
        return;
    }
    m_firstEventModels[upstream->instance.service].record(tokens, milliseconds, upstream->paceMs / fastestPace(upstream->instance.service));
}

void UpstreamPool::recordAnswerTime(const ServiceName &service, std::uint32_t promptTokens, double milliseconds)
{
    const double idleMs = std::chrono::duration<double, std::milli>(idleFirstEventTime(service, promptTokens)).count();
    if (promptTokens > 0 && idleMs <= 0) {
        return;
    }
    m_answerTimes[service].record(promptTokens > 0 ? milliseconds / idleMs : milliseconds);
}

void UpstreamPool::recordPace(const InstanceName &name, double milliseconds)
{
    if (Upstream *upstream = find(name)) {
        const bool isFirst = upstream->paceMs == 0 || upstream->isOldPace || (upstream->isColdPace && !upstream->isCold);
        upstream->paceMs = isFirst ? milliseconds : (1 - PaceWeight) * upstream->paceMs + PaceWeight * milliseconds;
        upstream->isOldPace = false;
        upstream->isColdPace = upstream->isCold;
    }
}

void UpstreamPool::recordEarlyPace(const InstanceName &name, double milliseconds)
{
    Upstream *upstream = find(name);
    if (upstream && upstream->paceMs == 0) {
        upstream->paceMs = milliseconds;
        upstream->isColdPace = upstream->isCold;
    }
}

bool UpstreamPool::knowsPace(const InstanceName &name) const
{
    const auto found = m_upstreams.find(name);
    return found != m_upstreams.end() && found->second.paceMs > 0;
}

void UpstreamPool::recordPauses(const InstanceName &name, double meanMs, double longestPauseMs)
{
    const Upstream *upstream = find(name);
    if (upstream && !upstream->isCold) {
        m_pauseRatios[upstream->instance.service].record(meanMs, longestPauseMs);
    }
}

void UpstreamPool::recordSuccess(const InstanceName &name)
{
    if (Upstream *upstream = find(name)) {
        upstream->consecutiveFailures = 0;
        upstream->hasRefused = false;
    }
}

bool UpstreamPool::recordFailure(const InstanceName &name, TimePoint now)
{
    Upstream *upstream = find(name);
    if (!upstream) {
        return false;
    }
    ++upstream->consecutiveFailures;
    if (upstream->consecutiveFailures >= FailuresBeforeEjection) {
        const int doublings = std::min(upstream->consecutiveFailures - FailuresBeforeEjection, 6);
        upstream->ejectedUntil = now + std::min<Duration>(MinEjectionTime * (1 << doublings), MaxEjectionTime);
    }
    return upstream->consecutiveFailures == FailuresBeforeEjection;
}

bool UpstreamPool::recordUnreachable(const InstanceName &name, const VmName &vm, TimePoint now)
{
    Upstream *upstream = find(name);
    if (!upstream) {
        return false;
    }
    const bool isRepeated = upstream->consecutiveFailures > 0 && upstream->unreachableFrom == vm;
    upstream->unreachableFrom = vm;
    return !isRepeated && recordFailure(name, now);
}

void UpstreamPool::recordRefusal(const InstanceName &name, TimePoint now)
{
    if (Upstream *upstream = find(name)) {
        upstream->hasRefused = true;
        const Duration time = now < upstream->brittleUntil ? BrittleEjectionTime : RefusalEjectionTime;
        upstream->ejectedUntil = std::max(upstream->ejectedUntil, now + time);
    }
}

void UpstreamPool::recordLeaving(const UpstreamProcess &process)
{
    Upstream *upstream = find(process.name);
    if (upstream && processOf(upstream->instance) == process) {
        upstream->isLeaving = true;
    }
}

void UpstreamPool::recordBrittle(const UpstreamProcess &process, TimePoint now)
{
    Upstream *upstream = find(process.name);
    if (upstream && processOf(upstream->instance) == process) {
        upstream->brittleUntil = now + BrittleTime;
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
        load.set_granted(upstream.granted);
        if (forBackup) {
            load.set_pace_ms(upstream.paceMs);
        }
    }
}

}
