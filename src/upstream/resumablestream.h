#pragma once

#include "upstream/eventstream.h"
#include "upstream/streamnumbering.h"

#include <cstdint>
#include <vector>

namespace cumindyke
{

/// A model's event stream, received over one or more connections that each resume at offset(). Every event is returned once.
///
/// Engines number the events of tokens from 0 ("id: N"); the closing events (usage, end marker) have no number. A resumed connection may
/// repeat events and a faulty one may omit some, and a caller would see duplicate or missing words in an answer that looks complete.
/// Events numbered below offset() are dropped, a number above it or one that goes back within a connection breaks the stream, and closing events
/// returned before are skipped by count, so the returned events have neither gaps nor duplicates (StreamNumbering).
class ResumableStream
{
public:
    /// Parses the next bytes of the current connection and returns the events that have not been returned before.
    std::vector<StreamEvent> feed(std::string_view bytes);
    /// Starts a new connection, which was requested to resume at offset().
    void startConnection();
    /// Number of the next expected event.
    std::uint64_t offset() const
    {
        return m_numbering.next();
    }
    /// Whether the end marker was received.
    bool isComplete() const
    {
        return m_isComplete;
    }
    /// Whether this connection omitted events, went back or sent an event that is too large. The stream can be resumed on a new connection.
    bool isBroken() const
    {
        return m_broken || m_parser.isBroken();
    }
    std::uint64_t duplicateCount() const
    {
        return m_duplicateCount;
    }

private:
    /// Returns whether the event is to be returned.
    bool acceptEvent(const StreamEvent &event);

    EventStreamParser m_parser;
    StreamNumbering m_numbering{EventIds::FromZero};
    std::uint64_t m_duplicateCount = 0;
    bool m_isComplete = false;
    bool m_broken = false;
};

}
