#pragma once

#include "common/result.h"
#include "upstream/upstreamcall.h"

#include <optional>
#include <string_view>

namespace cumindyke
{

/// Returns the limit in requests a second that an answer names in this header, the lowest if there are several; no value if there is none. Error: Invalid
/// if a value is not a finite decimal number from 0 on.
Result<std::optional<double>> parseRequestLimit(const HeaderList &headers, std::string_view name);

}
