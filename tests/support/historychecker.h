#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Proves from what callers, daemons and stand-ins wrote that the rules of the brief held. Uses nothing of the program it judges.
namespace cumindyke::test
{

/// What one caller sent and got.
struct CallerRecord
{
    /// The request's id in the answer; empty when there was none.
    std::string id;
    /// The idempotency key, or empty.
    std::string key;
    std::string organisation = "egbe-ijo";
    /// "ran", "not-run", "unknown", or empty when the connection was lost.
    std::string outcome;
    /// The answer claims to be whole.
    bool whole = false;
    std::string text;
    /// What the whole answer must be.
    std::string expected;
    /// Monotonic microseconds at which the answer had come.
    std::int64_t answeredAtUs = 0;
};

enum class Rule {
    OneDispatch, ///< no request id runs on two upstreams, or twice on one
    KeyedOnce, ///< no key runs under two request ids
    WholeAndOwn, ///< an answer that claims to be whole is the caller's own, complete
    TrueNotRun, ///< what a caller was told "not run" had not run
    TierOrder, ///< no higher tier was refused for want of room while a lower one of its service was sent out
};

const char *toString(Rule rule);

struct Violation
{
    Rule rule = Rule::OneDispatch;
    std::string detail;
};

/// All violations in a history: JSON lines of daemons (HistoryLog) and stand-ins, and the callers' records.
std::vector<Violation> findViolations(const std::string &history, const std::vector<CallerRecord> &callers);

/// One line a violation, for a test's report; empty when all rules held.
std::string describe(const std::vector<Violation> &findViolations);

}
