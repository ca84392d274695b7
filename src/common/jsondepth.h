#pragma once

#include <string_view>

namespace cumindyke
{

/// The JSON library copies and serializes nested values recursively: a megabyte of opening brackets overflows the stack and ends the process.
constexpr int MaxJsonDepth = 64;

/// Whether the text is nested more than MaxJsonDepth levels deep. Iterative; the text may be anything.
bool exceedsMaxDepth(std::string_view text);

}
