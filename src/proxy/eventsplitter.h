#pragma once

#include "upstream/eventboundary.h"
#include "upstream/streamnumbering.h"

#include <string>
#include <string_view>

namespace cumindyke
{

/// Splits the bytes of an event stream at event boundaries, unchanged, and leaves out the events that its caller already has (StreamNumbering). A stream
/// that breaks off within an event can be resumed at another upstream only if the caller has received whole events so far.
class EventSplitter
{
public:
    /// Bounds the memory that the part of one event can use.
    static constexpr std::size_t MaxEventBytes = 1U << 20;

    /// The caller has resumed the stream itself and has the events up to this id.
    void setCallerHas(std::string_view id)
    {
        m_numbering.setCallerHas(id);
    }
    /// Begins the next upstream's answer, and discards the kept part of an event.
    void startAnswer();
    /// Appends bytes and returns the whole events in them that the caller is to get; the rest is kept for the next call. Once the answer is out of order,
    /// returns nothing more of it.
    std::string extractWholeEvents(std::string_view bytes);
    /// Whether the stream so far ends within an event.
    bool isWithinEvent() const
    {
        return m_boundary.isWithinEvent();
    }
    /// Whether the kept part of an event is longer than MaxEventBytes.
    bool isTooLong() const
    {
        return m_partial.size() > MaxEventBytes;
    }
    std::size_t partialBytes() const
    {
        return m_partial.size();
    }
    /// Whether the answer's ids go back or skip events, so that no more of it may reach the caller.
    bool isOutOfOrder() const
    {
        return m_isOutOfOrder;
    }
    /// Whether another upstream's answer can be joined to what the caller has.
    bool canResume() const
    {
        return m_numbering.canResume();
    }
    /// Id of the last event with a number that was returned; empty if there was none.
    const std::string &lastEventId() const
    {
        return m_numbering.lastId();
    }

private:
    void appendEvent(std::string_view event, std::string &whole);

    EventBoundary m_boundary;
    StreamNumbering m_numbering{EventIds::Increasing};
    std::string m_partial;
    bool m_isOutOfOrder = false;
};

}
