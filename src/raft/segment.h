#pragma once

#include "raft/types.h"

#include <string>
#include <string_view>

namespace cumindyke::raft
{

/// A frame is one write: its length and checksum, then a message. The next frame is written only after this one is synced. So a frame
/// that doesn't hold is a torn write, never acknowledged, if nothing whole comes after it, and damage otherwise.
std::string encodeFrame(std::string_view payload);

struct Frame
{
    std::string_view payload;
    /// The offset after the frame.
    std::size_t end = 0;
};
/// The whole frame at an offset, or none.
std::optional<Frame> decodeFrame(std::string_view bytes, std::size_t offset);

/// The first bytes of a segment file: where its entries join the log before it.
struct SegmentHeader
{
    Index firstIndex = 1;
    Term previousTerm = 0;

    auto operator<=>(const SegmentHeader &) const = default;
};
std::string encodeHeader(const SegmentHeader &header);

struct SegmentContent
{
    /// None: the crash came before the header was whole; the file holds nothing.
    std::optional<SegmentHeader> header;
    /// In the order written; one that starts at or before the end of the ones before it replaces what they held from there on.
    std::vector<v1::StoredBatch> batches;
    /// What comes after it is a torn write.
    std::size_t wholeBytes = 0;
};

/// Reads a segment file. Error: Storage, with the offset, when damage is certain.
Result<SegmentContent> parseSegment(std::string_view bytes, const std::string &path);

/// The error for a file that can't be trusted.
Error damaged(const std::string &path, std::size_t offset, const std::string &what);

}
