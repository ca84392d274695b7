#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cumindyke
{

/// One event of a text/event-stream body.
struct StreamEvent
{
    std::string id;
    std::string name;
    std::string data;

    bool operator==(const StreamEvent &) const = default;
};

/// Incremental parser of text/event-stream bodies (WHATWG HTML, "Server-sent events").
class EventStreamParser
{
public:
    /// Parses the next bytes of the body and returns the events that they complete. After an event over the size limit, isBroken() is true
    /// and no more events are returned.
    std::vector<StreamEvent> feed(std::string_view bytes);
    bool isBroken() const
    {
        return m_broken;
    }

private:
    void parseLine(std::string_view line, std::vector<StreamEvent> &events);

    std::string m_partialLine;
    StreamEvent m_event;
    bool m_hasData = false;
    /// The last byte was a carriage return, which ends a line; a newline after it belongs to the same line end.
    bool m_afterCarriageReturn = false;
    bool m_broken = false;
};

/// Returns the event in the text/event-stream format.
std::string serialized(const StreamEvent &event);

}
