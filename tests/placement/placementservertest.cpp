#include "placement/placementserver.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cumindyke;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};
const VmName Vm1{"10.0.0.1"};
const VmName Vm2{"10.0.0.2"};
constexpr std::uint32_t Committee = 0;
constexpr std::uint32_t Routine = 2;

TimePoint after(int milliseconds)
{
    return Start + std::chrono::milliseconds(milliseconds);
}

UpstreamInstance engine(const std::string &name, std::uint32_t slots)
{
    return UpstreamInstance{
        .name = InstanceName{name},
        .service = ServiceName{"drafts"},
        .address = Address{.host = "10.0.9.1", .port = 80},
        .dataCentre = DataCentreName{"dc-a"},
        .version = VersionName{"v1"},
        .slots = slots,
    };
}

/// An entry VM's state, as its client would tell it.
struct EntryVm
{
    v1::EntryState state;

    explicit EntryVm(std::uint64_t incarnation = 7)
    {
        state.set_incarnation(incarnation);
    }
    const v1::EntryState &next()
    {
        state.set_sequence(state.sequence() + 1);
        return state;
    }
    void addAsk(std::uint64_t id, std::uint32_t rank = Routine, int answerInMs = 8000)
    {
        v1::PlacementAsk &ask = *state.add_asks();
        ask.set_id(id);
        ask.set_service("drafts");
        ask.set_rank(rank);
        ask.set_objective_in_ms(400);
        ask.set_answer_in_ms(answerInMs);
    }
    void addPlaced(std::uint64_t id, const std::string &upstream)
    {
        v1::PlacedRequest &placed = *state.add_placed();
        placed.set_id(id);
        placed.set_upstream(upstream);
    }
};

/// The ids granted to a VM.
std::vector<std::uint64_t> grantedTo(const VmName &vm, const std::vector<PlacementServer::Reply> &replies)
{
    std::vector<std::uint64_t> ids;
    for (const auto &[to, reply] : replies) {
        if (to != vm) {
            continue;
        }
        for (const v1::PlacementGrant &grant : reply.grants()) {
            ids.push_back(grant.id());
        }
    }
    return ids;
}

std::size_t refusalCount(const std::vector<PlacementServer::Reply> &replies)
{
    std::size_t count = 0;
    for (const auto &[to, reply] : replies) {
        count += static_cast<std::size_t>(reply.refusals_size());
    }
    return count;
}

using Ids = std::vector<std::uint64_t>;

}

// Pattern: a burst at all entry VMs at once. What callers see: first events ten times as late. Each VM takes an engine's last place for
// free, and the engine, which knows no priorities, lets the others wait inside.
TEST_CASE("two VMs together get no more places than there are")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 2)}, Start);
    EntryVm one;
    EntryVm two;
    one.addAsk(1);
    one.addAsk(2);
    two.addAsk(1);
    server.handleState(Vm1, one.next(), Start);
    server.handleState(Vm2, two.next(), Start);
    const auto replies = server.advance(Start);
    CHECK(grantedTo(Vm1, replies).size() + grantedTo(Vm2, replies).size() == 2);
    CHECK(server.waitingCount() == 1);
}

TEST_CASE("a place that becomes free goes to the most urgent request of all VMs")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 1)}, Start);
    EntryVm one;
    EntryVm two;
    one.addAsk(1, Routine);
    server.handleState(Vm1, one.next(), Start);
    REQUIRE(grantedTo(Vm1, server.advance(Start)) == Ids{1});
    one.state.clear_asks();
    one.addPlaced(1, "a");
    one.addAsk(2, Routine);
    two.addAsk(5, Committee);
    server.handleState(Vm1, one.next(), after(10));
    server.handleState(Vm2, two.next(), after(20));
    REQUIRE(server.waitingCount() == 2);
    one.state.clear_placed();
    server.handleState(Vm1, one.next(), after(30));
    const auto replies = server.advance(after(30));
    CHECK(grantedTo(Vm2, replies) == Ids{5});
    CHECK(grantedTo(Vm1, replies).empty());
}

