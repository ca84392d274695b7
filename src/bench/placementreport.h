#pragma once

#include "bench/placementload.h"

#include <cstdint>
#include <map>
#include <ostream>
#include <string>

namespace cumindyke
{

/// How the requests of one route ended.
struct RouteOutcome
{
    std::uint32_t requests = 0;
    std::uint32_t onTime = 0;
    /// Whole, but the first event or one after a pause came too late.
    std::uint32_t late = 0;
    /// Of these, those whose first event was in time.
    std::uint32_t paused = 0;
    std::uint32_t refused = 0;
    /// Of these, refused a second time.
    std::uint32_t refusedAgain = 0;
    std::uint32_t overLimit = 0;
    /// Broken off by a lost engine, or past the deadline.
    std::uint32_t failed = 0;
    double owed = 0;
    double earned = 0;
    /// Of requests that were refused a second time.
    double refusedAgainWorth = 0;

    void add(const RouteOutcome &other);
};

/// What a load earned with one seed.
struct PlacementOutcome
{
    std::map<std::string, RouteOutcome> routes;
    std::uint32_t dispatchedTwice = 0;

    double earnedShare() const;
};

/// Plays the seeds and prints means over them, a line a route, and the share earned with its spread.
void printPlacement(std::ostream &out, const PlacementLoad &load, std::uint64_t firstSeed, std::uint64_t lastSeed);

}
