#include "placement/placementclient.h"

#include "common/address.h"
#include "placement/placementorder.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Without an answer for this time another server is used. Servers answer every 30 ms, and a VM whose CPU quota is used up stalls for up to 100 ms.
constexpr Duration ServerTimeout = std::chrono::milliseconds(150);
/// A VM that restarted or was frozen is back within some seconds; using it again sooner costs a timeout each time.
constexpr Duration ExclusionTime = std::chrono::seconds(3);
/// 26 KB at 65 bytes per request, under half of a datagram. The other requests are sent when these have ended.
constexpr std::size_t MaxRequestsPerState = 400;

std::string describeInputs(const v1::PlacementGrant &grant, const VmName &from, std::optional<double> limitPerSecond)
{
    const std::string limit = limitPerSecond ? " limit_per_s=" + std::to_string(*limitPerSecond) : "";
    return "tokens_to_read=" + std::to_string(grant.tokens_to_read()) + " in_flight=" + std::to_string(grant.in_flight())
        + " predicted_ms=" + std::to_string(grant.predicted_ms()) + " list_age_ms=" + std::to_string(grant.list_age_ms()) + " placed_by=" + from.value + limit;
}

}

void PlacementClient::setCandidates(const v1::FleetTally &fleet)
{
    m_rankedServers.clear();
    for (const v1::PlacementVm &vm : fleet.placement_vms()) {
        m_rankedServers[DataCentreName{vm.data_centre()}].push_back(VmName{vm.vm()});
    }
    for (auto &[dataCentre, vms] : m_rankedServers) {
        std::ranges::sort(vms, {}, placementOrder);
    }
}

const VmName &PlacementClient::server(TimePoint now) const
{
    const auto localDataCentre = m_rankedServers.find(m_localDataCentre);
    if (localDataCentre == m_rankedServers.end()) {
        return m_self;
    }
    for (const VmName &vm : localDataCentre->second) {
        const auto excluded = m_excludedUntil.find(vm);
        if (excluded == m_excludedUntil.end() || excluded->second <= now) {
            return vm;
        }
    }
    return m_self;
}

PlacementId PlacementClient::requestPlacement(SlotRequest request, TimePoint now)
{
    if (!anyWaiting()) {
        m_lastReceivedAt = now;
    }
    ++m_waitingCount;
    const PlacementId id{++m_lastId};
    m_requests.emplace(id, TrackedRequest{.request = std::move(request), .upstream = {}});
    return id;
}

void PlacementClient::recordFirstEvent(PlacementId id, Duration after)
{
    if (const auto tracked = m_requests.find(id); tracked != m_requests.end()) {
        tracked->second.firstEventMs = static_cast<std::uint32_t>(std::max<std::int64_t>(1, wholeMilliseconds(after)));
        tracked->second.firstSentInState = 0;
    }
}

void PlacementClient::recordEarlyPace(PlacementId id, double paceMs)
{
    if (const auto tracked = m_requests.find(id); tracked != m_requests.end()) {
        tracked->second.earlyPaceMs = paceMs;
        tracked->second.firstSentInState = 0;
    }
}

void PlacementClient::ended(PlacementId id, v1::PlacementOutcome outcome, const AnswerPace &pace)
{
    const auto tracked = m_requests.find(id);
    if (tracked == m_requests.end()) {
        return;
    }
    if (tracked->second.placed) {
        v1::EndedRequest &ended = m_endedRequests.emplace_back();
        ended.set_id(id.value);
        ended.set_upstream(tracked->second.upstream.value);
        ended.set_outcome(outcome);
        ended.set_pace_ms(pace.meanMs);
        ended.set_longest_pause_ms(pace.longestPauseMs);
    } else {
        --m_waitingCount;
    }
    m_requests.erase(tracked);
}

v1::EntryState PlacementClient::state(TimePoint now)
{
    if (server(now) != m_confirmingServer) {
        m_confirmingServer = server(now);
        resetConfirmed();
    }
    v1::EntryState state;
    state.set_incarnation(m_incarnation);
    state.set_sequence(++m_lastStateSequence);
    state.mutable_ended()->Add(m_endedRequests.begin(), m_endedRequests.end());
    m_endedRequests.clear();
    m_namedLimits.write(state, m_confirmedSequence, now);
    m_signals.write(state, m_confirmedSequence, now);
    std::size_t written = 0;
    for (auto &[id, tracked] : m_requests) {
        if (++written > MaxRequestsPerState) {
            break;
        }
        if (tracked.firstSentInState > 0 && tracked.firstSentInState <= m_confirmedSequence) {
            state.add_unchanged(id.value);
            continue;
        }
        tracked.firstSentInState = tracked.firstSentInState > 0 ? tracked.firstSentInState : m_lastStateSequence;
        writeRequest(id, tracked, state, now);
    }
    return state;
}

v1::EntryState PlacementClient::buildDeparture()
{
    v1::EntryState state;
    state.set_incarnation(m_incarnation);
    state.set_sequence(++m_lastStateSequence);
    state.set_leaves(true);
    return state;
}

