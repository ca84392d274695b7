// ProxyTask: placement of requests, between admission and sending.

#include "proxy/proxytask.h"

#include "common/hash.h"
#include "common/log.h"

namespace cumindyke
{

namespace
{

constexpr std::uint32_t WholePermille = 1000;
/// The same on all VMs, since a request may return to another one. A caller that constructs equal hashes only affects its own organisation.
constexpr std::uint64_t ContentHashSeed = 0x2545f4914f6cdd1d;

const char *describe(v1::PlacementRefusalReason reason)
{
    switch (reason) {
    case v1::PLACEMENT_EVACUATED:
        return "all data centres with upstreams of the service are evacuated";
    case v1::PLACEMENT_NOT_AT_HOME:
        return "no upstream of the service is in the home regions of the route and the organisation";
    default:
        return "no upstream had a free slot in time";
    }
}

}

void ProxyTask::requestPlacement(ProxyRequest &request)
{
    const ParsedRequest &order = request.parsed;
    request.placementId = m_placement->requestPlacement(SlotRequest{
        .service = order.service,
        .rank = order.rank.value,
        .promptTokens = order.promptTokens,
        .objectiveAt = order.objectiveAt,
        .deadline = order.deadline,
        .rolloutPermille = static_cast<std::uint32_t>(checksum(order.id.value) % WholePermille),
        .tried = request.tried,
        // Further attempts of a request are not charged.
        .organisation = request.tried.empty() ? order.organisation : OrganisationName{},
        .cost = order.cost,
        .maxPauseMs = order.route->pause_objective_ms(),
        .expectedEvents = order.expectedEvents,
        .isOnTrial = request.suspectState.trial.has_value(),
        .homeRegions = order.homeRegions,
        .contentHash = m_options.features.placement.plannedReturns ? request.content().hash(ContentHashSeed) : 0,
    });
    m_requestsByPlacement[request.placementId] = request.localId;
}

/// Refuses a request of an organisation over its limit here, without a placement request, while none of its requests can be admitted: an organisation
/// that sends several times its limit would use up the placement server's CPU with requests that are refused anyway.
void ProxyTask::requestPlacementOrRefuse(ProxyRequest &request, TimePoint now)
{
    if (!mayRun(request)) {
        return;
    }
    const auto closed = m_exhaustedLimits.find(request.parsed.organisation);
    if (closed != m_exhaustedLimits.end() && now < closed->second.until) {
        refuseOverLimit(request, closed->second);
        return;
    }
    requestPlacement(request);
}

void ProxyTask::refuseOverLimit(ProxyRequest &request, const ExhaustedLimit &limit)
{
    replyRefusal(request, ErrorKind::Overloaded, "the organisation's limit is reached", limit.retryAfter, limit.inputs);
}

void ProxyTask::onGranted(const PlacementGranted &granted)
{
    const auto found = m_requestsByPlacement.find(granted.id);
    ProxyRequest *request = found == m_requestsByPlacement.end() ? nullptr : find(found->second);
    if (request && !m_suspects.isUnsuspected(request->content(), request->suspectState)) {
        // It became a suspect while it waited for the slot.
        endCall(*request, v1::PLACEMENT_CANCELLED);
        requestPlacementOrRefuse(*request, EventLoop::now());
    } else if (request && (!mayRunAt(*request, granted.upstream.dataCentre) || isHeld(granted.upstream))) {
        returnGrant(*request, granted.upstream, EventLoop::now());
    } else if (request && !endsInGrace(*request, EventLoop::now())) {
        endForShutdown(*request);
    } else if (request) {
        request->paceWanted = granted.paceWanted;
        send(*request, granted.upstream, granted.inputs, EventLoop::now());
    }
}

/// The placement server may have lost its connection to the control replicas, and not know an evacuation that this VM knows.
bool ProxyTask::mayRunAt(const ProxyRequest &request, const DataCentreName &dataCentre) const
{
    if (m_evacuated.contains(dataCentre)) {
        return false;
    }
    if (!request.parsed.homeRegions) {
        return true;
    }
    const auto region = m_options.pool.regions.find(dataCentre);
    return region != m_options.pool.regions.end() && request.parsed.homeRegions->contains(region->second);
}

/// The grant was under way when the upstream asked for a pause, or said that it is leaving.
bool ProxyTask::isHeld(const UpstreamInstance &upstream) const
{
    return m_placement->isHeld(processOf(upstream));
}

void ProxyTask::returnGrant(ProxyRequest &request, const UpstreamInstance &upstream, TimePoint now)
{
    logChange("proxy", "grant-returned", {{"id", request.parsed.id.value}, {"upstream", upstream.name.value}, {"data_centre", upstream.dataCentre.value}});
    m_metrics.counter("cumindyke_returned_grants_total", "Grants of upstreams that are evacuated or outside the request's home regions", {}).add();
    endCall(request, v1::PLACEMENT_CANCELLED);
    request.tried.insert(upstream.name);
    requestPlacementOrRefuse(request, now);
}

void ProxyTask::onEjected(const PlacementServer::Ejection &ejection)
{
    const char *why = ejection.outcome == v1::PLACEMENT_UNREACHABLE ? "unreachable" : "failed";
    logChange("placement", "upstream-ejected", {{"upstream", ejection.upstream.value}, {"reported_by", ejection.reportedBy.value}, {"why", why}});
    m_metrics.counter("cumindyke_upstream_ejections_total", "Times an upstream was ejected, since requests or connections to it failed", {{"why", why}}).add();
}

void ProxyTask::onSlotsLeft(const PeerWaiting::Report &report)
{
    for (const PeerWaiting::LeftSlots &left : report.left) {
        logChange("placement",
                  "slots-left",
                  {{"service", left.service.value}, {"to", left.to.value}, {"rank", std::to_string(left.rank.value)}, {"count", std::to_string(left.count)}});
    }
    const auto add = [this](const char *used, std::uint64_t count) {
        m_metrics.counter("cumindyke_left_slots_total", "Free slots that were left to more urgent requests in other data centres", {{"used", used}})
            .add(static_cast<double>(count));
    };
    add("yes", report.used);
    add("no", report.unused);
}

void ProxyTask::onReturnsCounted(const ReturnCounts &counts)
{
    const auto count = [this](const char *end, std::uint64_t returns) {
        if (returns > 0) {
            m_metrics.counter("cumindyke_returns_total", "Returns of refused requests that had a claim", {{"end", end}}).add(static_cast<double>(returns));
        }
    };
    count("kept", counts.kept);
    count("early", counts.early);
    count("expired", counts.expired);
    if (counts.arrivalRefusals > 0) {
        m_metrics.counter("cumindyke_arrival_refusals_total", "Requests refused at arrival, since they could not be in time", {})
            .add(static_cast<double>(counts.arrivalRefusals));
    }
}

void ProxyTask::onRefused(const PlacementRefused &refused)
{
    const auto found = m_requestsByPlacement.find(refused.id);
    ProxyRequest *request = found == m_requestsByPlacement.end() ? nullptr : find(found->second);
    if (!request) {
        return;
    }
    if (request->attempts.mayHaveRun()) {
        replyFailure(*request, ErrorKind::OutcomeUnknown, "no upstream had a free slot for another attempt");
    } else if (refused.reason == v1::PLACEMENT_OVER_LIMIT) {
        ExhaustedLimit &limit = m_exhaustedLimits[request->parsed.organisation];
        limit = ExhaustedLimit{.until = EventLoop::now() + refused.timeUntilOpen, .retryAfter = refused.retryAfter, .inputs = refused.inputs};
        refuseOverLimit(*request, limit);
    } else {
        replyRefusal(*request, ErrorKind::Unavailable, describe(refused.reason), refused.retryAfter, refused.inputs);
    }
}

}
