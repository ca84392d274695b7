#include "control/routehistory.h"
#include "common/packing.h"
#include "control/distributionrig.h"
#include "control/follower.h"
#include "control/routechanges.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

RouteTablePointer shared(const v1::RouteTable &table)
{
    return std::make_shared<const v1::RouteTable>(table);
}

/// Keys of organisations too, and a split over services.
v1::RouteTable tableWithOrganisation(std::uint64_t version, int routes, const std::string &key)
{
    v1::RouteTable table = routeTable(version, routes);
    v1::RoutedOrganisation &organisation = *table.add_organisations();
    organisation.set_name("office");
    organisation.add_key_sha256(key);
    return table;
}

std::string sorted(const v1::RouteTable &table)
{
    std::vector<std::string> parts;
    for (const v1::Route &route : table.routes()) {
        parts.push_back(route.ShortDebugString());
    }
    for (const v1::RoutedService &service : table.services()) {
        parts.push_back(service.ShortDebugString());
    }
    for (const v1::RoutedOrganisation &organisation : table.organisations()) {
        parts.push_back(organisation.ShortDebugString());
    }
    std::ranges::sort(parts);
    std::string text = std::to_string(table.version());
    for (const std::string &part : parts) {
        text += "\n" + part;
    }
    return text;
}

}

TEST_CASE("a change turns one table into another, whatever was added, replaced or removed")
{
    const v1::RouteTable before = tableWithOrganisation(1, 20, "old");
    v1::RouteTable after = tableWithOrganisation(5, 25, "new");
    after.mutable_routes()->DeleteSubrange(3, 2);
    after.mutable_routes(0)->set_timeout_ms(1);
    after.add_services()->set_name("printing");
    for (const auto &[from, to] : {std::pair(before, after), std::pair(after, before)}) {
        const auto change = changeBetween(from, to);
        REQUIRE(change);
        CHECK(sorted(valueOf(withChange(from, *change))) == sorted(to));
    }
}

// Guards against routes that are mixed from two tables, when a change reaches a VM that holds another one.
TEST_CASE("a change is refused on a table that it was not made for")
{
    const auto change = changeBetween(routeTable(1, 20), routeTable(2, 21));
    v1::RouteTable other = routeTable(1, 20);
    other.mutable_routes(4)->set_timeout_ms(1);
    CHECK_FALSE(ok(withChange(other, *change)));
}

TEST_CASE("tables that name something twice have no change between them")
{
    v1::RouteTable twice = routeTable(2, 3);
    twice.add_services()->set_name("drafting");
    CHECK_FALSE(changeBetween(routeTable(1, 3), twice));
    CHECK_FALSE(changeBetween(twice, routeTable(1, 3)));
}

