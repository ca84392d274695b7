#include "upstream/streamnumbering.h"

#include <charconv>

namespace cumindyke
{

namespace
{

/// Every number of so many digits has a successor in 64 bits.
constexpr std::size_t MaxDigits = 18;

std::optional<std::uint64_t> eventNumber(std::string_view id)
{
    std::uint64_t number = 0;
    const char *end = id.data() + id.size();
    const auto [stop, failure] = std::from_chars(id.data(), end, number);
    return failure == std::errc{} && stop == end && id.size() <= MaxDigits ? std::optional(number) : std::nullopt;
}

}

void StreamNumbering::setCallerHas(std::string_view id)
{
    if (const std::optional<std::uint64_t> number = eventNumber(id)) {
        m_next = *number + 1;
    }
}

void StreamNumbering::startAnswer()
{
    m_isResumed = !m_lastId.empty();
    m_lastInAnswer.reset();
    m_expectedRepeats = m_unnumberedCount;
}

EventVerdict StreamNumbering::judge(std::string_view id)
{
    const std::optional<std::uint64_t> number = eventNumber(id);
    if (!number) {
        return judgeUnnumbered();
    }
    if (m_lastInAnswer && *number <= *m_lastInAnswer) {
        return EventVerdict::Break;
    }
    if (m_next && *number < *m_next) {
        m_lastInAnswer = number;
        return EventVerdict::Drop;
    }
    const bool skips = m_next && *number > *m_next;
    if (skips && (m_ids == EventIds::FromZero || (m_isResumed && m_isConsecutive))) {
        return EventVerdict::Break;
    }
    m_isConsecutive = m_isConsecutive && !skips;
    m_lastInAnswer = number;
    m_next = *number + 1;
    m_lastId = id;
    m_hasPassed = true;
    m_unnumberedCount = 0;
    m_expectedRepeats = 0;
    return EventVerdict::Pass;
}

/// An unnumbered event is a repeated one if it comes between numbers that the caller has. Behind them, as many are as the caller has there.
EventVerdict StreamNumbering::judgeUnnumbered()
{
    if (m_lastInAnswer && *m_lastInAnswer + 1 < *m_next) {
        return EventVerdict::Drop;
    }
    if (m_expectedRepeats > 0) {
        --m_expectedRepeats;
        return EventVerdict::Drop;
    }
    ++m_unnumberedCount;
    m_hasPassed = true;
    return EventVerdict::Pass;
}

}
