#include "support/historychecker.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cumindyke::test;

namespace
{

std::string admitted(const std::string &id, int atMs, int rank = 0, const std::string &key = "")
{
    return R"({"at_us":)" + std::to_string(atMs * 1000) + R"(,"source":"vm-1","event":"admitted","id":")" + id + R"(","service":"drafting","rank":")"
        + std::to_string(rank) + R"(","organisation":"egbe-ijo","key":")" + key + "\"}\n";
}

std::string event(const std::string &name, const std::string &id, int atMs, const std::string &extraFields = "")
{
    return R"({"at_us":)" + std::to_string(atMs * 1000) + R"(,"event":")" + name + R"(","id":")" + id + "\"" + extraFields + "}\n";
}

const std::string ShedFields = R"(,"kind":"deadline-passed","outcome":"not-run")";

bool detects(Rule rule, const std::string &history, const std::vector<CallerRecord> &callers = {})
{
    const std::vector<Violation> detected = findViolations(history, callers);
    return detected.size() == 1 && detected.front().rule == rule;
}

}

TEST_CASE("a history that follows all rules has no violation")
{
    const std::string history = admitted("a", 1) + event("dispatched", "a", 2) + event("run", "a", 3) + admitted("b", 1, 1)
        + event("given-up", "b", 900, ShedFields) + admitted("k1", 5, 0, "key") + event("run", "k1", 6) + admitted("k2", 7, 0, "key");
    const std::vector<CallerRecord> callers{
        {.id = "a", .outcome = "ran", .whole = true, .text = "x", .expected = "x"},
        {.id = "b", .outcome = "not-run"},
        {.id = "k2", .key = "key", .outcome = "unknown"},
    };
    CHECK(describe(findViolations(history, callers)).empty());
}

TEST_CASE("each rule detects its injected violation and nothing else")
{
    CHECK(detects(Rule::OneDispatch, admitted("a", 1) + event("run", "a", 2) + event("run", "a", 9)));
    CHECK(detects(Rule::KeyedOnce, admitted("a", 1, 0, "key") + admitted("b", 1, 0, "key") + event("run", "a", 2) + event("run", "b", 3)));
    CHECK(detects(Rule::WholeAndOwn, "", {{.id = "a", .outcome = "ran", .whole = true, .text = "x", .expected = "x y"}}));
    CHECK(detects(Rule::TrueNotRun, admitted("a", 1) + event("run", "a", 2), {{.id = "a", .outcome = "not-run"}}));
    CHECK(detects(Rule::TrueNotRun,
                  admitted("a", 1, 0, "key") + admitted("b", 3, 0, "key") + event("run", "a", 2),
                  {{.id = "b", .key = "key", .outcome = "not-run", .answeredAtUs = 4000}}));
    CHECK(detects(Rule::TierOrder,
                  admitted("high", 1, 0) + admitted("low", 1, 1) + event("dispatched", "low", 600) + event("given-up", "high", 900, ShedFields)));
}
