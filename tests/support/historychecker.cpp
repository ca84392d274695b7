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

/// VMs learn of each other's queues with a delay; a lower tier sent out within it is no proof of a wrong order.
constexpr std::int64_t CoordinationUs = 500'000;

struct Admitted
{
    std::string service;
    int rank = 0;
    Key key;
    std::int64_t atUs = 0;
};

struct History
{
    /// Runs on upstreams: request id to times.
    std::map<std::string, std::vector<std::int64_t>> runs;
    std::map<std::string, Admitted> admitted;
    std::map<std::string, std::int64_t> dispatched;
    /// Refused for want of room: request id to time.
    std::map<std::string, std::int64_t> shed;
};

bool isRefusalForRoom(const json &entry)
{
    const std::string kind = entry.value("kind", "");
    return entry.value("outcome", "") == "not-run" && (kind == "overloaded" || kind == "deadline-passed");
}

History read(const std::string &lines)
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
            history.admitted[id] = Admitted{
                .service = entry.value("service", ""),
                .rank = std::stoi(entry.value("rank", "0")),
                .key = {entry.value("organisation", ""), entry.value("key", "")},
                .atUs = at,
            };
        } else if (event == "dispatched") {
            history.dispatched[id] = at;
        } else if (event == "given-up" && isRefusalForRoom(entry)) {
            history.shed[id] = at;
        }
    }
    return history;
}

void checkOneDispatch(const History &history, std::vector<Violation> &found)
{
    for (const auto &[id, times] : history.runs) {
        if (times.size() > 1) {
            found.push_back({Rule::OneDispatch, id + " ran " + std::to_string(times.size()) + " times"});
        }
    }
}

std::map<Key, std::set<std::string>> runsByKey(const History &history)
{
    std::map<Key, std::set<std::string>> byKey;
    for (const auto &[id, times] : history.runs) {
        const auto admitted = history.admitted.find(id);
        if (admitted != history.admitted.end() && !admitted->second.key.second.empty()) {
            byKey[admitted->second.key].insert(id);
        }
    }
    return byKey;
}

void checkKeyedOnce(const std::map<Key, std::set<std::string>> &byKey, std::vector<Violation> &found)
{
    for (const auto &[key, ids] : byKey) {
        if (ids.size() > 1) {
            found.push_back({Rule::KeyedOnce, "key " + key.second + " ran under " + std::to_string(ids.size()) + " ids"});
        }
    }
}

void checkCallers(const History &history,
                  const std::map<Key, std::set<std::string>> &byKey,
                  const std::vector<CallerRecord> &callers,
                  std::vector<Violation> &found)
{
    for (const CallerRecord &caller : callers) {
        if (caller.whole && caller.text != caller.expected) {
            found.push_back({Rule::WholeAndOwn, caller.id + " got '" + caller.text + "' for '" + caller.expected + "'"});
        }
        if (caller.outcome != "not-run") {
            continue;
        }
        std::set<std::string> ids{caller.id};
        const auto keyed = byKey.find({caller.organisation, caller.key});
        if (!caller.key.empty() && keyed != byKey.end()) {
            ids.insert(keyed->second.begin(), keyed->second.end());
        }
        for (const std::string &id : ids) {
            const auto runs = history.runs.find(id);
            if (id.empty() || runs == history.runs.end()) {
                continue;
            }
            // Under its own id it may never run; under its key an earlier run is enough.
            if (id == caller.id || runs->second.front() < caller.answeredAtUs) {
                found.push_back({Rule::TrueNotRun, "told not-run, but " + id + " ran"});
            }
        }
    }
}

void checkTierOrder(const History &history, std::vector<Violation> &found)
{
    for (const auto &[id, shedAt] : history.shed) {
        const auto shed = history.admitted.find(id);
        if (shed == history.admitted.end()) {
            continue;
        }
        for (const auto &[other, dispatchedAt] : history.dispatched) {
            const auto lower = history.admitted.find(other);
            if (lower == history.admitted.end() || lower->second.service != shed->second.service || lower->second.rank <= shed->second.rank) {
                continue;
            }
            if (dispatchedAt > shed->second.atUs + CoordinationUs && dispatchedAt < shedAt) {
                found.push_back({Rule::TierOrder, id + " was refused after a lower one was sent out"});
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
    const History events = read(history);
    const std::map<Key, std::set<std::string>> byKey = runsByKey(events);
    std::vector<Violation> found;
    checkOneDispatch(events, found);
    checkKeyedOnce(byKey, found);
    checkCallers(events, byKey, callers, found);
    checkTierOrder(events, found);
    return found;
}

std::string describe(const std::vector<Violation> &findViolations)
{
    std::string text;
    for (const Violation &violation : findViolations) {
        text += std::string(toString(violation.rule)) + ": " + violation.detail + "\n";
    }
    return text;
}

}
