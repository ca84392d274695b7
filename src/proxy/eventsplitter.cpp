#include "proxy/eventsplitter.h"

#include "upstream/eventstream.h"

namespace cumindyke
{

std::string EventSplitter::extractWholeEvents(std::string_view bytes)
{
    const std::size_t wholeLength = m_boundary.scan(bytes);
    std::string whole;
    if (wholeLength > 0) {
        whole.swap(m_partial);
        whole += bytes.substr(0, wholeLength);
    }
    m_partial += bytes.substr(wholeLength);
    EventStreamParser parser;
    for (const StreamEvent &event : parser.feed(whole)) {
        if (!event.id.empty()) {
            m_lastEventId = event.id;
        }
    }
    return whole;
}

}
