#include "placement/fleetlimits.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};
const VmName OtherServer{"10.0.1.1"};
const std::string Ensemble = "ensemble";

TimePoint after(int milliseconds)
{
    return Start + std::chrono::milliseconds(milliseconds);
}

v1::RouteTable limitedTo(std::uint64_t rate)
{
    v1::RouteTable routes;
    v1::RoutedOrganisation &organisation = *routes.add_organisations();
    organisation.set_name(Ensemble);
    organisation.set_rate_per_s(rate);
    organisation.set_burst(rate);
    return routes;
}

FleetLimits limitsOf(std::uint64_t rate, double coverage, std::uint64_t tolerance = 0)
{
    FleetLimits limits(tolerance);
    limits.setRoutes(limitedTo(rate), Start);
    limits.setCoverage(coverage, Start);
    return limits;
}

constexpr PriorityRank Urgent{0};
constexpr PriorityRank Routine{2};

std::uint64_t admittedOf(FleetLimits &limits, std::uint64_t cost, int requests, TimePoint now, PriorityRank rank = Routine)
{
    std::uint64_t admitted = 0;
    for (int i = 0; i < requests; ++i) {
        admitted += limits.tryAdmit(Ensemble, cost, rank, now) ? 0 : cost;
    }
    return admitted;
}

v1::LoadNotice noticeOf(std::uint64_t incarnation, std::uint64_t sequence, std::int64_t admitted)
{
    v1::LoadNotice notice;
    notice.set_incarnation(incarnation);
    notice.set_sequence(sequence);
    v1::OrganisationSpend &spend = *notice.add_spends();
    spend.set_organisation(Ensemble);
    spend.set_admitted(admitted);
    return notice;
}

}

// What the operator sees: one organisation that sends several times its usual gets more than its limit on every burst. What another server
// admitted is told again and again, late and in any order; it is charged once, and never left out.
TEST_CASE("what another server admitted is charged once")
{
    FleetLimits limits = limitsOf(1000, 1);
    limits.handleNotice(OtherServer, noticeOf(3, 1, 5000), false, Start);
    limits.handleNotice(OtherServer, noticeOf(3, 3, 5300), false, Start);
    limits.handleNotice(OtherServer, noticeOf(3, 2, 5100), false, Start);
    limits.handleNotice(OtherServer, noticeOf(3, 3, 5300), false, Start);
    // Half of the burst, less 300.
    CHECK(admittedOf(limits, 100, 20, Start) == 200);
    CHECK(admittedOf(limits, 100, 20, after(500)) == 500);
}

