#pragma once

#include <optional>
#include <string_view>

namespace cumindyke
{

/// Returns the finite decimal number from 0 on that the text consists of, without sign, exponent or spaces; none: it is no such number.
std::optional<double> parseDecimal(std::string_view text);

}
