#pragma once

#include "upstream/eventstream.h"

#include <cstdint>
#include <vector>

namespace cumindyke
{

/// A model's event stream, received over one or more connections that each resume at offset(). Every event is returned once.
///
/// Engines number the events of tokens from 0 ("id: N"); the closing events (usage, end marker) have no number. A resumed connection may
/// repeat events and a faulty one may omit some, and a caller would see duplicate or missing words in an answer that looks complete.
/// Events numbered below offset() are dropped, a number above it breaks the stream, and closing events returned before are skipped by
/// count, so the returned events have neither gaps nor duplicates.
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
        return m_offset;
    }
    /// Whether the end marker was received.
    bool isComplete() const
    {
        return m_isComplete;
    }
    /// Whether this connection omitted events or sent one that is too large. The stream can be resumed on a new connection.
    bool isBroken() const
    {
        return m_broken || m_parser.isBroken();
    }
    std::uint64_t duplicateCount() const
    {
        return m_duplicateCount;
    }

private:
    /// Returns whether the event is the next one, and advances the stream past it.
    bool acceptEvent(const StreamEvent &event);

    EventStreamParser m_parser;
    std::uint64_t m_offset = 0;
    std::uint64_t m_duplicateCount = 0;
    /// Unnumbered events returned since the last numbered one, and how many of them this connection is yet to repeat.
    std::uint64_t m_unnumberedCount = 0;
    std::uint64_t m_expectedRepeats = 0;
    bool m_isComplete = false;
    bool m_broken = false;
};

}
