#include "common/memory.h"

#include <malloc.h>
#include <unistd.h>

namespace cumindyke
{

namespace
{

/// Each arena keeps what it has freed for itself.
constexpr int MaxArenas = 2;
/// A fixed threshold: by default it grows to the largest block that was ever freed, and bodies of megabytes then fragment the heap.
constexpr int MinMappedBytes = 256 << 10;
constexpr int MaxKeptBytes = 4 << 20;

}

std::size_t machineMemoryBytes()
{
    return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void boundAllocator()
{
    mallopt(M_ARENA_MAX, MaxArenas);
    mallopt(M_MMAP_THRESHOLD, MinMappedBytes);
    mallopt(M_TRIM_THRESHOLD, MaxKeptBytes);
}

}
