#include "placement/placementserver.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Minimum time of an answer while no answers are recorded.
constexpr Duration MinAnswerTime = std::chrono::milliseconds(50);
/// Every request may wait for a slot for at least half of its objective.
constexpr int MinWaitDivisor = 2;
/// A decision that the entry VM has not acknowledged after several round trips was lost.
constexpr Duration ResendTimeout = std::chrono::milliseconds(15);
/// Load notices arrive every 30 ms. A peer that sends none for this long is partitioned, or continues under its own share of the limits.
constexpr Duration PeerTimeout = std::chrono::milliseconds(400);
/// Entry VMs send their state several times a second while they have any requests.
constexpr Duration EntryVmTimeout = std::chrono::milliseconds(800);
/// Load notices are sent every 30 ms.
constexpr Duration MinReportedWait = std::chrono::milliseconds(30);
/// As long as other servers leave slots that are not used.
constexpr Duration MaxPassedOverTime = std::chrono::milliseconds(150);
/// Another data centre hardly has more free slots within the time of a notice.
constexpr std::size_t MaxCountedPerRank = 256;

/// The regions whose upstreams may run the request; none: all.
std::optional<std::set<RegionName>> homeRegionsOf(const v1::PlacementAsk &ask)
{
    if (!ask.has_homes()) {
        return {};
    }
    std::set<RegionName> regions;
    for (const std::string &region : ask.home_regions()) {
        regions.insert(RegionName{region});
    }
    return regions;
}

}

void PlacementServer::setList(const std::vector<UpstreamInstance> &instances, TimePoint now)
{
    m_pool.setList(instances, now);
    m_localListReadAt = now;
}

void PlacementServer::setListPart(const DataCentreName &dataCentre, const std::vector<UpstreamInstance> &instances, TimePoint now)
{
    m_pool.setListPart(dataCentre, instances, now);
    if (dataCentre == m_localDataCentre) {
        m_localListReadAt = now;
    }
}

bool PlacementServer::wantsRemote(TimePoint now) const
{
    return m_isEvacuated || now < m_remoteWantedUntil;
}

void PlacementServer::setRoutes(const v1::RouteTable &routes, TimePoint now)
{
    m_limits.setRoutes(routes, now);
    m_pool.setRoutes(routes);
    if (m_features.fairShares) {
        rescaleShares(now);
        m_shares.setRoutes(routes);
        refreshUsages();
    }
}

void PlacementServer::handleNotice(const VmName &from, const v1::LoadNotice &notice, TimePoint now)
{
    const auto placedLocally = m_pool.handleNotice(from, notice, now);
    if (m_features.sharedWaiting && placedLocally) {
        m_peerWaiting.handleNotice(from, notice, *placedLocally, now);
    }
    m_limits.handleNotice(from, notice, !hasRequests(), now);
    m_peers[from] = Peer{.lastReceivedAt = now, .entryVmCount = notice.entry_vms()};
    updateCoverage(now);
    if (!m_features.fairShares) {
        return;
    }
    rescaleShares(now);
    for (const auto &[service, organisation] : m_shares.handleNotice(from, notice, now)) {
        refreshUsage(service, organisation);
    }
}

void PlacementServer::writeNotice(v1::LoadNotice &notice, bool forBackup, TimePoint now)
{
    m_pool.writeNotice(notice, forBackup);
    m_limits.writeNotice(notice, forBackup, now);
    m_shares.writeNotice(notice);
    notice.set_entry_vms(static_cast<std::uint32_t>(m_entryVms.size()));
    if (m_features.sharedWaiting) {
        writeWaiting(notice, now);
    }
}

