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

/// Splits a text/event-stream body, fed in pieces of any size, into events (WHATWG HTML, "Server-sent events").
class EventStreamParser
{
public:
    /// The events completed by these bytes. After an event over the size limit, broken() holds and nothing more comes.
    std::vector<StreamEvent> feed(std::string_view bytes);
    bool broken() const
    {
        return m_broken;
    }

private:
    void takeLine(std::string_view line, std::vector<StreamEvent> &events);

    std::string m_partialLine;
    StreamEvent m_event;
    bool m_hasData = false;
    /// The last byte was a carriage return, which ends a line by itself: a newline after it belongs to the same end.
    bool m_afterReturn = false;
    bool m_broken = false;
};

/// The event as it goes on the wire.
std::string serialized(const StreamEvent &event);

}
