#include "relay/pathmonitor.h"
#include "relay/relaychoice.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cumindyke;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};
const Address One{.host = "10.0.9.1", .port = 80};
const Address Two{.host = "10.0.9.2", .port = 80};

TimePoint after(int milliseconds)
{
    return Start + std::chrono::milliseconds(milliseconds);
}

v1::FleetTally fleetOf(const std::vector<std::pair<std::string, std::string>> &vms)
{
    v1::FleetTally fleet;
    for (const auto &[vm, dataCentre] : vms) {
        v1::PlacementVm &placement = *fleet.add_placement_vms();
        placement.set_vm(vm);
        placement.set_data_centre(dataCentre);
    }
    return fleet;
}

RelayChoice choiceFor(const v1::FleetTally &fleet)
{
    RelayChoice choice(VmName{"a1"}, DataCentreName{"dc-a"}, {{DataCentreName{"dc-a"}, RegionName{"north"}}, {DataCentreName{"dc-b"}, RegionName{"south"}}});
    choice.setFleet(fleet);
    return choice;
}

}

// Guards against taking the end of one upstream, or a silent one, for a lost path.
TEST_CASE("failures that overlap with a connection to another upstream leave the path in use")
{
    PathMonitor path;
    path.recordConnected(One, after(10));
    path.recordFailure(Two, ConnectFailure::TimedOut, after(0), after(15));
    path.recordFailure(Two, ConnectFailure::Refused, after(20), after(21));
    CHECK_FALSE(path.isLost(after(21)));
    path.recordConnected(One, after(30));
    path.recordFailure(Two, ConnectFailure::Refused, after(40), after(41));
    CHECK_FALSE(path.isLost(after(41)));
}

TEST_CASE("a path is lost after a timeout, or two refusals, without any connection, until the next connection")
{
    PathMonitor path;
    path.recordConnected(One, after(0));
    path.recordFailure(Two, ConnectFailure::TimedOut, after(10), after(310));
    CHECK(path.isLostTo(One, after(310)));
    CHECK(path.probeTargets(after(310)) == std::vector{One, Two});
    path.recordConnected(One, after(400));
    CHECK_FALSE(path.isLost(after(400)));
    path.recordFailure(One, ConnectFailure::Refused, after(500), after(500));
    path.recordFailure(Two, ConnectFailure::Refused, after(501), after(501));
    CHECK(path.isLost(after(501)));
}

TEST_CASE("a VM that has never reached an upstream probes the one that it failed to reach")
{
    PathMonitor path;
    path.recordFailure(Two, ConnectFailure::TimedOut, after(0), after(300));
    CHECK(path.isLost(after(300)));
    CHECK(path.probeTargets(after(300)) == std::vector{Two});
}

// Guards against refusing the callers of a VM that still reaches one upstream of many.
TEST_CASE("a VM that reaches few of many upstreams sends to the others through another VM")
{
    const auto upstream = [](int number) { return Address{.host = "10.0.9." + std::to_string(number), .port = 80}; };
    PathMonitor path;
    for (int number = 2; number <= 5; ++number) {
        path.recordConnected(One, after(number * 10));
        CHECK_FALSE(path.isLost(after(number * 10)));
        path.recordFailure(upstream(number), ConnectFailure::Refused, after(0), after(number * 10));
    }
    CHECK(path.isLostTo(upstream(2), after(60)));
    CHECK_FALSE(path.isLostTo(One, after(60)));
    CHECK(path.probeTargets(after(60)) == std::vector{upstream(2), upstream(3), upstream(4)});
    CHECK(path.isLost(after(4020)));
    CHECK_FALSE(path.isLost(after(4100)));
    for (int number = 2; number <= 3; ++number) {
        path.recordConnected(upstream(number), after(70));
    }
    CHECK_FALSE(path.isLost(after(70)));
}

// Guards against one relay that gets all requests, and against traffic between data centres while a local relay works.
TEST_CASE("relays of the own data centre are used in turn, others only when none is left")
{
    RelayChoice choice = choiceFor(fleetOf({{"a1", "dc-a"}, {"a2", "dc-a"}, {"a3", "dc-a"}, {"b1", "dc-b"}}));
    std::set<VmName> used;
    used.insert(*choice.next({}, Start));
    used.insert(*choice.next({}, Start));
    CHECK(used == std::set{VmName{"a2"}, VmName{"a3"}});
    choice.recordFailure(VmName{"a2"}, Start);
    choice.recordFailure(VmName{"a3"}, Start);
    CHECK(choice.next({}, Start) == VmName{"b1"});
    choice.recordFailure(VmName{"b1"}, Start);
    CHECK_FALSE(choice.next({}, Start));
    CHECK(choice.next({}, after(1000)));
}

// Guards against a request's body that leaves its home regions on the way to an upstream in them.
TEST_CASE("a request is relayed in its home regions only")
{
    RelayChoice choice = choiceFor(fleetOf({{"a1", "dc-a"}, {"b1", "dc-b"}, {"c1", "dc-of-no-region"}}));
    CHECK_FALSE(choice.next(std::set{RegionName{"north"}}, Start));
    CHECK(choice.next(std::set{RegionName{"south"}}, Start) == VmName{"b1"});
}