/// A request that has not waited for longer than a notice takes is likely to have a slot before another data centre can leave it one.
///
/// A request that may run only here, or that has been passed over for a while although remote upstreams had free slots, does not use what is left to it. If
/// it were reported, other servers would leave slots for as long as it waits, since requests beside it use some of them: up to an eighth of their capacity.
void PlacementServer::writeWaiting(v1::LoadNotice &notice, TimePoint now)
{
    for (const auto &[name, service] : m_services) {
        const auto isReported = [&](const RequestKey &key) {
            const TrackedRequest &request = m_entryVms.at(key.vm).requests.at(key.id);
            return now - request.enqueuedAt > MinReportedWait && request.passedOverFor < MaxPassedOverTime && m_pool.mayRunRemotely(request.homeRegions);
        };
        std::vector<PeerWaiting::Waiting> waiting;
        for (const auto &ranked : service.queue.countByRank(now, MaxCountedPerRank, isReported)) {
            const TimePoint latestStart = ranked.latestStart < now ? TimePoint::max() : ranked.latestStart;
            waiting.push_back({.mostUrgent = {.rank = ranked.rank, .latestStart = latestStart}, .count = ranked.count});
        }
        m_peerWaiting.writeNotice(name, waiting, notice, now);
    }
}

void PlacementServer::setFleet(const v1::FleetTally &fleet)
{
    m_entryVmCount = std::max<std::uint32_t>(1, fleet.entry_vm_count());
    std::map<VmName, DataCentreName> dataCentres;
    for (const v1::PlacementVm &vm : fleet.placement_vms()) {
        dataCentres[VmName{vm.vm()}] = DataCentreName{vm.data_centre()};
    }
    m_peerWaiting.setDataCentres(std::move(dataCentres));
    const auto isLocal = [this](const v1::PlacementVm &vm) { return vm.data_centre() == m_localDataCentre.value; };
    m_localEntryVmCount = std::max<std::size_t>(1, static_cast<std::size_t>(std::ranges::count_if(fleet.placement_vms(), isLocal)));
}

void PlacementServer::updateCoverage(TimePoint now)
{
    std::size_t covered = m_entryVms.size();
    for (const auto &[vm, peer] : m_peers) {
        covered += now - peer.lastReceivedAt <= PeerTimeout ? peer.entryVmCount : 0;
    }
    m_limits.setOwnShare(static_cast<double>(m_entryVms.size()) / static_cast<double>(m_entryVmCount));
    m_limits.setCoverage(static_cast<double>(covered) / static_cast<double>(m_entryVmCount), now);
    // By the coverage, a VM that places its own requests for some seconds and the server that it left could both use the whole rate.
    m_pool.setRequestShare(static_cast<double>(m_entryVms.size()) / static_cast<double>(m_localEntryVmCount));
}

void PlacementServer::handleState(const VmName &from, const v1::EntryState &state, TimePoint now)
{
    rescaleShares(now);
    if (state.leaves()) {
        handleDeparture(from, state);
        updateCoverage(now);
        return;
    }
    if (m_entryVms.empty()) {
        m_pool.startServing(now);
    }
    EntryVm &entryVm = m_entryVms[from];
    if (entryVm.incarnation != state.incarnation()) {
        releaseAll(from, entryVm);
        entryVm = EntryVm{.incarnation = state.incarnation(), .lastReceivedAt = now, .nextReply = {}};
    }
    if (state.sequence() <= entryVm.sequence) {
        return;
    }
    entryVm.sequence = state.sequence();
    entryVm.lastReceivedAt = now;
    updateCoverage(now);
    for (const v1::RequestLimit &limit : state.limits()) {
        const std::optional<double> perSecond = limit.has_per_second() ? std::optional(limit.per_second()) : std::nullopt;
        m_pool.recordRequestLimit(InstanceName{limit.upstream()}, perSecond, now - std::chrono::milliseconds(limit.age_ms()), now);
    }
    for (const v1::UpstreamSignal &signal : state.signals()) {
        handleSignal(entryVm, signal, now);
    }
    for (const v1::EndedRequest &ended : state.ended()) {
        handleEnded(from, entryVm, ended, now);
    }
    std::vector<std::uint64_t> listedIds(state.unchanged().begin(), state.unchanged().end());
    for (const v1::PlacedRequest &placed : state.placed()) {
        listedIds.push_back(placed.id());
        handlePlaced(from, entryVm, placed, now);
    }
    for (const v1::PlacementAsk &ask : state.asks()) {
        listedIds.push_back(ask.id());
        handlePlacementRequest(from, entryVm, ask, now);
    }
    for (const std::uint64_t id : state.unchanged()) {
        resendDecision(entryVm, PlacementId{id}, now);
    }
    std::ranges::sort(listedIds);
    // Requests missing from the state have ended, or their caller has left.
    std::erase_if(entryVm.requests, [&](const auto &pair) {
        const bool isMissing = !std::ranges::binary_search(listedIds, pair.first.value);
        if (isMissing) {
            release(from, pair.first, pair.second);
        }
        return isMissing;
    });
}

