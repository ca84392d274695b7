#include "placement/upstreampool.h"

#include "common/hash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cumindyke
{

namespace
{

/// How much longer an answer may take before a request leaves its data centre: traffic between data centres has a price.
constexpr double FartherFactor = 1.4;
/// How much longer a first event takes on an engine whose places are all taken: its batch takes turns with the reading of prompts.
constexpr double LoadWeight = 0.5;
/// Of the longest allowed pause; the rest is for streams that pause longer than most.
constexpr double PausePart = 0.7;
/// Requests that an upstream of unknown speed gets at a time.
constexpr std::uint32_t MostOnUntried = 3;
/// A server that has anything under way sends a notice every 30 ms. What one that is gone had given out is told by its successor.
constexpr Duration NoticeHolds = std::chrono::milliseconds(400);
/// Of an upstream with requests, each load is told again after so many notices at the latest, and to backups after so many of theirs: for those that
/// missed a notice, or are new. A notice of everything would not fit in a datagram.
constexpr std::uint64_t Slices = 16;
constexpr std::uint64_t BackupSlices = 4;
/// More than a backup waits for a load to be told again.
constexpr std::uint64_t NoticesBeforeForgotten = 100;
/// Weight of the newest observation: about the last ten count.
constexpr double PaceWeight = 0.1;
constexpr Duration FirstRest = std::chrono::milliseconds(200);
constexpr Duration LongestRest = std::chrono::seconds(4);
/// A single failure may be chance; from this many in a row on an upstream rests.
constexpr int FailuresBeforeRest = 2;
constexpr Duration RestAfterRefusal = std::chrono::milliseconds(100);
/// The platform's list shows the new owner of an address within this long.
constexpr Duration RestAfterMisdirection = std::chrono::seconds(3);

}

void UpstreamPool::setList(const std::vector<UpstreamInstance> &instances, TimePoint now)
{
    std::map<InstanceName, Upstream> next;
    addToList(next, instances, now);
    m_listInParts = false;
    replaceList(std::move(next));
}

void UpstreamPool::takeListPart(const DataCentreName &dataCentre, const std::vector<UpstreamInstance> &instances, TimePoint now)
{
    std::map<InstanceName, Upstream> next;
    for (const auto &[name, upstream] : m_upstreams) {
        if (upstream.instance.dataCentre != dataCentre) {
            next.emplace_hint(next.end(), name, upstream);
        }
    }
    addToList(next, instances, now);
    m_listInParts = true;
    replaceList(std::move(next));
}

void UpstreamPool::addToList(std::map<InstanceName, Upstream> &next, const std::vector<UpstreamInstance> &instances, TimePoint now) const
{
    for (const UpstreamInstance &instance : instances) {
        const auto known = m_upstreams.find(instance.name);
        const bool same = known != m_upstreams.end() && known->second.instance.born == instance.born && known->second.instance.address == instance.address;
        Upstream upstream = same ? known->second : Upstream{};
        // Requests in flight end by name, whichever process they were sent to.
        upstream.own = known == m_upstreams.end() ? Load{} : known->second.own;
        upstream.instance = instance;
        upstream.isFarther = instance.dataCentre != m_here;
        upstream.listedAt = now;
        upstream.slice = checksum(instance.name.value);
        next.insert_or_assign(instance.name, std::move(upstream));
    }
}

void UpstreamPool::replaceList(std::map<InstanceName, Upstream> &&next)
{
    m_upstreams.swap(next);
    m_ofService.clear();
    for (const auto &[name, upstream] : m_upstreams) {
        m_ofService[upstream.instance.service].push_back(&upstream);
    }
    for (auto &[name, upstream] : m_upstreams) {
        upstream.others = {};
    }
    for (const auto &[vm, peer] : m_peers) {
        addLoads(peer, 1);
    }
}

void UpstreamPool::addLoads(const Peer &peer, int sign)
{
    for (const auto &[name, told] : peer.loads) {
        addLoad(name, told.load, sign);
    }
}

void UpstreamPool::addLoad(const InstanceName &name, const Load &load, int sign)
{
    Upstream *upstream = find(name);
    if (!upstream) {
        return;
    }
    if (sign > 0) {
        upstream->others.requests += load.requests;
        upstream->others.tokens += load.tokens;
    } else {
        upstream->others.requests -= std::min(upstream->others.requests, load.requests);
        upstream->others.tokens -= std::min(upstream->others.tokens, load.tokens);
    }
}

/// What the peer has not told for so long ended, and the notice that said so was lost.
void UpstreamPool::forgetUntold(Peer &peer)
{
    std::erase_if(peer.loads, [&](const auto &held) {
        const bool untold = peer.sequence - held.second.sequence > NoticesBeforeForgotten;
        if (untold) {
            addLoad(held.first, held.second.load, -1);
        }
        return untold;
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
    peer.heard = now;
    for (const v1::UpstreamLoad &load : notice.loads()) {
        const InstanceName name{load.upstream()};
        PeerLoad &told = peer.loads[name];
        addLoad(name, told.load, -1);
        told = PeerLoad{.load = {.requests = load.in_flight(), .tokens = load.prompt_tokens()}, .sequence = notice.sequence()};
        addLoad(name, told.load, 1);
        Upstream *upstream = find(name);
        if (upstream && upstream->paceMs == 0) {
            // Learned there: a server that has just taken over need not try the slow ones to find out.
            upstream->paceMs = load.pace_ms();
        }
    }
    forgetUntold(peer);
}

void UpstreamPool::expireTimedOut(TimePoint now)
{
    for (auto &[vm, peer] : m_peers) {
        if (now - peer.heard > NoticeHolds && !peer.loads.empty()) {
            addLoads(peer, -1);
            peer.loads.clear();
        }
    }
}

bool UpstreamPool::isUsable(const Upstream &upstream, TimePoint now) const
{
    const bool isOld = m_listInParts && upstream.isFarther && m_listReadable && now - upstream.listedAt > ListHolds;
    return !isOld && !upstream.instance.draining && now >= upstream.restsUntil;
}

bool UpstreamPool::allowed(const Upstream &upstream, const PlacementQuery &query, TimePoint now) const
{
    if (!isUsable(upstream, now) || query.tried.contains(upstream.instance.name)) {
        return false;
    }
    if (query.versions.target.value.empty()) {
        return true;
    }
    return (upstream.instance.version == query.versions.target) == query.versions.toTarget;
}

double UpstreamPool::fastestPace(const ServiceName &service) const
{
    double fastest = std::numeric_limits<double>::max();
    for (const Upstream *upstream : ofService(service)) {
        fastest = upstream->paceMs > 0 ? std::min(fastest, upstream->paceMs) : fastest;
    }
    return fastest == std::numeric_limits<double>::max() ? 1 : fastest;
}

/// An engine reads the prompts before this one first. A plain upstream slows down as it fills.
double UpstreamPool::predictedMs(const Upstream &upstream, std::uint32_t promptTokens, double fastest) const
{
    // One that nothing is known of counts as the fastest, so that it is tried.
    const double pace = upstream.paceMs > 0 ? upstream.paceMs : fastest;
    const double load = static_cast<double>(upstream.own.requests + upstream.others.requests) / upstream.instance.slots;
    const auto engine = m_engines.find(upstream.instance.service);
    if (promptTokens == 0 || engine == m_engines.end()) {
        return pace * (1 + load);
    }
    const double ahead = static_cast<double>(upstream.own.tokens + upstream.others.tokens);
    const double first = engine->second.predictedMs(ahead + promptTokens, pace / fastest);
    return first > 0 ? first * (1 + LoadWeight * load) : pace * (1 + load);
}

/// One that nothing is known of counts as the fastest, so that it is tried. Filled before it has shown anything, it may be the slowest: its answers would
/// come too late, and it would hold what others could have taken.
bool UpstreamPool::hasPlace(const Upstream &upstream) const
{
    const std::uint32_t requests = upstream.own.requests + upstream.others.requests;
    const bool untried = upstream.paceMs <= 0 && m_engines.contains(upstream.instance.service);
    return requests < (untried ? std::min(MostOnUntried, upstream.instance.slots) : upstream.instance.slots);
}

/// Whether the whole answer is likely to be there before its deadline. A long answer on a slow engine isn't: its caller gets nothing, after it has held a
/// place for all that time.
bool UpstreamPool::wouldEnd(const Upstream &upstream, const PlacementQuery &query, double firstMs, double fastest) const
{
    if (query.answerWithin <= Duration::zero() || query.expectedEvents == 0) {
        return true;
    }
    const double pace = upstream.paceMs > 0 ? upstream.paceMs : fastest;
    const double leftMs = std::chrono::duration<double, std::milli>(query.answerWithin).count();
    return firstMs + pace * query.expectedEvents <= leftMs;
}

/// Whether waiting for another upstream may help: with nothing else to do, some would end the answer in time.
bool UpstreamPool::someWouldEnd(const PlacementQuery &query, double fastest, TimePoint now) const
{
    return std::ranges::any_of(ofService(query.service),
                               [&](const Upstream *upstream) { return allowed(*upstream, query, now) && wouldEnd(*upstream, query, 0, fastest); });
}

/// An engine reads new prompts between the steps of the streams that it runs, so these pause: by the time of the reading, or by what its
/// parts take between two events, whichever is less. On engines several times slower than the others the pause makes all of them late.
bool UpstreamPool::wouldPause(const Upstream &upstream, const PlacementQuery &query, double fastest) const
{
    const auto engine = m_engines.find(upstream.instance.service);
    const auto pauses = m_pauses.find(upstream.instance.service);
    const bool alone = upstream.own.requests + upstream.others.requests == 0;
    if (query.maxPauseMs <= 0 || alone || upstream.paceMs <= 0 || engine == m_engines.end() || pauses == m_pauses.end()) {
        return false;
    }
    const double unread = static_cast<double>(upstream.own.tokens + upstream.others.tokens + query.promptTokens);
    const double reading = engine->second.readingMs(unread, upstream.paceMs / fastest);
    const double most = std::max(pauses->second.ratio() - 1, 0.0) * upstream.paceMs;
    return upstream.paceMs + std::min(reading, most) > PausePart * query.maxPauseMs;
}

Placement UpstreamPool::choose(const PlacementQuery &query, TimePoint now) const
{
    const double fastest = fastestPace(query.service);
    // An answer that no upstream would end in time is tried all the same: the estimate may be wrong.
    const bool mustEnd = someWouldEnd(query, fastest, now);
    const Upstream *best = nullptr;
    double bestMs = 0;
    double bestScore = std::numeric_limits<double>::max();
    for (const Upstream *held : ofService(query.service)) {
        const Upstream &upstream = *held;
        if (!allowed(upstream, query, now) || !hasPlace(upstream) || wouldPause(upstream, query, fastest)) {
            continue;
        }
        const double predicted = predictedMs(upstream, query.promptTokens, fastest);
        if (mustEnd && !wouldEnd(upstream, query, predicted, fastest)) {
            continue;
        }
        const double score = predicted * (upstream.isFarther ? FartherFactor : 1);
        if (score < bestScore) {
            bestScore = score;
            bestMs = predicted;
            best = &upstream;
        }
    }
    if (!best) {
        return Placement{.fartherMayHelp = true};
    }
    const auto engine = m_engines.find(query.service);
    const bool isEngine = query.promptTokens > 0 && engine != m_engines.end();
    const double idleMs = isEngine ? engine->second.predictedMs(query.promptTokens, 1) : 0;
    const double soonestMs = idleMs > 0 ? idleMs : fastest;
    return Placement{
        .upstream = &best->instance,
        .predicted = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(bestMs)),
        .fartherMayHelp = best->isFarther || bestMs > FartherFactor * soonestMs,
    };
}

Duration UpstreamPool::soonestIdle(const ServiceName &service, std::uint32_t promptTokens) const
{
    const auto engine = m_engines.find(service);
    const double ms = promptTokens == 0 || engine == m_engines.end() ? 0 : engine->second.predictedMs(promptTokens, 1);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

bool UpstreamPool::hasRoom(const ServiceName &service, TimePoint now) const
{
    return std::ranges::any_of(ofService(service), [this, now](const Upstream *upstream) { return isUsable(*upstream, now) && hasPlace(*upstream); });
}

const std::vector<const UpstreamPool::Upstream *> &UpstreamPool::ofService(const ServiceName &service) const
{
    static const std::vector<const Upstream *> None;
    const auto found = m_ofService.find(service);
    return found == m_ofService.end() ? None : found->second;
}

UpstreamPool::Upstream *UpstreamPool::find(const InstanceName &name)
{
    const auto found = m_upstreams.find(name);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

void UpstreamPool::sent(const InstanceName &name, std::uint32_t promptTokens)
{
    if (Upstream *upstream = find(name)) {
        ++upstream->own.requests;
        upstream->own.tokens += promptTokens;
    }
}

void UpstreamPool::promptRead(const InstanceName &name, std::uint32_t promptTokens)
{
    if (Upstream *upstream = find(name)) {
        upstream->own.tokens -= std::min<std::uint64_t>(upstream->own.tokens, promptTokens);
    }
}

void UpstreamPool::ended(const InstanceName &name)
{
    Upstream *upstream = find(name);
    if (upstream && upstream->own.requests > 0) {
        --upstream->own.requests;
    }
}

std::uint64_t UpstreamPool::tokensAhead(const InstanceName &name) const
{
    const auto found = m_upstreams.find(name);
    return found == m_upstreams.end() ? 0 : found->second.own.tokens + found->second.others.tokens;
}

void UpstreamPool::observedFirstEvent(const InstanceName &name, double tokens, double milliseconds)
{
    const Upstream *upstream = find(name);
    if (!upstream || upstream->paceMs <= 0) {
        return;
    }
    m_engines[upstream->instance.service].observed(tokens, milliseconds, upstream->paceMs / fastestPace(upstream->instance.service));
}

void UpstreamPool::observedPace(const InstanceName &name, double milliseconds)
{
    if (Upstream *upstream = find(name)) {
        upstream->paceMs = upstream->paceMs == 0 ? milliseconds : (1 - PaceWeight) * upstream->paceMs + PaceWeight * milliseconds;
    }
}

void UpstreamPool::observedEarlyPace(const InstanceName &name, double milliseconds)
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

void UpstreamPool::observedPauses(const InstanceName &name, double meanMs, double longestPauseMs)
{
    if (const Upstream *upstream = find(name)) {
        m_pauses[upstream->instance.service].observed(meanMs, longestPauseMs);
    }
}

void UpstreamPool::succeeded(const InstanceName &name)
{
    if (Upstream *upstream = find(name)) {
        upstream->failuresInARow = 0;
    }
}

void UpstreamPool::failed(const InstanceName &name, TimePoint now)
{
    Upstream *upstream = find(name);
    if (!upstream) {
        return;
    }
    ++upstream->failuresInARow;
    if (upstream->failuresInARow >= FailuresBeforeRest) {
        const int doublings = std::min(upstream->failuresInARow - FailuresBeforeRest, 6);
        upstream->restsUntil = now + std::min<Duration>(FirstRest * (1 << doublings), LongestRest);
    }
}

void UpstreamPool::refused(const InstanceName &name, TimePoint now)
{
    if (Upstream *upstream = find(name)) {
        upstream->restsUntil = std::max(upstream->restsUntil, now + RestAfterRefusal);
    }
}

void UpstreamPool::misdirected(const InstanceName &name, TimePoint now)
{
    if (Upstream *upstream = find(name)) {
        upstream->restsUntil = std::max(upstream->restsUntil, now + RestAfterMisdirection);
    }
}

std::uint32_t UpstreamPool::inFlight(const InstanceName &name) const
{
    const auto found = m_upstreams.find(name);
    return found == m_upstreams.end() ? 0 : found->second.own.requests + found->second.others.requests;
}

bool UpstreamPool::Told::isDue(const Load &now, bool isItsTurn)
{
    if (now != load) {
        load = now;
        repeatsNothing = now == Load{};
        return true;
    }
    return isItsTurn && (now != Load{} || std::exchange(repeatsNothing, false));
}

void UpstreamPool::writeNotice(v1::LoadNotice &notice, bool forBackup)
{
    const std::uint64_t slice = notice.sequence() % Slices;
    m_backupNotices += forBackup ? 1 : 0;
    const std::uint64_t backupSlice = m_backupNotices % BackupSlices;
    for (auto &[name, upstream] : m_upstreams) {
        bool due = upstream.told.isDue(upstream.own, upstream.slice % Slices == slice);
        if (forBackup) {
            const bool isItsBackupTurn = upstream.slice % BackupSlices == backupSlice;
            due = upstream.toldBackups.isDue(upstream.own, isItsBackupTurn) || (isItsBackupTurn && upstream.paceMs > 0) || due;
        }
        if (!due) {
            continue;
        }
        v1::UpstreamLoad &load = *notice.add_loads();
        load.set_upstream(name.value);
        load.set_in_flight(upstream.own.requests);
        load.set_prompt_tokens(upstream.own.tokens);
        if (forBackup) {
            load.set_pace_ms(upstream.paceMs);
        }
    }
}

}
