#pragma once

#include "daemon/settings.h"

#include <optional>
#include <string>

namespace cumindyke
{

/// Detects changes of the settings file by its content, since a file may be replaced within one tick of its time stamp.
class SettingsWatch
{
public:
    /// Interval for calling changed() when no signal requests a reload.
    static constexpr int PollIntervalSeconds = 1;

    /// Reads the file's present content. With an empty name there is no file and changed() never returns anything.
    explicit SettingsWatch(std::string file);

    /// Returns the parsed settings when the file's content has changed since the last call, or when a reload is forced.
    std::optional<Result<Settings>> changed(bool isForced);

private:
    const std::string m_file;
    std::string m_lastContent;
};

}
