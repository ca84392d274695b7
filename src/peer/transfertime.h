#pragma once

#include "common/types.h"

namespace cumindyke
{

/// A tenth of the bandwidth of the narrowest links between VMs.
constexpr std::size_t MinBytesPerSecond = 128 << 10;

/// Returns how long the transfer of bytes to another VM may take before it is assumed to have failed.
constexpr Duration transferTimeout(std::size_t bytes)
{
    return std::chrono::milliseconds(bytes * std::milli::den / MinBytesPerSecond);
}

}
