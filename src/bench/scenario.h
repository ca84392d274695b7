#pragma once

#include "bench/enginemodel.h"
#include "common/result.h"
#include "common/types.h"

#include <cstdint>
#include <string>
#include <vector>

/// Description of an experiment. docs/SCENARIOS.md describes the TOML form.
namespace cumindyke
{

/// Equal upstreams of a service, assigned to the data centres in turn.
struct ScenarioUpstreams
{
    /// The upstreams are named prefix-1, prefix-2, ...
    std::string prefix;
    ServiceName service;
    VersionName version;
    std::uint32_t count = 1;
    /// Declared slots of each upstream; the engine's batch may be smaller.
    std::uint32_t slots = 32;
    EngineSpeed speed;
};

/// A stream of requests with the same service, tier and distributions.
struct ScenarioArrivals
{
    ServiceName service;
    TierRank tier;
    /// Mean requests per second at load 1 (Poisson arrivals).
    double rate = 1;
    Duration from{};
    Duration until{};
    Duration deadline = std::chrono::seconds(30);
    /// Equally spaced quantiles of the lengths of prompts and answers in tokens.
    std::vector<double> prompt;
    std::vector<double> answer;
    /// Ratio of the prompt that requests with the same prefix share.
    double sharedPrefixRatio = 0.5;
    /// Number of prefixes of each organisation; the n-th is used in proportion to 1/n.
    std::uint32_t prefixes = 20;
    /// Ratio of the requests that state a limit for their answer, of one to two times its length.
    double statedLimitRatio = 0.5;
    std::string route = "completions";
};

struct ScenarioOrganisation
{
    OrganisationName name;
    std::uint32_t weight = 1;
    /// Its share of the arrivals, relative to the sum of all shares.
    double share = 1;
};

struct ScenarioFault
{
    enum class Kind {
        Slow, ///< the upstream's steps take `factor` times as long
        UpstreamFailed, ///< an upstream dies: its running requests fail and it refuses connections
        EntryVmFailed, ///< an entry VM dies and its requests fail
        SchedulerFailed, ///< a cell's scheduler dies; another VM takes over after the lease expires
    };
    Kind kind = Kind::Slow;
    /// Name of the upstream or cell, or index of the entry VM.
    std::string target;
    Duration at{};
    /// Zero: until the end of the run.
    Duration until{};
    double factor = 2;
};

struct Scenario
{
    std::string name;
    std::string description;
    std::uint32_t entryVms = 8;
    std::uint32_t dataCentres = 3;
    /// Network delay of a message between data centres; a quarter of it within a data centre.
    Duration oneWay = std::chrono::microseconds(400);
    Duration duration = std::chrono::seconds(40);
    double load = 1;
    std::vector<ScenarioUpstreams> upstreams;
    std::vector<ScenarioArrivals> arrivals;
    std::vector<ScenarioOrganisation> organisations;
    std::vector<ScenarioFault> faults;
};

/// Reads a scenario and the site file that it names, from the folder sites/ next to it. Errors name file, line, key and remedy.
Result<Scenario> readScenario(const std::string &fileName);

/// Returns the sorted names of the scenarios in a folder. Error: NotFound.
Result<std::vector<std::string>> listScenarios(const std::string &folder);

}
