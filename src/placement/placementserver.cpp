#include "placement/placementserver.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// What an answer takes at least while nothing was learned.
constexpr Duration LeastAnswerTime = std::chrono::milliseconds(50);
/// Every request may wait for a place for at least half of its objective.
constexpr int LeastWaitDivisor = 2;
constexpr Duration ShortestRetryAfter = std::chrono::milliseconds(500);
constexpr Duration LongestRetryAfter = std::chrono::seconds(5);
/// Without a refusal for this long an overload is over.
constexpr Duration OverloadEnds = std::chrono::seconds(1);
/// A load that its data centre can't carry comes and goes; each time the first requests wait for the others' parts of the list.
constexpr Duration KeepReadingFarther = std::chrono::seconds(3);
/// An answer that the entry VM does not know of after several round trips was lost.
constexpr Duration TellAgainAfter = std::chrono::milliseconds(15);
/// While something of an entry VM waits, it hears from this server so often that silence means that the server is gone.
constexpr Duration SignOfLife = std::chrono::milliseconds(30);
/// Notices come every 30 ms. One that is silent for so long is cut off, or goes on under its own part of the limits.
constexpr Duration PeerHolds = std::chrono::milliseconds(400);
/// Entry VMs tell their state several times a second while they have anything under way.
constexpr Duration EntryHolds = std::chrono::milliseconds(800);

/// What has no place for a request has none for one that is as large in prompt and answer.
struct Size
{
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedEvents = 0;

    bool isAsLargeAs(const Size &other) const
    {
        return promptTokens >= other.promptTokens && expectedEvents >= other.expectedEvents;
    }
};

/// As it stands in messages; nothing there is negative.
std::uint32_t wireMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, wholeMilliseconds(duration)));
}

}

void PlacementServer::setList(const std::vector<UpstreamInstance> &instances, TimePoint now)
{
    m_board.setList(instances, now);
    m_listReadAt = now;
}

void PlacementServer::takeListPart(const DataCentreName &dataCentre, const std::vector<UpstreamInstance> &instances, TimePoint now)
{
    m_board.takeListPart(dataCentre, instances, now);
    if (dataCentre == m_here) {
        m_listReadAt = now;
    }
}

bool PlacementServer::wantsFarther(TimePoint now) const
{
    return now < m_fartherWantedUntil;
}

void PlacementServer::handleNotice(const VmName &from, const v1::LoadNotice &notice, TimePoint now)
{
    m_board.handleNotice(from, notice, now);
    m_limits.handleNotice(from, notice, !hasRequests(), now);
    m_peers[from] = Peer{.heard = now, .entryVms = notice.entry_vms()};
    updateCoverage(now);
}

void PlacementServer::writeNotice(v1::LoadNotice &notice, bool forBackup, TimePoint now)
{
    m_board.writeNotice(notice, forBackup);
    m_limits.writeNotice(notice, forBackup, now);
    notice.set_entry_vms(static_cast<std::uint32_t>(m_entries.size()));
}

void PlacementServer::updateCoverage(TimePoint now)
{
    std::size_t covered = m_entries.size();
    for (const auto &[vm, peer] : m_peers) {
        covered += now - peer.heard <= PeerHolds ? peer.entryVms : 0;
    }
    m_limits.setCoverage(static_cast<double>(covered) / static_cast<double>(m_fleetSize), now);
}

void PlacementServer::handleState(const VmName &from, const v1::EntryState &state, TimePoint now)
{
    if (state.leaves()) {
        takeDeparture(from, state);
        updateCoverage(now);
        return;
    }
    Entry &entry = m_entries[from];
    if (entry.incarnation != state.incarnation()) {
        releaseAll(from, entry);
        entry = Entry{.incarnation = state.incarnation(), .heard = now, .due = {}};
    }
    if (state.sequence() <= entry.sequence) {
        return;
    }
    entry.sequence = state.sequence();
    entry.heard = now;
    updateCoverage(now);
    for (const v1::EndedRequest &ended : state.ended()) {
        takeEnded(ended, now);
    }
    std::vector<std::uint64_t> told(state.unchanged().begin(), state.unchanged().end());
    for (const v1::PlacedRequest &placed : state.placed()) {
        told.push_back(placed.id());
        takePlaced(from, entry, placed);
    }
    for (const v1::PlacementAsk &ask : state.asks()) {
        told.push_back(ask.id());
        takeAsk(from, entry, ask, now);
    }
    for (const std::uint64_t id : state.unchanged()) {
        tellAgain(entry, PlacementId{id}, now);
    }
    std::ranges::sort(told);
    // What the state no longer holds has ended, or its caller has left.
    std::erase_if(entry.items, [&](const auto &held) {
        const bool gone = !std::ranges::binary_search(told, held.first.value);
        if (gone) {
            release(from, held.first, held.second);
        }
        return gone;
    });
}