// What callers see: for seconds after a change of servers nearly all requests of an organisation below its limit are refused (429). The
// counts of a server that is heard of for the first time go back to the start of its process.
TEST_CASE("what a server admitted before it was first heard of is not charged")
{
    FleetLimits limits = limitsOf(1000, 1, 100);
    limits.handleNotice(OtherServer, noticeOf(3, 1, 400'000), false, Start);
    CHECK(admittedOf(limits, 100, 20, Start) == 600);
    limits.handleNotice(OtherServer, noticeOf(3, 2, 400'300), false, after(1000));
    // A second's rate, less what the other server admitted since.
    CHECK(admittedOf(limits, 100, 20, after(1000)) == 700);
}

// What operators see: an organisation gets several times its limit, because its VMs are restarted one after the other. A restarted process
// counts from zero, so its counts are below those of the process before it; taken as growth they would be lost or wrap around.
TEST_CASE("a restarted server's counts begin at zero and are charged whole")
{
    FleetLimits limits = limitsOf(1000, 1);
    limits.handleNotice(OtherServer, noticeOf(3, 1, 5000), false, Start);
    limits.handleNotice(OtherServer, noticeOf(4, 1, 200), false, Start);
    CHECK(admittedOf(limits, 100, 20, Start) == 300);
}

// What callers see: requests of an organisation below its limit are refused (429), because one VM of many got most of them and only a small
// part of the limit is its own; or because it got two large ones within one beat of the leader.
TEST_CASE("an organisation below its limit is not refused however unevenly its requests come")
{
    FleetLimits limits = limitsOf(7000, 1);
    std::uint64_t admitted = 0;
    for (int second = 1; second <= 20; ++second) {
        admitted += admittedOf(limits, 3400, 2, after(1000 * second));
    }
    CHECK(admitted == 20 * 2 * 3400);
}

// Pattern: a jump of one organisation's demand in all data centres at once, while they are cut off from each other. Each server would take
// the whole limit for its own: several times the limit would pass.
TEST_CASE("servers that don't hear of each other admit no more than the limit together")
{
    std::uint64_t admitted = 0;
    for (int server = 0; server < 4; ++server) {
        FleetLimits limits = limitsOf(8000, 0.25);
        for (int ms = 0; ms <= 8000; ms += 100) {
            admitted += admittedOf(limits, 100, 50, after(ms));
        }
    }
    CHECK(admitted <= 8000 / 2 + 8 * 8000 + 4 * 100);
    CHECK(admitted >= 8 * 8000);
}

// The same as a cut begins: what is left of the limit is divided, not doubled.
TEST_CASE("a server that loses the others keeps only its part of what is left")
{
    FleetLimits limits = limitsOf(1000, 1);
    limits.tryAdmit(Ensemble, 0, Routine, Start);
    limits.tryAdmit(Ensemble, 0, Routine, after(1000));
    limits.setCoverage(0.25, after(1000));
    CHECK(admittedOf(limits, 50, 100, after(1000)) == 250);
    CHECK(admittedOf(limits, 50, 100, after(2000)) == 250);
}

TEST_CASE("a server that takes over goes on from the levels it was told")
{
    FleetLimits before = limitsOf(1000, 1);
    CHECK(admittedOf(before, 100, 20, Start) == 500);
    v1::LoadNotice notice;
    notice.set_incarnation(3);
    notice.set_sequence(1);
    before.writeNotice(notice, true, after(100));
    FleetLimits next = limitsOf(1000, 1);
    next.handleNotice(OtherServer, notice, true, after(100));
    CHECK(admittedOf(next, 100, 20, after(100)) == 100);
}

TEST_CASE("a lowered limit binds at once, and one that is taken away no more")
{
    FleetLimits limits = limitsOf(10'000, 1);
    limits.tryAdmit(Ensemble, 0, Routine, after(1000));
    limits.setRoutes(limitedTo(1000), after(1000));
    CHECK(admittedOf(limits, 100, 100, after(1000)) == 1000);
    limits.setRoutes(limitedTo(0), after(1000));
    CHECK(admittedOf(limits, 100, 100, after(1000)) == 10'000);
}

// What the operator sees: an organisation that sends several times its limit gets more than it for as long as it goes on. What the servers gave
// out before they heard of each other was forgiven beyond a quarter of a second's rate, again and again.
TEST_CASE("what was given out too much is paid back, up to a second's rate")
{
    FleetLimits limits = limitsOf(1000, 1);
    limits.handleNotice(OtherServer, noticeOf(3, 1, 0), false, Start);
    CHECK(admittedOf(limits, 100, 20, Start) == 500);
    limits.handleNotice(OtherServer, noticeOf(3, 2, 800), false, Start);
    CHECK(admittedOf(limits, 100, 20, after(750)) == 0);
    CHECK(admittedOf(limits, 100, 20, after(1000)) == 200);
}

// Pattern: an organisation asks for about twice its limit, urgent and routine requests mixed. What callers see: long drafts for the committee are refused (429)
// as often as labels that nobody waits for, since the tokens go to whoever asks in the moment in which some are there.
TEST_CASE("an organisation over its limit spends it on its urgent requests first")
{
    FleetLimits limits = limitsOf(10'000, 1);
    std::uint64_t urgent = 0;
    std::uint64_t routine = 0;
    for (int ms = 0; ms < 20'000; ms += 100) {
        urgent += admittedOf(limits, 400, 2, after(ms), Urgent);
        routine += admittedOf(limits, 300, 4, after(ms), Routine);
    }
    // Of 160,000 and 240,000 that are asked for.
    CHECK(urgent > 150'000);
    CHECK(routine > 0);
    CHECK(urgent + routine <= 20 * 10'000 + 10'000 / 2 + 400);
}

// What callers see: a status call is refused beside drafts a hundred times its size, although it costs them nothing.
TEST_CASE("a request that is small beside the limit leaves no reserve")
{
    FleetLimits limits = limitsOf(100'000, 1);
    admittedOf(limits, 50'000, 6, Start, Urgent);
    CHECK(admittedOf(limits, 2000, 1, after(100), Routine) == 0);
    CHECK(admittedOf(limits, 200, 1, after(100), Routine) == 200);
}

TEST_CASE("an organisation below its limit keeps no reserve")
{
    FleetLimits limits = limitsOf(10'000, 1);
    std::uint64_t routine = 0;
    for (int ms = 0; ms < 10'000; ms += 100) {
        admittedOf(limits, 400, 1, after(ms), Urgent);
        routine += admittedOf(limits, 500, 1, after(ms), Routine);
    }
    CHECK(routine == 100 * 500);
}

// What callers see after a common restart: most requests are refused (429) for a second or two. The server that begins hears of its entry VMs one after the
// other, and its first level is for the first of them alone.
TEST_CASE("a level grows with the entry VMs that a server hears of")
{
    FleetLimits limits = limitsOf(7000, 1.0 / 7, 700);
    CHECK(admittedOf(limits, 100, 1, Start) == 100);
    limits.setCoverage(1, after(10));
    // Half of the burst and the tolerance, less what passed by the first level's measure.
    CHECK(admittedOf(limits, 100, 60, after(10)) >= 3500);
    SECTION("and servers that part again take no more than their parts with them")
    {
        FleetLimits parted = limitsOf(7000, 1, 700);
        admittedOf(parted, 100, 10, Start);
        parted.setCoverage(0.5, Start);
        CHECK(admittedOf(parted, 100, 60, Start) <= (3500 + 700 - 1000) / 2 + 100);
    }
}

// Guards against an organisation that is charged again for all it ever had, since a notice of loads alone left out what was admitted.
TEST_CASE("what was admitted is told when it changed and by turns, and a notice without it changes nothing")
{
    FleetLimits sender = limitsOf(1000, 1);
    FleetLimits receiver = limitsOf(1000, 1);
    std::uint64_t sequence = 0;
    const auto next = [&] {
        v1::LoadNotice notice;
        notice.set_incarnation(3);
        notice.set_sequence(++sequence);
        sender.writeNotice(notice, false, Start);
        return notice;
    };
    const auto deliver = [&] {
        const v1::LoadNotice notice = next();
        receiver.handleNotice(OtherServer, notice, false, Start);
        return notice.spends_size();
    };
    CHECK(admittedOf(receiver, 100, 1, Start) == 100);
    CHECK(admittedOf(sender, 100, 1, Start) == 100);
    CHECK(deliver() == 1);
    int spendCount = 0;
    for (int i = 0; i < 16; ++i) {
        spendCount += deliver();
    }
    CHECK(spendCount == 2);
    CHECK(admittedOf(sender, 100, 1, Start) == 100);
    next(); // Lost.
    for (int i = 0; i < 8; ++i) {
        deliver();
    }
    CHECK(admittedOf(receiver, 100, 20, Start) == 300);
}

// Guards against organisations below their limits that are refused after a common restart, while a server hears of its VMs one by one.
TEST_CASE("a server that hears of its VMs one by one has spent no more than it admitted")
{
    constexpr int Vms = 90;
    FleetLimits limits = limitsOf(10'000, 1.0 / Vms);
    CHECK(admittedOf(limits, 1'000, 1, Start) == 1'000);
    for (int covered = 2; covered <= Vms; ++covered) {
        limits.setCoverage(static_cast<double>(covered) / Vms, Start);
    }
    // Half of the burst is there at the start.
    CHECK(admittedOf(limits, 1'000, 20, Start) == 4'000);
}

// Guards against limits that grow with each VM that goes and comes back.
TEST_CASE("a server whose part of the fleet shrinks and grows again gains nothing by it")
{
    FleetLimits limits = limitsOf(10'000, 1);
    CHECK(admittedOf(limits, 1'000, 1, Start) == 1'000);
    for (int i = 0; i < 10; ++i) {
        limits.setCoverage(0.1, Start);
        limits.setCoverage(0.6, Start);
        limits.setCoverage(1, Start);
    }
    CHECK(admittedOf(limits, 1'000, 20, Start) == 4'000);
}
