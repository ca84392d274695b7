#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace cumindyke
{

/// Finds the head of a second answer in the body of one that ends only with its connection.
///
/// Guards against an upstream that answers twice on one connection: behind an answer without a length or chunks, the second answer's bytes would be part of
/// the body. A second head is a status line of HTTP/1 anywhere in the body, followed by header lines of which one is the header with a request's id; text
/// that merely contains a status line is body. What may still become such a head is held back, at most MaxHeadBytes.
class SecondAnswer
{
public:
    /// The heads of upstreams have a few hundred bytes.
    static constexpr std::size_t MaxHeadBytes = 8 << 10;

    /// The header in which upstreams echo the id of the request.
    explicit SecondAnswer(std::string idHeader)
        : m_idHeader(std::move(idHeader))
    {
    }

    /// Returns the bytes up to where a second head begins or may begin, those held back before included. Valid until the next call and as long as "bytes".
    std::string_view scan(std::string_view bytes);
    /// At the end of the connection: returns what is still held back.
    std::string_view takeRest();
    /// Whether a second head was found. Nothing from its status line on is returned.
    bool isFound() const
    {
        return m_isFound;
    }
    /// Whether the body so far ends within header lines behind a status line: an answer that ends there may be cut within a second head.
    bool endsWithinHead() const
    {
        return m_endsWithinHead;
    }
    std::size_t heldBytes() const
    {
        return m_held.size();
    }

private:
    enum class Verdict { Body, Undecided, Head };

    std::size_t findHead(std::string_view bytes);
    Verdict judgeHead(std::string_view bytes);
    Verdict judgeHeaders(std::string_view lines);
    bool isIdHeader(std::string_view name) const;

    std::string m_idHeader;
    std::string m_held;
    std::string m_returned;
    bool m_isFound = false;
    bool m_endsWithinHead = false;
};

}
