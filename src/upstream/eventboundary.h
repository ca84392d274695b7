#pragma once

#include <cstddef>
#include <string_view>

namespace cumindyke
{

/// Finds where events end in a text/event-stream body that arrives in pieces: an event ends with an empty line, and a line with LF, CR or CRLF (WHATWG
/// HTML, "Server-sent events").
class EventBoundary
{
public:
    /// Scans the next bytes of the body. Returns the position in them after the end of the last whole event, or 0 if none ends there.
    std::size_t scan(std::string_view bytes);
    /// As scan(), but stops after the first whole event, or line end between events.
    std::size_t scanEvent(std::string_view bytes);
    /// Whether the body so far ends within an event.
    bool isWithinEvent() const
    {
        return m_isWithinEvent;
    }
    /// Begins a new body.
    void reset()
    {
        *this = {};
    }

private:
    void scanByte(char byte);

    bool m_isWithinEvent = false;
    bool m_isLineEmpty = true;
    /// A newline that follows belongs to the same line end.
    bool m_afterCarriageReturn = false;
};

}
