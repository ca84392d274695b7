#include "control/fleettally.h"

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
    FleetTallies tallies;
    tallies.take(VmName{"vm-1"}, 7, tallyFrom("dc-a"), Start);
    tallies.take(VmName{"vm-2"}, 7, tallyFrom("dc-b"), Start + std::chrono::seconds(3));
    const v1::FleetTally both = tallies.fleet(Start + std::chrono::seconds(3));
    REQUIRE(both.placement_vms_size() == 2);
    CHECK(both.placement_vms(1).data_centre() == "dc-b");
    tallies.take(VmName{"vm-2"}, 7, tallyFrom("dc-b", true), Start + std::chrono::seconds(4));
    const v1::FleetTally later = tallies.fleet(Start + std::chrono::seconds(5));
    CHECK(later.placement_vms_size() == 0);
    // It still admits what comes on open connections.
    REQUIRE(later.entry_vms_size() == 1);
    CHECK(later.entry_vms(0) == "vm-2");
}
