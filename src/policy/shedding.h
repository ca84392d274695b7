#pragma once

#include "policy/pendingqueue.h"

#include <algorithm>
#include <concepts>
#include <optional>
#include <vector>

namespace cumindyke
{

/// Supplies load shedding with the state of a service's cells: which tiers may be shed or are refused, and how fast requests run.
template<typename T>
concept ShedStateSource = requires(T source, const T constSource, const ServiceName &service, const PendingRequest &request, TierRank tier, TimePoint now)
{
    {
        constSource.mayShed(service, tier, now)
        } -> std::same_as<bool>;
    {
        constSource.refuseFrom(service, now)
        } -> std::same_as<std::optional<TierRank>>;
    {
        constSource.speed(service).runTime(request)
        } -> std::same_as<Duration>;
    source.setMustShed(service, std::optional<TierRank>(tier));
};

/// Time for the other VMs to refuse lower tiers before a higher tier must be shed: two messages each way, with margin for a lost one.
constexpr Duration ShedLeadTime = std::chrono::milliseconds(100);
/// Longest predicted answer for which queued requests are examined ahead of their deadline.
constexpr std::uint32_t MaxPredictedTokens = 8192;

/// Returns the predicted answer length, limited to what can be generated in half of the time to the deadline. When a prediction implies
/// that a request would miss its deadline even if it started at once, the prediction is more likely wrong than the caller's deadline.
/// Without the limit, one such request would count as shed for lack of capacity, and every lower tier would be refused because of it.
template<ShedStateSource Source>
TokenCount feasibleAnswer(const Source &source, const PendingRequest &request, TimePoint now)
{
    const auto speed = source.speed(request.service);
    if (speed.perToken == Duration::zero()) {
        return request.answerTokens;
    }
    PendingRequest promptOnly = request;
    promptOnly.answerTokens = TokenCount{0};
    const Duration generationTime = (request.deadline - now) / 2 - speed.runTime(promptOnly);
    const auto feasibleTokens = std::max<Duration::rep>(1, generationTime / speed.perToken);
    return TokenCount{static_cast<std::uint32_t>(std::min<Duration::rep>(request.answerTokens.value, feasibleTokens))};
}

/// Removes and returns the queued requests to be refused now, and sets the source's tier that must be shed soon. Call it every 10 to 20 ms.
///
/// A request is refused when it can no longer finish by its deadline even on the fastest upstream, so that no prefill is spent on it. While
/// requests of a lower tier wait anywhere in its cells, those are refused first, on every VM. A request past its deadline is always refused.
template<ShedStateSource Source>
std::vector<PendingRequest> shedRequests(PendingQueue &queue, Source &source, const ServiceName &service, TimePoint now)
{
    // Step 1. Remove the tiers that the cells' schedulers refuse in favour of higher tiers.
    std::vector<PendingRequest> refused;
    if (const auto firstRefusedTier = source.refuseFrom(service, now)) {
        refused = queue.removeTiersFrom(*firstRefusedTier);
    }
    // Step 2. Remove the requests that can't finish by their deadline any more, and find the highest tier among those that soon can't.
    const auto speed = source.speed(service);
    const TimePoint horizon = now + ShedLeadTime + speed.perToken * MaxPredictedTokens;
    std::optional<TierRank> mustShed;
    std::vector<RequestId> infeasible;
    for (const PendingRequest *request : queue.dueBy(horizon)) {
        const TimePoint latestStart = request->deadline - speed.runTime(*request);
        if (now + ShedLeadTime < latestStart) {
            continue;
        }
        mustShed = mustShed ? std::min(*mustShed, request->tier) : request->tier;
        const bool mayShedNow = queue.lowestPendingTier() <= request->tier && source.mayShed(service, request->tier, now);
        if (now >= request->deadline || (now >= latestStart && mayShedNow)) {
            infeasible.push_back(request->id);
            refused.push_back(*request);
        }
    }
    for (const RequestId &id : infeasible) {
        queue.remove(id);
    }
    source.setMustShed(service, mustShed);
    return refused;
}

}
