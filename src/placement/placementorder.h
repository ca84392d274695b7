#pragma once

#include "common/hash.h"
#include "common/types.h"

#include <utility>

namespace cumindyke
{

/// The VMs of a data centre are asked for places in this order, the least first: all VMs agree on it without asking each other.
inline std::pair<std::uint64_t, VmName> placementOrder(const VmName &vm)
{
    return {checksum(vm.value), vm};
}

}
