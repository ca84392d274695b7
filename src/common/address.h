#pragma once

#include "common/result.h"
#include "common/types.h"

#include <string_view>

namespace cumindyke
{

/// Parses "A.B.C.D:PORT". Names are not resolved: processes talk by IP numbers. Error: Invalid.
Result<Address> parseAddress(std::string_view text);

}
