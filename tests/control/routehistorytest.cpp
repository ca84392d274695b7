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

/// Returns a table that also has an organisation with a key.
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
    std::vector<std::string> items;
    for (const v1::Route &route : table.routes()) {
        items.push_back(route.ShortDebugString());
    }
    for (const v1::RoutedService &service : table.services()) {
        items.push_back(service.ShortDebugString());
    }
    for (const v1::RoutedOrganisation &organisation : table.organisations()) {
        items.push_back(organisation.ShortDebugString());
    }
    std::ranges::sort(items);
    std::string text = std::to_string(table.version());
    for (const std::string &item : items) {
        text += "\n" + item;
    }
    return text;
}

}

TEST_CASE("a change with added, replaced and removed items turns one table into the other")
{
    const v1::RouteTable before = tableWithOrganisation(1, 20, "old");
    v1::RouteTable after = tableWithOrganisation(5, 25, "new");
    after.mutable_routes()->DeleteSubrange(3, 2);
    after.mutable_routes(0)->set_timeout_ms(1);
    after.add_services()->set_name("printing");
    for (const auto &[from, to] : {std::pair(before, after), std::pair(after, before)}) {
        const auto change = diffRouteTables(from, to);
        REQUIRE(change);
        CHECK(sorted(valueOf(applyRouteTableChange(from, *change))) == sorted(to));
    }
}

TEST_CASE("a change of few keys names only these, whatever else changes in the organisation")
{
    constexpr int Keys = 100;
    const v1::RouteTable before = keyTable(1, 3, Keys, 0);
    v1::RouteTable after = keyTable(2, 3, Keys, 3);
    after.mutable_organisations(0)->set_rate_per_s(9);
    after.mutable_organisations()->DeleteSubrange(1, 1);
    for (const auto &[from, to] : {std::pair(before, after), std::pair(after, before)}) {
        const auto change = diffRouteTables(from, to);
        REQUIRE(change);
        REQUIRE(change->organisation_changes_size() == 1);
        CHECK(change->organisation_changes(0).added_keys_size() == 3);
        CHECK(change->organisation_changes(0).removed_keys_size() == 3);
        CHECK(sorted(valueOf(applyRouteTableChange(from, *change))) == sorted(to));
    }
}

// Guards against a change that would restore the keys in another order, which the checksum takes for another table.
TEST_CASE("an organisation whose keys are in no order is sent whole")
{
    const v1::RouteTable before = keyTable(1, 1, 100, 0);
    v1::RouteTable after = keyTable(2, 1, 100, 1);
    after.mutable_organisations(0)->mutable_key_sha256()->SwapElements(0, 50);
    const auto change = diffRouteTables(before, after);
    REQUIRE(change);
    CHECK(change->organisations_size() == 1);
    CHECK(sorted(valueOf(applyRouteTableChange(before, *change))) == sorted(after));
}

TEST_CASE("a change of keys is refused by a table without the organisation")
{
    const auto change = diffRouteTables(keyTable(1, 1, 100, 0), keyTable(2, 1, 100, 1));
    REQUIRE(change);
    CHECK_FALSE(ok(applyRouteTableChange(keyTable(1, 0, 100, 0), *change)));
}

// Guards against routes mixed from two tables when a change reaches a VM with another table.
TEST_CASE("a change is refused for another table than the one it was made for")
{
    const auto change = diffRouteTables(routeTable(1, 20), routeTable(2, 21));
    v1::RouteTable other = routeTable(1, 20);
    other.mutable_routes(4)->set_timeout_ms(1);
    CHECK_FALSE(ok(applyRouteTableChange(other, *change)));
}

TEST_CASE("tables with duplicate keys have no change between them")
{
    v1::RouteTable twice = routeTable(2, 3);
    twice.add_services()->set_name("drafting");
    CHECK_FALSE(diffRouteTables(routeTable(1, 3), twice));
    CHECK_FALSE(diffRouteTables(twice, routeTable(1, 3)));
}

// Guards against a VM that goes on serving callers without a key, since a change of the list of organisations does not say that one is needed.
TEST_CASE("tables of which only one has callers with keys have no change between them, and a change keeps what holds")
{
    v1::RouteTable closed = routeTable(1, 3);
    closed.clear_organisations();
    closed.set_requires_keys(true);
    v1::RouteTable open = closed;
    open.set_version(2);
    open.set_requires_keys(false);
    CHECK_FALSE(diffRouteTables(closed, open));
    CHECK_FALSE(diffRouteTables(open, closed));
    v1::RouteTable later = closed;
    later.set_version(2);
    later.mutable_routes(0)->set_timeout_ms(1);
    const auto change = diffRouteTables(closed, later);
    REQUIRE(change);
    CHECK(valueOf(applyRouteTableChange(closed, *change)).requires_keys());
}

// Guards against updates that send each VM the whole table for a small change.
TEST_CASE("an update has the changes since a version, or the whole table if that is smaller or the changes are not kept")
{
    RouteHistory history;
    history.publish(shared(routeTable(1, 1'000)), {});
    history.publish(shared(routeTable(4, 1'001)), {});
    history.publish(shared(routeTable(9, 1'002)), {});
    CHECK(history.updateSince(4).changes_size() == 1);
    CHECK(history.updateSince(1).changes_size() == 2);
    CHECK(history.updateSince(1).ByteSizeLong() < 1'000);
    CHECK(history.updateSince(2).changes_size() == 0);
    for (const std::uint64_t held : {1, 4}) {
        const auto updated = applyRoutesUpdate(shared(routeTable(held, held == 1 ? 1'000 : 1'001)), history.updateSince(held));
        CHECK(sorted(*valueOf(updated)) == sorted(routeTable(9, 1'002)));
    }
    CHECK(sorted(*valueOf(applyRoutesUpdate(nullptr, history.updateSince(0)))) == sorted(routeTable(9, 1'002)));
    history.publish(shared(routeTable(10, 1)), {});
    CHECK(history.updateSince(9).changes_size() == 0);
    CHECK_FALSE(history.updateSince(9).packed_table().empty());
}

TEST_CASE("an update that starts before the current version is applied and one that starts after it is refused")
{
    RouteHistory history;
    history.publish(shared(routeTable(1, 1'000)), {});
    history.publish(shared(routeTable(2, 1'001)), {});
    history.publish(shared(routeTable(3, 1'002)), {});
    CHECK(ok(applyRoutesUpdate(shared(routeTable(2, 1'001)), history.updateSince(1))));
    CHECK_FALSE(ok(applyRoutesUpdate(shared(routeTable(1, 1'000)), history.updateSince(2))));
    CHECK_FALSE(ok(applyRoutesUpdate(nullptr, history.updateSince(2))));
}

// Guards against a VM that requests the same changes for ever because its table differs from the one that the leader assumes.
TEST_CASE("a VM whose routes do not fit the changes requests the whole table")
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

TEST_CASE("a publication that can't be unpacked is refused, and a snapshot restores the last valid one")
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

// Guards against an operator who can't read back a table that was confirmed before an upgrade.
TEST_CASE("a publication logged by an earlier version of the program is put in force and can be read back")
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
