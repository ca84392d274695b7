// How a request gets its place at an upstream: the proxy task's part between admission and sending.

#include "proxy/proxytask.h"

#include "common/hash.h"
#include "common/log.h"

namespace cumindyke
{

namespace
{

constexpr std::uint32_t WholeSharePermille = 1000;

}

void ProxyTask::askForPlace(ProxyRequest &request)
{
    const ProxyOrder &order = request.order;
    request.place = m_placement->ask(PlacementWish{
        .service = order.service,
        .rank = order.rank.value,
        .promptTokens = order.promptTokens,
        .objectiveAt = order.objectiveAt,
        .answerBy = order.answerBy,
        .draw = static_cast<std::uint32_t>(checksum(order.id.value) % WholeSharePermille),
        .tried = request.tried,
        // A further try of a request is not charged again.
        .organisation = request.tried.empty() ? order.organisation : OrganisationName{},
        .cost = order.cost,
    });
    m_places[request.place] = request.local;
}

void ProxyTask::placed(const PlacementGranted &granted)
{
    const auto place = m_places.find(granted.id);
    ProxyRequest *request = place == m_places.end() ? nullptr : find(place->second);
    if (request) {
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
        logChange("proxy", "over-limit", {{"id", request->order.id.value}, {"inputs", refused.inputs}});
        answerRefusal(*request, ErrorKind::Overloaded, "the organisation's limit is reached", refused.retryAfter);
    } else {
        answerRefusal(*request, ErrorKind::Unavailable, "no upstream had room in time", refused.retryAfter);
    }
}

}
