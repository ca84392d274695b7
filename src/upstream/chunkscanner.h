#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cumindyke
{

/// Reads a chunked body (RFC 9112, 7.1) that arrives in pieces: each chunk has to be as long as its size says. Keeps none of its bytes.
class ChunkScanner
{
public:
    /// Bounds what an upstream can send between two chunks, and as the trailer.
    static constexpr std::size_t MaxLineBytes = 4U << 10;
    static constexpr std::size_t MaxTrailerBytes = 16U << 10;

    enum class Strictness {
        Answers, ///< blanks after a size are ignored, and extensions and trailers may have any bytes but CR
        Requests, ///< only what RFC 9112 permits: readers differ about all else, so that bytes of a body could be a request to another one
    };

    explicit ChunkScanner(Strictness strictness = Strictness::Answers)
        : m_isStrict(strictness == Strictness::Requests)
    {
    }

    /// Takes bytes from the front until it has taken a part of the body's data, which it returns. Without one it returns nothing and has taken all, or has
    /// found the body to be complete or broken. What follows the end is not looked at.
    std::string_view takeData(std::string_view &bytes);
    /// Takes all of the bytes.
    void scan(std::string_view bytes)
    {
        while (!bytes.empty() && !isComplete() && !isBroken()) {
            takeData(bytes);
        }
    }
    /// Bytes of the current chunk's data that are still to come.
    std::uint64_t remainingData() const
    {
        return m_state == State::Data ? m_remaining : 0;
    }
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
    enum class State { Size, SizeBlank, Extension, SizeEnd, Data, DataEnd, DataLineEnd, Trailer, TrailerEnd, Complete, Broken };

    State next(char byte);
    State nextInSize(char byte);
    State nextInTrailer(char byte);
    State afterSizeLine();
    State afterTrailerLine();

    bool m_isStrict;
    State m_state = State::Size;
    /// Of the current chunk: digits of its size so far, and bytes of its data that are still to come.
    int m_sizeDigits = 0;
    std::uint64_t m_remaining = 0;
    bool m_isTrailerLineEmpty = true;
    /// The line's name and colon have been scanned.
    bool m_inTrailerValue = false;
    /// Since the last data.
    std::size_t m_lineBytes = 0;
};

}
