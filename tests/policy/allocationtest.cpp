#include "policy/placement.h"
#include "policy/prefixindex.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::uint64_t> allocationCount = 0;

}

// Counts every allocation of this test program. Not inlined, since the compiler would warn of a mismatched pair of operator new and free.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    ++allocationCount;
    void *memory = std::malloc(size > 0 ? size : 1);
    if (!memory) {
        throw std::bad_alloc();
    }
    return memory;
}

[[gnu::noinline]] void *operator new(std::size_t size, const std::nothrow_t & /*tag*/) noexcept
{
    ++allocationCount;
    return std::malloc(size > 0 ? size : 1);
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

using namespace cumindyke;
using namespace std::chrono_literals;

TEST_CASE("choosing a placement among 50 upstreams allocates no memory")
{
    std::vector<UpstreamState> upstreams(50, UpstreamState{.slots = 32, .window = 32, .speedMeasured = true});
    PrefixIndex prefixes(1000);
    prefixes.recordStored(7, 3);
    const std::uint64_t countBefore = allocationCount;
    std::uint64_t placed = 0;
    for (std::uint32_t i = 0; i < 1000; ++i) {
        const PlacementRequest request{
            .prompt = TokenCount{600},
            .answer = TokenCount{200},
            .cachedOn = prefixes.holders(i % 10),
            .deadline = TimePoint(60s),
        };
        const auto chosen = choosePlacement(upstreams, request, {}, TimePoint(1ms * i));
        if (!chosen) {
            continue;
        }
        ++placed;
        ++upstreams[*chosen].inFlight;
        upstreams[*chosen].addBacklog(600, TimePoint(1ms * i));
    }
    const std::uint64_t allocated = allocationCount - countBefore;
    CHECK(placed == 1000);
    CHECK(allocated == 0);
}
