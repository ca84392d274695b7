#include "upstream/requestlimit.h"

#include "upstream/decimal.h"

#include <algorithm>
#include <strings.h>

namespace cumindyke
{

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
