#pragma once

#include "common/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace cumindyke
{

/// Compresses bytes for the log and for messages between VMs: the original size (four bytes, little-endian), then a zlib stream.
std::string pack(std::string_view bytes);

/// Decompresses bytes from pack(). Error: Invalid, for bytes that pack() did not produce, or whose original size exceeds the limit.
Result<std::string> unpack(std::string_view packed, std::size_t limit = std::size_t{64} << 20);

}
