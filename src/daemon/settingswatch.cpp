#include "daemon/settingswatch.h"

#include <utility>

namespace cumindyke
{

namespace
{

Result<Settings> parseContent(const Result<std::string> &text, const std::string &file)
{
    if (!ok(text)) {
        return errorOf(text);
    }
    if (valueOf(text).empty()) {
        return Error{ErrorKind::Invalid, "'" + file + "' is empty: write the settings, or start without a settings file"};
    }
    return parseSettings(valueOf(text), file);
}

}

Result<Settings> readSettings(const std::string &file)
{
    return parseContent(readFile(file), file);
}

std::optional<Result<Settings>> SettingsStart::accept(const Result<std::string> &text, const std::string &file, TimePoint now)
{
    const bool isSettled = ok(text) && m_lastContent == valueOf(text);
    m_lastContent = ok(text) ? std::optional(valueOf(text)) : std::nullopt;
    const bool isOver = now - m_startedAt >= MaxWait;
    if (!isSettled && !isOver) {
        return {};
    }
    Result<Settings> settings = parseContent(text, file);
    return ok(settings) || isOver ? std::optional(std::move(settings)) : std::nullopt;
}

SettingsWatch::SettingsWatch(std::string file)
    : m_file(std::move(file))
{
    if (m_file.empty()) {
        return;
    }
    const Result<std::string> text = readFile(m_file);
    m_lastContent = ok(text) ? valueOf(text) : "";
}

std::optional<Result<Settings>> SettingsWatch::changed(bool isForced)
{
    if (m_file.empty()) {
        return {};
    }
    const Result<std::string> text = readFile(m_file);
    const std::optional<std::string> pending = std::exchange(m_pendingContent, std::nullopt);
    if (!isForced) {
        if (!ok(text) || valueOf(text).empty() || valueOf(text) == m_lastContent) {
            return {};
        }
        if (pending != valueOf(text)) {
            m_pendingContent = valueOf(text);
            return {};
        }
    }
    Result<Settings> settings = parseContent(text, m_file);
    if (ok(text) && !valueOf(text).empty()) {
        m_lastContent = valueOf(text);
    }
    return settings;
}

}
