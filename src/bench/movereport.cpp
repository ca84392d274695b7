#include "bench/movereport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace cumindyke
{

namespace
{

constexpr unsigned MaxThreads = 6;

void addRun(MoveSummary &summary, const MoveScenario &scenario, const MoveResult &run)
{
    ++summary.runs;
    summary.maxFirstShare = std::max(summary.maxFirstShare, run.firstShare);
    if (scenario.undecidable) {
        summary.movesRolledBack += run.rolledBack ? 1 : 0;
        return;
    }
    if (scenario.good) {
        ++summary.goodMoves;
        summary.goodMovesInTime += run.inTime ? 1 : 0;
        summary.goodMovesRolledBack += run.rolledBack ? 1 : 0;
        return;
    }
    ++summary.badMoves;
    summary.movesRolledBack += run.rolledBack ? 1 : 0;
    summary.maxBadShare = std::max(summary.maxBadShare, run.badShare);
    double &maxBadSeconds = scenario.slowsDown ? summary.maxBadSecondsSlow : summary.maxBadSecondsFailing;
    maxBadSeconds = std::max(maxBadSeconds, run.badSeconds);
}

}

MoveSummary runMoves(const MoveScenario &scenario, std::uint64_t first, std::uint64_t last)
{
    std::vector<MoveResult> runs(last - first + 1);
    std::atomic<std::uint64_t> next{0};
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < std::clamp(std::thread::hardware_concurrency(), 1U, MaxThreads); ++i) {
        threads.emplace_back([&] {
            for (std::uint64_t index = next++; index < runs.size(); index = next++) {
                runs[index] = runMove(scenario, first + index);
            }
        });
    }
    threads.clear();
    MoveSummary summary;
    std::vector<double> badSeconds;
    for (const MoveResult &run : runs) {
        addRun(summary, scenario, run);
        badSeconds.push_back(run.badSeconds);
    }
    std::ranges::sort(badSeconds);
    summary.medianBadSeconds = badSeconds[badSeconds.size() / 2];
    return summary;
}

std::string toJson(const MoveScenario &scenario, const MoveSummary &summary)
{
    const nlohmann::ordered_json json{
        {"scenario", scenario.name},
        {"seeds", summary.runs},
        {"policies",
         {{"cumindyke",
           {{"moves_good", summary.goodMoves},
            {"moves_good_in_time", summary.goodMovesInTime},
            {"moves_good_taken_back", summary.goodMovesRolledBack},
            {"moves_bad", summary.badMoves},
            {"moves_taken_back", summary.movesRolledBack},
            {"bad_share_max", summary.maxBadShare},
            {"bad_seconds_max_fail", summary.maxBadSecondsFailing},
            {"bad_seconds_max_slow", summary.maxBadSecondsSlow},
            {"bad_seconds_median", summary.medianBadSeconds},
            {"first_share_permille_max", summary.maxFirstShare}}}}},
    };
    return json.dump();
}

}
