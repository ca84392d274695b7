#pragma once

#include "common/types.h"

#include <fstream>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace cumindyke
{

/// Logs the events of each request, one JSON object per line, for the history checker of the tests. Disabled without a file; not meant for
/// production, since it writes several lines per request.
class HistoryLog
{
public:
    using Field = std::pair<std::string_view, std::string>;

    HistoryLog(std::string source, const std::string &file);

    /// Appends {"at_us":…,"source":…,"event":…,"id":…, the fields}
    void write(std::string_view event, const RequestId &id, TimePoint now, std::initializer_list<Field> fields);

private:
    const std::string m_source;
    std::ofstream m_file;
};

}
