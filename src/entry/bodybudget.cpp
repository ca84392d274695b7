#include "entry/bodybudget.h"

#include <utility>

namespace cumindyke
{

BodyReservation::BodyReservation(std::shared_ptr<std::atomic<std::size_t>> used, std::size_t bytes)
    : m_used(std::move(used))
    , m_bytes(bytes)
{
    *m_used += m_bytes;
}

BodyReservation::~BodyReservation()
{
    *m_used -= m_bytes;
}

void BodyReservation::shrinkTo(std::size_t bodyBytes)
{
    const std::size_t bytes = bodyBytes + BodyBudget::Overhead;
    if (bytes < m_bytes) {
        *m_used -= m_bytes - bytes;
        m_bytes = bytes;
    }
}

BodyBudget::BodyBudget(std::size_t bytes)
    : m_budget(bytes)
    , m_used(std::make_shared<std::atomic<std::size_t>>(0))
{
}

std::shared_ptr<BodyReservation> BodyBudget::reserve(std::size_t bodyBytes)
{
    const std::size_t limit = bodyBytes <= MaxSmallBytes ? m_budget : m_budget - m_budget / 4;
    const std::size_t used = *m_used;
    if (used > 0 && used + bodyBytes + Overhead > limit) {
        return nullptr;
    }
    return std::make_shared<BodyReservation>(m_used, bodyBytes + Overhead);
}

}
