#include "platform/instancelist.h"
#include "platform/json.h"
#include "platform/routedocument.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::platform;

namespace
{

const std::string Document = R"({"version":7,"routes":[
    {"name":"r-1","host":"h.example","pathPrefix":"/p/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":400,"priority":1,
     "service":"lm","maxAttempts":2,"authExempt":false,"sessionAffinity":true,"streamResume":true,"gapTargetMs":200},
    {"name":"r-2","host":"h.example","pathPrefix":"/q/","kind":"non_idempotent","timeoutMs":1500.0,
     "trafficSplit":[{"service":"lm","weight":90},{"service":"app","weight":10}],"authExempt":true}],
    "services":[{"name":"lm","healthPath":"/healthz","maxConnections":490,"engine":{"slots":9,"stride":6}},{"name":"app","somethingNew":{}}],
    "limits":{},"tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":100,"burst":50}]})";

const std::string Entry = R"({"service":"lm","address":"10.0.0.9:8080","zone":"z-a","version":"v1","slots":6,"state":"ready","id":"i-1","born":12})";

Result<InstancePage> pageWith(const std::string &entries)
{
    return parseInstancePage(R"({"instances":[)" + entries + R"(],"next":"p-50"})");
}

}

TEST_CASE("a configuration document is converted to a route table")
{
    const Result<v1::RouteTable> parsed = parseRouteDocument(Document);
    REQUIRE(ok(parsed));
    const v1::RouteTable &table = valueOf(parsed);
    CHECK(table.version() == 7);
    CHECK(table.routes(0).kind() == v1::RESUMABLE_STREAMING);
    CHECK(table.routes(0).objective_ms() == 400);
    CHECK(table.routes(0).pause_objective_ms() == 200);
    CHECK(table.routes(0).max_attempts() == 2);
    CHECK(table.routes(1).kind() == v1::NON_IDEMPOTENT);
    CHECK(table.routes(1).timeout_ms() == 1500);
    CHECK(table.routes(1).services_size() == 2);
    CHECK(table.routes(1).open_to_all());
    CHECK(table.services(0).slots() == 9);
    CHECK(table.services(0).tokens_per_event() == 6);
    CHECK(table.organisations(0).key_sha256_size() == 2);
    CHECK(table.organisations(0).key_sha256(0).size() == 64);
    CHECK(table.organisations(0).counts_tokens());
    CHECK(table.organisations(0).burst() == 50);
}

