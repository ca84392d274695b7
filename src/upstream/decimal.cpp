#include "upstream/decimal.h"

#include <charconv>
#include <cmath>

namespace cumindyke
{

std::optional<double> parseDecimal(std::string_view text)
{
    double number = 0;
    const auto [end, errorCode] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    const bool isWhole = errorCode == std::errc() && end == text.data() + text.size();
    return isWhole && std::isfinite(number) && number >= 0 ? std::optional(number) : std::nullopt;
}

}
