#pragma once

#include "bench/enginemodel.h"
#include "common/result.h"
#include "common/types.h"

#include <cstdint>
#include <string>
#include <vector>

/// What an experiment is made of. docs/SCENARIOS.md describes the TOML form.
namespace cumindyke
{

/// Several equal upstreams of a service, spread in turn over the data centres.
struct ScenarioUpstreams
{
    /// Names are prefix-1, prefix-2, ...
    std::string prefix;
    ServiceName service;
    VersionName version;
    std::uint32_t count = 1;
    /// What the declarations allow; the engine's batch may be smaller.
    std::uint32_t slots = 32;
    EngineSpeed speed;
};

/// Requests of one kind.
struct ScenarioArrivals
{
    ServiceName service;
    TierRank tier;
    /// Requests a second at load 1, Poisson.
    double rate = 1;
    Duration from{};
    Duration until{};
    Duration deadline = std::chrono::seconds(30);
    /// Equally spaced quantiles of the lengths in tokens.
    std::vector<double> prompt;
    std::vector<double> answer;
    /// Part of the prompt that requests with the same prefix share.
    double sharedPart = 0.5;
    /// Prefixes of each organisation; the n-th is asked for in proportion to 1/n.
    std::uint32_t prefixes = 20;
    /// Part of the requests that say how long their answer may get, as a limit up to twice its length.
    double saysLength = 0.5;
    std::string route = "completions";
};

struct ScenarioOrganisation
{
    OrganisationName name;
    std::uint32_t weight = 1;
    /// Its part of the arrivals.
    double share = 1;
};

struct ScenarioFault
{
    enum class Kind {
        Slow, ///< an upstream's steps take factor times as long
        Lost, ///< an upstream dies; what it runs is lost, and connections to it are refused
        EntryLost, ///< an entry VM dies with the requests on it
        SchedulerLost, ///< a cell's scheduler dies; another VM takes over after the lease
    };
    Kind kind = Kind::Slow;
    /// The name of an upstream, VM or cell.
    std::string target;
    Duration at{};
    /// Zero: for good.
    Duration until{};
    double factor = 2;
};

struct Scenario
{
    std::string name;
    std::string description;
    std::uint32_t entryVms = 8;
    std::uint32_t dataCentres = 3;
    /// Between data centres; inside one a message takes a quarter.
    Duration oneWay = std::chrono::microseconds(400);
    Duration duration = std::chrono::seconds(40);
    double load = 1;
    std::vector<ScenarioUpstreams> upstreams;
    std::vector<ScenarioArrivals> arrivals;
    std::vector<ScenarioOrganisation> organisations;
    std::vector<ScenarioFault> faults;
};

/// Reads a scenario and the site file it names, from the scenario's folder. Errors name file, line, key and remedy.
Result<Scenario> readScenario(const std::string &fileName);

/// The names of the scenarios in a folder, sorted. Error: NotFound.
Result<std::vector<std::string>> listScenarios(const std::string &folder);

}
