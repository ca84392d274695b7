#pragma once

#include "bench/moveoutcomes.h"

#include <string>

namespace cumindyke
{

/// The runs of one scenario, in the keys of the experiment tool.
struct MoveSummary
{
    std::uint64_t runs = 0;
    std::uint64_t movesGood = 0;
    std::uint64_t movesGoodInTime = 0;
    std::uint64_t goodTakenBack = 0;
    std::uint64_t movesBad = 0;
    std::uint64_t movesTakenBack = 0;
    double badShareMax = 0;
    double badSecondsMaxFail = 0;
    double badSecondsMaxSlow = 0;
    double badSecondsMedian = 0;
    std::uint32_t firstShareMax = 0;
};

/// Runs the seeds first to last on several threads; the result does not depend on how many.
MoveSummary runMoves(const MoveScenario &scenario, std::uint64_t first, std::uint64_t last);

/// One JSON object.
std::string toJson(const MoveScenario &scenario, const MoveSummary &summary);

}
