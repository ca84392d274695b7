#pragma once

#include "domain/move.h"
#include "report/burnseries.h"

#include <string>
#include <vector>

/// Service-level burn: how fast each service uses up what its objectives allow to go wrong.
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

/// An alert fires while both windows burn faster than the threshold: the long one shows that it matters, the short one that it goes on.
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

/// Part of the requests that may miss the objectives on the first token and between tokens; the on-time share is declared.
constexpr double TimingAllowance = 0.05;

/// The report as JSON: objectives with counts, burn rates by window, firing alerts, the budget left over 30 days, the series, the moves.
std::string burnJson(const Declarations &declarations, const BurnSeries &series, const std::vector<Move> &moves, WallTime now);

/// For people: one block an objective. Error: Invalid, when the JSON is not a burn report.
Result<std::string> burnText(const std::string &json);
/// One self-contained page with plots. Error: Invalid, when the JSON is not a burn report.
Result<std::string> burnHtml(const std::string &json);

/// Alert rules for Prometheus, in its YAML, for every objective of the declarations.
std::string alertRules(const Declarations &declarations);

}
