#include "upstream/answerparser.h"

#include "upstream/httpgrammar.h"

#include <algorithm>
#include <charconv>

namespace cumindyke
{

namespace
{

constexpr int LastInterimStatus = 199;
constexpr int SwitchingProtocols = 101;
constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr int FirstRedirect = 300;
bool isDigit(char byte)
{
    return byte >= '0' && byte <= '9';
}

}

const char *toString(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Empty:
        return "empty";
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::ConnectionClose:
        return "connection-close";
    }
    return "";
}

AnswerParser::Step AnswerParser::next(std::string_view &bytes)
{
    switch (m_state) {
    case State::HeadLines:
        return takeHead(bytes);
    case State::HeadComplete:
        m_state = m_head.framing == BodyFraming::Empty ? State::Whole : State::Body;
        return next(bytes);
    case State::Body:
        return takeBody(bytes);
    case State::Whole:
        return Step::Whole;
    case State::Broken:
        return Step::Broken;
    }
    return Step::Broken;
}

AnswerParser::Step AnswerParser::fail()
{
    m_state = State::Broken;
    m_line = {};
    return Step::Broken;
}

AnswerParser::Step AnswerParser::takeHead(std::string_view &bytes)
{
    while (!bytes.empty()) {
        const std::size_t lineEnd = bytes.find('\n');
        const std::size_t length = lineEnd == std::string_view::npos ? bytes.size() : lineEnd + 1;
        m_headBytes += length;
        if (m_headBytes > MaxHeadBytes) {
            return fail();
        }
        m_line += bytes.substr(0, length);
        bytes.remove_prefix(length);
        if (lineEnd == std::string_view::npos) {
            break;
        }
        m_line.pop_back();
        if (!m_line.empty() && m_line.back() == '\r') {
            m_line.pop_back();
        }
        if (!parseLine(m_line)) {
            return fail();
        }
        m_line.clear();
        if (m_state == State::HeadComplete) {
            return Step::Head;
        }
    }
    return Step::NeedsMore;
}

bool AnswerParser::parseLine(std::string_view line)
{
    if (m_head.status == 0) {
        return parseStatusLine(line);
    }
    return line.empty() ? endHead() : parseHeader(line);
}

/// "HTTP/1.1 200 OK"; the reason may be missing with the space before it.
bool AnswerParser::parseStatusLine(std::string_view line)
{
    constexpr std::string_view Protocol = "HTTP/1.";
    constexpr std::size_t StatusBegin = Protocol.size() + 2;
    constexpr std::size_t StatusEnd = StatusBegin + 3;
    const bool hasForm = line.size() >= StatusEnd && line.starts_with(Protocol) && isDigit(line[Protocol.size()]) && line[Protocol.size() + 1] == ' '
        && std::ranges::all_of(line.substr(StatusBegin, 3), isDigit) && (line.size() == StatusEnd || line[StatusEnd] == ' ');
    if (!hasForm || hasControlBytes(line)) {
        return false;
    }
    std::from_chars(line.data() + StatusBegin, line.data() + StatusEnd, m_head.status);
    return m_head.status >= MinStatus && m_head.status <= MaxStatus && m_head.status != SwitchingProtocols;
}

bool AnswerParser::parseHeader(std::string_view line)
{
    const auto field = parseFieldLine(line);
    if (!field) {
        return false;
    }
    m_head.headers.emplace_back(field->name, field->value);
    return true;
}

bool AnswerParser::endHead()
{
    if (m_head.status <= LastInterimStatus) {
        // The final answer follows (RFC 9110, 15.2).
        m_head = {};
        return true;
    }
    for (const auto &[name, value] : m_head.headers) {
        if (m_head.contentType.empty() && equalsIgnoringCase(name, "Content-Type")) {
            m_head.contentType = value;
        }
    }
    m_state = State::HeadComplete;
    return chooseFraming();
}

/// Fails if another reader could see the end of the body in another place.
bool AnswerParser::chooseFraming()
{
    const std::string *length = nullptr;
    const std::string *encoding = nullptr;
    for (const auto &[name, value] : m_head.headers) {
        const std::string *&seen = equalsIgnoringCase(name, "Content-Length") ? length : encoding;
        if (!equalsIgnoringCase(name, "Content-Length") && !equalsIgnoringCase(name, "Transfer-Encoding")) {
            continue;
        }
        if (seen) {
            return false;
        }
        seen = &value;
    }
    const bool isConnected = m_request == Request::Connect && m_head.status < FirstRedirect;
    if (m_request == Request::Head || isConnected || m_head.status == NoContent || m_head.status == NotModified) {
        m_head.framing = BodyFraming::Empty;
        return true;
    }
    if (encoding) {
        m_head.framing = BodyFraming::Chunked;
        return !length && equalsIgnoringCase(*encoding, "chunked");
    }
    if (!length) {
        m_head.framing = BodyFraming::ConnectionClose;
        return true;
    }
    const auto bytes = parseContentLength(*length);
    if (!bytes) {
        return false;
    }
    m_remaining = *bytes;
    m_head.framing = m_remaining == 0 ? BodyFraming::Empty : BodyFraming::Length;
    return true;
}

AnswerParser::Step AnswerParser::takeBody(std::string_view &bytes)
{
    if (bytes.empty()) {
        return Step::NeedsMore;
    }
    if (m_head.framing == BodyFraming::Chunked) {
        return takeChunked(bytes);
    }
    const bool hasLength = m_head.framing == BodyFraming::Length;
    const auto length = hasLength ? static_cast<std::size_t>(std::min<std::uint64_t>(m_remaining, bytes.size())) : bytes.size();
    m_body = bytes.substr(0, length);
    bytes.remove_prefix(length);
    if (hasLength) {
        m_remaining -= length;
        m_state = m_remaining == 0 ? State::Whole : State::Body;
    }
    return Step::Body;
}

AnswerParser::Step AnswerParser::takeChunked(std::string_view &bytes)
{
    m_body = m_chunks.takeData(bytes);
    if (!m_body.empty()) {
        return Step::Body;
    }
    if (m_chunks.isBroken()) {
        return fail();
    }
    if (m_chunks.isComplete()) {
        m_state = State::Whole;
        return Step::Whole;
    }
    return Step::NeedsMore;
}

}
