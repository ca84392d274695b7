#pragma once

#include <cstddef>

namespace cumindyke
{

/// Memory of the machine.
std::size_t machineMemoryBytes();

/// Has the allocator return large blocks to the system as soon as they are freed, and keeps the number of its arenas small whatever the number of processors.
/// Call once, before any thread starts.
void boundAllocator();

}
