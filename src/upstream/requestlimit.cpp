#include "upstream/requestlimit.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <strings.h>

namespace cumindyke
{

namespace
{

std::optional<double> parseDecimal(std::string_view text)
{
    double number = 0;
    const auto [end, errorCode] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    const bool isWhole = errorCode == std::errc() && end == text.data() + text.size();
    return isWhole && std::isfinite(number) && number >= 0 ? std::optional(number) : std::nullopt;
}

}

Result<std::optional<double>> parseRequestLimit(const HeaderList &headers, std::string_view name)
{
    std::optional<double> lowest;
    for (const auto &[key, value] : headers) {
        if (strcasecmp(key.c_str(), std::string(name).c_str()) != 0) {
            continue;
        }
        const std::optional<double> limit = parseDecimal(value);
        if (!limit) {
            return Error{ErrorKind::Invalid, "'" + value.substr(0, 40) + "' is no number of requests a second: the limit named before stays"};
        }
        lowest = std::min(lowest.value_or(*limit), *limit);
    }
    return lowest;
}

}
