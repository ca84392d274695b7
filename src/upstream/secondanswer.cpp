#include "upstream/secondanswer.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace cumindyke
{

namespace
{

/// A digit stands for any digit.
constexpr std::string_view StatusLine = "HTTP/1.0 000";

bool isDigit(char byte)
{
    return byte >= '0' && byte <= '9';
}

/// Whether the bytes begin as a status line does, as far as they go.
bool beginsStatusLine(std::string_view bytes)
{
    const std::string_view begin = bytes.substr(0, StatusLine.size());
    // The major version is no placeholder.
    constexpr std::size_t MajorVersion = 5;
    for (std::size_t i = 0; i < begin.size(); ++i) {
        const bool isPlaceholder = isDigit(StatusLine[i]) && i != MajorVersion;
        if (isPlaceholder ? !isDigit(begin[i]) : begin[i] != StatusLine[i]) {
            return false;
        }
    }
    return bytes.size() <= StatusLine.size() || std::string_view(" \r\n").find(bytes[StatusLine.size()]) != std::string_view::npos;
}

/// Name of a header field (RFC 9110, 5.6.2).
bool isTokenCharacter(char byte)
{
    return std::isalnum(static_cast<unsigned char>(byte)) != 0 || std::string_view("!#$%&'*+-.^_`|~").find(byte) != std::string_view::npos;
}

struct Line
{
    /// Without its end.
    std::string_view text;
    /// With its end; 0: the end is missing.
    std::size_t length = 0;
    /// A carriage return within the line: it is no line of a head.
    bool isMalformed = false;
};

Line firstLine(std::string_view bytes)
{
    const std::size_t end = bytes.find_first_of("\r\n");
    if (end == std::string_view::npos || (bytes[end] == '\r' && end + 1 == bytes.size())) {
        return {.text = bytes.substr(0, end)};
    }
    const bool isCrlf = bytes[end] == '\r';
    return {.text = bytes.substr(0, end), .length = end + (isCrlf ? 2 : 1), .isMalformed = isCrlf && bytes[end + 1] != '\n'};
}

}

std::string_view SecondAnswer::scan(std::string_view bytes)
{
    if (m_isFound) {
        return {};
    }
    if (m_held.empty()) {
        const std::size_t end = findHead(bytes);
        m_held = m_isFound ? std::string_view() : bytes.substr(end);
        return bytes.substr(0, end);
    }
    m_held += bytes;
    const std::size_t end = findHead(m_held);
    m_returned = std::exchange(m_held, {});
    m_held = m_isFound ? std::string_view() : std::string_view(m_returned).substr(end);
    m_returned.resize(end);
    return m_returned;
}

std::string_view SecondAnswer::takeRest()
{
    m_returned = std::exchange(m_held, {});
    return m_returned;
}

/// Returns where a second head begins or may begin; the size of the bytes: nowhere.
std::size_t SecondAnswer::findHead(std::string_view bytes)
{
    m_endsWithinHead = false;
    for (std::size_t begin = bytes.find('H'); begin != std::string_view::npos; begin = bytes.find('H', begin + 1)) {
        const Verdict verdict = judgeHead(bytes.substr(begin));
        if (verdict != Verdict::Body) {
            m_isFound = verdict == Verdict::Head;
            return begin;
        }
    }
    return bytes.size();
}

SecondAnswer::Verdict SecondAnswer::judgeHead(std::string_view bytes)
{
    if (!beginsStatusLine(bytes)) {
        return Verdict::Body;
    }
    const std::string_view head = bytes.substr(0, MaxHeadBytes);
    const Line statusLine = firstLine(head);
    if (statusLine.isMalformed) {
        return Verdict::Body;
    }
    const Verdict verdict = statusLine.length > 0 ? judgeHeaders(head.substr(statusLine.length)) : Verdict::Undecided;
    const bool isTooLong = verdict == Verdict::Undecided && bytes.size() > MaxHeadBytes;
    m_endsWithinHead = m_endsWithinHead && !isTooLong;
    return isTooLong ? Verdict::Body : verdict;
}

SecondAnswer::Verdict SecondAnswer::judgeHeaders(std::string_view lines)
{
    m_endsWithinHead = false;
    while (true) {
        const std::size_t nameEnd = static_cast<std::size_t>(std::ranges::find_if_not(lines, isTokenCharacter) - lines.begin());
        if (nameEnd == lines.size()) {
            return Verdict::Undecided;
        }
        if (nameEnd == 0 || lines[nameEnd] != ':') {
            // The end of the head, or no head.
            m_endsWithinHead = m_endsWithinHead && lines == "\r";
            return lines == "\r" ? Verdict::Undecided : Verdict::Body;
        }
        if (isIdHeader(lines.substr(0, nameEnd))) {
            m_endsWithinHead = false;
            return Verdict::Head;
        }
        const Line line = firstLine(lines);
        if (line.isMalformed) {
            m_endsWithinHead = false;
            return Verdict::Body;
        }
        if (line.length == 0) {
            return Verdict::Undecided;
        }
        m_endsWithinHead = true;
        lines.remove_prefix(line.length);
    }
}

bool SecondAnswer::isIdHeader(std::string_view name) const
{
    return std::ranges::equal(name, m_idHeader, [](unsigned char left, unsigned char right) { return std::tolower(left) == std::tolower(right); });
}

}
