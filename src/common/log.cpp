#include "common/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace cumindyke
{

namespace
{

/// The lines of some seconds on a busy entry VM, about a megabyte.
constexpr int MaxQueuedLines = 4096;

/// Quotes a value that contains a space, a quote or an equals sign, so that lines split into fields unambiguously.
std::string quoteIfNeeded(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos) {
        return value;
    }
    std::string result = "\"";
    for (const char c : value) {
        if (c == '\n') {
            result += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        result += c;
    }
    return result + "\"";
}

std::string formatLine(std::string_view change, std::initializer_list<LogField> fields)
{
    std::string text = "change=" + std::string(change);
    for (const LogField &field : fields) {
        text += " " + std::string(field.name) + "=" + quoteIfNeeded(field.value);
    }
    return text;
}

}

void startLog()
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("time=%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p component=%c %m%n"));
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    // A blocked reader of standard output would block every task that logs. Lines are therefore queued for a separate thread. When the
    // queue is full, new lines are dropped, and a line reports how many.
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(MaxQueuedLines);
    queue->setBlocking(false);
    queue->addAppender(console);
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(queue);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
}

void stopLog()
{
    log4cxx::LogManager::shutdown();
}

void logChange(std::string_view component, std::string_view change, std::initializer_list<LogField> fields)
{
    LOG4CXX_INFO(log4cxx::Logger::getLogger(std::string(component)), formatLine(change, fields));
}

void logWarning(std::string_view component, std::string_view change, std::initializer_list<LogField> fields)
{
    LOG4CXX_WARN(log4cxx::Logger::getLogger(std::string(component)), formatLine(change, fields));
}

}
