#pragma once

#include "common/eventloop.h"
#include "common/tomlreader.h"
#include "daemon/settings.h"

#include <optional>
#include <string>

namespace cumindyke
{

/// Reads and parses a settings file. An empty file is an error: it is one that is about to be written, while the embedded defaults would make the VM another
/// one.
Result<Settings> readSettings(const std::string &file);

/// Decides when the settings that a process finds at its start are complete. They may be in the middle of being written, and the first part of a file can be
/// valid settings too.
class SettingsStart
{
public:
    /// Time between two reads of the file.
    static constexpr Duration PollInterval = std::chrono::milliseconds(20);
    /// After this time invalid settings are reported.
    static constexpr Duration MaxWait = std::chrono::seconds(2);

    explicit SettingsStart(TimePoint now)
        : m_startedAt(now)
    {
    }

    /// Takes what was read of the file now. Returns the settings once two reads in a row have found the same valid content, or the error when the wait is over.
    std::optional<Result<Settings>> accept(const Result<std::string> &text, const std::string &file, TimePoint now);

private:
    const TimePoint m_startedAt;
    std::optional<std::string> m_lastContent;
};

/// Detects changes of the settings file by its content, since a file may be replaced within one tick of its time stamp.
class SettingsWatch
{
public:
    /// Reads the file's present content. With an empty name there is no file and changed() never returns anything.
    explicit SettingsWatch(std::string file);

    /// Until the next call of changed() when no signal requests a reload.
    Duration nextLook() const
    {
        return m_pendingContent ? SettledAfter : PollInterval;
    }
    /// Returns the parsed settings when the file's content has changed and is the same as at the last call, or when a reload is forced.
    std::optional<Result<Settings>> changed(bool isForced);

private:
    static constexpr Duration PollInterval = std::chrono::seconds(1);
    static constexpr Duration SettledAfter = std::chrono::milliseconds(100);

    const std::string m_file;
    std::string m_lastContent;
    /// Differs from the last one, and may be in the middle of being written.
    std::optional<std::string> m_pendingContent;
};

}
