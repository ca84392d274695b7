#pragma once

#include "upstream/answerhead.h"
#include "upstream/chunkscanner.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cumindyke
{

/// Parses one HTTP/1.1 answer (RFC 9112) that arrives in pieces, and says when it is whole. It keeps at most MaxHeadBytes, whatever the upstream sends, and
/// accepts only what has one reading: an upstream in trouble sends bytes that are no answer, and a caller must not get them as one.
class AnswerParser
{
public:
    /// Of all heads together, interim ones too.
    static constexpr std::size_t MaxHeadBytes = 64U << 10;

    enum class Step {
        NeedsMore, ///< all bytes are taken
        Head, ///< head() is complete
        Body, ///< body() is the next part of it; valid as long as the bytes are
        Whole, ///< the body ended where its framing says
        Broken, ///< the bytes are no answer; nothing is taken from now on
    };

    /// The answer to a request with this method.
    explicit AnswerParser(std::string_view method)
        : m_request(method == "HEAD"          ? Request::Head
                        : method == "CONNECT" ? Request::Connect
                                              : Request::Other)
    {
    }

    /// Takes bytes from the front until there is something to report. After Whole nothing is taken: what follows belongs to no request.
    Step next(std::string_view &bytes);
    const AnswerHead &head() const
    {
        return m_head;
    }
    std::string_view body() const
    {
        return m_body;
    }
    bool isWhole() const
    {
        return m_state == State::Whole;
    }
    /// Whether only the end of the connection ends the body.
    bool endsWithConnection() const
    {
        return m_state == State::Body && m_head.framing == BodyFraming::ConnectionClose;
    }

private:
    enum class Request { Other, Head, Connect };
    enum class State { HeadLines, HeadComplete, Body, Whole, Broken };

    Step takeHead(std::string_view &bytes);
    Step takeBody(std::string_view &bytes);
    Step takeChunked(std::string_view &bytes);
    Step fail();
    bool parseLine(std::string_view line);
    bool parseStatusLine(std::string_view line);
    bool parseHeader(std::string_view line);
    bool endHead();
    bool chooseFraming();

    const Request m_request;
    State m_state = State::HeadLines;
    /// The line that has not ended yet.
    std::string m_line;
    std::size_t m_headBytes = 0;
    AnswerHead m_head;
    std::string_view m_body;
    /// Of a body with a length.
    std::uint64_t m_remaining = 0;
    ChunkScanner m_chunks;
};

}
