#include "upstream/eventboundary.h"

#include <utility>

namespace cumindyke
{

std::size_t EventBoundary::scan(std::string_view bytes)
{
    std::size_t wholeLength = 0;
    for (std::size_t position = 0; position < bytes.size(); ++position) {
        scanByte(bytes[position]);
        if (!m_isWithinEvent) {
            wholeLength = position + 1;
        }
    }
    return wholeLength;
}

std::size_t EventBoundary::scanEvent(std::string_view bytes)
{
    for (std::size_t position = 0; position < bytes.size(); ++position) {
        scanByte(bytes[position]);
        if (!m_isWithinEvent) {
            return position + 1;
        }
    }
    return 0;
}

void EventBoundary::scanByte(char byte)
{
    const bool endsCrlf = std::exchange(m_afterCarriageReturn, byte == '\r') && byte == '\n';
    if (byte != '\r' && byte != '\n') {
        m_isLineEmpty = false;
        m_isWithinEvent = true;
    } else if (!endsCrlf) {
        m_isWithinEvent = m_isWithinEvent && !std::exchange(m_isLineEmpty, true);
    }
}

}