// What the caller sees: its request waits until it is refused, though it was given a place. The datagram with the grant was lost. The entry
// VM's next state still asks, which says so.
TEST_CASE("a grant that the VM does not know of is told again and takes no second place")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 2)}, Start);
    EntryVm entry;
    entry.addAsk(1);
    server.handleState(Vm1, entry.next(), Start);
    REQUIRE(grantedTo(Vm1, server.advance(Start)) == Ids{1});
    server.handleState(Vm1, entry.next(), after(5));
    CHECK(grantedTo(Vm1, server.advance(after(5))).empty());
    server.handleState(Vm1, entry.next(), after(30));
    CHECK(grantedTo(Vm1, server.advance(after(30))) == Ids{1});
    v1::LoadNotice notice;
    server.writeNotice(notice, false, after(30));
    REQUIRE(notice.loads_size() == 1);
    CHECK(notice.loads(0).in_flight() == 1);
}

// What callers see: after some hours the service refuses everything although its upstreams are idle. A place whose request has ended, or
// whose VM died or started anew, was never given back.
TEST_CASE("places come back when a request ends, its VM restarts, and its VM falls silent")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 1)}, Start);
    EntryVm entry;
    entry.addAsk(1);
    server.handleState(Vm1, entry.next(), Start);
    REQUIRE(grantedTo(Vm1, server.advance(Start)) == Ids{1});
    EntryVm other;
    other.addAsk(9);
    server.handleState(Vm2, other.next(), Start);
    REQUIRE(grantedTo(Vm2, server.advance(after(1))).empty());
    SECTION("its caller left before the grant came")
    {
        entry.state.clear_asks();
        server.handleState(Vm1, entry.next(), after(10));
    }
    SECTION("a new process tells its own state")
    {
        EntryVm restarted(8);
        server.handleState(Vm1, restarted.next(), after(10));
    }
    SECTION("silence")
    {
        server.handleState(Vm2, other.next(), after(1600));
        server.expireTimedOut(after(1700));
    }
    CHECK(grantedTo(Vm2, server.advance(after(1700))) == Ids{9});
}

TEST_CASE("an overtaken state changes nothing")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 1)}, Start);
    EntryVm entry;
    const v1::EntryState empty = entry.next();
    entry.addAsk(1);
    server.handleState(Vm1, entry.next(), Start);
    server.handleState(Vm1, empty, Start);
    CHECK(grantedTo(Vm1, server.advance(Start)) == Ids{1});
}

// Pattern: the placement server's VM is killed under load. What callers see: the next server, which knows of no request under way, fills
// engines that are full, and first events come late for seconds. The states tell what is under way.
TEST_CASE("a server that takes over counts what was granted before it")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 2)}, Start);
    EntryVm entry;
    entry.addPlaced(1, "a");
    entry.addPlaced(2, "a");
    entry.addAsk(3);
    server.handleState(Vm1, entry.next(), Start);
    CHECK(grantedTo(Vm1, server.advance(Start)).empty());
    entry.state.mutable_placed()->RemoveLast();
    server.handleState(Vm1, entry.next(), after(10));
    CHECK(grantedTo(Vm1, server.advance(after(10))) == Ids{3});
}

TEST_CASE("what waited too long is refused and told when to come back, and a request of a lower rank with it")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 1)}, Start);
    EntryVm entry;
    entry.addPlaced(1, "a");
    entry.addAsk(2, Committee);
    entry.addAsk(3, Routine);
    server.handleState(Vm1, entry.next(), Start);
    CHECK(refusalCount(server.advance(after(300))) == 0);
    // A start after 350 ms would be too late for an answer within 400.
    const auto replies = server.advance(after(351));
    REQUIRE(refusalCount(replies) == 2);
    CHECK(replies.front().second.refusals(0).retry_after_ms() >= 500);
}

// An entry VM passes over a server that is silent while something waits: without a sign of life a full service would look like a dead server.
TEST_CASE("a VM whose requests wait hears that the server lives")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 1)}, Start);
    EntryVm entry;
    entry.addPlaced(1, "a");
    entry.addAsk(2);
    server.handleState(Vm1, entry.next(), Start);
    server.advance(Start);
    CHECK(server.advance(after(10)).empty());
    CHECK(server.advance(after(40)).size() == 1);
}

