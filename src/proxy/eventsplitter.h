#pragma once

#include <string>
#include <string_view>

namespace cumindyke
{

/// Cuts the bytes of an event stream after whole events, unchanged. A stream that breaks off in the middle of an event can be gone on with
/// at another upstream only when the caller has got whole events so far.
class EventSplitter
{
public:
    /// The bytes up to the end of the last whole event; the rest is kept for the next call.
    std::string extractWholeEvents(std::string_view bytes);
    /// Forgets the part of an event that is kept: the next bytes begin a new one.
    void discardPartial()
    {
        m_partial.clear();
    }
    bool hasPartial() const
    {
        return !m_partial.empty();
    }
    /// Id of the last whole event; empty when it had none.
    const std::string &lastEventId() const
    {
        return m_lastEventId;
    }

private:
    std::string m_partial;
    std::string m_lastEventId;
};

}
