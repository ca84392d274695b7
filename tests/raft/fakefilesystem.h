#pragma once

#include "common/result.h"

#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace cumindyke::raft::test
{

/// In-memory files. A crash or an error can be scheduled for the n-th operation from now. What a crash keeps of an unfinished write and of
/// unsynced names is random.
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
        m_operationsLeft = operations;
        m_isCrash = true;
    }
    /// Schedules an error, for example a full disk: the operation has no effect and returns an error.
    void failAfter(int operations)
    {
        m_operationsLeft = operations;
        m_isCrash = false;
    }
    /// Sets whether the disk takes no more bytes: a write may keep a part of them, and fails.
    void setFull(bool full)
    {
        m_isFull = full;
    }
    /// Restarts the machine with the content that the disk has kept.
    void restart()
    {
        if (m_hasFailed) {
            loseUnsyncedNames();
        }
        m_hasFailed = false;
        m_operationsLeft = -1;
        m_syncedNames = files;
        m_unsyncedRemovals.clear();
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
        if (m_isFull) {
            std::string &content = files[path];
            content.resize(offset);
            content += bytes.substr(0, m_random() % bytes.size());
            return Error{ErrorKind::StorageFull, "can't write to " + path + ": No space left on device"};
        }
        const bool fails = nextOperationFails();
        if (fails && !m_isCrash) {
            return Error{ErrorKind::Storage, "can't write to " + path + ": No space left on device"};
        }
        const std::size_t kept = fails ? m_random() % (bytes.size() + 1) : bytes.size();
        std::string &content = files[path];
        content.resize(offset);
        content += bytes.substr(0, kept);
        // The write itself syncs the content of a file whose name is already synced.
        if (m_syncedNames.contains(path)) {
            m_syncedNames[path] = content;
        }
        return fails ? Result<Done>(crashError()) : Done{};
    }
    Result<Done> truncate(const std::string &path, std::uint64_t size)
    {
        if (nextOperationFails()) {
            return crashError();
        }
        files.at(path).resize(size);
        m_syncedNames = files;
        return Done{};
    }
    Result<Done> rename(const std::string &from, const std::string &to)
    {
        if (nextOperationFails()) {
            return crashError();
        }
        files[to] = files.at(from);
        files.erase(from);
        return Done{};
    }
    Result<Done> remove(const std::string &path)
    {
        if (nextOperationFails()) {
            return crashError();
        }
        files.erase(path);
        m_unsyncedRemovals.push_back(path);
        return Done{};
    }
    Result<Done> syncFolder(const std::string & /*path*/)
    {
        if (nextOperationFails()) {
            return crashError();
        }
        m_syncedNames = files;
        m_unsyncedRemovals.clear();
        return Done{};
    }

private:
    /// Each removal is kept or lost for itself: the disk writes them in any order.
    void loseUnsyncedNames()
    {
        if (m_random() % 2 == 0) {
            files = m_syncedNames;
        }
        for (const std::string &path : m_unsyncedRemovals) {
            const auto synced = m_syncedNames.find(path);
            if (synced != m_syncedNames.end() && m_random() % 2 == 0) {
                files.insert(*synced);
            } else {
                files.erase(path);
            }
        }
        m_unsyncedRemovals.clear();
    }
    bool nextOperationFails()
    {
        m_hasFailed = m_hasFailed || m_operationsLeft == 0;
        m_operationsLeft -= m_operationsLeft > 0 ? 1 : 0;
        return m_hasFailed;
    }
    static Error crashError()
    {
        return Error{ErrorKind::Storage, "crashed"};
    }

    std::mt19937_64 m_random;
    std::map<std::string, std::string> m_syncedNames;
    std::vector<std::string> m_unsyncedRemovals;
    int m_operationsLeft = -1;
    bool m_isCrash = true;
    bool m_hasFailed = false;
    bool m_isFull = false;
};

}
