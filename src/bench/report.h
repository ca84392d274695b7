#pragma once

#include "bench/experiment.h"

#include <ostream>

namespace cumindyke
{

/// Results of one scenario by policy name.
struct ScenarioReport
{
    std::string scenario;
    std::uint64_t firstSeed = 1;
    std::uint64_t lastSeed = 1;
    std::map<std::string, ExperimentResult> policies;
};

/// Prints one JSON object; docs/SCENARIOS.md lists its keys.
void printJson(std::ostream &out, const ScenarioReport &report);

/// Prints a table for human readers.
void printTable(std::ostream &out, const ScenarioReport &report);

}
