#include "upstream/resumablestream.h"

#include <charconv>
#include <optional>

namespace cumindyke
{

namespace
{

constexpr std::string_view EndMarker = "[DONE]";

std::optional<std::uint64_t> eventNumber(const StreamEvent &event)
{
    std::uint64_t number = 0;
    const char *end = event.id.data() + event.id.size();
    const auto [stop, failure] = std::from_chars(event.id.data(), end, number);
    return failure == std::errc{} && stop == end ? std::optional(number) : std::nullopt;
}

}

std::vector<StreamEvent> ResumableStream::feed(std::string_view bytes)
{
    std::vector<StreamEvent> newEvents;
    for (StreamEvent &event : m_parser.feed(bytes)) {
        if (isBroken() || m_isComplete || !acceptEvent(event)) {
            continue;
        }
        m_isComplete = event.data == EndMarker;
        newEvents.push_back(std::move(event));
    }
    return newEvents;
}

bool ResumableStream::acceptEvent(const StreamEvent &event)
{
    const std::optional<std::uint64_t> number = eventNumber(event);
    if (!number) {
        if (m_expectedRepeats > 0) {
            --m_expectedRepeats;
            ++m_duplicateCount;
            return false;
        }
        ++m_unnumberedCount;
        return true;
    }
    if (*number < m_offset) {
        ++m_duplicateCount;
        return false;
    }
    if (*number > m_offset) {
        m_broken = true;
        return false;
    }
    ++m_offset;
    m_unnumberedCount = 0;
    m_expectedRepeats = 0;
    return true;
}

void ResumableStream::startConnection()
{
    m_parser = {};
    m_broken = false;
    m_expectedRepeats = m_unnumberedCount;
}

}
