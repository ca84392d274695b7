// PlacementServer: which waiting request gets a slot, and which is refused.

#include "placement/placementserver.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

constexpr Duration MinRetryAfter = std::chrono::milliseconds(500);
constexpr Duration MaxRetryAfter = std::chrono::seconds(5);
/// An overload is over after this time without a refusal.
constexpr Duration OverloadTimeout = std::chrono::seconds(1);
/// Remote parts of the list are read for at least this long. A load that exceeds the data centre's capacity comes and goes, and each time the first
/// requests have to wait for those parts.
constexpr Duration RemoteListTime = std::chrono::seconds(3);
/// Interval of replies to an entry VM with waiting requests; their absence lets the VM detect a failed server.
constexpr Duration KeepaliveInterval = std::chrono::milliseconds(30);
/// A request counts as passed over without interruption between passes that are no further apart.
constexpr Duration MaxPassInterval = std::chrono::milliseconds(30);

/// If no slot fits a request, none fits another request whose prompt and answer are both at least as large.
struct RequestSize
{
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedEvents = 0;

    bool isAsLargeAs(const RequestSize &other) const
    {
        return promptTokens >= other.promptTokens && expectedEvents >= other.expectedEvents;
    }
};

v1::PlacementRefusalReason refusalReason(UpstreamPool::Obstacle obstacle)
{
    switch (obstacle) {
    case UpstreamPool::Obstacle::Evacuated:
        return v1::PLACEMENT_EVACUATED;
    case UpstreamPool::Obstacle::NotAtHome:
        return v1::PLACEMENT_NOT_AT_HOME;
    case UpstreamPool::Obstacle::None:
        break;
    }
    return v1::PLACEMENT_NO_ROOM;
}

}

PlacementQuery PlacementServer::queryFor(const EntryVm &entryVm, const TrackedRequest &request, TimePoint now)
{
    return PlacementQuery{
        .service = request.service,
        .versions = {},
        .promptTokens = request.promptTokens,
        .tried = request.tried,
        .maxPauseMs = request.maxPauseMs,
        .expectedEvents = request.expectedEvents,
        .timeToDeadline = request.deadline - now,
        .isOnTrial = request.isOnTrial,
        .homeRegions = request.homeRegions,
        .pauses = &entryVm.pauses,
    };
}

Placement PlacementServer::place(PlacementQuery query, const TrackedRequest &request, TimePoint now) const
{
    const auto found = m_rollouts.find(request.service.value);
    if (found == m_rollouts.end()) {
        return m_pool.choose(query, now);
    }
    const v1::Rollout &rollout = found->second;
    const bool isCompleted = rollout.state() == v1::ROLLOUT_COMPLETED;
    const bool isInProgress = rollout.state() == v1::ROLLOUT_IN_PROGRESS;
    query.versions.target = VersionName{rollout.target()};
    query.versions.toTarget = isCompleted || (isInProgress && request.rolloutPermille < rollout.share_permille());
    const Placement placement = m_pool.choose(query, now);
    if (placement.upstream || !isInProgress || !query.versions.toTarget) {
        return placement;
    }
    // The target's upstreams have not started or are full: the other versions serve it.
    query.versions.toTarget = false;
    return m_pool.choose(query, now);
}

void PlacementServer::grant(const RequestKey &key, TrackedRequest &request, const Placement &placement, TimePoint now)
{
    const UpstreamInstance &upstream = *placement.upstream;
    request.stage = Stage::Granted;
    request.upstream = upstream.name;
    request.tokensToRead = m_pool.pendingPromptTokens(upstream.name) + request.promptTokens;
    request.decisionSentAt = now;
    acquireSlot(request, now);
    chargeShare(request, now);
    v1::PlacementGrant grant;
    grant.set_id(key.id.value);
    grant.set_upstream(upstream.name.value);
    grant.set_address(toString(upstream.address));
    grant.set_version(upstream.version.value);
    grant.set_data_centre(upstream.dataCentre.value);
    grant.set_started_at_ms(upstream.startedAtMs);
    grant.set_tokens_to_read(request.tokensToRead);
    grant.set_in_flight(m_pool.inFlight(upstream.name));
    grant.set_predicted_ms(wireMilliseconds(placement.predictedTime));
    grant.set_pace_wanted(!m_pool.knowsPace(upstream.name));
    grant.set_list_age_ms(wireMilliseconds(now - m_localListReadAt));
    request.grant = grant;
    *m_entryVms[key.vm].nextReply.add_grants() = std::move(grant);
}

