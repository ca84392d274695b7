#pragma once

#include "raft/types.h"

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

/// What clients of the log saw, and the check that it is linearizable.
namespace cumindyke::raft::test
{

struct CheckFailed : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

struct ClientAppend
{
    std::string command;
    TimePoint invoked;
    std::optional<TimePoint> acknowledged;
};

struct ClientRead
{
    TimePoint at;
    Index index;
};

/// The log's order is the order of the history: what was acknowledged is in it once, and real time agrees with it. Throws CheckFailed;
/// returns how many appends were acknowledged.
std::size_t checkHistory(const std::map<Index, std::string> &commands, const std::vector<ClientAppend> &appends, const std::vector<ClientRead> &reads);

}
