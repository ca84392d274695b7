#pragma once

#include "common/result.h"

#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace cumindyke::raft::test
{

/// Files in memory. A crash or a failure can be set for the n-th operation from now; what a crash keeps of an unfinished write, and of
/// names that were not synced, is random.
class FakeFileSystem
{
public:
    explicit FakeFileSystem(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::map<std::string, std::string> files;

    void crashAfter(int operations)
    {
        m_left = operations;
        m_crash = true;
    }
    /// For example a full disk: the operation does nothing and says so.
    void failAfter(int operations)
    {
        m_left = operations;
        m_crash = false;
    }
    /// The machine starts again with what the disk has kept.
    void restart()
    {
        if (m_down && m_random() % 2 == 0) {
            files = m_syncedNames;
        }
        m_down = false;
        m_left = -1;
        m_syncedNames = files;
    }

    Result<Done> openFolder(const std::string & /*path*/)
    {
        return Done{};
    }
    Result<std::vector<std::string>> list(const std::string &path) const
    {
        std::vector<std::string> names;
        for (const auto &[name, content] : files) {
            names.push_back(name.substr(path.size() + 1));
        }
        return names;
    }
    Result<std::string> read(const std::string &path) const
    {
        return files.at(path);
    }
    Result<Done> write(const std::string &path, std::uint64_t offset, std::string_view bytes)
    {
        const bool fails = failing();
        if (fails && !m_crash) {
            return Error{ErrorKind::Storage, "can't write to " + path + ": No space left on device"};
        }
        const std::size_t kept = fails ? m_random() % (bytes.size() + 1) : bytes.size();
        std::string &content = files[path];
        content.resize(offset);
        content += bytes.substr(0, kept);
        // The content of a file whose name is known is synced by the write itself.
        if (m_syncedNames.contains(path)) {
            m_syncedNames[path] = content;
        }
        return fails ? Result<Done>(crashed()) : Done{};
    }
    Result<Done> truncate(const std::string &path, std::uint64_t size)
    {
        if (failing()) {
            return crashed();
        }
        files.at(path).resize(size);
        m_syncedNames = files;
        return Done{};
    }
    Result<Done> rename(const std::string &from, const std::string &to)
    {
        if (failing()) {
            return crashed();
        }
        files[to] = files.at(from);
        files.erase(from);
        return Done{};
    }
    Result<Done> remove(const std::string &path)
    {
        if (failing()) {
            return crashed();
        }
        files.erase(path);
        return Done{};
    }
    Result<Done> syncFolder(const std::string & /*path*/)
    {
        if (failing()) {
            return crashed();
        }
        m_syncedNames = files;
        return Done{};
    }

private:
    bool failing()
    {
        m_down = m_down || m_left == 0;
        m_left -= m_left > 0 ? 1 : 0;
        return m_down;
    }
    static Error crashed()
    {
        return Error{ErrorKind::Storage, "crashed"};
    }

    std::mt19937_64 m_random;
    std::map<std::string, std::string> m_syncedNames;
    int m_left = -1;
    bool m_crash = true;
    bool m_down = false;
};

}
