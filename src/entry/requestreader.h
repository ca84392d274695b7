#pragma once

#include "upstream/answerhead.h"
#include "upstream/chunkscanner.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cumindyke
{

/// What the head of a request says about the bytes that follow it and about its target.
struct RequestHead
{
    std::string method;
    /// As sent, in origin-form: of an absolute-form only the path and the query are left. "*" for OPTIONS.
    std::string target;
    /// Never ConnectionClose.
    BodyFraming framing = BodyFraming::Empty;
    std::uint64_t length = 0;
    /// Whether a lax reader reads the head in the same way. If not, it has to be given canonicalHead().
    bool isPlain = true;
};

/// Reads a caller's requests (RFC 9112) that arrive in pieces, one after the other, and refuses all that another reader could read in another way: where a
/// body ends, which host and path it is for, and where the next request begins. It keeps at most MaxHeadBytes.
class RequestReader
{
public:
    /// Of one head without the ends of its lines.
    static constexpr std::size_t MaxHeadBytes = 32U << 10;
    static constexpr std::uint64_t MaxBodyBytes = 4U << 20;

    static constexpr int BadRequest = 400;
    static constexpr int BodyTooLarge = 413;
    static constexpr int HeadTooLarge = 431;

    enum class Step {
        NeedsMore, ///< all bytes are taken
        Head, ///< head() is complete
        Body, ///< body() is the next part of it; valid as long as the bytes are
        Whole, ///< the body ended where its framing says
        Refused, ///< nothing is taken from now on
    };

    /// Takes bytes from the front until there is something to report. After Whole nothing is taken until beginNext().
    Step next(std::string_view &bytes);
    /// Begins the next request on the connection, after Whole.
    void beginNext();
    /// After Head: what follows is the body. Without one the request is whole.
    void beginBody();
    const RequestHead &head() const
    {
        return m_head;
    }
    std::string_view body() const
    {
        return m_body;
    }
    /// Of a body with a length: what is still to come; 0 in all other states.
    std::uint64_t remainingLength() const
    {
        return m_state == State::Body && m_head.framing == BodyFraming::Length ? m_remaining : 0;
    }
    /// Takes the next bytes of a body with a length, at most remainingLength().
    void skip(std::uint64_t bytes);
    /// Whether the head is complete and the body is not.
    bool isInBody() const
    {
        return m_state == State::Body;
    }
    bool isWhole() const
    {
        return m_state == State::Whole;
    }
    /// The status to refuse the request with, and what its sender has to change.
    int refusalStatus() const
    {
        return m_refusalStatus;
    }
    const char *refusalReason() const
    {
        return m_refusalReason;
    }

private:
    enum class State { RequestLine, Fields, HeadComplete, Body, Whole, Refused };

    Step takeHead(std::string_view &bytes);
    Step takeBody(std::string_view &bytes);
    Step takeChunked(std::string_view &bytes);
    bool refuse(const char *reason, int status = BadRequest);
    bool parseLine(std::string_view line);
    bool parseRequestLine(std::string_view line);
    bool parseTarget(std::string_view target);
    bool parseField(std::string_view line);
    bool parseFramingField(std::string_view name, std::string_view value, bool &isFraming);
    bool endHead();

    State m_state = State::RequestLine;
    /// The line that has not ended yet.
    std::string m_line;
    std::size_t m_headBytes = 0;
    std::size_t m_emptyLines = 0;
    bool m_isVersion10 = false;
    bool m_hasHost = false;
    bool m_hasLength = false;
    std::string m_host;
    /// Of a target in absolute-form.
    std::string m_authority;
    RequestHead m_head;
    std::string_view m_body;
    std::uint64_t m_remaining = 0;
    /// Data of chunks so far.
    std::uint64_t m_chunkedBytes = 0;
    ChunkScanner m_chunks{ChunkScanner::Strictness::Requests};
    int m_refusalStatus = 0;
    const char *m_refusalReason = "";
};

/// The complete head in a form that lax readers read as RequestReader does: without empty lines before it and blanks around values, and with the given target.
std::string canonicalHead(std::string_view head, std::string_view target);

/// The path of a target in origin-form: the bytes before the query, none of them decoded, removed or joined.
std::string_view pathOf(std::string_view target);

}