/// A different server, or a restarted one, needs all requests in full.
void PlacementClient::resetConfirmed()
{
    m_confirmedSequence = 0;
    m_namedLimits.resetConfirmed();
    m_signals.resetConfirmed();
    for (auto &[id, tracked] : m_requests) {
        tracked.firstSentInState = 0;
    }
}

void PlacementClient::writeRequest(PlacementId id, const TrackedRequest &tracked, v1::EntryState &state, TimePoint now) const
{
    if (tracked.placed) {
        v1::PlacedRequest &placed = *state.add_placed();
        placed.set_id(id.value);
        placed.set_upstream(tracked.upstream.value);
        placed.set_prompt_tokens(tracked.request.promptTokens);
        placed.set_first_event_ms(tracked.firstEventMs);
        placed.set_early_pace_ms(tracked.earlyPaceMs);
        placed.set_on_trial(tracked.request.isOnTrial);
        return;
    }
    v1::PlacementAsk &ask = *state.add_asks();
    ask.set_id(id.value);
    ask.set_service(tracked.request.service.value);
    ask.set_rank(tracked.request.rank);
    ask.set_prompt_tokens(tracked.request.promptTokens);
    ask.set_objective_in_ms(static_cast<std::int32_t>(wholeMilliseconds(tracked.request.objectiveAt - now)));
    ask.set_answer_in_ms(static_cast<std::int32_t>(wholeMilliseconds(tracked.request.deadline - now)));
    ask.set_draw_permille(tracked.request.rolloutPermille);
    ask.set_organisation(tracked.request.organisation.value);
    ask.set_cost(tracked.request.cost);
    ask.set_longest_pause_ms(tracked.request.maxPauseMs);
    ask.set_expected_events(tracked.request.expectedEvents);
    ask.set_on_trial(tracked.request.isOnTrial);
    ask.set_has_homes(tracked.request.homeRegions.has_value());
    for (const RegionName &region : tracked.request.homeRegions.value_or(std::set<RegionName>{})) {
        ask.add_home_regions(region.value);
    }
    ask.set_content_hash(tracked.request.contentHash);
    for (const InstanceName &tried : tracked.request.tried) {
        ask.add_tried(tried.value);
    }
}

std::vector<PlacementAnswer> PlacementClient::handleReply(const VmName &from, const v1::PlacementReply &reply, TimePoint now)
{
    std::vector<PlacementAnswer> answers;
    if (from != server(now) || reply.incarnation() != m_incarnation) {
        return answers;
    }
    m_lastReceivedAt = now;
    m_confirmedSequence = std::max(m_confirmedSequence, reply.seen());
    if (reply.tell_all()) {
        resetConfirmed();
    }
    if (reply.leaving()) {
        m_excludedUntil[from] = now + ExclusionTime;
    }
    for (const v1::PlacementGrant &grant : reply.grants()) {
        if (std::optional<PlacementGranted> granted = handleGrant(from, grant)) {
            answers.emplace_back(std::move(*granted));
        }
    }
    for (const v1::PlacementRefusal &refusal : reply.refusals()) {
        const auto tracked = m_requests.find(PlacementId{refusal.id()});
        if (tracked != m_requests.end() && !tracked->second.placed) {
            answers.emplace_back(PlacementRefused{
                .id = tracked->first,
                .retryAfter = std::chrono::milliseconds(refusal.retry_after_ms()),
                .reason = refusal.reason(),
                .inputs = refusal.inputs(),
                .timeUntilOpen = std::chrono::milliseconds(refusal.closed_ms()),
            });
        }
    }
    return answers;
}

/// Returns nothing if the caller has left, the grant is a duplicate, or its address can't be parsed (it comes from another version of the program;
/// the request then ends at its own deadline).
std::optional<PlacementGranted> PlacementClient::handleGrant(const VmName &from, const v1::PlacementGrant &grant)
{
    const auto found = m_requests.find(PlacementId{grant.id()});
    const Result<Address> address = parseAddress(grant.address());
    if (found == m_requests.end() || found->second.placed || !ok(address)) {
        return {};
    }
    TrackedRequest &tracked = found->second;
    tracked.placed = true;
    tracked.firstSentInState = 0;
    tracked.upstream = InstanceName{grant.upstream()};
    --m_waitingCount;
    UpstreamInstance upstream{.name = tracked.upstream,
                              .service = tracked.request.service,
                              .address = valueOf(address),
                              .dataCentre = DataCentreName{grant.data_centre()},
                              .version = VersionName{grant.version()},
                              .startedAtMs = grant.started_at_ms()};
    return PlacementGranted{.id = found->first,
                            .upstream = std::move(upstream),
                            .inputs = describeInputs(grant, from, m_namedLimits.find(tracked.upstream)),
                            .paceWanted = grant.pace_wanted()};
}

bool PlacementClient::replaceTimedOutServer(TimePoint now)
{
    const VmName &timedOutServer = server(now);
    if (!anyWaiting() || timedOutServer == m_self || now - m_lastReceivedAt < ServerTimeout) {
        return false;
    }
    m_excludedUntil[timedOutServer] = now + ExclusionTime;
    m_lastReceivedAt = now;
    return true;
}

}
