#include "raft/filesystem.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace cumindyke::raft
{

namespace
{

/// Whether the disk takes no more data for now, and nothing was changed: it is full, the file has reached the limit of its size, or the file system was
/// made read-only.
bool isRefusal(int error)
{
    return error == ENOSPC || error == EDQUOT || error == EFBIG || error == EROFS;
}

Error systemError(const std::string &operation, const std::string &path)
{
    const bool isFull = isRefusal(errno);
    return Error{isFull ? ErrorKind::StorageFull : ErrorKind::Storage,
                 "can't " + operation + " " + path + ": " + std::strerror(errno) + ": check the disk, its space and the permissions"};
}

}

PosixFileSystem::~PosixFileSystem()
{
    closeOpenFile();
    if (m_lockFile >= 0) {
        close(m_lockFile);
    }
}

void PosixFileSystem::closeOpenFile()
{
    if (m_openFile >= 0) {
        close(m_openFile);
    }
    m_openFile = -1;
    m_openPath.clear();
}

Result<Done> PosixFileSystem::openFolder(const std::string &path)
{
    std::error_code error;
    std::filesystem::create_directories(path, error);
    if (error) {
        errno = error.value();
        return systemError("create the folder", path);
    }
    const std::string lockPath = path + "/lock";
    m_lockFile = open(lockPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (m_lockFile < 0) {
        return systemError("open", lockPath);
    }
    // Two processes using one folder would overwrite each other's promises.
    if (flock(m_lockFile, LOCK_EX | LOCK_NB) != 0) {
        return Error{ErrorKind::Unavailable, path + " is in use by another process: stop it, or set another data_folder"};
    }
    return Done{};
}

Result<std::vector<std::string>> PosixFileSystem::list(const std::string &path) const
{
    std::vector<std::string> names;
    std::error_code error;
    for (auto item = std::filesystem::directory_iterator(path, error); !error && item != std::filesystem::directory_iterator(); item.increment(error)) {
        names.push_back(item->path().filename().string());
    }
    if (error) {
        errno = error.value();
        return systemError("list", path);
    }
    std::ranges::sort(names);
    return names;
}

Result<std::string> PosixFileSystem::read(const std::string &path) const
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file || content.bad()) {
        return systemError("read", path);
    }
    return content.str();
}

Result<Done> PosixFileSystem::write(const std::string &path, std::uint64_t offset, std::string_view bytes)
{
    if (m_openPath != path || offset == 0) {
        closeOpenFile();
        m_openFile = open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC | (offset == 0 ? O_TRUNC : 0), 0600);
        if (m_openFile < 0) {
            return systemError("open", path);
        }
        m_openPath = path;
    }
    while (!bytes.empty()) {
        const ssize_t written = pwrite(m_openFile, bytes.data(), bytes.size(), static_cast<off_t>(offset));
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return systemError("write to", path);
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
        offset += static_cast<std::uint64_t>(written);
    }
    // After a failed sync, the kernel may have dropped the dirty pages, and a second sync would succeed without them: a sync is never
    // repeated without the write.
    if (fdatasync(m_openFile) != 0) {
        return systemError("sync", path);
    }
    return Done{};
}

Result<Done> PosixFileSystem::truncate(const std::string &path, std::uint64_t size) const
{
    const int file = open(path.c_str(), O_WRONLY | O_CLOEXEC);
    const bool done = file >= 0 && ftruncate(file, static_cast<off_t>(size)) == 0 && fsync(file) == 0;
    const Error error = systemError("truncate", path);
    if (file >= 0) {
        close(file);
    }
    return done ? Result<Done>(Done{}) : error;
}

Result<Done> PosixFileSystem::rename(const std::string &from, const std::string &to) const
{
    if (std::rename(from.c_str(), to.c_str()) != 0) {
        return systemError("rename", from);
    }
    return Done{};
}

Result<Done> PosixFileSystem::remove(const std::string &path)
{
    if (m_openPath == path) {
        closeOpenFile();
    }
    if (unlink(path.c_str()) != 0) {
        return systemError("remove", path);
    }
    return Done{};
}

Result<Done> PosixFileSystem::syncFolder(const std::string &path) const
{
    const int folder = open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool done = folder >= 0 && fsync(folder) == 0;
    const Error error = systemError("sync", path);
    if (folder >= 0) {
        close(folder);
    }
    return done ? Result<Done>(Done{}) : error;
}

}