// Guards against an update that costs each VM the whole table however small the change is.
TEST_CASE("a VM gets the changes since the version it holds, or the whole table when that is smaller or nothing else is known")
{
    RouteHistory history;
    history.publish(shared(routeTable(1, 1'000)), {});
    history.publish(shared(routeTable(4, 1'001)), {});
    history.publish(shared(routeTable(9, 1'002)), {});
    CHECK(history.since(4).changes_size() == 1);
    CHECK(history.since(1).changes_size() == 2);
    CHECK(history.since(1).ByteSizeLong() < 1'000);
    CHECK(history.since(2).changes_size() == 0);
    for (const std::uint64_t held : {1, 4}) {
        const auto updated = applyRoutesUpdate(shared(routeTable(held, held == 1 ? 1'000 : 1'001)), history.since(held));
        CHECK(sorted(*valueOf(updated)) == sorted(routeTable(9, 1'002)));
    }
    CHECK(sorted(*valueOf(applyRoutesUpdate(nullptr, history.since(0)))) == sorted(routeTable(9, 1'002)));
    history.publish(shared(routeTable(10, 1)), {});
    CHECK(history.since(9).changes_size() == 0);
    CHECK_FALSE(history.since(9).packed_table().empty());
}

TEST_CASE("an update that starts before what a VM holds is taken, one that starts after it is not")
{
    RouteHistory history;
    history.publish(shared(routeTable(1, 1'000)), {});
    history.publish(shared(routeTable(2, 1'001)), {});
    history.publish(shared(routeTable(3, 1'002)), {});
    CHECK(ok(applyRoutesUpdate(shared(routeTable(2, 1'001)), history.since(1))));
    CHECK_FALSE(ok(applyRoutesUpdate(shared(routeTable(1, 1'000)), history.since(2))));
    CHECK_FALSE(ok(applyRoutesUpdate(nullptr, history.since(2))));
}

// Guards against a VM that asks for the same changes for ever, when what it holds is not what the leader takes it for.
TEST_CASE("a VM whose routes don't add up with the changes sent for them asks for the whole table")
{
    StateMachine state;
    const auto publish = [&state](const v1::RouteTable &table) {
        v1::Command command;
        command.set_command_id("publish-" + std::to_string(table.version()));
        *command.mutable_publish_routes() = packPublication(table, {});
        REQUIRE(state.apply(command).reply().outcome() == v1::CommandReply::ACCEPTED);
    };
    Follower follower({.vm = VmName{"vm-1"}, .dataCentre = DataCentreName{"dc-0"}, .incarnation = 1'000});
    publish(routeTable(1, 100));
    v1::ConfigUpdate other = makeConfigUpdate(state, Revision{0});
    v1::RouteTable wrong = routeTable(1, 100);
    wrong.mutable_routes(7)->set_timeout_ms(1);
    *other.mutable_routes() = v1::RoutesUpdate();
    other.mutable_routes()->set_version(1);
    other.mutable_routes()->set_packed_table(packPublication(wrong, {}).packed_table());
    REQUIRE(follower.applyUpdate(other) == Follower::UpdateResult::Applied);
    publish(routeTable(2, 101));
    CHECK(follower.applyUpdate(makeConfigUpdate(state, Revision{0}, 1)) == Follower::UpdateResult::Gap);
    const v1::ConfigHeartbeat heartbeat = follower.makeHeartbeat(TimePoint{});
    CHECK(heartbeat.gap());
    REQUIRE(heartbeat.routes_version() == 0);
    CHECK(follower.applyUpdate(makeConfigUpdate(state, Revision{0}, heartbeat.routes_version())) == Follower::UpdateResult::Applied);
    CHECK(sorted(*follower.routes()) == sorted(routeTable(2, 101)));
    CHECK(follower.makeHeartbeat(TimePoint{}).routes_version() == 2);
}

TEST_CASE("a publication that can't be unpacked is refused by the state machine, and a snapshot brings the last good one back")
{
    StateMachine state;
    v1::Command good;
    good.set_command_id("good");
    *good.mutable_publish_routes() = packPublication(routeTable(3, 10), "document");
    state.apply(good);
    v1::Command bad;
    bad.set_command_id("bad");
    bad.mutable_publish_routes()->set_packed_table("not packed");
    CHECK(state.apply(bad).reply().outcome() == v1::CommandReply::INVALID);
    StateMachine restored;
    REQUIRE(ok(restored.restore(state.snapshot())));
    CHECK(sorted(restored.routeHistory().newest()) == sorted(routeTable(3, 10)));
    CHECK(restored.routes().packed_document() == state.routes().packed_document());
}

// Guards against an operator who can't read back what was confirmed before an upgrade.
TEST_CASE("a publication in the log of an earlier version of the program is in force, and is read back")
{
    StateMachine state;
    v1::Command command;
    command.set_command_id("old");
    *command.mutable_publish_routes()->mutable_table() = routeTable(3, 10);
    command.mutable_publish_routes()->set_document("document");
    REQUIRE(state.apply(command).reply().outcome() == v1::CommandReply::ACCEPTED);
    CHECK(sorted(state.routeHistory().newest()) == sorted(routeTable(3, 10)));
    CHECK(valueOf(unpack(packedDocumentOf(state.routes()))) == "document");
    StateMachine restored;
    REQUIRE(ok(restored.restore(state.snapshot())));
    CHECK(sorted(restored.routeHistory().newest()) == sorted(routeTable(3, 10)));
    CHECK(valueOf(unpack(packedDocumentOf(restored.routes()))) == "document");
}
