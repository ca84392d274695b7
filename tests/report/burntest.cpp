#include "report/burn.h"
#include "control/statemachine.h"
#include "report/burnwire.h"
#include "report/outcomereport.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace cumindyke;

namespace
{

const ServiceName Drafting{"drafting"};
constexpr std::int64_t Start = 1'790'000'000'000;

Declarations testDeclarations()
{
    return Declarations::restored(Revision{1},
                                  {Tier{.name = TierName{"family"}, .rank = TierRank{0}},
                                   Service{.name = Drafting, .version = VersionName{"v1"}, .objectives = {Objective{.tier = TierName{"family"}}}}});
}

BurnCountMap counts(std::uint64_t onTime, std::uint64_t failed)
{
    return {{{Drafting, TierRank{0}}, BurnCounts{.onTime = onTime, .failed = failed, .sent = onTime + failed}}};
}

nlohmann::json reportOf(const BurnSeries &series, std::int64_t now)
{
    return nlohmann::json::parse(burnJson(testDeclarations(), series, {}, WallTime{now}));
}

}

TEST_CASE("the burn rate of a window is the missed ratio over the allowed ratio, and an alert needs both of its windows")
{
    BurnSeries series;
    // 90 minutes without a miss, then 4 in which one request of five fails: 20 times what 99% allows.
    std::int64_t now = Start;
    for (int minute = 0; minute < 90; ++minute, now += MinuteMs) {
        series.record(counts(100, 0), WallTime{now});
    }
    for (int minute = 0; minute < 4; ++minute, now += MinuteMs) {
        series.record(counts(80, 20), WallTime{now});
    }
    const auto onTime = reportOf(series, now)["objectives"][0]["on_time"];
    CHECK(onTime["burn_rate"]["5m"].get<double>() > 14.4);
    CHECK(onTime["burn_rate"]["1h"].get<double>() == Approx(80.0 / 5'900 / 0.01).epsilon(0.05));
    CHECK(onTime["alerts"].empty());
    for (int minute = 0; minute < 50; ++minute, now += MinuteMs) {
        series.record(counts(80, 20), WallTime{now});
    }
    CHECK_FALSE(reportOf(series, now)["objectives"][0]["on_time"]["alerts"].empty());
}

TEST_CASE("the series survives a leader change and a restart in the snapshot of the log")
{
    // Guards against a report that starts anew with the leader: the counts enter the log once a minute, and another VM restores a snapshot.
    StateMachine state;
    for (int minute = 0; minute < 3; ++minute) {
        v1::Command command;
        command.set_at_ms(Start + minute * MinuteMs);
        *command.mutable_record_burn() = toWire(BurnBucket{.start = {}, .counts = counts(10, 1)});
        state.apply(command);
    }
    StateMachine next;
    REQUIRE(ok(next.restore(state.snapshot())));
    CHECK(next.burn() == state.burn());
    CHECK(next.burn().sum({Drafting, TierRank{0}}, WallTime{Start + 3 * MinuteMs}, HourMs).failed == 3);
    CHECK(next.version() == state.version());
}

TEST_CASE("the series is bounded to 8 hours of minutes and 31 days of hours")
{
    BurnSeries series;
    for (std::int64_t minute = 0; minute < std::int64_t{40} * 24 * 60; minute += 7) {
        series.record(counts(1, 0), WallTime{Start + minute * MinuteMs});
    }
    CHECK(series.minutes().size() <= 480);
    CHECK(series.hours().size() <= 744);
}

TEST_CASE("requests as callers see them and attempts are counted separately")
{
    OutcomeMap growth;
    growth[OutcomeKey{.service = Drafting, .version = {}, .route = {}, .tier = TierRank{0}}] = OutcomeCounts{.onTime = 5, .refused = 2};
    OutcomeCounts sent{.sent = 6, .onTime = 5, .failed = 1};
    sent.firstTokenOver[11] = 2;
    growth[OutcomeKey{.service = Drafting, .version = VersionName{"v1"}, .route = "chat", .tier = TierRank{0}}] = sent;
    const BurnCounts sum = aggregateBurnCounts(growth, testDeclarations()).at({Drafting, TierRank{0}});
    CHECK(sum.total() == 7);
    CHECK(sum.refused == 2);
    CHECK(sum.sent == 6);
    // The objective of 760 ms is counted at the next bound, 905 ms.
    CHECK(sum.firstTokenLate == 2);
}

TEST_CASE("outcome counters are equal after conversion to protobuf and back")
{
    OutcomeCounts sent{.sent = 6, .onTime = 5, .failed = 1};
    sent.firstTokenOver[0] = 4;
    sent.firstTokenOver[1] = 3;
    sent.firstTokenOver[2] = 2;
    const OutcomeKey key{.service = Drafting, .version = VersionName{"v1"}, .route = "chat", .lengthClass = 7, .loadClass = 3, .tier = TierRank{1}};
    const OutcomeMap counted{{key, sent}};
    CHECK(fromWire(toWire(VmName{"vm"}, "a", 1, counted)) == counted);
}

TEST_CASE("the HTML page shows moves and refusals and escapes markup in names")
{
    BurnSeries series;
    series.record({{{Drafting, TierRank{0}}, BurnCounts{.onTime = 9, .refused = 1}}}, WallTime{Start});
    const Move move{.name = MoveName{"<script>"},
                    .service = Drafting,
                    .from = VersionName{"v1"},
                    .to = VersionName{"v2"},
                    .started = WallTime{Start},
                    .deadline = WallTime{Start + HourMs},
                    .state = MoveState::RolledBack,
                    .share = {},
                    .reason = "answers fail",
                    .stateSince = WallTime{Start + 60'000}};
    const std::string json = burnJson(testDeclarations(), series, {move}, WallTime{Start + 120'000});
    const Result<std::string> page = burnHtml(json);
    REQUIRE(ok(page));
    CHECK(valueOf(page).find("class=\"refused\"") != std::string::npos);
    CHECK(valueOf(page).find("taken back, answers fail") != std::string::npos);
    CHECK(valueOf(page).find("<script>") == std::string::npos);
    const Result<std::string> text = burnText(json);
    REQUIRE(ok(text));
    CHECK(valueOf(text).find("taken back") != std::string::npos);
    CHECK_FALSE(ok(burnHtml("{}{")));
    CHECK_FALSE(ok(burnText("[]")));
}

TEST_CASE("alerting rules cover every objective and both windows")
{
    const std::string rules = alertRules(testDeclarations());
    CHECK(rules.find("cumindyke_requests_total{service=\"drafting\",tier=\"family\"}[1h]") != std::string::npos);
    CHECK(rules.find("14.4") != std::string::npos);
    CHECK(rules.find("severity: ticket") != std::string::npos);
}
