#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace cumindyke
{

struct LogField
{
    std::string_view name;
    std::string value;
};

/// Sends log lines to standard output, as "time=… level=… component=… change=… key=value …", without ever waiting for its reader. Call
/// once, before any task starts.
void startLog();
/// Writes what still waits. Call before the process ends.
void stopLog();

/// One line for one change of state. What happens all the time is counted (metrics.h), not logged.
void logChange(std::string_view component, std::string_view change, std::initializer_list<LogField> fields = {});

/// The same at level WARN, for a change that an operator should look at.
void logWarning(std::string_view component, std::string_view change, std::initializer_list<LogField> fields = {});

}
