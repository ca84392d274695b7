#include "report/burn.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace cumindyke
{

namespace
{

using Json = nlohmann::ordered_json;

constexpr std::int64_t BudgetWindowMs = 30 * 24 * HourMs;

double burnRate(std::uint64_t missed, std::uint64_t total, double allowedMissRatio)
{
    return total == 0 || allowedMissRatio <= 0 ? 0 : static_cast<double>(missed) / static_cast<double>(total) / allowedMissRatio;
}

/// Returns the burn rates of one kind of objective by window, its firing alerts and its remaining budget. Without a "missed" member, all
/// requests that were not on time count as missed.
Json objectiveBurnJson(const BurnSeries &series,
                       const ServiceTier &serviceTier,
                       double allowedMissRatio,
                       std::uint64_t BurnCounts::*missed,
                       std::uint64_t (*totalOf)(const BurnCounts &),
                       WallTime now)
{
    const auto rate = [&](std::int64_t windowMs) {
        const BurnCounts sum = series.sum(serviceTier, now, windowMs);
        return burnRate(missed ? sum.*missed : sum.notOnTime(), totalOf(sum), allowedMissRatio);
    };
    Json rates = Json::object();
    for (const BurnWindow &window : BurnWindows) {
        rates[window.name] = rate(window.lengthMs);
    }
    Json alerts = Json::array();
    for (const BurnAlert &alert : BurnAlerts) {
        if (rates[alert.longWindow] > alert.threshold && rates[alert.shortWindow] > alert.threshold) {
            alerts.push_back({{"severity", alert.severity}, {"long_window", alert.longWindow}, {"short_window", alert.shortWindow}});
        }
    }
    return Json{{"allowed", allowedMissRatio}, {"burn_rate", rates}, {"budget_left", 1 - rate(BudgetWindowMs)}, {"alerts", alerts}};
}

Json countsJson(const BurnCounts &counts)
{
    return Json{{"on_time", counts.onTime}, {"late", counts.late}, {"failed", counts.failed}, {"refused", counts.refused}, {"unknown", counts.unknown}};
}

Json seriesJson(const std::deque<BurnBucket> &buckets, const ServiceTier &serviceTier, double allowedMissRatio)
{
    Json points = Json::array();
    for (const BurnBucket &bucket : buckets) {
        const auto found = bucket.counts.find(serviceTier);
        const BurnCounts counts = found == bucket.counts.end() ? BurnCounts{} : found->second;
        points.push_back({{"start_ms", bucket.start.value},
                          {"burn_rate", burnRate(counts.notOnTime(), counts.total(), allowedMissRatio)},
                          {"requests", counts.total()},
                          {"refused", counts.refused}});
    }
    return points;
}

Json objectiveJson(const Service &service, const Objective &objective, const Tier &tier, const BurnSeries &series, WallTime now)
{
    const ServiceTier serviceTier{service.name, tier.rank};
    const auto total = [](const BurnCounts &counts) { return counts.total(); };
    const auto sent = [](const BurnCounts &counts) { return counts.sent; };
    const double allowedMissRatio = 1 - objective.onTimeShare;
    Json json{{"service", service.name.value},
              {"tier", tier.name.value},
              {"on_time_share", objective.onTimeShare},
              {"first_token_ms", objective.firstToken.count()},
              {"between_tokens_ms", objective.betweenTokens.count()},
              {"last_hour", countsJson(series.sum(serviceTier, now, HourMs))},
              {"on_time", objectiveBurnJson(series, serviceTier, allowedMissRatio, nullptr, total, now)}};
    if (service.kind == ServiceKind::Model) {
        json["first_token"] = objectiveBurnJson(series, serviceTier, AllowedTimingMissRatio, &BurnCounts::firstTokenLate, sent, now);
        json["between_tokens"] = objectiveBurnJson(series, serviceTier, AllowedTimingMissRatio, &BurnCounts::tokensSlow, sent, now);
    }
    json["minutes"] = seriesJson(series.minutes(), serviceTier, allowedMissRatio);
    json["hours"] = seriesJson(series.hours(), serviceTier, allowedMissRatio);
    return json;
}

std::string htmlEscaped(const std::string &text)
{
    std::string safe;
    for (const char letter : text) {
        switch (letter) {
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        case '&':
            safe += "&amp;";
            break;
        case '"':
            safe += "&quot;";
            break;
        default:
            safe += letter;
        }
    }
    return safe;
}

std::string withTwoDecimals(double value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << value;
    return text.str();
}

constexpr double PlotWidth = 720;
constexpr double PlotHeight = 120;
/// Higher burn rates are clipped. A third above the highest alert threshold.
constexpr double MaxPlottedBurnRate = 20;

/// Maps times of the series to the x coordinate of the plot.
struct TimeAxis
{
    double from = 0;
    double to = 1;

    double x(double ms) const
    {
        return to > from ? std::clamp((ms - from) / (to - from), 0.0, 1.0) * PlotWidth : PlotWidth;
    }
};

double plotY(double rate)
{
    return PlotHeight - std::min(rate, MaxPlottedBurnRate) / MaxPlottedBurnRate * PlotHeight;
}

/// Returns an SVG plot: the burn rate as a polyline, refusals as marks at the bottom, moves as vertical lines with their state as title.
std::string plot(const Json &points, const Json &moves, const std::string &service, std::int64_t now)
{
    const TimeAxis axis{.from = points.empty() ? 0 : points.front()["start_ms"].get<double>(), .to = static_cast<double>(now)};
    std::ostringstream svg;
    svg << "<svg viewBox=\"0 0 " << PlotWidth << " " << PlotHeight << "\" role=\"img\"><rect class=\"frame\" width=\"" << PlotWidth << "\" height=\""
        << PlotHeight << "\"/><line class=\"one\" x1=\"0\" x2=\"" << PlotWidth << "\" y1=\"" << plotY(1) << "\" y2=\"" << plotY(1)
        << "\"/><polyline class=\"burn\" points=\"";
    for (const Json &point : points) {
        svg << axis.x(point["start_ms"].get<double>()) << "," << plotY(point["burn_rate"].get<double>()) << " ";
    }
    svg << "\"/>";
    for (const Json &point : points) {
        if (point["refused"].get<std::uint64_t>() > 0) {
            svg << "<circle class=\"refused\" cx=\"" << axis.x(point["start_ms"].get<double>()) << "\" cy=\"" << PlotHeight - 4 << "\" r=\"3\"><title>"
                << point["refused"] << " refused</title></circle>";
        }
    }
    for (const Json &move : moves) {
        if (move["service"] != service) {
            continue;
        }
        for (const char *time : {"started_ms", "state_since_ms"}) {
            const double x = axis.x(move[time].get<double>());
            svg << "<line class=\"move\" x1=\"" << x << "\" x2=\"" << x << "\" y1=\"0\" y2=\"" << PlotHeight << "\"><title>"
                << htmlEscaped(move["name"].get<std::string>() + ": " + move["state"].get<std::string>() + ", " + move["reason"].get<std::string>())
                << "</title></line>";
        }
    }
    svg << "</svg>\n";
    return svg.str();
}

constexpr const char *PageHeader = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
body{font:15px sans-serif;margin:2em;max-width:760px}svg{width:100%;height:auto}
.frame{fill:#fff;stroke:#999}.one{stroke:#999;stroke-dasharray:4}.burn{fill:none;stroke:#06c;stroke-width:1.5}
.refused{fill:#c60}.move{stroke:#080;stroke-width:2}table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right}
</style></head><body><h1>Service-level burn</h1>
<p>A burn rate of 1 (dashed) uses up the budget in 30 days. Green lines: moves. Orange marks: refusals.</p>
)";

std::string burnRateTable(const Json &objective)
{
    std::ostringstream table;
    table << "<table><tr><th></th>";
    for (const BurnWindow &window : BurnWindows) {
        table << "<th>" << window.name << "</th>";
    }
    table << "<th>budget left</th><th>alerts</th></tr>";
    for (const char *kind : {"on_time", "first_token", "between_tokens"}) {
        if (!objective.contains(kind)) {
            continue;
        }
        table << "<tr><th>" << kind << "</th>";
        for (const BurnWindow &window : BurnWindows) {
            table << "<td>" << withTwoDecimals(objective[kind]["burn_rate"][window.name].get<double>()) << "</td>";
        }
        table << "<td>" << withTwoDecimals(100 * objective[kind]["budget_left"].get<double>()) << "%</td><td>";
        for (const Json &alert : objective[kind]["alerts"]) {
            table << alert["severity"].get<std::string>() << " ";
        }
        table << "</td></tr>";
    }
    table << "</table>\n";
    return table.str();
}

/// Returns a Prometheus expression for the ratio of requests in a window that were not on time.
std::string missedRatio(const std::string &labels, const char *window)
{
    std::ostringstream expression;
    expression << "(1 - sum(rate(cumindyke_requests_total{" << labels << ",end=\"on-time\"}[" << window << "])) / sum(rate(cumindyke_requests_total{" << labels
               << "}[" << window << "])))";
    return expression.str();
}

/// Parses the JSON and formats it. Error: Invalid, when a field is missing or has another type.
template<typename Render>
Result<std::string> renderReport(const std::string &text, Render render)
{
    try {
        return render(Json::parse(text));
    } catch (const nlohmann::json::exception &) {
        return Error{ErrorKind::Invalid, "the burn report can't be parsed: use the cumindykectl of the daemon's version"};
    }
}

}

std::string burnJson(const Declarations &declarations, const BurnSeries &series, const std::vector<Move> &moves, WallTime now)
{
    Json objectives = Json::array();
    for (const auto &[name, service] : declarations.services()) {
        for (const Objective &objective : service.objectives) {
            if (const Tier *tier = declarations.tier(objective.tier)) {
                objectives.push_back(objectiveJson(service, objective, *tier, series, now));
            }
        }
    }
    Json movesJson = Json::array();
    for (const Move &move : moves) {
        movesJson.push_back({{"name", move.name.value},
                             {"service", move.service.value},
                             {"to", move.to.value},
                             {"state", toString(move.state)},
                             {"started_ms", move.started.value},
                             {"state_since_ms", move.stateSince.value},
                             {"reason", move.reason}});
    }
    return Json{{"now_ms", now.value}, {"objectives", objectives}, {"moves", movesJson}}.dump();
}

Result<std::string> burnText(const std::string &json)
{
    return renderReport(json, [](const Json &report) {
        std::ostringstream text;
        for (const Json &objective : report["objectives"]) {
            text << objective["service"].get<std::string>() << " " << objective["tier"].get<std::string>() << "\n";
            for (const char *kind : {"on_time", "first_token", "between_tokens"}) {
                if (!objective.contains(kind)) {
                    continue;
                }
                text << "  " << kind << ": burn rate";
                for (const BurnWindow &window : BurnWindows) {
                    text << " " << window.name << " " << withTwoDecimals(objective[kind]["burn_rate"][window.name].get<double>());
                }
                text << ", " << withTwoDecimals(100 * objective[kind]["budget_left"].get<double>()) << "% of the budget left";
                for (const Json &alert : objective[kind]["alerts"]) {
                    text << ", " << alert["severity"].get<std::string>();
                }
                text << "\n";
            }
        }
        for (const Json &move : report["moves"]) {
            text << "move " << move["name"].get<std::string>() << ": " << move["state"].get<std::string>() << ", " << move["reason"].get<std::string>() << "\n";
        }
        return text.str();
    });
}

Result<std::string> burnHtml(const std::string &json)
{
    return renderReport(json, [](const Json &report) {
        std::ostringstream page;
        page << PageHeader;
        const auto now = report["now_ms"].get<std::int64_t>();
        for (const Json &objective : report["objectives"]) {
            const auto service = objective["service"].get<std::string>();
            page << "<h2>" << htmlEscaped(service) << ", tier " << htmlEscaped(objective["tier"].get<std::string>()) << "</h2>\n" << burnRateTable(objective);
            page << "<h3>Last hours, by the minute</h3>\n" << plot(objective["minutes"], report["moves"], service, now);
            page << "<h3>Last month, by the hour</h3>\n" << plot(objective["hours"], report["moves"], service, now);
        }
        page << "</body></html>\n";
        return page.str();
    });
}

std::string alertRules(const Declarations &declarations)
{
    std::ostringstream yaml;
    yaml << "groups:\n- name: cumindyke-burn\n  rules:\n";
    for (const auto &[name, service] : declarations.services()) {
        for (const Objective &objective : service.objectives) {
            const std::string labels = "service=\"" + name.value + "\",tier=\"" + objective.tier.value + "\"";
            for (const BurnAlert &alert : BurnAlerts) {
                const std::string maxMissedRatio = std::to_string(alert.threshold) + " * (1 - " + std::to_string(objective.onTimeShare) + ")";
                yaml << "  - alert: ServiceLevelBurn\n    expr: " << missedRatio(labels, alert.longWindow) << " > " << maxMissedRatio << " and "
                     << missedRatio(labels, alert.shortWindow) << " > " << maxMissedRatio << "\n    labels:\n      severity: " << alert.severity
                     << "\n      service: " << name.value << "\n      tier: " << objective.tier.value << "\n      window: " << alert.longWindow
                     << "\n    annotations:\n      summary: "
                     << "\"" << name.value << " burns the budget of tier " << objective.tier.value << " over " << alert.threshold
                     << " times too fast; see docs/operations/burn-report.md\"\n";
            }
        }
    }
    return yaml.str();
}

}