/// A pause binds the VM that was asked for it; that a process is leaving or brittle concerns all VMs.
void PlacementServer::handleSignal(EntryVm &entryVm, const v1::UpstreamSignal &signal, TimePoint now)
{
    const UpstreamProcess upstream{.name = InstanceName{signal.upstream()}, .startedAtMs = signal.started_at_ms()};
    if (signal.pause_ms() > 0) {
        entryVm.pauses[upstream] = now + std::chrono::milliseconds(signal.pause_ms());
    }
    if (signal.leaving()) {
        m_pool.recordLeaving(upstream);
    }
    if (signal.has_refusal_limit()) {
        m_pool.recordBrittle(upstream, now);
    }
}

/// The VM's requests are now counted by the server that it uses instead. If they stayed counted here until the VM timed out, each would occupy two
/// slots: for more than a second after each change of servers, requests waited and were refused although engines had free slots.
void PlacementServer::handleDeparture(const VmName &from, const v1::EntryState &state)
{
    const auto found = m_entryVms.find(from);
    if (found == m_entryVms.end() || found->second.incarnation != state.incarnation() || state.sequence() <= found->second.sequence) {
        return;
    }
    releaseAll(from, found->second);
    m_entryVms.erase(found);
}

/// Resends a decision that was sent some round trips ago and is still unacknowledged.
///
/// A request that is unknown here was dropped, because this server restarted, or stalled until the VM timed out. It then asks the VM for its whole
/// state: otherwise the VM would go on sending ids alone, its waiting requests would never be served, and its placed ones would be counted nowhere.
void PlacementServer::resendDecision(EntryVm &entryVm, PlacementId id, TimePoint now)
{
    const auto found = entryVm.requests.find(id);
    if (found == entryVm.requests.end()) {
        entryVm.nextReply.set_tell_all(true);
        return;
    }
    TrackedRequest &request = found->second;
    if ((request.stage != Stage::Granted && request.stage != Stage::Refused) || now - request.decisionSentAt < ResendTimeout) {
        return;
    }
    request.decisionSentAt = now;
    if (request.stage == Stage::Granted) {
        *entryVm.nextReply.add_grants() = request.grant;
    } else {
        *entryVm.nextReply.add_refusals() = request.refusal;
    }
}

void PlacementServer::handlePlacementRequest(const VmName &from, EntryVm &entryVm, const v1::PlacementAsk &ask, TimePoint now)
{
    const PlacementId id{ask.id()};
    if (entryVm.requests.contains(id)) {
        resendDecision(entryVm, id, now);
        return;
    }
    TrackedRequest &request = entryVm.requests.emplace(id, makeRequest(ask, now)).first->second;
    if (const auto wait = request.organisation.empty() ? std::nullopt : m_limits.tryAdmit(request.organisation, request.cost, PriorityRank{ask.rank()}, now)) {
        request.refusal.set_inputs(m_limits.describeDecision(request.organisation) + " cost=" + std::to_string(request.cost));
        request.refusal.set_closed_ms(wireMilliseconds(m_limits.timeUntilOpen(request.organisation)));
        refuse(entryVm, id, request, v1::PLACEMENT_OVER_LIMIT, *wait, now);
        return;
    }
    const RequestKey key{from, id};
    recordArrival(key, request, now);
    enqueue(key, request);
}

