#include "common/packing.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

TEST_CASE("packed bytes unpack to the original, and repetitive ones get smaller")
{
    std::string bytes;
    for (int i = 0; i < 1'000; ++i) {
        bytes += "{\"kind\":\"streaming\",\"timeoutMs\":8000}";
    }
    const std::string packed = pack(bytes);
    CHECK(packed.size() < bytes.size() / 10);
    CHECK(valueOf(unpack(packed)) == bytes);
    CHECK(valueOf(unpack(pack(""))).empty());
}

// Guards against a damaged or forged message that makes the process allocate without bound or unpacks to different content.
TEST_CASE("bytes that were not packed, are truncated or exceed the limit are refused")
{
    const std::string packed = pack(std::string(10'000, 'x'));
    CHECK_FALSE(ok(unpack("")));
    CHECK_FALSE(ok(unpack("abc")));
    CHECK_FALSE(ok(unpack(std::string(100, '\xFF'))));
    CHECK_FALSE(ok(unpack(packed.substr(0, packed.size() - 3))));
    CHECK_FALSE(ok(unpack(packed, 9'999)));
    CHECK(ok(unpack(packed, 10'000)));
}
