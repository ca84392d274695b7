#pragma once

#include "daemon/settings.h"

#include <optional>
#include <string>

namespace cumindyke
{

/// Notices that the settings file has changed: by its content, since a file may be replaced within one tick of its time stamp.
class SettingsWatch
{
public:
    /// How often to look: a change without a signal is noticed within this.
    static constexpr int PollIntervalSeconds = 1;

    /// Empty: no file, so nothing ever changes.
    explicit SettingsWatch(std::string file);

    /// The settings when the file's content differs from what was seen last, or when they were asked for.
    std::optional<Result<Settings>> changed(bool asked);

private:
    const std::string m_file;
    std::string m_seen;
};

}
