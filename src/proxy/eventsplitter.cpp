#include "proxy/eventsplitter.h"

namespace cumindyke
{

namespace
{

struct EventFields
{
    std::string_view id;
    /// Without data it is no event, but a comment or a setting (WHATWG HTML, "Server-sent events").
    bool hasData = false;
};

EventFields fieldsOf(std::string_view event)
{
    EventFields fields;
    while (!event.empty()) {
        const std::size_t end = event.find_first_of("\r\n");
        const std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (line == "data" || line.starts_with("data:")) {
            fields.hasData = true;
        } else if (line.starts_with("id:")) {
            fields.id = line.substr(line.starts_with("id: ") ? 4 : 3);
        }
    }
    return fields;
}

}

void EventSplitter::startAnswer()
{
    m_partial.clear();
    m_boundary.reset();
    m_numbering.startAnswer();
    m_isOutOfOrder = false;
}

std::string EventSplitter::extractWholeEvents(std::string_view bytes)
{
    std::string whole;
    while (!bytes.empty() && !m_isOutOfOrder) {
        const std::size_t length = m_boundary.scanEvent(bytes);
        if (length == 0) {
            m_partial += bytes;
            break;
        }
        if (m_partial.empty()) {
            appendEvent(bytes.substr(0, length), whole);
        } else {
            m_partial += bytes.substr(0, length);
            appendEvent(m_partial, whole);
            m_partial.clear();
        }
        bytes.remove_prefix(length);
    }
    return whole;
}

void EventSplitter::appendEvent(std::string_view event, std::string &whole)
{
    const EventFields fields = fieldsOf(event);
    const EventVerdict verdict = fields.hasData ? m_numbering.judge(fields.id) : EventVerdict::Pass;
    if (verdict == EventVerdict::Pass) {
        whole += event;
    }
    m_isOutOfOrder = verdict == EventVerdict::Break;
}

}
