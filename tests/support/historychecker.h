#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Checks the system's guarantees on the records of callers, daemons and fake upstreams. Uses no code of the checked program.
namespace cumindyke::test
{

/// A caller's request and the answer it received.
struct CallerRecord
{
    /// The request id given in the answer; empty when there was no answer.
    std::string id;
    /// The idempotency key, or empty.
    std::string key;
    std::string organisation = "egbe-ijo";
    /// "ran", "not-run", "unknown", or empty when the connection was lost.
    std::string outcome;
    /// Whether the answer has its end marker.
    bool whole = false;
    std::string text;
    /// The text that a complete answer must have.
    std::string expected;
    /// Monotonic time at which the answer had been received, in microseconds.
    std::int64_t answeredAtUs = 0;
};

enum class Rule {
    OneDispatch, ///< no request id runs on two upstreams, or twice on the same one
    KeyedOnce, ///< no idempotency key runs under two request ids
    WholeAndOwn, ///< an answer with an end marker is complete and belongs to the caller's request
    TrueNotRun, ///< a request answered with the outcome "not-run" did not run
    TierOrder, ///< no request is refused for lack of capacity while requests of a lower tier of its service are dispatched
};

const char *toString(Rule rule);

struct Violation
{
    Rule rule = Rule::OneDispatch;
    std::string detail;
};

/// Returns all violations in a history: the JSON lines of daemons (HistoryLog) and fake upstreams, and the callers' records.
std::vector<Violation> findViolations(const std::string &history, const std::vector<CallerRecord> &callers);

/// Returns one line per violation for the report of a test; empty without violations.
std::string describe(const std::vector<Violation> &violations);

}
