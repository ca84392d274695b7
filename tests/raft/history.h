#pragma once

#include "raft/types.h"

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

/// The history of the log's clients and the check that it is linearizable.
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

/// Checks that every acknowledged command is in the log exactly once and that the order of the log agrees with real time. Throws
/// CheckFailed; returns the number of acknowledged appends.
std::size_t checkHistory(const std::map<Index, std::string> &commands, const std::vector<ClientAppend> &appends, const std::vector<ClientRead> &reads);

}
