#include "bench/movereport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace cumindyke
{

namespace
{

constexpr unsigned MostThreads = 6;

void add(MoveSummary &summary, const MoveScenario &scenario, const MoveRun &run)
{
    ++summary.runs;
    summary.firstShareMax = std::max(summary.firstShareMax, run.firstShare);
    if (scenario.undecidable) {
        summary.movesTakenBack += run.takenBack ? 1 : 0;
        return;
    }
    if (scenario.good) {
        ++summary.movesGood;
        summary.movesGoodInTime += run.inTime ? 1 : 0;
        summary.goodTakenBack += run.takenBack ? 1 : 0;
        return;
    }
    ++summary.movesBad;
    summary.movesTakenBack += run.takenBack ? 1 : 0;
    summary.badShareMax = std::max(summary.badShareMax, run.badShare);
    double &slowest = scenario.slows ? summary.badSecondsMaxSlow : summary.badSecondsMaxFail;
    slowest = std::max(slowest, run.badSeconds);
}

}

MoveSummary runMoves(const MoveScenario &scenario, std::uint64_t first, std::uint64_t last)
{
    std::vector<MoveRun> runs(last - first + 1);
    std::atomic<std::uint64_t> next{0};
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < std::clamp(std::thread::hardware_concurrency(), 1U, MostThreads); ++i) {
        threads.emplace_back([&] {
            for (std::uint64_t index = next++; index < runs.size(); index = next++) {
                runs[index] = runMove(scenario, first + index);
            }
        });
    }
    threads.clear();
    MoveSummary summary;
    std::vector<double> badSeconds;
    for (const MoveRun &run : runs) {
        add(summary, scenario, run);
        badSeconds.push_back(run.badSeconds);
    }
    std::ranges::sort(badSeconds);
    summary.badSecondsMedian = badSeconds[badSeconds.size() / 2];
    return summary;
}

std::string toJson(const MoveScenario &scenario, const MoveSummary &summary)
{
    const nlohmann::ordered_json json{
        {"scenario", scenario.name},
        {"seeds", summary.runs},
        {"policies",
         {{"cumindyke",
           {{"moves_good", summary.movesGood},
            {"moves_good_in_time", summary.movesGoodInTime},
            {"moves_good_taken_back", summary.goodTakenBack},
            {"moves_bad", summary.movesBad},
            {"moves_taken_back", summary.movesTakenBack},
            {"bad_share_max", summary.badShareMax},
            {"bad_seconds_max_fail", summary.badSecondsMaxFail},
            {"bad_seconds_max_slow", summary.badSecondsMaxSlow},
            {"bad_seconds_median", summary.badSecondsMedian},
            {"first_share_permille_max", summary.firstShareMax}}}}},
    };
    return json.dump();
}

}
