#include "upstream/chunkscanner.h"
#include "upstream/eventboundary.h"
#include "upstream/eventstream.h"

#include <cstdint>
#include <cstdlib>
#include <string>

namespace
{

using namespace cumindyke;

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

/// What is found must not depend on how the body is split.
template<typename Scanner>
Scanner scannedInPieces(std::string_view body, std::size_t step)
{
    Scanner scanner;
    for (std::size_t start = 0; start < body.size(); start += step) {
        scanner.scan(body.substr(start, step));
    }
    return scanner;
}

void checkChunks(std::string_view body, std::size_t step)
{
    const auto whole = scannedInPieces<ChunkScanner>(body, body.size() + 1);
    const auto pieces = scannedInPieces<ChunkScanner>(body, step);
    require(whole.isComplete() == pieces.isComplete() && whole.isBroken() == pieces.isBroken());
    // Any bytes are a whole body once they are sent as chunks, and none without the last chunk.
    std::string encoded;
    for (std::size_t start = 0; start < body.size(); start += step) {
        const std::string_view chunk = body.substr(start, step);
        encoded += std::to_string(chunk.size()) + "\r\n" + std::string(chunk) + "\r\n";
    }
    require(!scannedInPieces<ChunkScanner>(encoded, step).isComplete());
    require(scannedInPieces<ChunkScanner>(encoded + "0\r\n\r\n", step).isComplete());
}

void checkEvents(std::string_view body, std::size_t step)
{
    EventBoundary boundary;
    std::size_t wholeLength = 0;
    for (std::size_t start = 0; start < body.size(); start += step) {
        const std::size_t end = boundary.scan(body.substr(start, step));
        wholeLength = end > 0 ? start + end : wholeLength;
    }
    require(boundary.isWithinEvent() == (wholeLength < body.size()));
    // The parser finds no event in what follows the last boundary.
    EventStreamParser all;
    EventStreamParser whole;
    require(all.feed(body) == whole.feed(body.substr(0, wholeLength)));
}

}

/// The framing of answers: chunks, and the events of a stream.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view body(reinterpret_cast<const char *>(data), size);
    const std::size_t step = size % 9 + 1;
    checkChunks(body, step);
    checkEvents(body, step);
    return 0;
}
