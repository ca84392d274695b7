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

// Guards against placement requests to VMs that shut down or have timed out: every request of the data centre would wait until it is refused.
TEST_CASE("VMs that are draining or have timed out are not named as placement servers")
{
    FleetAggregate aggregate;
    aggregate.recordTally(VmName{"vm-1"}, 7, tallyFrom("dc-a"), Start);
    aggregate.recordTally(VmName{"vm-2"}, 7, tallyFrom("dc-b"), Start + std::chrono::seconds(3));
    const v1::FleetTally both = aggregate.fleetTally(Start + std::chrono::seconds(3));
    REQUIRE(both.placement_vms_size() == 2);
    CHECK(both.placement_vms(1).data_centre() == "dc-b");
    aggregate.recordTally(VmName{"vm-2"}, 7, tallyFrom("dc-b", true), Start + std::chrono::seconds(4));
    const v1::FleetTally later = aggregate.fleetTally(Start + std::chrono::seconds(5));
    CHECK(later.placement_vms_size() == 0);
    // The draining VM still admits requests of open connections.
    CHECK(later.entry_vm_count() == 1);
}

// Guards against leases that grow with the fleet, so that the leader's traffic grows with the square of the number of VMs.
TEST_CASE("only the first VMs of a large data centre are named as placement servers, and the tally's digest changes only with its content")
{
    FleetAggregate aggregate;
    for (int vm = 0; vm < 100; ++vm) {
        aggregate.recordTally(VmName{"10.0.0." + std::to_string(vm)}, 7, tallyFrom("dc-a"), Start);
    }
    const v1::FleetTally first = aggregate.fleetTally(Start);
    CHECK(first.entry_vm_count() == 100);
    REQUIRE(first.placement_vms_size() == static_cast<int>(FleetAggregate::MaxPlacementVmsPerDataCentre));
    for (int vm = 0; vm < 100; ++vm) {
        aggregate.recordTally(VmName{"10.0.0." + std::to_string(vm)}, 7, tallyFrom("dc-a"), Start + std::chrono::seconds(1));
    }
    CHECK(aggregate.fleetTally(Start + std::chrono::seconds(1)).digest() == first.digest());
    aggregate.recordTally(VmName{first.placement_vms(0).vm()}, 7, tallyFrom("dc-a", true), Start + std::chrono::seconds(1));
    const v1::FleetTally drained = aggregate.fleetTally(Start + std::chrono::seconds(1));
    CHECK(drained.digest() != first.digest());
    CHECK(drained.placement_vms(0).vm() == first.placement_vms(1).vm());
}