/// Restricts the query to the slots that are not left to more urgent requests in other data centres. Returns how many local slots are left if all of them are.
///
/// For a remote slot, the free slots of all data centres are counted: a slot in a third one is as good for the more urgent requests as one here.
std::uint32_t PlacementServer::restrictToUnleft(PlacementQuery &query, const Urgency &urgency, const UpstreamPool::FreeSlots &free, TimePoint now) const
{
    const std::uint32_t local = m_peerWaiting.slotsToLeave(query.service, urgency, PeerWaiting::SlotLocation::Local, now);
    const std::uint32_t remote = m_peerWaiting.slotsToLeave(query.service, urgency, PeerWaiting::SlotLocation::Remote, now);
    query.isLocalLeft = local > 0 && local >= free.shared;
    query.isRemoteLeft = remote > 0 && remote >= free.shared + free.remote;
    return query.isLocalLeft ? free.shared : 0;
}

/// Grants slots to as many waiting requests as possible, most urgent first.
void PlacementServer::grantQueued(const ServiceName &name, Service &service, TimePoint now)
{
    std::vector<RequestSize> unplaceableSizes;
    const bool anyWaitElsewhere = m_features.sharedWaiting && m_peerWaiting.anyWaiting(name, now);
    bool isLeftRecorded = false;
    UpstreamPool::FreeSlots free;
    if (m_features.sharedWaiting && !service.queue.empty()) {
        // Slots that are left to this server can be used only if their upstreams are known here.
        m_remoteWantedUntil = now + RemoteListTime;
        free = m_pool.freeSlots(name, now);
    }
    for (const RequestKey &key : service.queue.inOrder(now)) {
        if (!m_pool.hasFreeSlot(name, now)) {
            m_remoteWantedUntil = now + RemoteListTime;
            return;
        }
        EntryVm &entryVm = m_entryVms[key.vm];
        TrackedRequest &request = entryVm.requests[key.id];
        PlacementQuery query = queryFor(entryVm, request, now);
        if (anyWaitElsewhere) {
            const Urgency urgency{.rank = request.rank, .latestStart = request.latestStart < now ? TimePoint::max() : request.latestStart};
            const std::uint32_t left = restrictToUnleft(query, urgency, free, now);
            if (left > 0 && !std::exchange(isLeftRecorded, true)) {
                m_peerWaiting.recordLeft(name, urgency, left, now);
            }
            if (query.isLocalLeft && query.isRemoteLeft && free.unshared == 0) {
                // All free slots are left to requests that are more urgent than this one and nearly all after it. Without this, each pass would go through the
                // whole queue while slots are left.
                return;
            }
        }
        if (free.remote > 0 && !query.isRemoteLeft) {
            request.passedOverFor += std::min(now - std::exchange(request.passedOverAt, now), MaxPassInterval);
        }
        const RequestSize size{.promptTokens = request.promptTokens, .expectedEvents = request.expectedEvents};
        if (std::ranges::any_of(unplaceableSizes, [&size](const RequestSize &unplaceable) { return size.isAsLargeAs(unplaceable); })) {
            continue;
        }
        const Placement placement = place(query, request, now);
        if (placement.remoteMayHelp) {
            m_remoteWantedUntil = now + RemoteListTime;
        }
        if (!placement.upstream) {
            const bool isRestricted = query.isLocalLeft || query.isRemoteLeft || !request.tried.empty() || !entryVm.pauses.empty() || request.isOnTrial
                || request.homeRegions || m_rollouts.contains(name.value);
            if (!isRestricted) {
                unplaceableSizes.push_back(size);
            }
            continue;
        }
        const bool onTime = now + placement.predictedTime <= request.objectiveAt;
        if (!onTime && now < request.latestStart) {
            continue; // Sent now it would be late: a slot at a faster upstream may become free in time.
        }
        reportHeldBack(name, service, now);
        service.queue.remove(key);
        if (m_features.plannedReturns) {
            service.drainRate.recordGrant(request.rank, now);
        }
        grant(key, request, placement, now);
        if (m_features.sharedWaiting) {
            free = m_pool.freeSlots(name, now);
        }
    }
}

