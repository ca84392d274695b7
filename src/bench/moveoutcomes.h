#pragma once

#include "domain/move.h"
#include "policy/moveramp.h"

#include <cstdint>
#include <string>
#include <vector>

/// Simulates version moves in virtual time: generated outcomes of each version drive the shipped counters, router, ramp and verdict.
namespace cumindyke
{

/// A fault of the new version.
struct MoveFault
{
    /// Latest start of the fault, as a ratio of the window from start to deadline; 0: from the start.
    double startRatio = 0;
    /// Ratio of the requests that fail.
    double failureRatio = 0;
    /// Factor on the times to the first token and between tokens.
    double slowness = 1;
    /// Minimum ratio of the upstream's slots in use for the fault to occur.
    double minLoadRatio = 0;
    /// Limits the fault to this route, unless empty.
    std::string route;
    /// Limits the fault to this length class, if set.
    std::optional<std::uint8_t> lengthClass;
};

/// A kind of move that the experiment simulates.
///
/// Modelled: Poisson arrivals on several entry VMs, two routes, three length classes, upstreams that slow down with the
/// slots in use, a cold cache of the new version, delayed and lost reports, delayed decisions.
/// Not modelled: batching in detail, prefix caches, priorities, the order of queues.
struct MoveScenario
{
    std::string name;
    bool good = false;
    /// The move lacks the traffic or time for a verdict: it is rolled back and counted neither as good nor as bad.
    bool undecidable = false;
    /// The fault slows answers down instead of failing them.
    bool slowsDown = false;
    MoveFault fault;
    double requestsPerSecond = 100;
    Duration window = std::chrono::seconds(600);
    /// Slowdown factor of the whole fleet, and the point of the window (0 to 1) from which it applies.
    double fleetSlowdown = 1;
    double fleetSlowdownStart = 0.5;
};

struct MoveResult
{
    bool done = false;
    bool inTime = false;
    bool rolledBack = false;
    std::string reason;
    /// Time from the start of the move to its end.
    Duration endedAfter{};
    /// Requests dispatched to the new version after its fault began, as a ratio of all requests of the window.
    double badShare = 0;
    /// Time from the first token or failure of the first bad answer to the last request dispatched to the new version.
    double badSeconds = 0;
    /// Share of the new version after the first decision, in permille.
    std::uint32_t firstShare = 0;
};

const std::vector<MoveScenario> &moveScenarios();

/// Returns the scenario of this name, or null.
const MoveScenario *findMoveScenario(const std::string &name);

MoveResult runMove(const MoveScenario &scenario, std::uint64_t seed);

}
