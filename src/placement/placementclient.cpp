#include "placement/placementclient.h"

#include "common/address.h"
#include "placement/placementorder.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Five signs of life (PlacementServer, 30 ms apart). A VM whose CPU quota is used up stands still for a tenth of a second at most.
constexpr Duration SilenceLimit = std::chrono::milliseconds(150);
/// A VM that restarted or was frozen is back in some seconds; asked sooner, each try costs a silence.
constexpr Duration PassOver = std::chrono::seconds(3);
/// At some 65 bytes an ask this is 26 KB, under half of what a datagram carries; the rest is told when these have ended.
constexpr std::size_t MostTold = 400;

std::string inputsOf(const v1::PlacementGrant &grant, const VmName &from)
{
    return "tokens_to_read=" + std::to_string(grant.tokens_to_read()) + " in_flight=" + std::to_string(grant.in_flight())
        + " predicted_ms=" + std::to_string(grant.predicted_ms()) + " list_age_ms=" + std::to_string(grant.list_age_ms()) + " placed_by=" + from.value;
}

}

void PlacementClient::setCandidates(const v1::FleetTally &fleet)
{
    m_ranked.clear();
    for (const v1::PlacementVm &vm : fleet.placement_vms()) {
        m_ranked[DataCentreName{vm.data_centre()}].push_back(VmName{vm.vm()});
    }
    for (auto &[dataCentre, vms] : m_ranked) {
        std::ranges::sort(vms, {}, placementOrder);
    }
}

const VmName &PlacementClient::server(TimePoint now) const
{
    const auto here = m_ranked.find(m_here);
    if (here == m_ranked.end()) {
        return m_self;
    }
    for (const VmName &vm : here->second) {
        const auto passedOver = m_passedOverUntil.find(vm);
        if (passedOver == m_passedOverUntil.end() || passedOver->second <= now) {
            return vm;
        }
    }
    return m_self;
}

PlacementId PlacementClient::requestPlacement(SlotRequest wish, TimePoint now)
{
    if (!anyWaiting()) {
        m_heard = now;
    }
    ++m_waiting;
    const PlacementId id{++m_lastId};
    m_held.emplace(id, Held{.wish = std::move(wish), .upstream = {}});
    return id;
}

void PlacementClient::recordFirstEvent(PlacementId id, Duration after)
{
    if (const auto held = m_held.find(id); held != m_held.end()) {
        held->second.firstEventMs = static_cast<std::uint32_t>(std::max<std::int64_t>(1, wholeMilliseconds(after)));
        held->second.toldIn = 0;
    }
}

void PlacementClient::recordEarlyPace(PlacementId id, double paceMs)
{
    if (const auto held = m_held.find(id); held != m_held.end()) {
        held->second.earlyPaceMs = paceMs;
        held->second.toldIn = 0;
    }
}

void PlacementClient::ended(PlacementId id, v1::PlacementOutcome outcome, const AnswerPace &pace)
{
    const auto held = m_held.find(id);
    if (held == m_held.end()) {
        return;
    }
    if (held->second.placed) {
        v1::EndedRequest &ended = m_ended.emplace_back();
        ended.set_id(id.value);
        ended.set_upstream(held->second.upstream.value);
        ended.set_outcome(outcome);
        ended.set_pace_ms(pace.meanMs);
        ended.set_longest_pause_ms(pace.longestPauseMs);
    } else {
        --m_waiting;
    }
    m_held.erase(held);
}

v1::EntryState PlacementClient::state(TimePoint now)
{
    if (server(now) != m_confirmedBy) {
        m_confirmedBy = server(now);
        forgetConfirmed();
    }
    v1::EntryState state;
    state.set_incarnation(m_incarnation);
    state.set_sequence(++m_states);
    state.mutable_ended()->Add(m_ended.begin(), m_ended.end());
    m_ended.clear();
    std::size_t told = 0;
    for (auto &[id, held] : m_held) {
        if (++told > MostTold) {
            break;
        }
        if (held.toldIn > 0 && held.toldIn <= m_confirmed) {
            state.add_unchanged(id.value);
            continue;
        }
        held.toldIn = held.toldIn > 0 ? held.toldIn : m_states;
        tell(id, held, state, now);
    }
    return state;
}

v1::EntryState PlacementClient::departure()
{
    v1::EntryState state;
    state.set_incarnation(m_incarnation);
    state.set_sequence(++m_states);
    state.set_leaves(true);
    return state;
}

