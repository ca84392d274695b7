#include "raft/history.h"

#include <algorithm>
#include <tuple>

namespace cumindyke::raft::test
{

namespace
{

/// In the order in which simultaneous events are checked.
enum class EventKind {
    Acknowledged,
    Read,
    Invoked,
};

using Event = std::tuple<TimePoint, EventKind, Index>;

/// Checks that every entry read or acknowledged at some time precedes, in the log, every entry invoked later, and that reads never go back.
void checkRealTime(std::vector<Event> &events)
{
    std::ranges::sort(events);
    Index seen = 0;
    for (const auto &[at, kind, index] : events) {
        if (kind == EventKind::Invoked && index <= seen) {
            throw CheckFailed("index " + std::to_string(index) + " was proposed after " + std::to_string(seen) + " was seen");
        }
        if (kind == EventKind::Read && index < seen) {
            throw CheckFailed("a read saw only " + std::to_string(index) + " after " + std::to_string(seen) + " was seen");
        }
        seen = kind == EventKind::Invoked ? seen : std::max(seen, index);
    }
}

}

std::size_t checkHistory(const std::map<Index, std::string> &commands, const std::vector<ClientAppend> &appends, const std::vector<ClientRead> &reads)
{
    std::map<std::string, Index> indexOf;
    for (const auto &[index, command] : commands) {
        if (!command.empty() && !indexOf.emplace(command, index).second) {
            throw CheckFailed(command + " was applied twice");
        }
    }
    std::size_t acknowledged = 0;
    std::vector<Event> events;
    for (const ClientAppend &append : appends) {
        const auto found = indexOf.find(append.command);
        if (append.acknowledged && found == indexOf.end()) {
            throw CheckFailed(append.command + " was acknowledged but is not in the log");
        }
        if (append.acknowledged) {
            ++acknowledged;
            events.emplace_back(*append.acknowledged, EventKind::Acknowledged, found->second);
        }
        if (found != indexOf.end()) {
            events.emplace_back(append.invoked, EventKind::Invoked, found->second);
        }
    }
    for (const ClientRead &read : reads) {
        events.emplace_back(read.at, EventKind::Read, read.index);
    }
    checkRealTime(events);
    return acknowledged;
}

}
