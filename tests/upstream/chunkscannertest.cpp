#include "upstream/chunkscanner.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cumindyke;

namespace
{

ChunkScanner scanned(std::string_view body, std::size_t pieceSize)
{
    ChunkScanner scanner;
    for (std::size_t begin = 0; begin < body.size(); begin += pieceSize) {
        scanner.scan(body.substr(begin, pieceSize));
    }
    return scanner;
}

}

TEST_CASE("a chunked body is complete after its last chunk and trailer, however it is split")
{
    for (const std::string body :
         {"0\r\n\r\n", "5\r\n12345\r\n0\r\n\r\n", "A;name=value\r\n1234567890\r\n00\r\nDigest: x\r\n\r\n", "5 \r\n\r\n\r\n\n\r\n0\r\nA: b\r\nC: d\r\n\r\n"}) {
        for (const std::size_t pieceSize : {1, 2, 3, 100}) {
            CAPTURE(body, pieceSize);
            CHECK(scanned(body, pieceSize).isComplete());
            CHECK(scanned(body + "more", pieceSize).isComplete());
            for (std::size_t length = 0; length < body.size(); ++length) {
                const ChunkScanner scanner = scanned(std::string_view(body).substr(0, length), pieceSize);
                CHECK_FALSE(scanner.isComplete());
                CHECK_FALSE(scanner.isBroken());
            }
        }
    }
}

// Guards against a body with bytes that belong to its framing, or without its last bytes, from an upstream that miscounts a chunk.
TEST_CASE("a chunk that is not as long as its size says, or whose size is no number, breaks the body")
{
    for (const std::string body : {"6\r\n12345\r\n0\r\n\r\n",
                                   "4\r\n12345\r\n0\r\n\r\n",
                                   "5\r\n123450\r\n\r\n",
                                   "\r\n",
                                   "x\r\n",
                                   "-1\r\n",
                                   "5x\r\n12345\r\n",
                                   "5\r12345\r\n",
                                   "5\n12345\n0\n\n",
                                   "1000000000000000\r\n"}) {
        CAPTURE(body);
        CHECK(scanned(body, 1).isBroken());
        CHECK(scanned(body, 100).isBroken());
    }
}
