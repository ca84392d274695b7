#pragma once

#include "bench/placementload.h"
#include "bench/placementreport.h"

namespace cumindyke
{

/// Simulates a load on the shipped placement code (a PlacementClient and a PlacementServer on each entry VM) in virtual time, with simulated
/// callers that retry once after a refusal, message delays and engines (EngineModel). The same seed gives the same outcome.
PlacementOutcome simulatePlacement(const PlacementLoad &load, std::uint64_t seed);

}
