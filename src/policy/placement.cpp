#include "policy/placement.h"

#include <algorithm>
#include <limits>

namespace cumindyke
{

namespace
{

/// Assumed share of a prompt that a cached prefix covers; the actual share is unknown.
constexpr double CachedPrefixRatio = 0.5;
/// Largest share of an upstream's window that long requests may occupy.
constexpr double MaxLongWorkShare = 0.25;

/// A cached prefix is preferred only while the request would finish within this share of the time to its deadline.
constexpr double MaxAffinityTimeShare = 0.8;
/// Factor on the predicted finish time on an upstream whose cached prefix is preferred.
constexpr double AffinityFinishFactor = 0.3;

bool hasFreeSlot(const UpstreamState &upstream, const PlacementRequest &request, const PlacementOptions &options)
{
    const auto window = static_cast<std::uint32_t>(upstream.window);
    if (!upstream.usable || upstream.version != request.version || upstream.inFlight >= window) {
        return false;
    }
    // With long work in every slot, short urgent work would wait for seconds, since engines don't preempt running requests.
    return !options.capLongWork || !request.isLong || upstream.longInFlight < std::max<std::uint32_t>(1, static_cast<std::uint32_t>(window * MaxLongWorkShare));
}

}

double UpstreamState::backlog(TimePoint now) const
{
    const double prefilled = static_cast<double>((now - backlogAt).count()) / prefillMicroseconds();
    return std::max(0.0, prefillBacklog - prefilled);
}

void UpstreamState::addBacklog(double tokens, TimePoint now)
{
    prefillBacklog = backlog(now) + tokens;
    backlogAt = now;
}

std::optional<std::uint32_t>
choosePlacement(std::span<const UpstreamState> upstreams, const PlacementRequest &request, const PlacementOptions &options, TimePoint now)
{
    std::optional<std::uint32_t> best;
    double bestFinishTime = std::numeric_limits<double>::max();
    const auto timeLeft = static_cast<double>((request.deadline - now).count());
    for (std::uint32_t i = 0; i < upstreams.size(); ++i) {
        const UpstreamState &upstream = upstreams[i];
        if (!hasFreeSlot(upstream, request, options)) {
            continue;
        }
        // Step 1. Prompt tokens to prefill: the request's own uncached tokens, after those of earlier grants.
        const bool cached = options.useAffinity && i < PrefixIndex::MaxUpstreams && (request.cachedOn >> i & 1U) != 0;
        double prefillTokens = request.prompt.value * (cached ? 1 - CachedPrefixRatio : 1);
        prefillTokens += options.useBacklog ? upstream.backlog(now) : 0;
        // Step 2. The time for prefill and answer, at the upstream's measured speed.
        const double tokenTime = options.useSpeeds ? upstream.tokenMicroseconds : DefaultTokenMicroseconds;
        double finishTime = prefillTokens * tokenTime / PrefillTokensPerToken + request.answer.value * tokenTime;
        if (options.respectDeadline && upstream.speedMeasured && finishTime > timeLeft) {
            continue;
        }
        // Step 3. With time to spare, prefer an upstream that has the prefix cached: on another one, the prefill would delay all running requests.
        if (cached && finishTime < timeLeft * MaxAffinityTimeShare) {
            finishTime *= AffinityFinishFactor;
        }
        // Step 4. Among equals, prefer the upstream with the smallest share of its window in use.
        finishTime += upstream.inFlight / upstream.window;
        if (finishTime < bestFinishTime) {
            best = i;
            bestFinishTime = finishTime;
        }
    }
    return best;
}

}