TEST_CASE("an incomplete document, or one without required members, is rejected")
{
    std::string document = Document;
    const auto replaced = [&document](const std::string &from, const std::string &to) { document.replace(document.find(from), from.size(), to); };
    SECTION("cut short")
    {
        document.resize(document.size() / 2);
    }
    SECTION("no object")
    {
        document = "[1,2]";
    }
    SECTION("empty")
    {
        document = "";
    }
    SECTION("no version")
    {
        replaced("\"version\":7", "\"v\":7");
    }
    SECTION("a version that is not an integer")
    {
        replaced("\"version\":7", "\"version\":7.5");
    }
    SECTION("a negative timeout")
    {
        replaced("\"timeoutMs\":5000", "\"timeoutMs\":-1");
    }
    SECTION("a key of another type")
    {
        replaced("\"k1\"", "17");
    }
    SECTION("nested deeper than any message")
    {
        document = R"({"version":1,"routes":)" + std::string(100'000, '[') + std::string(100'000, ']') + "}";
    }
    CHECK_FALSE(ok(parseRouteDocument(document)));
}

TEST_CASE("an entry of the list is parsed")
{
    const Result<InstancePage> page = pageWith(Entry);
    REQUIRE(ok(page));
    const UpstreamInstance &instance = valueOf(page).instances.at(0);
    CHECK(instance.name == InstanceName{"i-1"});
    CHECK(instance.address == Address{.host = "10.0.0.9", .port = 8080});
    CHECK(instance.dataCentre == DataCentreName{"z-a"});
    CHECK(instance.slots == 6);
    CHECK_FALSE(instance.draining);
    CHECK(instance.startedAtMs == 12);
    CHECK(valueOf(page).nextPageToken == "p-50");
}

// Guards against requests sent to an address without an upstream, or to none at all. Other programs write into the list, too; their entries name no
// usable upstream and must not invalidate the other entries.
TEST_CASE("an entry that can't be parsed is left out and the others are kept")
{
    std::string malformed = Entry;
    const auto replaced = [&malformed](const std::string &from, const std::string &to) { malformed.replace(malformed.find(from), from.size(), to); };
    SECTION("no entry at all")
    {
        malformed = "null";
    }
    SECTION("an unknown state")
    {
        replaced("\"ready\"", "\"resting\"");
    }
    SECTION("an invalid address")
    {
        replaced("10.0.0.9:8080", "somewhere");
    }
    SECTION("another type")
    {
        replaced("\"id\":\"i-1\"", "\"id\":[1]");
    }
    SECTION("no slots")
    {
        replaced("\"slots\":6", "\"slots\":0");
    }
    SECTION("a missing field")
    {
        replaced("\"version\":\"v1\",", "");
    }
    const Result<InstancePage> page = pageWith(malformed + "," + Entry);
    REQUIRE(ok(page));
    CHECK(valueOf(page).instances.size() == 1);
    CHECK(valueOf(page).rejected.size() == 1);
}

TEST_CASE("a truncated page is rejected as a whole")
{
    CHECK_FALSE(ok(parseInstancePage(R"({"instances":[{"id":"i-1")")));
    CHECK_FALSE(ok(parseInstancePage("\xff\xfe")));
    CHECK_FALSE(ok(parseInstancePage(R"({"instances":{}})")));
}

TEST_CASE("a page token may contain any character")
{
    const InstanceListProtocol list = instanceListAt(Address{.host = "127.0.0.1", .port = 1});
    CHECK(list.target({}, "") == "/instances");
    CHECK(list.target({}, "a&b=c") == "/instances?pageToken=a%26b%3Dc");
    CHECK(list.target(DataCentreName{"dc a"}, "") == "/instances?zone=dc%20a");
    CHECK(list.target(DataCentreName{"dc-a"}, "a&b=c") == "/instances?zone=dc-a&pageToken=a%26b%3Dc");
}

// Guards against an upstream that counts as warm since the platform wrote something else than a number.
TEST_CASE("how long an upstream is cold is read, and anything but a number of milliseconds is unknown")
{
    const auto coldForWith = [](const std::string &member) {
        std::string entry = Entry;
        entry.insert(1, member);
        const Result<InstancePage> page = pageWith(entry);
        REQUIRE(ok(page));
        REQUIRE(valueOf(page).instances.size() == 1);
        return valueOf(page).instances.front().coldFor;
    };
    CHECK(coldForWith(R"("coldRemainingMs":2500,)") == std::chrono::milliseconds(2500));
    CHECK(coldForWith(R"("coldRemainingMs":0.5,)") == std::chrono::milliseconds(0));
    CHECK(coldForWith(R"("coldRemainingMs":1e300,)") == std::chrono::hours(1));
    for (const char *malformed : {"", R"("coldRemainingMs":-1,)", R"("coldRemainingMs":"3",)", R"("coldRemainingMs":null,)", R"("coldRemainingMs":[1],)"}) {
        CHECK_FALSE(coldForWith(malformed));
    }
}

// A rate that can't be read was taken for 1 a second, which no configuration asked for.
TEST_CASE("the rate that cold upstreams bear is read, and a malformed one is refused")
{
    const auto parse = [](const std::string &member) { return parseRouteDocument(R"({"version":1,"routes":[],"services":[{"name":"desk")" + member + "}]}"); };
    const auto rateWith = [&parse](const std::string &member) {
        const Result<v1::RouteTable> table = parse(member);
        REQUIRE(ok(table));
        return valueOf(table).services(0).cold_rate_per_s();
    };
    CHECK(rateWith("") == 0);
    CHECK(rateWith(R"(,"coldPerS":0.0)") == 0);
    CHECK(rateWith(R"(,"coldPerS":7.5)") == 7.5);
    for (const char *malformed : {"-3", "\"ten\"", "null", "[10]"}) {
        const Result<v1::RouteTable> table = parse(std::string(R"(,"coldPerS":)") + malformed);
        REQUIRE_FALSE(ok(table));
        CHECK(errorOf(table).message.starts_with("services[0].coldPerS is "));
    }
}

TEST_CASE("home regions of routes and organisations are read, and malformed ones refused")
{
    const auto parse = [](const std::string &regions) {
        return parseRouteDocument(R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","timeoutMs":100,"service":"s","allowedRegions":)"
                                  + regions + R"(}],"services":[{"name":"s"}],"tenants":[{"name":"t","apiKeys":[],"allowedRegions":)" + regions + "}]}");
    };
    const Result<v1::RouteTable> table = parse(R"(["north","south"])");
    REQUIRE(ok(table));
    CHECK(valueOf(table).routes(0).home_regions_size() == 2);
    CHECK(valueOf(table).organisations(0).home_regions(1) == "south");
    CHECK(ok(parse("[]")));
    CHECK(ok(parse("null")));
    CHECK_FALSE(ok(parse("\"north\"")));
    CHECK_FALSE(ok(parse("[1]")));
}
