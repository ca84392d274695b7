#include "common/hash.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace cumindyke
{

std::uint64_t checksum(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string fingerprint(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        text += Digits[byte >> 4];
        text += Digits[byte & 15];
    }
    return text;
}

KeyHash hashKey(std::string_view key)
{
    return KeyHash{fingerprint(key)};
}

}