// What callers see: an organisation over its limit is refused as if the service were full, and others are sent away with it.
TEST_CASE("a request over its organisation's limit is refused at once, and one without room gives its part of the limit back")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 1)}, Start);
    v1::RouteTable routes;
    v1::RoutedOrganisation &organisation = *routes.add_organisations();
    organisation.set_name("ensemble");
    organisation.set_rate_per_s(100);
    organisation.set_burst(1000);
    server.setRoutes(routes, Start);
    EntryVm entry;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        entry.addAsk(id);
        entry.state.mutable_asks()->rbegin()->set_organisation("ensemble");
        entry.state.mutable_asks()->rbegin()->set_cost(400);
    }
    // The first level is half of the burst: two pass, the second by an overdraft.
    server.handleState(Vm1, entry.next(), Start);
    const auto replies = server.advance(Start);
    CHECK(grantedTo(Vm1, replies) == Ids{1});
    REQUIRE(refusalCount(replies) == 1);
    CHECK(replies.front().second.refusals(0).id() == 3);
    CHECK(replies.front().second.refusals(0).reason() == v1::PLACEMENT_OVER_LIMIT);
    // The second is refused for want of room; the limit is then as if it had never asked.
    const auto later = server.advance(after(1300));
    REQUIRE(refusalCount(later) == 1);
    CHECK(later.front().second.refusals(0).reason() == v1::PLACEMENT_NO_ROOM);
    v1::LoadNotice notice;
    server.writeNotice(notice, false, after(1300));
    REQUIRE(notice.spends_size() == 1);
    CHECK(notice.spends(0).admitted() == 400);
}

TEST_CASE("a request that is told by its id alone keeps its place, and loses it when it is left out")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 1)}, Start);
    EntryVm entry;
    entry.addAsk(1);
    entry.addAsk(2);
    server.handleState(Vm1, entry.next(), Start);
    REQUIRE(grantedTo(Vm1, server.advance(Start)) == Ids{1});
    entry.state.clear_asks();
    entry.state.add_unchanged(1);
    entry.state.add_unchanged(2);
    server.handleState(Vm1, entry.next(), after(5));
    CHECK(grantedTo(Vm1, server.advance(after(5))).empty());
    CHECK(server.waitingCount() == 1);
    // The grant is told again, since the VM still waits.
    server.handleState(Vm1, entry.next(), after(30));
    CHECK(grantedTo(Vm1, server.advance(after(30))) == Ids{1});
    entry.state.clear_unchanged();
    entry.state.add_unchanged(2);
    server.handleState(Vm1, entry.next(), after(40));
    CHECK(grantedTo(Vm1, server.advance(after(40))) == Ids{2});
}

// What the operator sees: an upstream that leaves gets new work seconds after the platform's list showed it. The VM that places was not
// asked for a while and did not read the list meanwhile; then the VM before it fails, and the first requests go by the old list.
TEST_CASE("nothing is granted by a list from before a pause, unless the list can't be read")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 1)}, Start);
    EntryVm entry;
    entry.addAsk(1);
    server.handleState(Vm1, entry.next(), after(5000));
    CHECK(grantedTo(Vm1, server.advance(after(5000))).empty());
    SECTION("the list is read")
    {
        server.setList({engine("a", 1)}, after(5010));
        CHECK(grantedTo(Vm1, server.advance(after(5010))) == Ids{1});
    }
    SECTION("the platform does not answer")
    {
        server.setListReadable(false);
        CHECK(grantedTo(Vm1, server.advance(after(5010))) == Ids{1});
    }
}

// What the operator sees: an organisation gets twice its limit while placing VMs are overloaded and their data centres ask other VMs too. Those
// heard of the rest only ten times as rarely as the first ones.
TEST_CASE("a server that places requests for a silent one is known as active to the others until it falls silent")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    v1::LoadNotice notice;
    notice.set_incarnation(5);
    notice.set_sequence(1);
    server.handleNotice(Vm1, notice, Start);
    notice.set_entry_vms(3);
    server.handleNotice(Vm2, notice, Start);
    CHECK(server.activePeers(after(10)) == std::vector{Vm2});
    CHECK(server.activePeers(after(500)).empty());
}

