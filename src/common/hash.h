#pragma once

#include "common/types.h"

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace cumindyke
{

/// Returns the 64-bit xxHash of the bytes: for checksums against accidental damage and for spreading load, never against an adversary.
std::uint64_t checksum(std::string_view bytes);

/// Returns the 64-bit xxHash of the bytes. Values of different seeds are unrelated: with a secret seed nobody can construct equal values.
std::uint64_t seededChecksum(std::string_view bytes, std::uint64_t seed);

/// Returns the SHA-256 of an API key in the format of the declarations: 64 lower-case hexadecimal digits.
KeyHash hashKey(std::string_view key);

/// Returns the SHA-256 of the bytes in hexadecimal, as the fingerprint of a payload.
std::string fingerprint(std::string_view bytes);

/// Returns the first 64 bits of the SHA-256 of the parts and their lengths. Nobody can construct other parts with the same value.
std::uint64_t secureHash(std::initializer_list<std::string_view> parts);

/// Returns 16 hexadecimal digits, for logs.
std::string toString(RequestFingerprint fingerprint);
std::string toString(RequestTrait trait);

}
