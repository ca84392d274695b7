#pragma once

#include <cstdint>
#include <string>

namespace cumindyke
{

/// Returns a token of an answer. It depends only on the prompt's checksum and the index, so that a test can check that an answer is
/// complete and belongs to its caller.
std::string fakeToken(std::uint64_t promptChecksum, std::uint32_t index);

}
