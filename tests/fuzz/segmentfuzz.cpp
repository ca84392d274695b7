#include "raft/segment.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace cumindyke::raft;

/// Reads any bytes as a segment file. What holds must be written again to the same bytes, and read back to the same.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto content = parseSegment(bytes, "fuzz");
    if (!cumindyke::ok(content) || !cumindyke::valueOf(content).header) {
        return 0;
    }
    const SegmentContent &segment = cumindyke::valueOf(content);
    std::string again = encodeSegmentHeader(*segment.header);
    for (const cumindyke::v1::StoredBatch &batch : segment.batches) {
        again += encodeFrame(batch.SerializeAsString());
    }
    const auto reread = parseSegment(again, "fuzz");
    if (segment.validBytes > size || !cumindyke::ok(reread) || cumindyke::valueOf(reread).batches.size() != segment.batches.size()) {
        std::abort();
    }
    return 0;
}