// What callers see: after some hours an engine gets nothing any more though it is idle. An entry VM asked this server, then another one, which
// placed the request, and comes back: what this one had planned for it still stood, beside the sending that the VM tells of.
TEST_CASE("a request that another server placed meanwhile holds one place, and gives it back")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 1), engine("b", 1)}, Start);
    EntryVm entry;
    SECTION("it still waited here")
    {
        EntryVm other;
        other.addPlaced(8, "a");
        other.addPlaced(9, "b");
        server.handleState(Vm2, other.next(), Start);
        entry.addAsk(1);
        server.handleState(Vm1, entry.next(), Start);
        other.state.clear_placed();
        server.handleState(Vm2, other.next(), Start);
    }
    SECTION("it was granted here, and the grant was lost")
    {
        entry.addAsk(1);
        server.handleState(Vm1, entry.next(), Start);
        REQUIRE(grantedTo(Vm1, server.advance(Start)) == Ids{1});
    }
    entry.state.clear_asks();
    entry.addPlaced(1, "b");
    server.handleState(Vm1, entry.next(), after(20));
    CHECK(grantedTo(Vm1, server.advance(after(20))).empty());
    v1::LoadNotice notice;
    server.writeNotice(notice, false, after(20));
    REQUIRE(notice.loads_size() == 1);
    CHECK(notice.loads(0).upstream() == "b");
    CHECK(notice.loads(0).in_flight() == 1);
    entry.state.clear_placed();
    server.handleState(Vm1, entry.next(), after(30));
    v1::LoadNotice later;
    server.writeNotice(later, false, after(30));
    REQUIRE(later.loads_size() == 1);
    CHECK(later.loads(0).upstream() == "b");
    CHECK(later.loads(0).in_flight() == 0);
    CHECK(later.loads(0).prompt_tokens() == 0);
}

// What callers see: their requests wait until they are refused, and engines get more than their places. The server stood still for seconds and
// has forgotten the VM; the VM, which it had confirmed everything to, names its requests by their ids only.
TEST_CASE("a server that does not know what is told by an id alone asks for all of it")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 1)}, Start);
    EntryVm entry;
    entry.addAsk(1);
    server.handleState(Vm1, entry.next(), Start);
    CHECK_FALSE(server.advance(Start).front().second.tell_all());
    server.expireTimedOut(after(1600));
    entry.state.clear_asks();
    entry.state.add_unchanged(1);
    server.handleState(Vm1, entry.next(), after(1700));
    const auto replies = server.advance(after(1700));
    REQUIRE(replies.size() == 1);
    CHECK(replies.front().second.tell_all());
    entry.state.clear_unchanged();
    entry.addAsk(1);
    server.handleState(Vm1, entry.next(), after(1710));
    const auto resent = server.advance(after(1710));
    CHECK(grantedTo(Vm1, resent) == Ids{1});
    CHECK_FALSE(resent.front().second.tell_all());
}

// What callers see: an organisation far below its limit is refused (429), because many of its callers left while they waited, and each took its
// part of the limit with it.
TEST_CASE("a caller that leaves while it waits gives its part of the limit back")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 1)}, Start);
    v1::RouteTable routes;
    v1::RoutedOrganisation &organisation = *routes.add_organisations();
    organisation.set_name("ensemble");
    organisation.set_rate_per_s(100);
    organisation.set_burst(1000);
    server.setRoutes(routes, Start);
    EntryVm entry;
    entry.addPlaced(1, "a");
    entry.addAsk(2);
    entry.state.mutable_asks()->rbegin()->set_organisation("ensemble");
    entry.state.mutable_asks()->rbegin()->set_cost(400);
    server.handleState(Vm1, entry.next(), Start);
    entry.state.clear_asks();
    server.handleState(Vm1, entry.next(), after(10));
    v1::LoadNotice notice;
    server.writeNotice(notice, false, after(10));
    REQUIRE(notice.spends_size() == 1);
    CHECK(notice.spends(0).admitted() == 0);
}

