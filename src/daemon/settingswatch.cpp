#include "daemon/settingswatch.h"

#include "common/tomlreader.h"

namespace cumindyke
{

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
    if (!ok(text)) {
        return isForced ? std::optional(Result<Settings>(errorOf(text))) : std::nullopt;
    }
    if (valueOf(text) == m_lastContent && !isForced) {
        return {};
    }
    m_lastContent = valueOf(text);
    return parseSettings(m_lastContent, m_file);
}

}
