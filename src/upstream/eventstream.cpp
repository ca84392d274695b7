#include "upstream/eventstream.h"

#include <utility>

namespace cumindyke
{

namespace
{

/// Bounds the memory that one event can use.
constexpr std::size_t MaxEventBytes = 1U << 20;

}

std::vector<StreamEvent> EventStreamParser::feed(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    while (!bytes.empty() && !m_broken) {
        if (std::exchange(m_afterCarriageReturn, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            continue;
        }
        const std::size_t end = bytes.find_first_of("\r\n");
        m_partialLine += bytes.substr(0, end);
        if (m_partialLine.size() + m_event.data.size() > MaxEventBytes) {
            m_broken = true;
            break;
        }
        if (end == std::string_view::npos) {
            break;
        }
        m_afterCarriageReturn = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        std::string line;
        line.swap(m_partialLine);
        parseLine(line, events);
    }
    return events;
}

void EventStreamParser::parseLine(std::string_view line, std::vector<StreamEvent> &events)
{
    if (line.empty()) {
        if (m_hasData) {
            events.push_back(m_event);
        }
        m_event = {};
        m_hasData = false;
        return;
    }
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (field == "data") {
        m_event.data += (m_hasData ? "\n" : "");
        m_event.data += value;
        m_hasData = true;
    } else if (field == "id") {
        m_event.id = value;
    } else if (field == "event") {
        m_event.name = value;
    }
}

std::string serialized(const StreamEvent &event)
{
    std::string text;
    if (!event.id.empty()) {
        text += "id: " + event.id + "\n";
    }
    if (!event.name.empty()) {
        text += "event: " + event.name + "\n";
    }
    std::string_view rest = event.data;
    while (true) {
        const std::size_t end = rest.find('\n');
        text += "data: " + std::string(rest.substr(0, end)) + "\n";
        if (end == std::string_view::npos) {
            break;
        }
        rest.remove_prefix(end + 1);
    }
    return text + "\n";
}

}
