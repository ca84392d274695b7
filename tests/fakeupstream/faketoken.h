#pragma once

#include <cstdint>
#include <string>

namespace cumindyke
{

/// The words of an answer, a function of the prompt's checksum only, so that a test can tell whether an answer is whole and the
/// caller's own.
std::string fakeToken(std::uint64_t seed, std::uint32_t index);

}
