#pragma once

#include "raft/types.h"

#include <string>
#include <string_view>

namespace cumindyke::raft
{

/// Encodes a payload as a frame: its length and checksum, then the payload. A frame is one write, and the next frame is written only after
/// this one is synced. So an invalid frame is a torn, never acknowledged write if no valid frame follows, and damage otherwise.
std::string encodeFrame(std::string_view payload);

struct Frame
{
    std::string_view payload;
    /// The offset after the frame.
    std::size_t end = 0;
};
/// Decodes the frame at an offset; empty if there is no valid frame.
std::optional<Frame> decodeFrame(std::string_view bytes, std::size_t offset);

/// Header of a segment file: where its entries continue the log.
struct SegmentHeader
{
    Index firstIndex = 1;
    Term previousTerm = 0;

    auto operator<=>(const SegmentHeader &) const = default;
};
std::string encodeSegmentHeader(const SegmentHeader &header);

struct SegmentContent
{
    /// Empty if a crash came before the header was complete; the file then holds no entries.
    std::optional<SegmentHeader> header;
    /// In the order written. A batch that starts at or before the end of the earlier batches supersedes their entries from there on.
    std::vector<v1::StoredBatch> batches;
    /// Length of the valid part; the bytes after it are a torn write.
    std::size_t validBytes = 0;
};

/// Parses a segment file. Error: Storage, with the offset, when the file is certainly damaged.
Result<SegmentContent> parseSegment(std::string_view bytes, const std::string &path);

/// Returns the error for a damaged file.
Error damagedError(const std::string &path, std::size_t offset, const std::string &problem);

}
