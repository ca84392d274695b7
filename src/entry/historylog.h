#pragma once

#include "common/types.h"

#include <fstream>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace cumindyke
{

/// Writes what happened to each request, one JSON object a line, for the history checker of the tests. Off without a file: it is not for
/// daily use, since it writes several lines a request.
class HistoryLog
{
public:
    using Field = std::pair<std::string_view, std::string>;

    HistoryLog(std::string source, const std::string &file);

    /// {"at_us":…,"source":…,"event":…,"id":…, fields}
    void write(std::string_view event, const RequestId &id, TimePoint now, std::initializer_list<Field> fields);

private:
    const std::string m_source;
    std::ofstream m_file;
};

}
