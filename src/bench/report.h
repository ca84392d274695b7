#pragma once

#include "bench/experiment.h"

#include <ostream>

namespace cumindyke
{

/// Results of one scenario by the policies' names.
struct ScenarioReport
{
    std::string scenario;
    std::uint64_t firstSeed = 1;
    std::uint64_t lastSeed = 1;
    std::map<std::string, ExperimentResult> policies;
};

/// One JSON object; docs/SCENARIOS.md lists its keys.
void printJson(std::ostream &out, const ScenarioReport &report);

/// A table for people.
void printTable(std::ostream &out, const ScenarioReport &report);

}
