#pragma once

#include "common/result.h"
#include "common/types.h"

#include <string_view>

namespace cumindyke
{

/// Parses "A.B.C.D:PORT". Host names are not resolved: processes use only IP addresses. Error: Invalid.
Result<Address> parseAddress(std::string_view text);

}
