#include "control/fleetaggregate.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};

v1::EntryTally tallyFrom(const std::string &dataCentre, bool draining = false)
{
    v1::EntryTally tally;
    tally.set_data_centre(dataCentre);
    tally.set_draining(draining);
    return tally;
}

}

// What callers see: every request of a data centre waits until it is refused, because its VMs ask one that shuts down or is gone.
TEST_CASE("VMs that shut down or have fallen silent are not named for placing requests")
{
    FleetAggregate tallies;
    tallies.take(VmName{"vm-1"}, 7, tallyFrom("dc-a"), Start);
    tallies.take(VmName{"vm-2"}, 7, tallyFrom("dc-b"), Start + std::chrono::seconds(3));
    const v1::FleetTally both = tallies.fleet(Start + std::chrono::seconds(3));
    REQUIRE(both.placement_vms_size() == 2);
    CHECK(both.placement_vms(1).data_centre() == "dc-b");
    tallies.take(VmName{"vm-2"}, 7, tallyFrom("dc-b", true), Start + std::chrono::seconds(4));
    const v1::FleetTally later = tallies.fleet(Start + std::chrono::seconds(5));
    CHECK(later.placement_vms_size() == 0);
    // It still admits what comes on open connections.
    CHECK(later.entry_vm_count() == 1);
}

// Guards against leases that grow with the fleet: a leader whose bytes grow with the square of its VMs.
TEST_CASE("of a large data centre only the VMs that are asked first are named, and the tally's digest changes only with what it says")
{
    FleetAggregate tallies;
    for (int vm = 0; vm < 100; ++vm) {
        tallies.take(VmName{"10.0.0." + std::to_string(vm)}, 7, tallyFrom("dc-a"), Start);
    }
    const v1::FleetTally first = tallies.fleet(Start);
    CHECK(first.entry_vm_count() == 100);
    REQUIRE(first.placement_vms_size() == static_cast<int>(FleetAggregate::MostNamedOfDataCentre));
    for (int vm = 0; vm < 100; ++vm) {
        tallies.take(VmName{"10.0.0." + std::to_string(vm)}, 7, tallyFrom("dc-a"), Start + std::chrono::seconds(1));
    }
    CHECK(tallies.fleet(Start + std::chrono::seconds(1)).digest() == first.digest());
    tallies.take(VmName{first.placement_vms(0).vm()}, 7, tallyFrom("dc-a", true), Start + std::chrono::seconds(1));
    const v1::FleetTally drained = tallies.fleet(Start + std::chrono::seconds(1));
    CHECK(drained.digest() != first.digest());
    CHECK(drained.placement_vms(0).vm() == first.placement_vms(1).vm());
}
