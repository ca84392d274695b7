#pragma once

#include "common/types.h"

#include <cstdint>
#include <string_view>

namespace cumindyke
{

/// Returns the 64-bit xxHash of the bytes: for checksums against accidental damage and for spreading load, never against an adversary.
std::uint64_t checksum(std::string_view bytes);

/// Returns the SHA-256 of an API key in the format of the declarations: 64 lower-case hexadecimal digits.
KeyHash hashKey(std::string_view key);

/// Returns the SHA-256 of the bytes in hexadecimal, as the fingerprint of a payload.
std::string fingerprint(std::string_view bytes);

}
