#pragma once

#include <cstdint>
#include <string_view>

namespace cumindyke
{

/// Checks the framing of a chunked body (RFC 9112, 7.1) that arrives in pieces: each chunk has to be as long as its size says.
class ChunkScanner
{
public:
    /// Scans the next bytes of the body. What follows its end is not looked at.
    void scan(std::string_view bytes);
    /// Whether the last chunk and the trailer have been scanned.
    bool isComplete() const
    {
        return m_state == State::Complete;
    }
    bool isBroken() const
    {
        return m_state == State::Broken;
    }

private:
    enum class State { Size, Extension, SizeEnd, Data, DataEnd, DataLineEnd, Trailer, TrailerEnd, Complete, Broken };

    State next(char byte);
    State nextInSize(char byte);
    State afterSizeLine();
    State afterTrailerLine();

    State m_state = State::Size;
    /// Of the current chunk: digits of its size so far, and bytes of its data that are still to come.
    int m_sizeDigits = 0;
    std::uint64_t m_remaining = 0;
    bool m_isTrailerLineEmpty = true;
};

}
