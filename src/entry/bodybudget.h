#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace cumindyke
{

/// Bytes of a budget that are reserved for one request's body until the last reference is gone, in whatever thread that is.
class BodyReservation
{
public:
    BodyReservation(std::shared_ptr<std::atomic<std::size_t>> used, std::size_t bytes);
    ~BodyReservation();
    BodyReservation(const BodyReservation &) = delete;
    BodyReservation &operator=(const BodyReservation &) = delete;

    /// The body is complete, and no longer than this.
    void shrinkTo(std::size_t bodyBytes);

private:
    const std::shared_ptr<std::atomic<std::size_t>> m_used;
    std::size_t m_bytes;
};

/// Bounds the bytes of requests' bodies that a process holds, from before they are read until they are released. Reserves from one thread only.
class BodyBudget
{
public:
    /// Larger bodies leave a quarter of the budget to the others, so that no small body waits for a large one.
    static constexpr std::size_t MaxSmallBytes = 64U << 10;
    /// Memory that a body takes besides its bytes.
    static constexpr std::size_t Overhead = 4U << 10;

    explicit BodyBudget(std::size_t bytes);

    /// Returns null if a body of this length has no room now. A body that is alone always has.
    std::shared_ptr<BodyReservation> reserve(std::size_t bodyBytes);
    std::size_t usedBytes() const
    {
        return *m_used;
    }

private:
    const std::size_t m_budget;
    const std::shared_ptr<std::atomic<std::size_t>> m_used;
};

}