/// The VM's requests are counted by the server that it asks now. Counted here as well until the VM counts as silent, they would take every place twice:
/// for more than a second after each change of servers, requests waited and were refused beside engines with free places.
void PlacementServer::takeDeparture(const VmName &from, const v1::EntryState &state)
{
    const auto held = m_entries.find(from);
    if (held == m_entries.end() || held->second.incarnation != state.incarnation() || state.sequence() <= held->second.sequence) {
        return;
    }
    releaseAll(from, held->second);
    m_entries.erase(held);
}

/// The entry VM still waits: an answer that was sent some round trips ago was lost.
///
/// What this server does not know, it has forgotten: it restarted, or stood still until the VM counted as silent. Without being told so the VM
/// would go on with ids alone: its requests would wait in vain, and those under way would count nowhere.
void PlacementServer::tellAgain(Entry &entry, PlacementId id, TimePoint now)
{
    const auto known = entry.items.find(id);
    if (known == entry.items.end()) {
        entry.due.set_tell_all(true);
        return;
    }
    Item &item = known->second;
    if ((item.stage != Stage::Granted && item.stage != Stage::Refused) || now - item.toldAt < TellAgainAfter) {
        return;
    }
    item.toldAt = now;
    if (item.stage == Stage::Granted) {
        *entry.due.add_grants() = item.grant;
    } else {
        *entry.due.add_refusals() = item.refusal;
    }
}

void PlacementServer::takeAsk(const VmName &from, Entry &entry, const v1::PlacementAsk &ask, TimePoint now)
{
    const PlacementId id{ask.id()};
    if (entry.items.contains(id)) {
        tellAgain(entry, id, now);
        return;
    }
    Item &item = entry.items.emplace(id, itemOf(ask, now)).first->second;
    if (const auto wait = item.organisation.empty() ? std::nullopt : m_limits.take(item.organisation, item.cost, PriorityRank{ask.rank()}, now)) {
        item.refusal.set_inputs(m_limits.inputs(item.organisation) + " cost=" + std::to_string(item.cost));
        item.refusal.set_closed_ms(wireMilliseconds(m_limits.closedFor(item.organisation)));
        refuse(entry, id, item, v1::PLACEMENT_OVER_LIMIT, *wait, now);
        return;
    }
    m_services[item.service].line.add(AskKey{from, id}, PriorityRank{ask.rank()}, item.latestStart, item.giveUpAt);
}

PlacementServer::Item PlacementServer::itemOf(const v1::PlacementAsk &ask, TimePoint now) const
{
    Item item{
        .service = ServiceName{ask.service()},
        .promptTokens = ask.prompt_tokens(),
        .draw = ask.draw_permille(),
        .organisation = ask.organisation(),
        .cost = ask.cost(),
        .maxPauseMs = static_cast<double>(ask.longest_pause_ms()),
        .expectedEvents = ask.expected_events(),
        .deadline = now + std::chrono::milliseconds(ask.answer_in_ms()),
        .tried = {},
        .objectiveAt = now + std::chrono::milliseconds(ask.objective_in_ms()),
        .latestStart = {},
        .giveUpAt = {},
        .upstream = {},
        .grant = {},
        .refusal = {},
        .toldAt = {},
    };
    for (const std::string &tried : ask.tried()) {
        item.tried.insert(InstanceName{tried});
    }
    const Duration needed = std::max(m_board.soonestIdle(item.service, item.promptTokens), LeastAnswerTime);
    item.latestStart = item.objectiveAt - needed;
    // One that can't be on time any more takes a place that is free now, or is told when to come back: waiting, it would take the next place from those
    // that can still be on time, and in an overload everybody would be late. A prompt that takes most of its objective to read may wait all the same,
    // or the longest ones would hardly ever be served.
    const TimePoint leastWaitEnds = now + std::max<Duration>(item.objectiveAt - now, Duration::zero()) / LeastWaitDivisor;
    item.giveUpAt = std::min(std::max(item.latestStart, leastWaitEnds), item.deadline);
    return item;
}

