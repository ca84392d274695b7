#include "platform/rolloutorder.h"
#include "platform/routedocument.h"
#include "proxy/routeindex.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <google/protobuf/util/message_differencer.h>

#include <map>

using namespace cumindyke;
using namespace cumindyke::platform;
using nlohmann::json;

namespace
{

/// A refusal's message or a list of problems, if there are none.
const std::string Nothing;

/// All members of the page's example, and those of other installations that have been met.
const std::string SoundDocument = R"({"version":7,"routes":[
    {"name":"r-1","host":"h.example","pathPrefix":"/p/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":1200,"priority":1,"service":"lm",
     "maxAttempts":2,"authExempt":true,"sessionAffinity":true,"streamResume":true,"gapTargetMs":300,"allowedRegions":["north"]},
    {"name":"r-2","host":"h.example","pathPrefix":"/q/","kind":"idempotent","timeoutMs":8000,"targetLatencyMs":600,"priority":0,
     "trafficSplit":[{"service":"lm","weight":90},{"service":"app","weight":10}],"maxAttempts":2,"authExempt":false,"sessionAffinity":false,
     "streamResume":false,"gapTargetMs":300}],
    "services":[{"name":"lm","healthPath":"/healthz","maxConnections":630,"protocol":"h1","tls":false,"coldPerS":7.5,
      "engine":{"slots":6,"kvCapacity":812000,"kvTokenBytes":18432,"linkMbps":370000.0,"moves":true,"backups":true,"stride":5,"most":12,"pinMs":4000.0,
        "holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}},
     {"name":"app","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
    "tenants":[{"name":"hule930","apiKeys":["i9n73hh2b9wu3fexd9dn","n2ctnfzs989anu6wsjnb"],"priority":1,"unit":"tokens","plainTokens":200,
      "ratePerS":153950,"burst":153950,"allowedRegions":["south"]}]})";

/// As the operator's interface decides it.
Result<v1::RouteTable> decide(const std::string &document)
{
    Result<v1::RouteTable> table = parseRouteDocument(document);
    if (!ok(table)) {
        return table;
    }
    const Result<Done> checked = checkRouteTable(valueOf(table));
    return ok(checked) ? table : Result<v1::RouteTable>(errorOf(checked));
}

/// Paths of all members and elements, for example "/routes/0/name".
void collectPaths(const json &value, const json::json_pointer &path, std::vector<json::json_pointer> &paths)
{
    if (!path.empty()) {
        paths.push_back(path);
    }
    if (value.is_object()) {
        for (const auto &[name, member] : value.items()) {
            collectPaths(member, path / name, paths);
        }
    } else if (value.is_array()) {
        for (std::size_t i = 0; i < value.size(); ++i) {
            collectPaths(value[i], path / i, paths);
        }
    }
}

std::vector<json::json_pointer> pathsOf(const json &document)
{
    std::vector<json::json_pointer> paths;
    collectPaths(document, json::json_pointer(), paths);
    return paths;
}

/// The path as error messages write it, for example "routes[0].name".
std::string writtenPath(const json::json_pointer &path)
{
    std::string written;
    for (json::json_pointer rest = path; !rest.empty(); rest.pop_back()) {
        const bool isIndex = rest.back().find_first_not_of("0123456789") == std::string::npos;
        const std::string part = isIndex ? "[" + rest.back() + "]" : (rest.parent_pointer().empty() ? "" : ".") + rest.back();
        written.insert(0, part);
    }
    return written;
}

/// Values that no member of the given one's type can have.
std::vector<json> unsoundValues(const json &sound)
{
    std::vector<json> values{json(), json::array({json()}), json{{"name", json()}}};
    if (sound.is_array()) {
        values = {json(), json::object(), json::object({{"0", "x"}})};
    } else if (sound.is_object()) {
        values = {json(), json::array(), json::array({json::object()})};
    }
    if (!sound.is_boolean()) {
        values.emplace_back(true);
        values.emplace_back(false);
    }
    if (!sound.is_string()) {
        values.emplace_back("");
        values.emplace_back("17");
    }
    if (sound.is_number()) {
        values.emplace_back(-1);
        values.emplace_back(-0.5);
        values.emplace_back(1e300);
    } else {
        values.emplace_back(0);
        values.emplace_back(17);
        values.emplace_back(2.5);
    }
    return values;
}

/// What the pages say of an absent member: it is required, or it counts as one with the given value.
struct WhenAbsent
{
    bool isRequired = false;
    json value = {};
    /// Whether nothing of the table depends on it.
    bool isUnused = false;
};

const std::map<std::string, WhenAbsent> AbsentMembers = {
    {"version", {.isRequired = true}},
    {"routes", {.isRequired = true}},
    {"services", {.isRequired = true}},
    {"limits", {.isUnused = true}},
    // No one needs a key; with an empty list everyone does, so no value stands for an absent one.
    {"tenants", {}},
    {"routes.name", {.isRequired = true}},
    {"routes.host", {.isRequired = true}},
    {"routes.pathPrefix", {.isRequired = true}},
    {"routes.timeoutMs", {.isRequired = true}},
    {"routes.service", {.isRequired = true}},
    {"routes.trafficSplit", {.isRequired = true}},
    {"routes.trafficSplit.service", {.isRequired = true}},
    {"routes.trafficSplit.weight", {.isRequired = true}},
    {"routes.kind", {.value = "non_idempotent"}},
    // Replaced by the route's timeout in the test.
    {"routes.targetLatencyMs", {}},
    {"routes.priority", {.value = 0}},
    {"routes.maxAttempts", {.value = 1}},
    {"routes.authExempt", {.value = false}},
    {"routes.sessionAffinity", {.isUnused = true}},
    {"routes.streamResume", {.value = false}},
    {"routes.gapTargetMs", {.value = 0}},
    {"routes.allowedRegions", {.value = json::array()}},
    {"services.name", {.isRequired = true}},
    {"services.healthPath", {.value = ""}},
    {"services.maxConnections", {.value = 0}},
    {"services.protocol", {.isUnused = true}},
    {"services.tls", {.isUnused = true}},
    {"services.coldPerS", {.value = 0}},
    {"services.engine", {.value = json::object()}},
    {"services.engine.slots", {.value = 0}},
    {"services.engine.stride", {.value = 0}},
    {"services.engine.models.name", {.isUnused = true}},
    {"tenants.name", {.isRequired = true}},
    {"tenants.apiKeys", {.isRequired = true}},
    {"tenants.priority", {.value = 0}},
    // A limit counts requests unless it says otherwise, and there is no value that says so.
    {"tenants.unit", {}},
    {"tenants.plainTokens", {.value = 0}},
    {"tenants.ratePerS", {.value = 0}},
    {"tenants.burst", {.value = 0}},
    {"tenants.allowedRegions", {.value = json::array()}},
};

/// The path without the places in lists.
std::string memberName(const json::json_pointer &path)
{
    std::string name;
    for (json::json_pointer rest = path; !rest.empty(); rest.pop_back()) {
        if (rest.back().find_first_not_of("0123456789") != std::string::npos) {
            name.insert(0, rest.back() + (name.empty() ? "" : "."));
        }
    }
    return name;
}

bool isElement(const json::json_pointer &path)
{
    return path.back().find_first_not_of("0123456789") == std::string::npos;
}

/// Null if the document must be refused, otherwise the document that it counts as.
std::optional<json> meaningWithout(const json &sound, const json::json_pointer &path)
{
    const std::string name = memberName(path);
    const auto listed = AbsentMembers.find(name);
    WhenAbsent rule;
    if (listed != AbsentMembers.end()) {
        rule = listed->second;
    } else {
        // The other members of limits and engines are not used.
        rule.isUnused = name.starts_with("limits.") || name.starts_with("services.engine.");
        REQUIRE(rule.isUnused);
    }
    if (rule.isRequired) {
        return {};
    }
    json meaning = sound;
    if (name == "routes.targetLatencyMs") {
        meaning[path] = sound[path.parent_pointer() / "timeoutMs"];
    } else if (name == "tenants.unit" || name == "tenants") {
        meaning[path.parent_pointer()].erase(path.back());
    } else if (!rule.isUnused) {
        meaning[path] = rule.value;
    }
    return meaning;
}

std::string refusalOf(const std::string &document)
{
    const Result<v1::RouteTable> decided = decide(document);
    return ok(decided) ? "" : errorOf(decided).message;
}

std::string soundWith(const std::string &from, const std::string &to)
{
    std::string document = SoundDocument;
    const std::size_t place = document.find(from);
    REQUIRE(place != std::string::npos);
    return document.replace(place, from.size(), to);
}

}

// Guards against a configuration that is acknowledged though a part of it can't be read: one whose organisations are a table opened all routes to callers
// without a key, and a rate in quotes counted as no limit.
TEST_CASE("a configuration with a member of another type is refused, and the error names the member")
{
    const json sound = json::parse(SoundDocument);
    REQUIRE(refusalOf(sound.dump()).empty());
    int tried = 0;
    std::string accepted;
    std::string unnamed;
    for (const json::json_pointer &path : pathsOf(sound)) {
        for (const json &value : unsoundValues(sound[path])) {
            if (value.is_null() && path.back() == "allowedRegions") {
                continue;
            }
            json changed = sound;
            changed[path] = value;
            const std::string refusal = refusalOf(changed.dump());
            ++tried;
            if (refusal.empty()) {
                accepted += writtenPath(path) + " = " + value.dump() + "\n";
            } else if (!refusal.starts_with(writtenPath(path))) {
                unnamed += writtenPath(path) + " = " + value.dump() + ": " + refusal + "\n";
            }
        }
    }
    INFO(tried << " documents tried; accepted: " << std::count(accepted.begin(), accepted.end(), '\n')
               << ", refused without the path: " << std::count(unnamed.begin(), unnamed.end(), '\n'));
    CHECK(accepted == Nothing);
    CHECK(unnamed == Nothing);
}

// Guards against routes that are open to all since the last organisation was removed.
TEST_CASE("callers need a key if the configuration lists organisations, even none")
{
    const auto table = [](const json &document) { return std::make_shared<const v1::RouteTable>(valueOf(decide(document.dump()))); };
    json document = json::parse(SoundDocument);
    CHECK(RouteIndex(table(document)).requiresKeys());
    document["tenants"] = json::array();
    CHECK(table(document)->organisations().empty());
    CHECK(RouteIndex(table(document)).requiresKeys());
    document.erase("tenants");
    CHECK(table(document)->organisations().empty());
    CHECK_FALSE(RouteIndex(table(document)).requiresKeys());
}

// Guards against a member whose absence is taken for something that the pages don't say.
TEST_CASE("a configuration without one of its members is refused, or in force as with the value that stands for an absent member")
{
    const json sound = json::parse(SoundDocument);
    std::string wrong;
    for (const json::json_pointer &path : pathsOf(sound)) {
        if (isElement(path)) {
            continue;
        }
        json changed = sound;
        changed[path.parent_pointer()].erase(path.back());
        const Result<v1::RouteTable> decided = decide(changed.dump());
        const std::optional<json> meaning = meaningWithout(sound, path);
        if (ok(decided) != meaning.has_value()) {
            wrong += writtenPath(path) + (meaning ? " is required\n" : " is not missed\n");
            continue;
        }
        if (!meaning) {
            if (!errorOf(decided).message.starts_with(writtenPath(path.parent_pointer()))) {
                wrong += writtenPath(path) + ": " + errorOf(decided).message + "\n";
            }
            continue;
        }
        const Result<v1::RouteTable> expected = decide(meaning->dump());
        if (!ok(expected) || !google::protobuf::util::MessageDifferencer::Equals(valueOf(decided), valueOf(expected))) {
            wrong += writtenPath(path) + ": in force otherwise than expected\n";
        }
    }
    CHECK(wrong == Nothing);
}

// Guards against proper configurations that are refused: each is one that the pages allow.
TEST_CASE("a configuration that the pages allow is accepted")
{
    CHECK(refusalOf(SoundDocument) == Nothing);
    // Members that this version doesn't know are ignored, whatever they hold.
    CHECK(refusalOf(soundWith("\"version\":7", R"("version":7,"newMember":[null,{"a":1}])")) == Nothing);
    CHECK(refusalOf(soundWith("\"slots\":6", R"("slots":6,"newMember":null)")) == Nothing);
    // Integers and durations may be written as decimals.
    CHECK(refusalOf(soundWith("\"version\":7", "\"version\":7.0")) == Nothing);
    CHECK(refusalOf(soundWith("\"timeoutMs\":5000", "\"timeoutMs\":5000.0")) == Nothing);
    CHECK(refusalOf(soundWith("\"timeoutMs\":5000", "\"timeoutMs\":1733.4")) == Nothing);
    CHECK(refusalOf(soundWith("\"targetLatencyMs\":1200", "\"targetLatencyMs\":250.5")) == Nothing);
    CHECK(refusalOf(soundWith("\"slots\":6", "\"slots\":6.0")) == Nothing);
    CHECK(refusalOf(soundWith("\"pinMs\":4000.0", "\"pinMs\":4000")) == Nothing);
    CHECK(refusalOf(soundWith("\"ratePerS\":153950", "\"ratePerS\":0")) == Nothing);
    CHECK(refusalOf(soundWith("\"burst\":153950", "\"burst\":0")) == Nothing);
    CHECK(refusalOf(soundWith("\"weight\":10", "\"weight\":0")) == Nothing);
    // The whole list of organisations, of regions, of routes and of services may be empty, and an organisation may be without keys.
    CHECK(refusalOf(soundWith("\"i9n73hh2b9wu3fexd9dn\",\"n2ctnfzs989anu6wsjnb\"", "")) == Nothing);
    CHECK(refusalOf(R"({"version":1,"routes":[],"services":[],"tenants":[]})") == Nothing);
    CHECK(refusalOf(soundWith(R"("allowedRegions":["north"])", R"("allowedRegions":null)")) == Nothing);
}

// A rate of 0 means no limit, so a small one that is cut to an integer would be none.
TEST_CASE("fractions of rates and durations never become 0")
{
    const auto parsed = parseRouteDocument(soundWith("\"ratePerS\":153950,\"burst\":153950", "\"ratePerS\":0.25,\"burst\":2.5"));
    REQUIRE(ok(parsed));
    CHECK(valueOf(parsed).organisations(0).rate_per_s() == 1);
    CHECK(valueOf(parsed).organisations(0).burst() == 2);
    const auto shortTimeout = parseRouteDocument(soundWith("\"timeoutMs\":5000", "\"timeoutMs\":0.3"));
    REQUIRE(ok(shortTimeout));
    CHECK(valueOf(shortTimeout).routes(0).timeout_ms() == 1);
}

// Guards against a document that two readers understand differently, and against values that no one has defined.
TEST_CASE("a configuration with duplicates, unknown words or values out of range is refused, with the path and the remedy")
{
    const auto check = [](const std::string &from, const std::string &to, const std::string &expected) {
        INFO(from << " -> " << to);
        CHECK(refusalOf(soundWith(from, to)) == expected);
    };
    check("\"version\":7", "\"version\":7,\"version\":8", "version is given twice: remove one of them");
    check("\"tenants\":[{", "\"tenants\":[{\"name\":\"a\",", "tenants[0].name is given twice: remove one of them");
    check("\"slots\":6", "\"slots\":6,\"slots\":6", "services[0].engine.slots is given twice: remove one of them");
    check("\"version\":7", R"("version":7,"newMember":[0,{"a":1,"a":2}])", "newMember[1].a is given twice: remove one of them");
    check("\"i9n73hh2b9wu3fexd9dn\"", "17", "tenants[0].apiKeys[0] is a number: give a text");
    check("\"i9n73hh2b9wu3fexd9dn\"", "\"\"", "tenants[0].apiKeys[0] is empty: give a text of at least one character");
    check("\"hule930\"", R"("a\r\nb")", "tenants[0].name contains a control character: remove it");
    check("\"streaming\"", "\"cached\"", "routes[0].kind is \"cached\": give idempotent, non_idempotent or streaming");
    check("\"unit\":\"tokens\"", "\"unit\":\"pages\"", "tenants[0].unit is \"pages\": give tokens, or omit it");
    check("\"timeoutMs\":5000", "\"timeoutMs\":4294967296", "routes[0].timeoutMs is 4294967296: give 0 to 4294967295");
    check("\"timeoutMs\":5000", "\"timeoutMs\":-1", "routes[0].timeoutMs is -1: give 0 to 4294967295");
    check("\"maxAttempts\":2", "\"maxAttempts\":0", "routes[0].maxAttempts is 0: give an integer from 1 to 4294967295");
    check("\"maxAttempts\":2", "\"maxAttempts\":1.5", "routes[0].maxAttempts is 1.5: give an integer from 1 to 4294967295");
    check("\"version\":7", "\"version\":0", "version is 0: give an integer from 1 to 18446744073709551615");
    check("\"service\":\"lm\",\n", "", "routes[0].service is missing: give a service or a trafficSplit");
    check("\"name\":\"app\"", "\"name\":\"lm\"", "services[1].name is \"lm\", as is that of services[0]: give each another name");
    CHECK(refusalOf(soundWith("\"tenants\":[", R"("tenants":[{"name":"hule930","apiKeys":[]},)"))
          == "tenants[1].name is \"hule930\", as is that of tenants[0]: give each another name");
    CHECK_FALSE(refusalOf(soundWith("\"timeoutMs\":5000", "\"timeoutMs\":1e999")).empty());
    CHECK_FALSE(refusalOf(soundWith("\"timeoutMs\":5000", "\"timeoutMs\":NaN")).empty());
    CHECK_FALSE(refusalOf(SoundDocument + "{}").empty());
}

// A route with both forms counts as split, but may name no unknown service in either.
TEST_CASE("a route with a service beside a traffic split is split, and its service must exist")
{
    const auto beside = [](const std::string &service) { return soundWith("\"trafficSplit\":", "\"service\":\"" + service + "\",\"trafficSplit\":"); };
    const auto parsed = decide(beside("app"));
    REQUIRE(ok(parsed));
    REQUIRE(valueOf(parsed).routes(1).services_size() == 3);
    CHECK(valueOf(parsed).routes(1).services(0).weight() == 90);
    CHECK(valueOf(parsed).routes(1).services(1).weight() == 10);
    CHECK(valueOf(parsed).routes(1).services(2).weight() == 0);
    CHECK(refusalOf(beside("elsewhere")) == "route 'r-2': there is no service 'elsewhere': add it or correct the name");
}

// A duration of 4,294,968 s was cut to 32 bits of milliseconds, so that the roll-out was given 0.7 s; a duration in quotes was refused without its name.
TEST_CASE("an order for a rollout is read strictly")
{
    const auto refusal = [](const std::string &text) {
        const Result<RolloutOrder> order = parseRolloutOrder(text);
        return ok(order) ? "" : errorOf(order).message;
    };
    const json sound{{"service", "lm"}, {"target", "v2"}, {"durationS", 12}};
    const Result<RolloutOrder> order = parseRolloutOrder(sound.dump());
    REQUIRE(ok(order));
    CHECK(valueOf(order).duration == std::chrono::seconds(12));
    for (const json::json_pointer &path : pathsOf(sound)) {
        for (const json &value : unsoundValues(sound[path])) {
            json changed = sound;
            changed[path] = value;
            INFO(changed.dump());
            CHECK(refusal(changed.dump()).starts_with(writtenPath(path) + " is "));
        }
        json changed = sound;
        changed.erase(path.back());
        CHECK(refusal(changed.dump()).starts_with(writtenPath(path) + " is missing: "));
    }
    CHECK(refusal(R"({"service":"lm","target":"v2","durationS":2.5,"newMember":null})") == Nothing);
    CHECK(refusal(R"({"service":"lm","target":"v2","durationS":0})") == "durationS is out of range: give 0.001 to 4294967 seconds");
    CHECK(refusal(R"({"service":"lm","target":"v2","durationS":4294968})") == "durationS is out of range: give 0.001 to 4294967 seconds");
    CHECK(refusal(R"({"service":"lm","target":"","durationS":1})") == "target is empty: give a text of at least one character");
    CHECK(refusal(R"({"service":"lm","target":"v1","target":"v2","durationS":1})") == "target is given twice: remove one of them");
}
