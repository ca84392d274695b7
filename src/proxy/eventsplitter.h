#pragma once

#include <string>
#include <string_view>

namespace cumindyke
{

/// Splits the bytes of an event stream at event boundaries, unchanged. A stream that breaks off within an event can be resumed at another upstream
/// only if the caller has received whole events so far.
class EventSplitter
{
public:
    /// Appends bytes and returns those up to the end of the last whole event; the rest is kept for the next call.
    std::string extractWholeEvents(std::string_view bytes);
    /// Discards the kept part of an event: the next bytes begin a new event.
    void discardPartial()
    {
        m_partial.clear();
    }
    bool hasPartial() const
    {
        return !m_partial.empty();
    }
    /// Id of the last whole event; empty if no event had one.
    const std::string &lastEventId() const
    {
        return m_lastEventId;
    }

private:
    std::string m_partial;
    std::string m_lastEventId;
};

}