/// One that was not granted here was granted by another server. What this one had planned for it, a wait or another upstream, is over: left
/// standing, it would hold a place for ever.
void PlacementServer::takePlaced(const VmName &from, Entry &entry, const v1::PlacedRequest &placed)
{
    const PlacementId id{placed.id()};
    Item &item = entry.items[id];
    const InstanceName upstream{placed.upstream()};
    if (item.upstream != upstream) {
        release(from, id, item);
        item = Item{.service = item.service,
                    .promptTokens = placed.prompt_tokens(),
                    .organisation = {},
                    .deadline = {},
                    .tried = {},
                    .objectiveAt = {},
                    .latestStart = {},
                    .giveUpAt = {},
                    .upstream = upstream,
                    .grant = {},
                    .refusal = {},
                    .toldAt = {}};
        m_board.sent(upstream, item.promptTokens);
    }
    item.stage = Stage::Sent;
    if (placed.early_pace_ms() > 0) {
        m_board.observedEarlyPace(upstream, placed.early_pace_ms());
    }
    if (placed.first_event_ms() == 0 || item.promptRead) {
        return;
    }
    item.promptRead = true;
    m_board.promptRead(upstream, item.promptTokens);
    if (item.tokensToRead > 0) {
        m_board.observedFirstEvent(upstream, static_cast<double>(item.tokensToRead), placed.first_event_ms());
    }
}

void PlacementServer::takeEnded(const v1::EndedRequest &ended, TimePoint now)
{
    const InstanceName upstream{ended.upstream()};
    switch (ended.outcome()) {
    case v1::PLACEMENT_SERVED:
        m_board.succeeded(upstream);
        if (ended.pace_ms() > 0) {
            m_board.observedPace(upstream, ended.pace_ms());
            m_board.observedPauses(upstream, ended.pace_ms(), ended.longest_pause_ms());
        }
        break;
    case v1::PLACEMENT_FAILED:
        m_board.failed(upstream, now);
        break;
    case v1::PLACEMENT_REFUSED:
        m_board.refused(upstream, now);
        break;
    case v1::PLACEMENT_MISDIRECTED:
        m_board.misdirected(upstream, now);
        break;
    default:
        break;
    }
}

/// Gives back what the request holds: its place in the line and its part of the limit while it waits, its place at the upstream afterwards.
void PlacementServer::release(const VmName &from, PlacementId id, const Item &item)
{
    if (item.stage == Stage::Waiting && !item.service.value.empty()) {
        m_services[item.service].line.remove(AskKey{from, id});
        m_limits.giveBack(item.organisation, item.cost);
    }
    if (item.upstream.value.empty()) {
        return;
    }
    if (!item.promptRead) {
        m_board.promptRead(item.upstream, item.promptTokens);
    }
    m_board.ended(item.upstream);
}

void PlacementServer::releaseAll(const VmName &from, const Entry &entry)
{
    for (const auto &[id, item] : entry.items) {
        release(from, id, item);
    }
}

void PlacementServer::expireTimedOut(TimePoint now)
{
    m_board.expireTimedOut(now);
    std::erase_if(m_entries, [&](const auto &held) {
        const bool silent = now - held.second.heard > EntryHolds;
        if (silent) {
            releaseAll(held.first, held.second);
        }
        return silent;
    });
    updateCoverage(now);
}

std::vector<VmName> PlacementServer::activePeers(TimePoint now) const
{
    std::vector<VmName> active;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.entryVms > 0 && now - peer.heard <= PeerHolds) {
            active.push_back(vm);
        }
    }
    return active;
}

bool PlacementServer::hasRequests() const
{
    return std::ranges::any_of(m_entries, [](const auto &held) { return !held.second.items.empty(); });
}

std::size_t PlacementServer::waitingCount() const
{
    std::size_t waitingCount = 0;
    for (const auto &[name, service] : m_services) {
        waitingCount += service.line.size();
    }
    return waitingCount;
}

Placement PlacementServer::place(const Item &item, TimePoint now) const
{
    PlacementQuery query{
        .service = item.service,
        .versions = {},
        .promptTokens = item.promptTokens,
        .tried = item.tried,
        .maxPauseMs = item.maxPauseMs,
        .expectedEvents = item.expectedEvents,
        .answerWithin = item.deadline - now,
    };
    const auto found = m_rollouts.find(item.service.value);
    if (found == m_rollouts.end()) {
        return m_board.choose(query, now);
    }
    const v1::Rollout &rollout = found->second;
    const bool completed = rollout.state() == v1::ROLLOUT_COMPLETED;
    const bool open = rollout.state() == v1::ROLLOUT_IN_PROGRESS;
    query.versions.target = VersionName{rollout.target()};
    query.versions.toTarget = completed || (open && item.draw < rollout.share_permille());
    const Placement placement = m_board.choose(query, now);
    if (placement.upstream || !open || !query.versions.toTarget) {
        return placement;
    }
    // The target's upstreams are not there yet, or full: the others take it.
    query.versions.toTarget = false;
    return m_board.choose(query, now);
}

