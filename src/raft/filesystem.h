#pragma once

#include "common/result.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cumindyke::raft
{

/// File operations that storage needs. Tests use this to inject faults.
template<typename F>
concept FileSystem = requires(F files, const std::string &path, std::string_view bytes, std::uint64_t offset)
{
    // Creates the folder if needed and locks it against other processes.
    {
        files.openFolder(path)
        } -> std::same_as<Result<Done>>;
    // Returns the names in a folder, sorted.
    {
        files.list(path)
        } -> std::same_as<Result<std::vector<std::string>>>;
    {
        files.read(path)
        } -> std::same_as<Result<std::string>>;
    // Writes at an offset and syncs the file; offset 0 creates or truncates the file first.
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
    // Syncs the folder's directory entries.
    {
        files.syncFolder(path)
        } -> std::same_as<Result<Done>>;
};

/// POSIX files.
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
    void closeOpenFile();

    int m_lockFile = -1;
    /// The file written last is kept open: nearly all writes go to the newest segment.
    std::string m_openPath;
    int m_openFile = -1;
};

}