PlacementServer::TrackedRequest PlacementServer::makeRequest(const v1::PlacementAsk &ask, TimePoint now) const
{
    TrackedRequest request{
        .service = ServiceName{ask.service()},
        .rank = PriorityRank{ask.rank()},
        .promptTokens = ask.prompt_tokens(),
        .rolloutPermille = ask.draw_permille(),
        .organisation = ask.organisation(),
        .cost = ask.cost(),
        .maxPauseMs = static_cast<double>(ask.longest_pause_ms()),
        .expectedEvents = ask.expected_events(),
        .isOnTrial = ask.on_trial(),
        .homeRegions = homeRegionsOf(ask),
        .deadline = now + std::chrono::milliseconds(ask.answer_in_ms()),
        .tried = {},
        .objectiveAt = now + std::chrono::milliseconds(ask.objective_in_ms()),
        .latestStart = {},
        .queueExpiresAt = {},
        .contentHash = ask.content_hash(),
        .arrival = {},
        .upstream = {},
        .grant = {},
        .refusal = {},
        .decisionSentAt = {},
    };
    for (const std::string &tried : ask.tried()) {
        request.tried.insert(InstanceName{tried});
    }
    request.latestStart = request.objectiveAt - likelyAnswerTime(request);
    // A request that can no longer be on time gets a slot that is free now or is refused: if it kept waiting, it would use the next slot instead
    // of a request that can still be on time, and in an overload every request would be late. A prompt whose prefill takes most of its objective
    // may still wait, since the longest prompts would hardly ever be served otherwise.
    const TimePoint minWaitEndsAt = now + std::max<Duration>(request.objectiveAt - now, Duration::zero()) / MinWaitDivisor;
    request.queueExpiresAt = std::min(std::max(request.latestStart, minWaitEndsAt), request.deadline);
    request.enqueuedAt = now;
    return request;
}

Duration PlacementServer::likelyAnswerTime(const TrackedRequest &request) const
{
    return std::max(m_pool.likelyAnswerTime(request.service, request.promptTokens), MinAnswerTime);
}

/// A request that was not granted here was granted by another server. The queue entry or slot that this server had assigned to it is released, since
/// it would be held for ever otherwise.
void PlacementServer::handlePlaced(const VmName &from, EntryVm &entryVm, const v1::PlacedRequest &placed, TimePoint now)
{
    const PlacementId id{placed.id()};
    TrackedRequest &request = entryVm.requests[id];
    const InstanceName upstream{placed.upstream()};
    if (request.upstream != upstream) {
        release(from, id, request);
        request = TrackedRequest{.service = request.service,
                                 .rank = request.rank,
                                 .promptTokens = placed.prompt_tokens(),
                                 .organisation = {},
                                 .isOnTrial = placed.on_trial(),
                                 .homeRegions = {},
                                 .deadline = {},
                                 .tried = {},
                                 .objectiveAt = {},
                                 .latestStart = {},
                                 .queueExpiresAt = {},
                                 .upstream = upstream,
                                 .grant = {},
                                 .refusal = {},
                                 .decisionSentAt = {}};
        acquireSlot(request, now);
    }
    request.stage = Stage::Sent;
    if (placed.early_pace_ms() > 0) {
        m_pool.recordEarlyPace(upstream, placed.early_pace_ms());
    }
    if (placed.first_event_ms() == 0 || request.prefillDone) {
        return;
    }
    request.prefillDone = true;
    m_pool.recordPrefillDone(upstream, request.promptTokens);
    if (request.promptTokens > 0) {
        m_pool.recordAnswerTime(request.service, request.promptTokens, placed.first_event_ms());
    }
    if (request.tokensToRead > 0) {
        m_pool.recordFirstEvent(upstream, static_cast<double>(request.tokensToRead), placed.first_event_ms());
    }
}

