#include "entry/historylog.h"

#include <nlohmann/json.hpp>

namespace cumindyke
{

HistoryLog::HistoryLog(std::string source, const std::string &file)
    : m_source(std::move(source))
{
    if (!file.empty()) {
        m_file.open(file, std::ios::app);
    }
}

void HistoryLog::write(std::string_view event, const RequestId &id, TimePoint now, std::initializer_list<Field> fields)
{
    if (!m_file.is_open()) {
        return;
    }
    nlohmann::ordered_json line{{"at_us", now.time_since_epoch().count()}, {"source", m_source}, {"event", event}, {"id", id.value}};
    for (const auto &[name, value] : fields) {
        line[std::string(name)] = value;
    }
    // Flushed after each line, so that the log of a killed process is complete.
    m_file << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) << std::endl;
}

}
