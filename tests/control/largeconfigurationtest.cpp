#include "control/distributionrig.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

/// The users count this from a confirmation; in a fleet without faults nothing need wait longer even from the publication.
constexpr Duration InForceWithin = std::chrono::milliseconds(2'500);
/// A quarter of the memory of a core VM. The log and the process itself need the rest.
constexpr std::size_t MessagesOfLeader = 64 << 20;

}

// Guards against a leader that sends a large table again at each beat of a VM that still waits for it, until it loses its lead or its memory.
TEST_CASE("a change of many routes is in force on every VM behind narrow links in time, and the leader's messages stay small")
{
    DistributionRig rig({});
    rig.publish(routeTable(1, 8));
    rig.run(std::chrono::seconds(4));
    for (std::uint64_t change = 1; change <= 3; ++change) {
        const int routes = 8 + 1'400 * static_cast<int>(change);
        rig.publish(routeTable(change * 10, routes));
        rig.run(std::chrono::milliseconds(700));
        rig.publish(routeTable(change * 10 + 1, routes));
        rig.run(std::chrono::seconds(5));
        INFO("routes " << routes);
        CHECK(rig.timesInForce().back() <= InForceWithin);
        CHECK(rig.peakHeldByLeader() <= MessagesOfLeader);
        int admitting = 0;
        for (int vm = 0; vm < rig.size(); ++vm) {
            admitting += rig.admitUntil(vm) > rig.now() ? 1 : 0;
        }
        CHECK(admitting == rig.size());
    }
}

// Guards against VMs that wait for a parent in the fan-out tree that is dead, and against a leader that sends them all more than it can carry.
TEST_CASE("VMs below a silent one in the fan-out tree have a change of many routes in time")
{
    DistributionRig rig({});
    rig.publish(routeTable(1, 1'400));
    rig.run(std::chrono::seconds(4));
    for (const int lost : {1, 2, 30}) {
        rig.silence(lost);
    }
    rig.publish(routeTable(2, 2'800));
    rig.run(std::chrono::seconds(6));
    CHECK(rig.timesInForce().back() <= InForceWithin);
    CHECK(rig.peakHeldByLeader() <= MessagesOfLeader);
}

// Guards against a new leader to which every VM seems to lack everything, after one that ended in the middle of a fan-out.
TEST_CASE("a change of many routes whose leader ends in the middle of the fan-out is in force in time after the election")
{
    DistributionRig rig({});
    rig.publish(routeTable(1, 1'400));
    rig.run(std::chrono::seconds(4));
    rig.publish(routeTable(2, 2'800));
    rig.run(std::chrono::milliseconds(50));
    rig.silence(0);
    rig.run(std::chrono::seconds(1));
    rig.elect(1);
    rig.run(std::chrono::seconds(5));
    // A second without a leader comes first.
    CHECK(rig.timesInForce().back() <= InForceWithin + std::chrono::seconds(1));
    CHECK(rig.peakHeldBy(1) <= MessagesOfLeader);
}

// Guards against a leader that brings every VM of a fleet that restarted up to date by itself: a connection and a whole state for each.
TEST_CASE("300 VMs that restart together have the configuration from each other, and a lease soon")
{
    constexpr Duration StartedWithin = std::chrono::milliseconds(300);
    constexpr Duration ServingWithin = std::chrono::seconds(2);
    DistributionRig rig({.entryVms = 300});
    rig.publish(routeTable(1, 300));
    rig.run(std::chrono::seconds(4));
    rig.restartFollowers(StartedWithin);
    rig.run(ServingWithin);
    int admitting = 0;
    for (int vm = 0; vm < rig.size(); ++vm) {
        admitting += rig.admitUntil(vm) > rig.now() ? 1 : 0;
    }
    CHECK(admitting == rig.size());
    // Beats come in over six ticks; each has its fan-out.
    CHECK(rig.peersOfLeader() <= 7 * FanOut);
}

// Prints the figures of docs/measurements/control-plane.md; run it by its tag.
TEST_CASE("how long, and at what cost, a change of routes spreads", "[.measure]")
{
    std::cout << "vms routes p50_ms p99_ms worst_ms leader_bytes entry_bytes leader_peak_bytes\n";
    for (const int entryVms : {9, 78, 340}) {
        for (const int changed : {1, 1'400}) {
            DistributionRig rig({.coreVms = entryVms < 10 ? 5 : 9, .entryVms = entryVms});
            rig.publish(routeTable(1, 1'400));
            rig.run(std::chrono::seconds(8));
            rig.publish(routeTable(2, 1'400 + changed));
            rig.run(std::chrono::seconds(20));
            const std::vector<Duration> times = rig.timesInForce();
            std::cout << rig.size() << ' ' << changed << ' ' << wholeMilliseconds(times[times.size() / 2]) << ' '
                      << wholeMilliseconds(times[times.size() * 99 / 100]) << ' ' << wholeMilliseconds(times.back()) << ' ' << rig.bytesFromLeader() << ' '
                      << rig.mostBytesFromEntryVm() << ' ' << rig.peakHeldByLeader() << '\n';
        }
    }
}
