#include "policy/placement.h"

#include <algorithm>
#include <limits>

namespace cumindyke
{

namespace
{

/// Part of a prompt that a cached prefix spares, as long as nothing better is known.
constexpr double SharedPart = 0.5;
/// Part of an upstream's window that long work may hold.
constexpr double LongShare = 0.25;

/// A cached prefix counts while the request would finish within this part of the time it has ...
constexpr double AffinitySlack = 0.8;
/// ... as if it finished in this part of the time.
constexpr double AffinityGain = 0.3;

bool hasRoom(const UpstreamState &upstream, const PlacementRequest &request, const PlacementOptions &options)
{
    const auto window = static_cast<std::uint32_t>(upstream.window);
    if (!upstream.usable || upstream.version != request.version || upstream.inFlight >= window) {
        return false;
    }
    // Long work in every slot would make short urgent work wait for seconds; engines don't interrupt what they run.
    return !options.capLongWork || !request.isLong || upstream.longInFlight < std::max<std::uint32_t>(1, static_cast<std::uint32_t>(window * LongShare));
}

}

double UpstreamState::backlog(TimePoint now) const
{
    const double done = static_cast<double>((now - backlogAt).count()) / prefillMicroseconds();
    return std::max(0.0, prefillBacklog - done);
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
    double bestFinish = std::numeric_limits<double>::max();
    const auto left = static_cast<double>((request.deadline - now).count());
    for (std::uint32_t i = 0; i < upstreams.size(); ++i) {
        const UpstreamState &upstream = upstreams[i];
        if (!hasRoom(upstream, request, options)) {
            continue;
        }
        // Step 1. Prompt tokens to prefill: its own that are not cached, behind those granted before.
        const bool cached = options.useAffinity && i < PrefixIndex::MaxUpstreams && (request.cachedOn >> i & 1U) != 0;
        double prompt = request.prompt.value * (cached ? 1 - SharedPart : 1);
        prompt += options.useBacklog ? upstream.backlog(now) : 0;
        // Step 2. The time of that and of the answer, at the upstream's learned speed.
        const double token = options.useSpeeds ? upstream.tokenMicroseconds : DefaultTokenMicroseconds;
        double finish = prompt * token / PrefillTokensPerToken + request.answer.value * token;
        if (options.respectDeadline && upstream.speedMeasured && finish > left) {
            continue;
        }
        // Step 3. With time to spare, an upstream that has the prefix cached goes first: a miss would hold up everything that runs there.
        if (cached && finish < left * AffinitySlack) {
            finish *= AffinityGain;
        }
        // Step 4. Among equal ones the emptiest.
        finish += upstream.inFlight / upstream.window;
        if (finish < bestFinish) {
            best = i;
            bestFinish = finish;
        }
    }
    return best;
}

}
