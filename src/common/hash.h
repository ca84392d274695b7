#pragma once

#include "common/types.h"

#include <cstdint>
#include <string_view>

namespace cumindyke
{

/// 64-bit xxHash: for checksums against accidents and for spreading, never against an adversary.
std::uint64_t checksum(std::string_view bytes);

/// SHA-256 of an API key as the declarations hold it: 64 lower-case hexadecimal digits.
KeyHash hashKey(std::string_view key);

/// SHA-256 in hexadecimal, for fingerprints of payloads.
std::string fingerprint(std::string_view bytes);

}
