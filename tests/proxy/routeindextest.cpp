#include "proxy/routeindex.h"

#include "common/hash.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

v1::Route &addRoute(v1::RouteTable &table, const std::string &prefix, const std::string &service = "drafts")
{
    v1::Route &route = *table.add_routes();
    route.set_name("route" + prefix);
    route.set_host("desk.example");
    route.set_path_prefix(prefix);
    route.set_timeout_ms(1000);
    route.add_services()->set_service(service);
    route.mutable_services(0)->set_weight(1);
    return route;
}

v1::RouteTable smallTable()
{
    v1::RouteTable table;
    table.set_version(1);
    table.add_services()->set_name("drafts");
    addRoute(table, "/a/");
    addRoute(table, "/a/b/");
    return table;
}

}

TEST_CASE("the route with the longest prefix of the path on its host is found")
{
    const RouteIndex routes(std::make_shared<const v1::RouteTable>(smallTable()));
    CHECK(routes.find("desk.example", "/a/x")->path_prefix() == "/a/");
    CHECK(routes.find("desk.example", "/a/b/c/d")->path_prefix() == "/a/b/");
    CHECK(routes.find("desk.example", "/a/b")->path_prefix() == "/a/");
    CHECK(routes.find("desk.example", "/ab/") == nullptr);
    CHECK(routes.find("desk.example", "") == nullptr);
    CHECK(routes.find("other.example", "/a/") == nullptr);
}

TEST_CASE("a key is mapped to the organisation that owns it")
{
    v1::RouteTable table = smallTable();
    v1::RoutedOrganisation &organisation = *table.add_organisations();
    organisation.set_name("ensemble");
    organisation.add_key_sha256(hashKey("secret").value);
    const RouteIndex routes(std::make_shared<const v1::RouteTable>(table));
    CHECK(routes.organisationOfKey("secret")->name() == "ensemble");
    CHECK(routes.organisationOfKey("Secret") == nullptr);
    CHECK(routes.organisationOfKey("") == nullptr);
}

// Guards against callers without a key who are taken for an organisation's.
TEST_CASE("no organisation owns the empty key, even if its table says so")
{
    v1::RouteTable table = smallTable();
    v1::RoutedOrganisation &organisation = *table.add_organisations();
    organisation.set_name("ensemble");
    organisation.add_key_sha256(hashKey("").value);
    CHECK(RouteIndex(std::make_shared<const v1::RouteTable>(table)).organisationOfKey("") == nullptr);
}

TEST_CASE("an invalid table is rejected with the remedy")
{
    v1::RouteTable table = smallTable();
    std::string remedy;
    SECTION("unknown service")
    {
        addRoute(table, "/c/", "nobody");
        remedy = "add it or correct the name";
    }
    SECTION("two routes with the same host and prefix")
    {
        addRoute(table, "/a/");
        remedy = "remove one of them";
    }
    SECTION("no weight")
    {
        addRoute(table, "/c/").mutable_services(0)->set_weight(0);
        remedy = "give one of them a weight";
    }
    SECTION("no timeout")
    {
        addRoute(table, "/c/").set_timeout_ms(0);
        remedy = "set it to at least 1 ms";
    }
    SECTION("a prefix that does not end with a slash")
    {
        addRoute(table, "/c");
        remedy = "must begin and end with a slash";
    }
    SECTION("a key of two organisations")
    {
        for (const char *name : {"one", "two"}) {
            v1::RoutedOrganisation &organisation = *table.add_organisations();
            organisation.set_name(name);
            organisation.add_key_sha256(hashKey("shared").value);
        }
        remedy = "give each its own";
    }
    const Result<Done> checked = checkRouteTable(table);
    REQUIRE_FALSE(ok(checked));
    CHECK(errorOf(checked).kind == ErrorKind::Invalid);
    CHECK(errorOf(checked).message.find(remedy) != std::string::npos);
}
