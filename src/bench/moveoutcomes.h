#pragma once

#include "domain/move.h"
#include "policy/moveramp.h"

#include <cstdint>
#include <string>
#include <vector>

/// Version moves in virtual time: a generator of outcomes per version drives the shipped counters, router, ramp and verdict.
namespace cumindyke
{

/// What is wrong with the new version, and since when.
struct MoveFault
{
    /// Part of the window from start to deadline after which the fault begins.
    double after = 0;
    /// Part of the requests that fail.
    double failing = 0;
    /// Factor on every time.
    double slowness = 1;
    /// Only while the upstream has more than this part of its slots in use.
    double overLoad = 0;
    /// Only on this route, if any.
    std::string route;
    /// Only for this length class, if any.
    std::optional<std::uint8_t> lengthClass;
};

/// One family of the experiment.
///
/// Modelled: Poisson arrivals on several entry VMs, two routes, three length classes, upstreams whose first token and pace slow down with
/// the slots in use, a cold start of the new version, late and lost reports, late decisions.
/// Not modelled: batching in detail, prefix caches, priorities, the order of queues.
struct MoveScenario
{
    std::string name;
    bool good = false;
    /// The move can't be finished for want of traffic or time: taken back, and not counted as good or bad.
    bool undecidable = false;
    bool slows = false;
    MoveFault fault;
    double requestsPerSecond = 100;
    Duration window = std::chrono::seconds(600);
    /// The whole fleet slows down by this factor at this part of the window.
    double fleetSlowness = 1;
    double fleetSlowAfter = 0.5;
};

struct MoveRun
{
    bool done = false;
    bool inTime = false;
    bool takenBack = false;
    std::string reason;
    /// When the move ended, since its start.
    Duration endedAfter{};
    /// Requests that the new version got after its fault began, over all requests of the window.
    double badShare = 0;
    /// From the end of the first bad answer to the last request that the new version got.
    double badSeconds = 0;
    /// The share before the first evidence.
    std::uint32_t firstShare = 0;
};

const std::vector<MoveScenario> &moveScenarios();

/// The family of this name, or null.
const MoveScenario *moveScenario(const std::string &name);

MoveRun runMove(const MoveScenario &scenario, std::uint64_t seed);

}
