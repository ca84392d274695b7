#pragma once

#include "policy/pendingqueue.h"

#include <algorithm>
#include <concepts>
#include <optional>
#include <vector>

namespace cumindyke
{

/// What shedding needs to know of the cells of a service: the floor under which nobody waits, and how fast requests run.
template<typename T>
concept FloorSource = requires(T source, const T constSource, const ServiceName &service, const PendingRequest &request, TierRank tier, TimePoint now)
{
    {
        constSource.mayShed(service, tier, now)
        } -> std::same_as<bool>;
    {
        constSource.refuseFrom(service, now)
        } -> std::same_as<std::optional<TierRank>>;
    {
        constSource.speed(service).run(request)
        } -> std::same_as<Duration>;
    source.setMustShed(service, std::optional<TierRank>(tier));
};

/// Notice for the other VMs to refuse lower tiers before a higher one must be shed: two messages each way, with room for a lost one.
constexpr Duration ShedNotice = std::chrono::milliseconds(100);
/// Answers longer than this are not looked for ahead of their deadline.
constexpr std::uint32_t LongestPredicted = 8192;

/// The predicted answer, or so much of it as can be done in half of the time there is. A prediction under which a request could not be
/// met even if it started at once is likelier wrong than the caller; without this one such request would count as shed for want of
/// capacity, and every lower tier would be refused for it.
template<FloorSource Source>
TokenCount feasibleAnswer(const Source &source, const PendingRequest &request, TimePoint now)
{
    const auto speed = source.speed(request.service);
    if (speed.perToken == Duration::zero()) {
        return request.answerTokens;
    }
    PendingRequest promptOnly = request;
    promptOnly.answerTokens = TokenCount{0};
    const Duration left = (request.deadline - now) / 2 - speed.run(promptOnly);
    const auto most = std::max<Duration::rep>(1, left / speed.perToken);
    return TokenCount{static_cast<std::uint32_t>(std::min<Duration::rep>(request.answerTokens.value, most))};
}

/// Takes from the queue what is to be refused now, and tells the source which tier must be shed soon. Call it every 10 to 20 ms.
///
/// A request is refused when it can no longer finish in time even on the best upstream, so that no prefill is spent on it; but not
/// while a lower tier waits anywhere in its cells: then the lower tiers are refused first, everywhere. Past its deadline it goes in any case.
template<FloorSource Source>
std::vector<PendingRequest> shedRequests(PendingQueue &queue, Source &source, const ServiceName &service, TimePoint now)
{
    // Step 1. What the cells say is to be refused for the sake of higher tiers.
    std::vector<PendingRequest> refused;
    if (const auto from = source.refuseFrom(service, now)) {
        refused = queue.takeFrom(*from);
    }
    // Step 2. What can't finish in time any more, and the highest tier of what soon can't.
    const auto speed = source.speed(service);
    const TimePoint horizon = now + ShedNotice + speed.perToken * LongestPredicted;
    std::optional<TierRank> mustShed;
    std::vector<RequestId> hopeless;
    for (const PendingRequest *request : queue.dueBefore(horizon)) {
        const TimePoint latestStart = request->deadline - speed.run(*request);
        if (now + ShedNotice < latestStart) {
            continue;
        }
        mustShed = mustShed ? std::min(*mustShed, request->tier) : request->tier;
        const bool lowest = queue.lowestTier() <= request->tier && source.mayShed(service, request->tier, now);
        if (now >= request->deadline || (now >= latestStart && lowest)) {
            hopeless.push_back(request->id);
            refused.push_back(*request);
        }
    }
    for (const RequestId &id : hopeless) {
        queue.remove(id);
    }
    source.setMustShed(service, mustShed);
    return refused;
}

}
