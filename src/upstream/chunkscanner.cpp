#include "upstream/chunkscanner.h"

#include "upstream/httpgrammar.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// A larger size would not fit into 64 bits.
constexpr int MaxSizeDigits = 15;
constexpr int HexadecimalBase = 16;

/// Returns -1 for a byte that is no hexadecimal digit.
int digitOf(char byte)
{
    if (byte >= '0' && byte <= '9') {
        return byte - '0';
    }
    const char lower = static_cast<char>(byte | ' ');
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

}

std::string_view ChunkScanner::takeData(std::string_view &bytes)
{
    while (!bytes.empty() && m_state != State::Complete && m_state != State::Broken) {
        if (m_state == State::Data) {
            const auto length = static_cast<std::size_t>(std::min<std::uint64_t>(m_remaining, bytes.size()));
            const std::string_view data = bytes.substr(0, length);
            bytes.remove_prefix(length);
            m_remaining -= length;
            m_lineBytes = 0;
            m_state = m_remaining == 0 ? State::DataEnd : State::Data;
            return data;
        }
        m_state = next(bytes.front());
        bytes.remove_prefix(1);
        const bool isTrailer = m_state == State::Trailer || m_state == State::TrailerEnd;
        if (++m_lineBytes > (isTrailer ? MaxTrailerBytes : MaxLineBytes)) {
            m_state = State::Broken;
        }
    }
    return {};
}

ChunkScanner::State ChunkScanner::next(char byte)
{
    switch (m_state) {
    case State::Size:
        return nextInSize(byte);
    case State::Extension:
        if (byte == '\r') {
            return State::SizeEnd;
        }
        return m_isStrict && isControlByte(byte) ? State::Broken : State::Extension;
    case State::SizeBlank:
        if (byte == ' ' || byte == '\t') {
            return State::SizeBlank;
        }
        return byte == ';' ? State::Extension : State::Broken;
    case State::SizeEnd:
        return byte == '\n' ? afterSizeLine() : State::Broken;
    case State::DataEnd:
        return byte == '\r' ? State::DataLineEnd : State::Broken;
    case State::DataLineEnd:
        return byte == '\n' ? State::Size : State::Broken;
    case State::Trailer:
        return nextInTrailer(byte);
    case State::TrailerEnd:
        return byte == '\n' ? afterTrailerLine() : State::Broken;
    default:
        return m_state;
    }
}

ChunkScanner::State ChunkScanner::nextInSize(char byte)
{
    const int digit = digitOf(byte);
    if (digit >= 0 && m_sizeDigits < MaxSizeDigits) {
        m_remaining = m_remaining * HexadecimalBase + static_cast<std::uint64_t>(digit);
        ++m_sizeDigits;
        return State::Size;
    }
    if (digit >= 0 || m_sizeDigits == 0) {
        return State::Broken;
    }
    if (byte == '\r') {
        return State::SizeEnd;
    }
    if (byte == ' ' || byte == '\t') {
        return m_isStrict ? State::SizeBlank : State::Extension;
    }
    return byte == ';' ? State::Extension : State::Broken;
}

ChunkScanner::State ChunkScanner::nextInTrailer(char byte)
{
    if (byte == '\r') {
        const bool isField = m_isTrailerLineEmpty || m_inTrailerValue;
        m_inTrailerValue = false;
        return isField || !m_isStrict ? State::TrailerEnd : State::Broken;
    }
    if (m_isStrict && !m_inTrailerValue) {
        m_inTrailerValue = byte == ':' && !m_isTrailerLineEmpty;
        if (!m_inTrailerValue && !isTokenByte(byte)) {
            return State::Broken;
        }
    } else if (m_isStrict && isControlByte(byte)) {
        return State::Broken;
    }
    m_isTrailerLineEmpty = false;
    return State::Trailer;
}

ChunkScanner::State ChunkScanner::afterSizeLine()
{
    m_sizeDigits = 0;
    return m_remaining == 0 ? State::Trailer : State::Data;
}

ChunkScanner::State ChunkScanner::afterTrailerLine()
{
    if (m_isTrailerLineEmpty) {
        return State::Complete;
    }
    m_isTrailerLineEmpty = true;
    return State::Trailer;
}

}