void PlacementServer::grant(const AskKey &key, Item &item, const Placement &placement, TimePoint now)
{
    const UpstreamInstance &to = *placement.upstream;
    item.stage = Stage::Granted;
    item.upstream = to.name;
    item.tokensToRead = m_board.tokensAhead(to.name) + item.promptTokens;
    item.toldAt = now;
    m_board.sent(to.name, item.promptTokens);
    v1::PlacementGrant grant;
    grant.set_id(key.id.value);
    grant.set_upstream(to.name.value);
    grant.set_address(toString(to.address));
    grant.set_version(to.version.value);
    grant.set_tokens_to_read(item.tokensToRead);
    grant.set_in_flight(m_board.inFlight(to.name));
    grant.set_predicted_ms(wireMilliseconds(placement.predicted));
    grant.set_pace_wanted(!m_board.knowsPace(to.name));
    grant.set_list_age_ms(wireMilliseconds(now - m_listReadAt));
    item.grant = grant;
    *m_entries[key.vm].due.add_grants() = std::move(grant);
}

/// Grants as many waiting requests as there is room for, most urgent first.
void PlacementServer::pump(const ServiceName &name, Service &service, TimePoint now)
{
    std::vector<Size> noPlaceFor;
    for (const AskKey &key : service.line.inOrder(now)) {
        if (!m_board.hasRoom(name, now)) {
            m_fartherWantedUntil = now + KeepReadingFarther;
            return;
        }
        Item &item = m_entries[key.vm].items[key.id];
        const Size size{.promptTokens = item.promptTokens, .expectedEvents = item.expectedEvents};
        if (std::ranges::any_of(noPlaceFor, [&size](const Size &smaller) { return size.isAsLargeAs(smaller); })) {
            continue;
        }
        const Placement placement = place(item, now);
        if (placement.fartherMayHelp) {
            m_fartherWantedUntil = now + KeepReadingFarther;
        }
        if (!placement.upstream) {
            const bool special = !item.tried.empty() || m_rollouts.contains(name.value);
            if (!special) {
                noPlaceFor.push_back(size);
            }
            continue;
        }
        const bool onTime = now + placement.predicted <= item.objectiveAt;
        if (!onTime && now < item.latestStart) {
            continue; // Sent now, it would be late: a place at a faster upstream may become free in time.
        }
        service.line.remove(key);
        grant(key, item, placement, now);
    }
}

/// An overload that has lasted for a while is likely to last as long again: who comes back sooner is refused again.
Duration PlacementServer::retryAfterFull(Service &service, TimePoint now)
{
    if (now - service.refusedLast > OverloadEnds) {
        service.refusingSince = now;
    }
    service.refusedLast = now;
    return std::clamp(now - service.refusingSince, ShortestRetryAfter, LongestRetryAfter);
}

void PlacementServer::refuseOverdue(Service &service, TimePoint now)
{
    for (const AskKey &key : service.line.takeOverdue(now)) {
        Entry &entry = m_entries[key.vm];
        Item &item = entry.items[key.id];
        m_limits.giveBack(item.organisation, item.cost);
        refuse(entry, key.id, item, v1::PLACEMENT_NO_ROOM, retryAfterFull(service, now), now);
    }
}

void PlacementServer::refuse(Entry &entry, PlacementId id, Item &item, v1::PlacementRefusalReason reason, Duration retryAfter, TimePoint now)
{
    item.stage = Stage::Refused;
    item.toldAt = now;
    item.refusal.set_id(id.value);
    item.refusal.set_reason(reason);
    item.refusal.set_retry_after_ms(wireMilliseconds(retryAfter));
    *entry.due.add_refusals() = item.refusal;
}

/// A VM that is asked again after a while, or wakes from a freeze, holds a list from before: by it, upstreams that have left since got new
/// work for seconds after everybody else knew. It reads the list first, which takes some milliseconds. While the list can't be read, the old
/// one is better than none.
bool PlacementServer::listIsUsable(TimePoint now) const
{
    return now - m_listReadAt <= ListHolds || !m_board.isListReadable();
}

std::vector<PlacementServer::Reply> PlacementServer::advance(TimePoint now)
{
    for (auto &[name, service] : m_services) {
        if (listIsUsable(now)) {
            pump(name, service, now);
        }
        refuseOverdue(service, now);
    }
    std::vector<Reply> replies;
    for (auto &[vm, entry] : m_entries) {
        const bool decided = entry.due.grants_size() + entry.due.refusals_size() > 0 || entry.due.tell_all();
        const bool waits = std::ranges::any_of(entry.items, [](const auto &held) { return held.second.stage != Stage::Sent; });
        if (!decided && !(waits && now - entry.repliedAt >= SignOfLife)) {
            continue;
        }
        entry.repliedAt = now;
        entry.due.set_incarnation(entry.incarnation);
        entry.due.set_seen(entry.sequence);
        replies.emplace_back(vm, std::exchange(entry.due, {}));
    }
    return replies;
}

}
