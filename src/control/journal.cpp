#include "control/journal.h"

#include "common/hash.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cstring>

namespace cumindyke
{

namespace
{

constexpr std::size_t HeaderBytes = 12;
constexpr std::uint32_t MaxRecordBytes = 64U << 20;

Error storageError(const std::string &what, const std::string &path)
{
    return Error{ErrorKind::Storage, what + " " + path + ": " + std::strerror(errno) + ": check the disk, its space and the permissions"};
}

std::array<char, HeaderBytes> header(std::string_view record)
{
    const auto length = static_cast<std::uint32_t>(record.size());
    const std::uint64_t sum = checksum(record);
    std::array<char, HeaderBytes> bytes{};
    std::memcpy(bytes.data(), &length, sizeof length);
    std::memcpy(bytes.data() + sizeof length, &sum, sizeof sum);
    return bytes;
}

/// Reads records from the start; returns the offset after the last whole one.
off_t replayRecords(int file, const std::function<void(std::string_view)> &replay)
{
    off_t offset = 0;
    std::array<char, HeaderBytes> bytes{};
    std::string record;
    while (pread(file, bytes.data(), bytes.size(), offset) == static_cast<ssize_t>(bytes.size())) {
        std::uint32_t length = 0;
        std::memcpy(&length, bytes.data(), sizeof length);
        if (length > MaxRecordBytes) {
            break;
        }
        record.resize(length);
        const ssize_t got = pread(file, record.data(), length, offset + static_cast<off_t>(bytes.size()));
        if (got != static_cast<ssize_t>(length) || header(record) != bytes) {
            break;
        }
        replay(record);
        offset += static_cast<off_t>(bytes.size()) + length;
    }
    return offset;
}

bool writeAll(int file, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = write(file, bytes.data(), bytes.size());
        if (written <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

}

Result<std::unique_ptr<Journal>> Journal::open(const std::string &folder, const std::function<void(std::string_view)> &replay)
{
    mkdir(folder.c_str(), 0700);
    const std::string path = folder + "/journal";
    const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (file < 0) {
        return storageError("can't open", path);
    }
    std::unique_ptr<Journal> journal(new Journal(file));
    const off_t end = replayRecords(file, replay);
    if (ftruncate(file, end) != 0 || lseek(file, end, SEEK_SET) != end || fsync(file) != 0) {
        return storageError("can't recover", path);
    }
    const int directory = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool synced = directory >= 0 && fsync(directory) == 0;
    if (directory >= 0) {
        close(directory);
    }
    if (!synced) {
        return storageError("can't sync", folder);
    }
    return journal;
}

Journal::~Journal()
{
    close(m_file);
}

Result<Done> Journal::append(std::string_view record)
{
    const auto bytes = header(record);
    const std::string whole = std::string(bytes.data(), bytes.size()) + std::string(record);
    if (!writeAll(m_file, whole) || fdatasync(m_file) != 0) {
        return storageError("can't write to", "the journal");
    }
    return Done{};
}

}
