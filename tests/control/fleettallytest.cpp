#include "control/fleettally.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};

v1::RouteTable tableWithLimit(std::uint64_t rate)
{
    v1::RouteTable table;
    v1::RoutedOrganisation &organisation = *table.add_organisations();
    organisation.set_name("ensemble");
    organisation.set_rate_per_s(rate);
    organisation.set_burst(rate);
    return table;
}

v1::EntryTally tallyOf(std::uint64_t asked, std::uint64_t admitted)
{
    v1::EntryTally tally;
    v1::OrganisationDemand &demand = *tally.add_demands();
    demand.set_organisation("ensemble");
    demand.set_asked(asked);
    demand.set_admitted(admitted);
    return tally;
}

}

// What callers see: for seconds after a change of leaders nearly all requests of an organisation below its limit are refused (429).
// The new leader gets the first tally of each VM, whose counts go back to the start of the VM's process, and takes all of it for what was
// admitted just now, so the organisation's level is far below zero.
TEST_CASE("a new leader does not charge a limit with what was admitted before its time")
{
    FleetTallies tallies;
    const v1::RouteTable table = tableWithLimit(1000);
    tallies.take(VmName{"vm"}, 7, tallyOf(500'000, 400'000), Start);
    CHECK(tallies.fleet(table, 100, Start).levels(0).level() == 100 + 500);
    tallies.take(VmName{"vm"}, 7, tallyOf(500'300, 400'300), Start + std::chrono::seconds(1));
    // Full again, the burst and the tolerance, less what was admitted since.
    CHECK(tallies.fleet(table, 100, Start + std::chrono::seconds(1)).levels(0).level() == 1000 + 100 - 300);
}

// What operators see: an organisation gets several times its limit, because its VMs are restarted one after the other.
// A restarted process counts from zero, so its counts are below those of the process before it; taken as growth they would be lost or
// wrap around.
TEST_CASE("a restarted VM's counts begin at zero and are charged whole")
{
    FleetTallies tallies;
    const v1::RouteTable table = tableWithLimit(1000);
    tallies.take(VmName{"vm"}, 7, tallyOf(5000, 5000), Start);
    tallies.fleet(table, 0, Start);
    tallies.take(VmName{"vm"}, 8, tallyOf(200, 200), Start + std::chrono::seconds(1));
    CHECK(tallies.fleet(table, 0, Start + std::chrono::seconds(1)).levels(0).level() == 1000 - 200);
}
