#include "fakeplatform/platformsystem.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace cumindyke::test
{

std::string daemonProgram()
{
    const char *program = std::getenv("CUMINDYKE_DAEMON");
    return program ? program : std::string(CUMINDYKE_BIN) + "/cumindyked";
}

std::string documentOf(int version)
{
    const auto route = [](const std::string &name, const std::string &kind) {
        return nlohmann::json{{"name", name},
                              {"host", "desk.example"},
                              {"pathPrefix", "/" + name + "/"},
                              {"kind", kind},
                              {"timeoutMs", 5000},
                              {"priority", 0},
                              {"service", "desk"},
                              {"targetLatencyMs", 300},
                              {"maxAttempts", 1},
                              {"authExempt", false},
                              {"unknownField", {}}};
    };
    return nlohmann::json{
        {"version", version},
        {"routes", {route("deposits", "non_idempotent"), route("drafts", "streaming")}},
        {"services", {{{"name", "desk"}}}},
        {"tenants", {{{"name", "ensemble"}, {"apiKeys", {"key-1"}}, {"priority", 1}, {"unit", "tokens"}, {"plainTokens", 200}, {"ratePerS", 0}}}}}
        .dump(1);
}

std::string soakDocument()
{
    nlohmann::json document = nlohmann::json::parse(documentOf(3));
    nlohmann::json route = document["routes"][0];
    document["routes"].clear();
    const auto add = [&](const std::string &name, const std::string &kind, int attempts, bool resumes) {
        route["name"] = name;
        route["pathPrefix"] = "/" + name + "/";
        route["kind"] = kind;
        route["maxAttempts"] = attempts;
        route["streamResume"] = resumes;
        document["routes"].push_back(route);
    };
    add("lookups", "idempotent", 3, false);
    add("deposits", "non_idempotent", 2, false);
    add("drafts", "streaming", 2, false);
    add("texts", "streaming", 3, true);
    return document.dump();
}

HeaderList callerHeaders(const std::string &id, const std::string &key)
{
    return {{"Host", "desk.example"}, {"Cumindyke-Request-Id", id}, {"Cumindyke-Deadline-Ms", "4000"}, {"Cumindyke-Key", key}, {"Cumindyke-Hold", "stolen"}};
}

}