/// An overload that has lasted for a while is likely to last as long again: a caller that retries sooner is refused again.
Duration PlacementServer::retryAfterOverload(Service &service, TimePoint now)
{
    if (now - service.lastRefusalAt > OverloadTimeout) {
        service.overloadSince = now;
    }
    service.lastRefusalAt = now;
    return std::clamp(now - service.overloadSince, MinRetryAfter, MaxRetryAfter);
}

void PlacementServer::refuseExpired(Service &service, TimePoint now)
{
    for (const RequestKey &key : service.queue.removeExpired(now)) {
        refuseForLackOfSlot(service, key, now);
    }
}

/// Refuses a request that was removed from the queue.
void PlacementServer::refuseForLackOfSlot(Service &service, const RequestKey &key, TimePoint now)
{
    EntryVm &entryVm = m_entryVms[key.vm];
    TrackedRequest &request = entryVm.requests[key.id];
    m_limits.refund(request.organisation, request.cost);
    const PlacementQuery query = queryFor(entryVm, request, now);
    const v1::PlacementRefusalReason reason = refusalReason(m_pool.obstacleFor(query));
    const Duration overloadTime = retryAfterOverload(service, now);
    const Duration pauseTime = m_pool.timeUntilUnpaused(query, now);
    const bool isPlanned = isPlannable(request) && reason == v1::PLACEMENT_NO_ROOM && pauseTime <= Duration::zero();
    const Duration retryAfter = isPlanned ? planReturn(service, request, overloadTime, now) : std::max(overloadTime, pauseTime);
    refuse(entryVm, key.id, request, reason, retryAfter, now);
}

void PlacementServer::refuse(EntryVm &entryVm, PlacementId id, TrackedRequest &request, v1::PlacementRefusalReason reason, Duration retryAfter, TimePoint now)
{
    request.stage = Stage::Refused;
    request.decisionSentAt = now;
    request.refusal.set_id(id.value);
    request.refusal.set_reason(reason);
    request.refusal.set_retry_after_ms(wireMilliseconds(retryAfter));
    *entryVm.nextReply.add_refusals() = request.refusal;
}

/// A VM that becomes placement server again after a while, or resumes after a freeze, holds an outdated list: upstreams that had shut down since
/// would get new requests for seconds. It waits for the list to be read, which takes some milliseconds. While the list can't be read, an old list is
/// better than none.
bool PlacementServer::isListUsable(TimePoint now) const
{
    return now - m_localListReadAt <= MaxListAge || !m_pool.isListReadable();
}

std::vector<PlacementServer::Reply> PlacementServer::advance(TimePoint now)
{
    rescaleShares(now);
    for (auto &[name, service] : m_services) {
        if (isListUsable(now)) {
            grantQueued(name, service, now);
        }
        if (m_features.plannedReturns) {
            service.drainRate.recordWaiting(!service.queue.empty(), now);
        }
        refuseExpired(service, now);
        if (m_features.plannedReturns && isListUsable(now)) {
            refuseArrivals(name, service, now);
        }
    }
    std::vector<Reply> replies;
    for (auto &[vm, entryVm] : m_entryVms) {
        const bool hasDecision = entryVm.nextReply.grants_size() + entryVm.nextReply.refusals_size() > 0 || entryVm.nextReply.tell_all();
        const auto isUnplaced = [](const auto &pair) { return pair.second.stage != Stage::Sent; };
        const bool isKeepaliveDue = now - entryVm.lastReplyAt >= KeepaliveInterval;
        if (!hasDecision && !(isKeepaliveDue && std::ranges::any_of(entryVm.requests, isUnplaced))) {
            continue;
        }
        entryVm.lastReplyAt = now;
        entryVm.nextReply.set_incarnation(entryVm.incarnation);
        entryVm.nextReply.set_seen(entryVm.sequence);
        replies.emplace_back(vm, std::exchange(entryVm.nextReply, {}));
    }
    return replies;
}

}
