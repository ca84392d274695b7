// How a request gets its place at an upstream: the proxy task's part between admission and sending.

#include "proxy/proxytask.h"

#include "common/hash.h"

namespace cumindyke
{

namespace
{

constexpr std::uint32_t WholeSharePermille = 1000;

}

void ProxyTask::askForPlace(ProxyRequest &request)
{
    const ParsedRequest &order = request.order;
    request.place = m_placement->requestPlacement(SlotRequest{
        .service = order.service,
        .rank = order.rank.value,
        .promptTokens = order.promptTokens,
        .objectiveAt = order.objectiveAt,
        .deadline = order.deadline,
        .rolloutPermille = static_cast<std::uint32_t>(checksum(order.id.value) % WholeSharePermille),
        .tried = request.tried,
        // A further try of a request is not charged again.
        .organisation = request.tried.empty() ? order.organisation : OrganisationName{},
        .cost = order.cost,
        .maxPauseMs = order.route->pause_objective_ms(),
        .expectedEvents = order.expectedEvents,
    });
    m_places[request.place] = request.local;
}

/// A request of an organisation over its limit is refused here, without asking, while nothing of it can pass: one that sends several times
/// its limit would use up the placement server's processor with requests that are refused.
void ProxyTask::askOrRefuse(ProxyRequest &request, TimePoint now)
{
    const auto closed = m_closedLimits.find(request.order.organisation);
    if (closed != m_closedLimits.end() && now < closed->second.until) {
        answerOverLimit(request, closed->second);
        return;
    }
    askForPlace(request);
}

void ProxyTask::answerOverLimit(ProxyRequest &request, const ClosedLimit &limit)
{
    answerRefusal(request, ErrorKind::Overloaded, "the organisation's limit is reached", limit.retryAfter, limit.inputs);
}

void ProxyTask::placed(const PlacementGranted &granted)
{
    const auto place = m_places.find(granted.id);
    ProxyRequest *request = place == m_places.end() ? nullptr : find(place->second);
    if (request) {
        request->paceWanted = granted.paceWanted;
        send(*request, granted.upstream, granted.inputs, EventLoop::now());
    }
}

void ProxyTask::notPlaced(const PlacementRefused &refused)
{
    const auto place = m_places.find(refused.id);
    ProxyRequest *request = place == m_places.end() ? nullptr : find(place->second);
    if (!request) {
        return;
    }
    if (request->attempts.mayHaveRun()) {
        answerFailure(*request, ErrorKind::OutcomeUnknown, "no upstream had room for another try");
    } else if (refused.overLimit) {
        ClosedLimit &limit = m_closedLimits[request->order.organisation];
        limit = ClosedLimit{.until = EventLoop::now() + refused.timeUntilOpen, .retryAfter = refused.retryAfter, .inputs = refused.inputs};
        answerOverLimit(*request, limit);
    } else {
        answerRefusal(*request, ErrorKind::Unavailable, "no upstream had room in time", refused.retryAfter);
    }
}

}
