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

/// Starts logging to standard output, as "time=… level=… component=… change=… key=value …". Logging never blocks on the reader of standard
/// output. Call once, before any task starts.
void startLog();
/// Writes the queued log lines. Call before the process ends.
void stopLog();

/// Logs a change of state in one line. Frequent events are counted (metrics.h), not logged.
void logChange(std::string_view component, std::string_view change, std::initializer_list<LogField> fields = {});

/// Logs a change of state that an operator should look at, at level WARN.
void logWarning(std::string_view component, std::string_view change, std::initializer_list<LogField> fields = {});

}
