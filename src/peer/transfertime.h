#pragma once

#include "common/types.h"

namespace cumindyke
{

/// A tenth of what the narrowest links between VMs carry.
constexpr std::size_t SlowestBytesPerSecond = 128 << 10;

/// How long bytes may take to another VM before they are given up.
constexpr Duration transferTime(std::size_t bytes)
{
    return std::chrono::milliseconds(bytes * std::milli::den / SlowestBytesPerSecond);
}

}
