#pragma once

#include "domain/move.h"
#include "report/burnseries.h"

#include <string>
#include <vector>

/// Burn rates: how fast each service uses up the error budgets of its objectives.
///
/// Burn rates over several windows and the thresholds of their alerts are those of B. Beyer et al. (eds.), The Site Reliability Workbook
/// (2018), chapter 5, "Alerting on SLOs": a burn rate of 1 uses up the whole budget in 30 days.
namespace cumindyke
{

struct BurnWindow
{
    const char *name;
    std::int64_t lengthMs;
};

constexpr std::array<BurnWindow, 7> BurnWindows{{
    {"5m", 5 * MinuteMs},
    {"30m", 30 * MinuteMs},
    {"1h", HourMs},
    {"2h", 2 * HourMs},
    {"6h", 6 * HourMs},
    {"1d", 24 * HourMs},
    {"3d", 72 * HourMs},
}};

/// An alert fires while the burn rates over both windows exceed the threshold: the long window shows that the misses are significant, the
/// short one that they continue.
struct BurnAlert
{
    const char *severity;
    const char *longWindow;
    const char *shortWindow;
    double threshold;
};

constexpr std::array<BurnAlert, 4> BurnAlerts{{
    {"page", "1h", "5m", 14.4},
    {"page", "6h", "30m", 6},
    {"ticket", "1d", "2h", 3},
    {"ticket", "3d", "6h", 1},
}};

/// Ratio of requests that may miss the objectives for the first token and between tokens; the on-time share is declared.
constexpr double AllowedTimingMissRatio = 0.05;

/// Returns the report as JSON: for each objective the counts, burn rates by window, firing alerts, the remaining budget over 30 days and
/// the series; and the moves.
std::string burnJson(const Declarations &declarations, const BurnSeries &series, const std::vector<Move> &moves, WallTime now);

/// Formats the report as text, one block per objective. Error: Invalid, when the JSON is not a burn report.
Result<std::string> burnText(const std::string &json);
/// Formats the report as a self-contained HTML page with plots. Error: Invalid, when the JSON is not a burn report.
Result<std::string> burnHtml(const std::string &json);

/// Returns Prometheus alerting rules in YAML for every objective of the declarations.
std::string alertRules(const Declarations &declarations);

}
