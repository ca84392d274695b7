#pragma once

#include "common/types.h"
#include "policy/prefixindex.h"

#include <optional>
#include <span>

namespace cumindyke
{

/// Assumed time between two tokens of an answer on a busy engine until the engine's speed is measured.
constexpr double DefaultTokenMicroseconds = 25'000;
/// Prompt tokens that an engine prefills in the time of one answer token at full batch: the ratio of the known engines.
constexpr double PrefillTokensPerToken = 500;

/// The state of an upstream in its cell's scheduler.
struct UpstreamState
{
    /// Index of the upstream's version in the cell.
    std::uint32_t version = 0;
    /// Whether the upstream is reachable and not draining.
    bool usable = true;
    /// Declared limit of concurrent requests.
    std::uint32_t slots = 1;
    /// Estimated number of requests that the engine runs concurrently, at most slots.
    double window = 1;
    /// Requests in flight: reported by entry VMs, or granted and not reported yet.
    std::uint32_t inFlight = 0;
    std::uint32_t longInFlight = 0;
    /// Time between two tokens of an answer.
    double tokenMicroseconds = DefaultTokenMicroseconds;
    /// Whether the speed was measured. No request is withheld on an assumed speed, since a fast engine would then never be measured.
    bool speedMeasured = false;
    /// Granted prompt tokens that are probably not prefilled yet, as of backlogAt.
    double prefillBacklog = 0;
    TimePoint backlogAt;

    /// Returns the time to prefill one prompt token.
    double prefillMicroseconds() const
    {
        return tokenMicroseconds / PrefillTokensPerToken;
    }
    /// Returns the estimated prefill backlog in tokens, after the prefill done since backlogAt.
    double backlog(TimePoint now) const;
    /// Adds a granted prompt's tokens to the prefill backlog.
    void addBacklog(double tokens, TimePoint now);
};

/// A request to be placed.
struct PlacementRequest
{
    std::uint32_t version = 0;
    TokenCount prompt;
    TokenCount answer;
    bool isLong = false;
    /// The upstreams that probably have the prompt's prefix cached.
    PrefixIndex::Mask cachedOn = 0;
    TimePoint deadline;
};

/// Switches for the parts of placement, so that experiments can measure each one's effect.
struct PlacementOptions
{
    /// Prefers upstreams with a cached prefix.
    bool useAffinity = true;
    /// Uses measured instead of assumed speeds.
    bool useSpeeds = true;
    /// Counts the prefill backlog in the finish time.
    bool useBacklog = true;
    /// Limits the share of an upstream's window that long requests occupy.
    bool capLongWork = true;
    /// Excludes upstreams on which the request would miss its deadline.
    bool respectDeadline = true;
};

/// Returns the index of the usable upstream with a free slot on which the request would finish first, or nothing when no upstream has a
/// free slot or would finish the request by its deadline.
std::optional<std::uint32_t>
choosePlacement(std::span<const UpstreamState> upstreams, const PlacementRequest &request, const PlacementOptions &options, TimePoint now);

}
