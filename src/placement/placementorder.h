#pragma once

#include "common/hash.h"
#include "common/types.h"

#include <utility>

namespace cumindyke
{

/// Sort key of the VMs of a data centre that may act as its placement server; the first available VM is used. It depends on the name alone, so all
/// VMs agree on the order without communicating.
inline std::pair<std::uint64_t, VmName> placementOrder(const VmName &vm)
{
    return {checksum(vm.value), vm};
}

}
