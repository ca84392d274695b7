#include "proxy/eventsplitter.h"

#include "upstream/eventstream.h"

namespace cumindyke
{

namespace
{

/// Returns the position after the last complete event in the text, or 0 if there is none. An event ends with an empty line, terminated by LF or CRLF.
std::size_t endOfLastEvent(std::string_view text)
{
    for (const std::string_view emptyLine : {std::string_view("\n\n"), std::string_view("\r\n\r\n")}) {
        const std::size_t position = text.rfind(emptyLine);
        if (position != std::string_view::npos) {
            return position + emptyLine.size();
        }
    }
    return 0;
}

}

std::string EventSplitter::extractWholeEvents(std::string_view bytes)
{
    m_partial += bytes;
    const std::size_t wholeLength = endOfLastEvent(m_partial);
    std::string whole = m_partial.substr(0, wholeLength);
    m_partial.erase(0, wholeLength);
    EventStreamParser parser;
    for (const StreamEvent &event : parser.feed(whole)) {
        if (!event.id.empty()) {
            m_lastEventId = event.id;
        }
    }
    return whole;
}

}
