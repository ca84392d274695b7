#pragma once

#include "common/types.h"

#include <cstddef>
#include <cstdint>

namespace cumindyke
{

/// Identifies a caller's connection within this process.
using CallerId = Strong<struct CallerIdTag, std::uint64_t>;

/// Bytes that this process holds for a caller's connection.
struct CallerBuffers
{
    /// Of a request that is not complete.
    std::size_t receiving = 0;
    /// Of a complete request, and of an answer that is held until it is complete.
    std::size_t held = 0;
    /// Of an answer that the caller has not read yet.
    std::size_t unread = 0;

    std::size_t total() const
    {
        return receiving + held + unread;
    }
    bool operator==(const CallerBuffers &) const = default;
};

}
