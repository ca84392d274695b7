#include "raft/segment.h"

#include "common/hash.h"

#include <cstring>

namespace cumindyke::raft
{

namespace
{

constexpr std::string_view FrameMagic = "CdFr";
constexpr std::string_view SegmentMagic = "CdLog001";
constexpr std::size_t FrameHeaderBytes = 16;
constexpr std::size_t SegmentHeaderBytes = 32;
constexpr std::uint32_t MaxFrameBytes = 256U << 20;

/// Appends an integer in little-endian order, so that a data folder can be moved between machines.
void appendInteger(std::string &bytes, std::uint64_t value, std::size_t size)
{
    for (std::size_t i = 0; i < size; ++i) {
        bytes.push_back(static_cast<char>(value >> (8 * i)));
    }
}

std::uint64_t readInteger(std::string_view bytes, std::size_t offset, std::size_t size)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < size; ++i) {
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
    }
    return value;
}

std::optional<SegmentHeader> decodeSegmentHeader(std::string_view bytes)
{
    if (bytes.size() < SegmentHeaderBytes || bytes.substr(0, SegmentMagic.size()) != SegmentMagic
        || readInteger(bytes, 24, 8) != checksum(bytes.substr(0, 24))) {
        return {};
    }
    return SegmentHeader{.firstIndex = readInteger(bytes, 8, 8), .previousTerm = readInteger(bytes, 16, 8)};
}

/// Returns the offset of the first valid frame at or after an offset.
std::optional<std::size_t> findFrame(std::string_view bytes, std::size_t offset)
{
    for (std::size_t at = bytes.find(FrameMagic, offset); at != std::string_view::npos; at = bytes.find(FrameMagic, at + 1)) {
        if (decodeFrame(bytes, at)) {
            return at;
        }
    }
    return {};
}

/// Returns whether the entries of a batch have consecutive indexes and non-decreasing terms.
bool isConsecutive(const v1::StoredBatch &batch)
{
    if (batch.entries_size() == 0 || batch.entries(0).index() == 0) {
        return false;
    }
    for (int i = 1; i < batch.entries_size(); ++i) {
        if (batch.entries(i).index() != batch.entries(i - 1).index() + 1 || batch.entries(i).term() < batch.entries(i - 1).term()) {
            return false;
        }
    }
    return true;
}

}

Error damagedError(const std::string &path, std::size_t offset, const std::string &problem)
{
    return Error{ErrorKind::Storage,
                 path + " is damaged at offset " + std::to_string(offset) + ": " + problem
                     + ": check the disk, move the data folder away and restart: the VM gets the log from the other replicas; a single replica "
                       "needs a copy of the folder"};
}

std::string encodeFrame(std::string_view payload)
{
    std::string bytes(FrameMagic);
    appendInteger(bytes, payload.size(), 4);
    appendInteger(bytes, checksum(payload) ^ payload.size(), 8);
    bytes += payload;
    return bytes;
}

std::optional<Frame> decodeFrame(std::string_view bytes, std::size_t offset)
{
    if (offset > bytes.size() || bytes.size() - offset < FrameHeaderBytes || bytes.substr(offset, FrameMagic.size()) != FrameMagic) {
        return {};
    }
    const std::uint64_t length = readInteger(bytes, offset + 4, 4);
    if (length > MaxFrameBytes || length > bytes.size() - offset - FrameHeaderBytes) {
        return {};
    }
    const std::string_view payload = bytes.substr(offset + FrameHeaderBytes, length);
    if ((checksum(payload) ^ length) != readInteger(bytes, offset + 8, 8)) {
        return {};
    }
    return Frame{.payload = payload, .end = offset + FrameHeaderBytes + length};
}

std::string encodeSegmentHeader(const SegmentHeader &header)
{
    std::string bytes(SegmentMagic);
    appendInteger(bytes, header.firstIndex, 8);
    appendInteger(bytes, header.previousTerm, 8);
    appendInteger(bytes, checksum(bytes), 8);
    return bytes;
}

Result<SegmentContent> parseSegment(std::string_view bytes, const std::string &path)
{
    SegmentContent content;
    content.header = decodeSegmentHeader(bytes);
    if (!content.header) {
        if (findFrame(bytes, 0)) {
            return damagedError(path, 0, "the header is invalid, but entries follow");
        }
        return content;
    }
    content.validBytes = SegmentHeaderBytes;
    while (content.validBytes < bytes.size()) {
        const std::optional<Frame> frame = decodeFrame(bytes, content.validBytes);
        if (!frame) {
            // Only the last write can be torn. A frame after an invalid one was written after the invalid one was synced and acknowledged:
            // truncating here would silently lose acknowledged entries.
            if (findFrame(bytes, content.validBytes)) {
                return damagedError(path, content.validBytes, "entries follow that were written later");
            }
            return content;
        }
        v1::StoredBatch batch;
        if (!batch.ParseFromArray(frame->payload.data(), static_cast<int>(frame->payload.size())) || !isConsecutive(batch)) {
            return damagedError(path, content.validBytes, "the checksum is valid, but the entries are not");
        }
        content.batches.push_back(std::move(batch));
        content.validBytes = frame->end;
    }
    return content;
}

}