/// Another server, or another process of it, is told everything.
void PlacementClient::forgetConfirmed()
{
    m_confirmed = 0;
    for (auto &[id, held] : m_held) {
        held.toldIn = 0;
    }
}

void PlacementClient::tell(PlacementId id, const Held &held, v1::EntryState &state, TimePoint now) const
{
    if (held.placed) {
        v1::PlacedRequest &placed = *state.add_placed();
        placed.set_id(id.value);
        placed.set_upstream(held.upstream.value);
        placed.set_prompt_tokens(held.wish.promptTokens);
        placed.set_first_event_ms(held.firstEventMs);
        placed.set_early_pace_ms(held.earlyPaceMs);
        return;
    }
    v1::PlacementAsk &requestPlacement = *state.add_asks();
    requestPlacement.set_id(id.value);
    requestPlacement.set_service(held.wish.service.value);
    requestPlacement.set_rank(held.wish.rank);
    requestPlacement.set_prompt_tokens(held.wish.promptTokens);
    requestPlacement.set_objective_in_ms(static_cast<std::int32_t>(wholeMilliseconds(held.wish.objectiveAt - now)));
    requestPlacement.set_answer_in_ms(static_cast<std::int32_t>(wholeMilliseconds(held.wish.deadline - now)));
    requestPlacement.set_draw_permille(held.wish.draw);
    requestPlacement.set_organisation(held.wish.organisation.value);
    requestPlacement.set_cost(held.wish.cost);
    requestPlacement.set_longest_pause_ms(held.wish.maxPauseMs);
    requestPlacement.set_expected_events(held.wish.expectedEvents);
    for (const InstanceName &tried : held.wish.tried) {
        requestPlacement.add_tried(tried.value);
    }
}

std::vector<PlacementAnswer> PlacementClient::handleReply(const VmName &from, const v1::PlacementReply &reply, TimePoint now)
{
    std::vector<PlacementAnswer> answers;
    if (from != server(now) || reply.incarnation() != m_incarnation) {
        return answers;
    }
    m_heard = now;
    m_confirmed = std::max(m_confirmed, reply.seen());
    if (reply.tell_all()) {
        forgetConfirmed();
    }
    if (reply.leaving()) {
        m_passedOverUntil[from] = now + PassOver;
    }
    for (const v1::PlacementGrant &grant : reply.grants()) {
        if (std::optional<PlacementGranted> granted = takeGrant(from, grant)) {
            answers.emplace_back(std::move(*granted));
        }
    }
    for (const v1::PlacementRefusal &refusal : reply.refusals()) {
        const auto held = m_held.find(PlacementId{refusal.id()});
        if (held != m_held.end() && !held->second.placed) {
            answers.emplace_back(PlacementRefused{
                .id = held->first,
                .retryAfter = std::chrono::milliseconds(refusal.retry_after_ms()),
                .overLimit = refusal.reason() == v1::PLACEMENT_OVER_LIMIT,
                .inputs = refusal.inputs(),
                .closedFor = std::chrono::milliseconds(refusal.closed_ms()),
            });
        }
    }
    return answers;
}

/// None: the caller has left, or the grant came twice, or its address can't be read (another version of the program sent it; the request ends at its
/// own time limit).
std::optional<PlacementGranted> PlacementClient::takeGrant(const VmName &from, const v1::PlacementGrant &grant)
{
    const auto found = m_held.find(PlacementId{grant.id()});
    const Result<Address> address = parseAddress(grant.address());
    if (found == m_held.end() || found->second.placed || !ok(address)) {
        return {};
    }
    Held &held = found->second;
    held.placed = true;
    held.toldIn = 0;
    held.upstream = InstanceName{grant.upstream()};
    --m_waiting;
    UpstreamInstance upstream{
        .name = held.upstream, .service = held.wish.service, .address = valueOf(address), .dataCentre = {}, .version = VersionName{grant.version()}};
    return PlacementGranted{.id = found->first, .upstream = std::move(upstream), .inputs = inputsOf(grant, from), .paceWanted = grant.pace_wanted()};
}

bool PlacementClient::passOverSilent(TimePoint now)
{
    const VmName &asked = server(now);
    if (!anyWaiting() || asked == m_self || now - m_heard < SilenceLimit) {
        return false;
    }
    m_passedOverUntil[asked] = now + PassOver;
    m_heard = now;
    return true;
}

}
