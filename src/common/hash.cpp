#include "common/hash.h"

#include <openssl/evp.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <cstring>
#include <memory>

namespace cumindyke
{

std::uint64_t checksum(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t seededChecksum(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
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

std::uint64_t secureHash(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : parts) {
        const std::uint64_t length = part.size();
        EVP_DigestUpdate(context.get(), &length, sizeof length);
        EVP_DigestUpdate(context.get(), part.data(), part.size());
    }
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    std::uint64_t value = 0;
    std::memcpy(&value, digest.data(), sizeof value);
    return value;
}

namespace
{

std::string toHexadecimal(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

}

std::string toString(RequestFingerprint fingerprint)
{
    return toHexadecimal(fingerprint.value);
}

std::string toString(RequestTrait trait)
{
    return toHexadecimal(trait.value);
}

KeyHash hashKey(std::string_view key)
{
    return KeyHash{fingerprint(key)};
}

}
