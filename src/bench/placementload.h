#pragma once

#include "bench/enginemodel.h"
#include "common/result.h"
#include "common/types.h"

#include <cstdint>
#include <string>
#include <vector>

/// A load on the placement of routed requests: routes, organisations, engines and what goes wrong. docs/SCENARIOS.md describes the TOML form.
namespace cumindyke
{

/// Requests of one route.
struct LoadRoute
{
    std::string name;
    std::uint32_t priority = 0;
    /// Requests a second at load 1, Poisson.
    double rate = 1;
    Duration objective{};
    Duration deadline{};
    /// Longest pause between events of an answer on time.
    Duration longestPause{};
    /// What a mean request is worth on time, and late.
    double worth = 1;
    double lateWorth = 0.3;
    /// Equally spaced quantiles of the lengths in tokens.
    std::vector<double> prompt;
    std::vector<double> answer;
};

struct LoadOrganisation
{
    OrganisationName name;
    std::uint32_t priority = 0;
    /// Its part of the arrivals.
    double share = 1;
    /// Tokens a second, and at once; 0: no limit.
    std::uint64_t rateLimit = 0;
    std::uint64_t burstLimit = 0;
};

/// Equal engines, spread in turn over the data centres.
struct LoadEngines
{
    std::string prefix;
    std::uint32_t count = 1;
    /// 1 is the normal speed, 2 is twice as slow.
    double slowness = 1;
    EngineSpeed speed;
};

/// For a while more is asked for: by everybody, on one route, or by one organisation.
struct LoadSurge
{
    Duration at{};
    Duration until{};
    double factor = 1;
    /// Empty: all.
    std::string route;
    std::string organisation;
};

/// An engine dies; what it runs is lost.
struct LoadLoss
{
    std::string engine;
    Duration at{};
    Duration until{};
};

struct PlacementLoad
{
    std::string name;
    std::string description;
    std::uint32_t entryVms = 7;
    std::uint32_t dataCentres = 3;
    Duration oneWay = std::chrono::microseconds(900);
    Duration duration = std::chrono::seconds(30);
    double load = 1;
    /// Tokens of one event of a stream.
    std::uint32_t tokensPerEvent = 1;
    std::vector<LoadRoute> routes;
    std::vector<LoadOrganisation> organisations;
    std::vector<LoadEngines> engines;
    std::vector<LoadSurge> surges;
    std::vector<LoadLoss> losses;
};

/// Reads a load. Errors name file, line, key and remedy.
Result<PlacementLoad> readPlacementLoad(const std::string &fileName);

/// A caller's request of a load.
struct LoadRequest
{
    std::uint32_t index = 0;
    const LoadRoute *route = nullptr;
    const LoadOrganisation *organisation = nullptr;
    std::uint32_t vm = 0;
    TimePoint arrival;
    std::uint32_t prompt = 0;
    std::uint32_t answer = 0;
    /// What the caller says of the answer's length: right at the median.
    std::uint32_t expectedAnswer = 0;
    /// On time; late it is worth "lateWorth" / "worth" of that.
    double worth = 0;
};

/// All requests of a load in order of arrival. The same seed gives the same requests on every machine.
std::vector<LoadRequest> makeLoadRequests(const PlacementLoad &load, std::uint64_t seed);

}
