#pragma once

#include "common/result.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cumindyke
{

/// The commands of a single replica in one file: each record has its length and checksum before it, and is synced before append()
/// returns. A record that a crash cut short was never acknowledged, so opening cuts it off.
class Journal
{
public:
    /// Replays every whole record in order. Errors: Storage.
    static Result<std::unique_ptr<Journal>> open(const std::string &folder, const std::function<void(std::string_view record)> &replay);
    ~Journal();
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    /// Error: Storage. After an error the file's end is unknown: stop the process, a restart recovers what was synced.
    Result<Done> append(std::string_view record);

private:
    explicit Journal(int file)
        : m_file(file)
    {
    }

    int m_file;
};

}
