#include "upstream/resumablestream.h"

#include <charconv>
#include <optional>

namespace cumindyke
{

namespace
{

constexpr std::string_view EndMarker = "[DONE]";

std::optional<std::uint64_t> numberOf(const StreamEvent &event)
{
    std::uint64_t number = 0;
    const char *end = event.id.data() + event.id.size();
    const auto [stop, failure] = std::from_chars(event.id.data(), end, number);
    return failure == std::errc{} && stop == end ? std::optional(number) : std::nullopt;
}

}

std::vector<StreamEvent> ResumableStream::feed(std::string_view bytes)
{
    std::vector<StreamEvent> fresh;
    for (StreamEvent &event : m_parser.feed(bytes)) {
        if (broken() || m_ended || !isNew(event)) {
            continue;
        }
        m_ended = event.data == EndMarker;
        fresh.push_back(std::move(event));
    }
    return fresh;
}

bool ResumableStream::isNew(const StreamEvent &event)
{
    const std::optional<std::uint64_t> number = numberOf(event);
    if (!number) {
        if (m_repeats > 0) {
            --m_repeats;
            ++m_duplicates;
            return false;
        }
        ++m_unnumbered;
        return true;
    }
    if (*number < m_offset) {
        ++m_duplicates;
        return false;
    }
    if (*number > m_offset) {
        m_broken = true;
        return false;
    }
    ++m_offset;
    m_unnumbered = 0;
    m_repeats = 0;
    return true;
}

void ResumableStream::reconnected()
{
    m_parser = {};
    m_broken = false;
    m_repeats = m_unnumbered;
}

}
