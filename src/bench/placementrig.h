#pragma once

#include "bench/placementload.h"
#include "bench/placementreport.h"

namespace cumindyke
{

/// Plays a load on the shipped placement (PlacementClient on each entry VM, PlacementServer where they ask) in virtual time, with fakes at its
/// edges: callers that come back once after a refusal, messages with their delay, engines (EngineModel). The same seed gives the same outcome.
PlacementOutcome playPlacement(const PlacementLoad &load, std::uint64_t seed);

}
