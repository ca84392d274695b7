#pragma once

#include "upstream/eventstream.h"

#include <cstdint>
#include <vector>

namespace cumindyke
{

/// A model's event stream that may come over several connections, each continuing from offset(). Every event is handed on once.
///
/// Engines number the events of tokens from 0 ("id: N") and leave the closing ones (usage, end marker) without number. A resumed
/// connection may repeat events, and a faulty one may leave some out: a caller would see doubled or missing words in an answer that
/// looks whole. Numbers below offset() are dropped, numbers beyond it break the stream, and closing events already handed on are
/// skipped by count; so what is handed on has neither gap nor repetition.
class ResumableStream
{
public:
    /// The events in these bytes that have not been handed on before.
    std::vector<StreamEvent> feed(std::string_view bytes);
    /// A new connection begins, asked to continue from offset().
    void reconnected();
    /// The number of the next event wanted.
    std::uint64_t offset() const
    {
        return m_offset;
    }
    /// The end marker came: the stream is whole.
    bool ended() const
    {
        return m_ended;
    }
    /// This connection left events out or sent one that is too large; a new connection may do better.
    bool broken() const
    {
        return m_broken || m_parser.broken();
    }
    std::uint64_t duplicates() const
    {
        return m_duplicates;
    }

private:
    bool isNew(const StreamEvent &event);

    EventStreamParser m_parser;
    std::uint64_t m_offset = 0;
    std::uint64_t m_duplicates = 0;
    /// Unnumbered events handed on since the last numbered one, and how many of them this connection will repeat.
    std::uint64_t m_unnumbered = 0;
    std::uint64_t m_repeats = 0;
    bool m_ended = false;
    bool m_broken = false;
};

}
