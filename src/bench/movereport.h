#pragma once

#include "bench/moveoutcomes.h"

#include <string>

namespace cumindyke
{

/// Results of the runs of one scenario.
struct MoveSummary
{
    std::uint64_t runs = 0;
    std::uint64_t goodMoves = 0;
    std::uint64_t goodMovesInTime = 0;
    std::uint64_t goodMovesRolledBack = 0;
    std::uint64_t badMoves = 0;
    std::uint64_t movesRolledBack = 0;
    double maxBadShare = 0;
    double maxBadSecondsFailing = 0;
    double maxBadSecondsSlow = 0;
    double medianBadSeconds = 0;
    std::uint32_t maxFirstShare = 0;
};

/// Runs the seeds first to last on several threads; the result does not depend on the number of threads.
MoveSummary runMoves(const MoveScenario &scenario, std::uint64_t first, std::uint64_t last);

/// Returns the results as one JSON object.
std::string toJson(const MoveScenario &scenario, const MoveSummary &summary);

}
