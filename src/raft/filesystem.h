#pragma once

#include "common/result.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cumindyke::raft
{

/// What storage needs of files. Tests inject faults here.
template<typename F>
concept FileSystem = requires(F files, const std::string &path, std::string_view bytes, std::uint64_t offset)
{
    // Makes the folder if needed and keeps any other process out of it.
    {
        files.openFolder(path)
        } -> std::same_as<Result<Done>>;
    // The names in a folder, sorted.
    {
        files.list(path)
        } -> std::same_as<Result<std::vector<std::string>>>;
    {
        files.read(path)
        } -> std::same_as<Result<std::string>>;
    // Writes at an offset and syncs the file; at 0 the file is made anew.
    {
        files.write(path, offset, bytes)
        } -> std::same_as<Result<Done>>;
    {
        files.truncate(path, offset)
        } -> std::same_as<Result<Done>>;
    {
        files.rename(path, path)
        } -> std::same_as<Result<Done>>;
    {
        files.remove(path)
        } -> std::same_as<Result<Done>>;
    // Syncs the names in a folder.
    {
        files.syncFolder(path)
        } -> std::same_as<Result<Done>>;
};

/// Files of the machine.
class PosixFileSystem
{
public:
    PosixFileSystem() = default;
    ~PosixFileSystem();
    PosixFileSystem(const PosixFileSystem &) = delete;
    PosixFileSystem &operator=(const PosixFileSystem &) = delete;

    Result<Done> openFolder(const std::string &path);
    Result<std::vector<std::string>> list(const std::string &path) const;
    Result<std::string> read(const std::string &path) const;
    Result<Done> write(const std::string &path, std::uint64_t offset, std::string_view bytes);
    Result<Done> truncate(const std::string &path, std::uint64_t size) const;
    Result<Done> rename(const std::string &from, const std::string &to) const;
    Result<Done> remove(const std::string &path);
    Result<Done> syncFolder(const std::string &path) const;

private:
    void closeCurrent();

    int m_lock = -1;
    /// The file written last stays open: nearly all writes go to the newest segment.
    std::string m_currentPath;
    int m_current = -1;
};

}
