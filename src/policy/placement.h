#pragma once

#include "common/types.h"
#include "policy/prefixindex.h"

#include <optional>
#include <span>

namespace cumindyke
{

/// Until it is learned: the time between two tokens of an answer on a busy engine.
constexpr double DefaultTokenMicroseconds = 25'000;
/// Prompt tokens that an engine prefills in the time of one answer token at full batch, the ratio of the engines we know.
constexpr double PrefillTokensPerToken = 500;

/// An upstream as the scheduler of its cell knows it.
struct UpstreamState
{
    /// Versions are numbered in the cell.
    std::uint32_t version = 0;
    /// Reachable, not leaving.
    bool usable = true;
    /// What the declarations allow.
    std::uint32_t slots = 1;
    /// What the engine was seen to run at once.
    double window = 1;
    /// Reported by entry VMs, and granted since.
    std::uint32_t inFlight = 0;
    std::uint32_t longInFlight = 0;
    double tokenMicroseconds = DefaultTokenMicroseconds;
    /// Whether the speed was measured. On a guess nothing is held back, or a fast engine would never be measured.
    bool speedMeasured = false;
    /// Prompt tokens granted and probably not prefilled yet, as of backlogAt.
    double prefillBacklog = 0;
    TimePoint backlogAt;

    double prefillMicroseconds() const
    {
        return tokenMicroseconds / PrefillTokensPerToken;
    }
    /// The backlog as it has shrunk by now.
    double backlog(TimePoint now) const;
    void addBacklog(double tokens, TimePoint now);
};

struct PlacementRequest
{
    std::uint32_t version = 0;
    TokenCount prompt;
    TokenCount answer;
    bool isLong = false;
    PrefixIndex::Mask cachedOn = 0;
    TimePoint deadline;
};

/// Which parts of placement are in use; experiments leave parts out.
struct PlacementOptions
{
    bool useAffinity = true;
    bool useSpeeds = true;
    bool useBacklog = true;
    bool capLongWork = true;
    /// Leaves an upstream alone on which the request would miss its deadline.
    bool respectDeadline = true;
};

/// The usable upstream with room on which the request would finish first, or nothing when none has room or would finish in time.
std::optional<std::uint32_t>
choosePlacement(std::span<const UpstreamState> upstreams, const PlacementRequest &request, const PlacementOptions &options, TimePoint now);

}
