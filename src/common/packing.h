#pragma once

#include "common/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace cumindyke
{

/// Bytes made smaller for the log and for the way between VMs: their number (four bytes, little-endian), then a zlib stream.
std::string pack(std::string_view bytes);

/// What pack() was given. Error: Invalid, for bytes that pack() did not make, or that would be larger than the limit.
Result<std::string> unpack(std::string_view packed, std::size_t limit = std::size_t{64} << 20);

}
