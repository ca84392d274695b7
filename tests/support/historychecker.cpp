#include "support/historychecker.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace cumindyke::test
{

namespace
{

using nlohmann::json;
using Key = std::pair<std::string, std::string>;

/// The VMs' knowledge of each other's queues is delayed: a request of a lower tier that is dispatched within this time is no violation.
constexpr std::int64_t QueuePropagationDelayUs = 500'000;

struct AdmittedRequest
{
    std::string service;
    int rank = 0;
    Key key;
    std::int64_t atUs = 0;
};

struct History
{
    /// Start times of the runs on upstreams, by request id.
    std::map<std::string, std::vector<std::int64_t>> runs;
    std::map<std::string, AdmittedRequest> admitted;
    std::map<std::string, std::int64_t> dispatched;
    /// Times of refusals for lack of capacity, by request id.
    std::map<std::string, std::int64_t> refused;
};

bool isCapacityRefusal(const json &entry)
{
    const std::string kind = entry.value("kind", "");
    return entry.value("outcome", "") == "not-run" && (kind == "overloaded" || kind == "deadline-passed");
}

History parseHistory(const std::string &lines)
{
    History history;
    std::istringstream stream(lines);
    for (std::string line; std::getline(stream, line);) {
        const json entry = json::parse(line, nullptr, false);
        if (!entry.is_object()) {
            continue;
        }
        const std::string event = entry.value("event", "");
        const std::string id = entry.value("id", "");
        const std::int64_t at = entry.value("at_us", std::int64_t{0});
        if (event == "run") {
            history.runs[id].push_back(at);
        } else if (event == "admitted") {
            history.admitted[id] = AdmittedRequest{
                .service = entry.value("service", ""),
                .rank = std::stoi(entry.value("rank", "0")),
                .key = {entry.value("organisation", ""), entry.value("key", "")},
                .atUs = at,
            };
        } else if (event == "dispatched") {
            history.dispatched[id] = at;
        } else if (event == "given-up" && isCapacityRefusal(entry)) {
            history.refused[id] = at;
        }
    }
    return history;
}

void checkOneDispatch(const History &history, std::vector<Violation> &violations)
{
    for (const auto &[id, times] : history.runs) {
        if (times.size() > 1) {
            violations.push_back({Rule::OneDispatch, id + " ran " + std::to_string(times.size()) + " times"});
        }
    }
}

std::map<Key, std::set<std::string>> requestIdsByKey(const History &history)
{
    std::map<Key, std::set<std::string>> idsByKey;
    for (const auto &[id, times] : history.runs) {
        const auto admitted = history.admitted.find(id);
        if (admitted != history.admitted.end() && !admitted->second.key.second.empty()) {
            idsByKey[admitted->second.key].insert(id);
        }
    }
    return idsByKey;
}

void checkKeyedOnce(const std::map<Key, std::set<std::string>> &idsByKey, std::vector<Violation> &violations)
{
    for (const auto &[key, ids] : idsByKey) {
        if (ids.size() > 1) {
            violations.push_back({Rule::KeyedOnce, "key " + key.second + " ran under " + std::to_string(ids.size()) + " ids"});
        }
    }
}

void checkCallers(const History &history,
                  const std::map<Key, std::set<std::string>> &idsByKey,
                  const std::vector<CallerRecord> &callers,
                  std::vector<Violation> &violations)
{
    for (const CallerRecord &caller : callers) {
        if (caller.whole && caller.text != caller.expected) {
            violations.push_back({Rule::WholeAndOwn, caller.id + " got '" + caller.text + "' for '" + caller.expected + "'"});
        }
        if (caller.outcome != "not-run") {
            continue;
        }
        std::set<std::string> ids{caller.id};
        const auto keyed = idsByKey.find({caller.organisation, caller.key});
        if (!caller.key.empty() && keyed != idsByKey.end()) {
            ids.insert(keyed->second.begin(), keyed->second.end());
        }
        for (const std::string &id : ids) {
            const auto runs = history.runs.find(id);
            if (id.empty() || runs == history.runs.end()) {
                continue;
            }
            // The request's own id must never run. Another id with the same key must not have run before the answer.
            if (id == caller.id || runs->second.front() < caller.answeredAtUs) {
                violations.push_back({Rule::TrueNotRun, "answered not-run, but " + id + " ran"});
            }
        }
    }
}

void checkTierOrder(const History &history, std::vector<Violation> &violations)
{
    for (const auto &[id, refusedAt] : history.refused) {
        const auto refused = history.admitted.find(id);
        if (refused == history.admitted.end()) {
            continue;
        }
        for (const auto &[other, dispatchedAt] : history.dispatched) {
            const auto lower = history.admitted.find(other);
            if (lower == history.admitted.end() || lower->second.service != refused->second.service || lower->second.rank <= refused->second.rank) {
                continue;
            }
            if (dispatchedAt > refused->second.atUs + QueuePropagationDelayUs && dispatchedAt < refusedAt) {
                violations.push_back({Rule::TierOrder, id + " was refused after a request of a lower tier was dispatched"});
            }
        }
    }
}

}

const char *toString(Rule rule)
{
    switch (rule) {
    case Rule::OneDispatch:
        return "one-dispatch";
    case Rule::KeyedOnce:
        return "keyed-once";
    case Rule::WholeAndOwn:
        return "whole-and-own";
    case Rule::TrueNotRun:
        return "true-not-run";
    case Rule::TierOrder:
        return "tier-order";
    }
    return "";
}

std::vector<Violation> findViolations(const std::string &history, const std::vector<CallerRecord> &callers)
{
    const History events = parseHistory(history);
    const std::map<Key, std::set<std::string>> idsByKey = requestIdsByKey(events);
    std::vector<Violation> violations;
    checkOneDispatch(events, violations);
    checkKeyedOnce(idsByKey, violations);
    checkCallers(events, idsByKey, callers, violations);
    checkTierOrder(events, violations);
    return violations;
}

std::string describe(const std::vector<Violation> &violations)
{
    std::string text;
    for (const Violation &violation : violations) {
        text += std::string(toString(violation.rule)) + ": " + violation.detail + "\n";
    }
    return text;
}

}
