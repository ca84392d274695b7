#include "proxy/organisationbuckets.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};

v1::RoutedOrganisation limited(std::uint64_t rate)
{
    v1::RoutedOrganisation organisation;
    organisation.set_name("ensemble");
    organisation.set_rate_per_s(rate);
    organisation.set_burst(rate);
    return organisation;
}

v1::FleetTally fleetWith(std::int64_t level, std::uint64_t sequence, std::uint32_t entries = 1)
{
    v1::FleetTally fleet;
    for (std::uint32_t vm = 0; vm < entries; ++vm) {
        fleet.add_entry_vms("vm-" + std::to_string(vm));
    }
    fleet.set_sequence(sequence);
    v1::OrganisationLevel &wire = *fleet.add_levels();
    wire.set_organisation("ensemble");
    wire.set_level(level);
    return fleet;
}

v1::EntryTally tallied(OrganisationBuckets &buckets, std::uint64_t sequence)
{
    v1::EntryTally tally;
    tally.set_sequence(sequence);
    buckets.fillTally(tally);
    return tally;
}

std::uint64_t admittedOf(OrganisationBuckets &buckets, const v1::RoutedOrganisation &organisation, std::uint64_t cost, int requests, TimePoint now)
{
    std::uint64_t admitted = 0;
    for (int i = 0; i < requests; ++i) {
        admitted += buckets.take(organisation, cost, now) ? 0 : cost;
    }
    return admitted;
}

}

// What the operator sees: one organisation that sends several times its usual gets more than its limit, a few in a hundred, on every burst.
// A VM tells what it admitted (tally 1), admits more and tells that too (tally 2); then the level comes that knows only tally 1. Charged by
// tally 2, what was admitted in between counts nowhere until the next level.
TEST_CASE("what was admitted after the tally that a level knows is charged until a level knows it")
{
    OrganisationBuckets buckets;
    const v1::RoutedOrganisation organisation = limited(1000);
    buckets.takeFleet(fleetWith(1000, 0), Start);
    tallied(buckets, 1);
    CHECK(admittedOf(buckets, organisation, 100, 20, Start) == 1000);
    tallied(buckets, 2);
    buckets.takeFleet(fleetWith(1000, 1), Start);
    CHECK(admittedOf(buckets, organisation, 100, 20, Start) == 0);
    buckets.takeFleet(fleetWith(0, 2), Start);
    CHECK(admittedOf(buckets, organisation, 100, 20, Start) == 0);
    CHECK(admittedOf(buckets, organisation, 100, 20, Start + std::chrono::milliseconds(500)) == 500);
}

// What callers see: requests of an organisation below its limit are refused (429), because one VM of seven got most of them and only a
// seventh of the limit is its own.
TEST_CASE("an organisation below its limit is not refused however unevenly its requests come")
{
    OrganisationBuckets buckets;
    const v1::RoutedOrganisation organisation = limited(7000);
    std::uint64_t admitted = 0;
    std::uint64_t known = 0;
    for (int beat = 0; beat < 20; ++beat) {
        const TimePoint now = Start + beat * std::chrono::milliseconds(500);
        // The leader's bucket refills faster than this demand empties it.
        buckets.takeFleet(fleetWith(7000, static_cast<std::uint64_t>(beat), 7), now);
        admitted += admittedOf(buckets, organisation, 100, 12, now);
        known = tallied(buckets, static_cast<std::uint64_t>(beat) + 1).demands(0).admitted();
    }
    CHECK(admitted == 20 * 12 * 100);
    CHECK(known == admitted);
}

// What the operator sees: a jump of one organisation's demand over seven VMs at once, before any of them has heard of the others' part.
// Each would take the whole level for its own: seven times the burst would pass.
TEST_CASE("VMs that have not heard of each other overdraw a level once at most")
{
    const v1::RoutedOrganisation organisation = limited(7000);
    std::uint64_t admitted = 0;
    for (int vm = 0; vm < 7; ++vm) {
        OrganisationBuckets buckets;
        buckets.takeFleet(fleetWith(7000, 0, 7), Start);
        admitted += admittedOf(buckets, organisation, 100, 200, Start);
    }
    CHECK(admitted <= 2 * 7000);
    CHECK(admitted >= 7000);
}