// Pattern: entry VMs restarted in turn, the placing one among them. What callers see: for more than a second they wait and are refused (503) although a fifth
// of all places is free. The VM's requests are counted by the server that it asks now, and by the one that it asked before.
TEST_CASE("a VM that asks another server leaves nothing behind")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 2)}, Start);
    EntryVm entry;
    entry.addAsk(1);
    entry.addAsk(2);
    server.handleState(Vm1, entry.next(), Start);
    REQUIRE(grantedTo(Vm1, server.advance(Start)).size() == 2);
    v1::EntryState departure;
    departure.set_incarnation(7);
    departure.set_leaves(true);
    SECTION("at once")
    {
        departure.set_sequence(2);
        server.handleState(Vm1, departure, after(1));
        CHECK_FALSE(server.hasRequests());
        EntryVm other;
        other.addAsk(5);
        server.handleState(Vm2, other.next(), after(2));
        CHECK(grantedTo(Vm2, server.advance(after(2))) == Ids{5});
    }
    SECTION("but not by one that was sent before it came back")
    {
        departure.set_sequence(1);
        server.handleState(Vm1, departure, after(1));
        CHECK(server.hasRequests());
    }
    SECTION("nor by one of the process before")
    {
        departure.set_sequence(9);
        departure.set_incarnation(6);
        server.handleState(Vm1, departure, after(1));
        CHECK(server.hasRequests());
    }
}

// Pattern: a burst to twice of what the engines can do. What callers see: nearly everybody's answer is late, because requests that were late anyway wait on
// and take the places that become free from those that still have time.
TEST_CASE("a request that can't be on time any more doesn't wait for a place")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 1)}, Start);
    EntryVm entry;
    entry.addPlaced(1, "a");
    entry.addAsk(2);
    entry.state.mutable_asks()->rbegin()->set_objective_in_ms(-50);
    entry.addAsk(3);
    server.handleState(Vm1, entry.next(), Start);
    const auto replies = server.advance(Start);
    REQUIRE(refusalCount(replies) == 1);
    CHECK(replies.front().second.refusals(0).id() == 2);
    CHECK(server.waitingCount() == 1);
    SECTION("it takes one that is free now")
    {
        entry.state.clear_placed();
        entry.state.clear_asks();
        entry.addAsk(4);
        entry.state.mutable_asks()->rbegin()->set_objective_in_ms(-50);
        server.handleState(Vm1, entry.next(), after(10));
        CHECK(grantedTo(Vm1, server.advance(after(10))) == Ids{4});
    }
}

// What operators see: the longest prompts are refused several times as often as others, since reading them takes most of their objective even on an idle
// engine.
TEST_CASE("a prompt that takes most of its objective to read may wait for a place all the same")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 1)}, Start);
    EntryVm entry;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        entry.state.clear_placed();
        entry.state.clear_ended();
        v1::PlacedRequest &placed = *entry.state.add_placed();
        placed.set_id(id);
        placed.set_upstream("a");
        placed.set_prompt_tokens(static_cast<std::uint32_t>(1000 * id));
        server.handleState(Vm1, entry.next(), Start);
    }
    entry.addAsk(50);
    entry.state.mutable_asks()->rbegin()->set_prompt_tokens(4'000'000);
    server.handleState(Vm1, entry.next(), Start);
    CHECK(refusalCount(server.advance(after(190))) == 0);
    CHECK(refusalCount(server.advance(after(400))) == 1);
}

TEST_CASE("a server asks for the pace of an upstream that it does not know")
{
    PlacementServer server(DataCentreName{"dc-a"}, 0);
    server.setList({engine("a", 2)}, Start);
    EntryVm entry;
    entry.addAsk(1);
    server.handleState(Vm1, entry.next(), Start);
    const auto first = server.advance(Start);
    REQUIRE(grantedTo(Vm1, first) == Ids{1});
    CHECK(first.front().second.grants(0).pace_wanted());
    entry.state.clear_asks();
    entry.addPlaced(1, "a");
    entry.state.mutable_placed(0)->set_early_pace_ms(12);
    entry.addAsk(2);
    server.handleState(Vm1, entry.next(), after(50));
    const auto second = server.advance(after(50));
    REQUIRE(grantedTo(Vm1, second) == Ids{2});
    CHECK_FALSE(second.front().second.grants(0).pace_wanted());
}