void PlacementServer::handleEnded(const VmName &from, EntryVm &entryVm, const v1::EndedRequest &ended, TimePoint now)
{
    const auto request = entryVm.requests.find(PlacementId{ended.id()});
    const InstanceName upstream{ended.upstream()};
    bool isEjected = false;
    switch (ended.outcome()) {
    case v1::PLACEMENT_SERVED:
        m_pool.recordSuccess(upstream);
        if (ended.pace_ms() > 0) {
            m_pool.recordPace(upstream, ended.pace_ms());
            m_pool.recordPauses(upstream, ended.pace_ms(), ended.longest_pause_ms());
            if (request != entryVm.requests.end() && request->second.promptTokens == 0) {
                m_pool.recordAnswerTime(request->second.service, 0, ended.pace_ms());
            }
        }
        break;
    case v1::PLACEMENT_FAILED:
        isEjected = m_pool.recordFailure(upstream, now);
        break;
    case v1::PLACEMENT_UNREACHABLE:
        isEjected = m_pool.recordUnreachable(upstream, from, now);
        break;
    case v1::PLACEMENT_REFUSED:
        m_pool.recordRefusal(upstream, now);
        break;
    case v1::PLACEMENT_MISDIRECTED:
        m_pool.recordMisdirection(upstream, now);
        break;
    default:
        break;
    }
    if (request != entryVm.requests.end()) {
        const std::set<v1::PlacementOutcome> notRun{v1::PLACEMENT_REFUSED, v1::PLACEMENT_MISDIRECTED, v1::PLACEMENT_UNREACHABLE};
        if (notRun.contains(ended.outcome())) {
            refundShare(request->second);
        }
        if (ended.outcome() != v1::PLACEMENT_CANCELLED) {
            request->second.chargedMs = 0;
        }
    }
    if (isEjected) {
        m_ejections.push_back(Ejection{.upstream = upstream, .reportedBy = from, .outcome = ended.outcome()});
    }
}

/// Releases what the request holds: its queue entry and its charge on the limit while it waits, its slot at the upstream afterwards.
void PlacementServer::release(const VmName &from, PlacementId id, const TrackedRequest &request)
{
    if (request.stage == Stage::Waiting && !request.service.value.empty()) {
        m_services[request.service].queue.remove(RequestKey{from, id});
        m_limits.refund(request.organisation, request.cost);
    }
    if (request.stage == Stage::Granted) {
        // The entry VM never said that it sent the request.
        refundShare(request);
    }
    if (request.upstream.value.empty()) {
        return;
    }
    if (!request.prefillDone) {
        m_pool.recordPrefillDone(request.upstream, request.promptTokens);
    }
    if (request.isOnTrial) {
        m_pool.recordTrialEnded(request.upstream);
    }
    m_pool.releaseSlot(request.upstream);
}

void PlacementServer::acquireSlot(const TrackedRequest &request, TimePoint now)
{
    if (request.isOnTrial) {
        m_pool.recordTrialStarted(request.upstream);
    }
    m_pool.acquireSlot(request.upstream, request.promptTokens, now);
}

void PlacementServer::releaseAll(const VmName &from, const EntryVm &entryVm)
{
    for (const auto &[id, request] : entryVm.requests) {
        release(from, id, request);
    }
}

void PlacementServer::expireTimedOut(TimePoint now)
{
    rescaleShares(now);
    m_shares.expireTimedOut(now);
    m_pool.expireTimedOut(now);
    m_peerWaiting.expire(now);
    for (auto &[name, service] : m_services) {
        service.returns.expire(now);
    }
    for (auto &[vm, entryVm] : m_entryVms) {
        std::erase_if(entryVm.pauses, [now](const auto &pair) { return pair.second <= now; });
    }
    std::erase_if(m_entryVms, [&](const auto &pair) {
        const bool isTimedOut = now - pair.second.lastReceivedAt > EntryVmTimeout;
        if (isTimedOut) {
            releaseAll(pair.first, pair.second);
        }
        return isTimedOut;
    });
    updateCoverage(now);
}

std::vector<VmName> PlacementServer::activePeers(TimePoint now) const
{
    std::vector<VmName> active;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.entryVmCount > 0 && now - peer.lastReceivedAt <= PeerTimeout) {
            active.push_back(vm);
        }
    }
    return active;
}

bool PlacementServer::hasRequests() const
{
    return std::ranges::any_of(m_entryVms, [](const auto &pair) { return !pair.second.requests.empty(); });
}

std::size_t PlacementServer::waitingCount() const
{
    std::size_t count = 0;
    for (const auto &[name, service] : m_services) {
        count += service.queue.size();
    }
    return count;
}

}
