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
    m_seen = ok(text) ? valueOf(text) : "";
}

std::optional<Result<Settings>> SettingsWatch::changed(bool asked)
{
    if (m_file.empty()) {
        return {};
    }
    const Result<std::string> text = readFile(m_file);
    if (!ok(text)) {
        return asked ? std::optional(Result<Settings>(errorOf(text))) : std::nullopt;
    }
    if (valueOf(text) == m_seen && !asked) {
        return {};
    }
    m_seen = valueOf(text);
    return parseSettings(m_seen, m_file);
}

}
