#include "entry/requestreader.h"

#include "upstream/httpgrammar.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

constexpr const char *BodyTooLong = "the body of the request is too long: send at most 4 MiB";
constexpr std::string_view VersionPrefix = "HTTP/1.";
/// RFC 9112, 2.2: old clients send an empty line after a body.
constexpr std::size_t MaxEmptyLines = 2;

/// A byte that no target has: a blank or a control ends it early for some readers, and a fragment is never sent (RFC 9110, 4.2.5).
bool isForbiddenInTarget(char byte)
{
    return static_cast<unsigned char>(byte) <= ' ' || byte == '\x7f' || byte == '#';
}

/// RFC 9110, 7.2, and RFC 3986, 3.2.2; without a user's name.
bool isHostByte(char byte)
{
    const bool isAlphanumeric = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9');
    return isAlphanumeric || (byte != '\0' && std::string_view("-._~!$&'()*+,;=:[]%").find(byte) != std::string_view::npos);
}

}

RequestReader::Step RequestReader::next(std::string_view &bytes)
{
    switch (m_state) {
    case State::RequestLine:
    case State::Fields:
        return takeHead(bytes);
    case State::HeadComplete:
        beginBody();
        return next(bytes);
    case State::Body:
        return takeBody(bytes);
    case State::Whole:
        return Step::Whole;
    case State::Refused:
        return Step::Refused;
    }
    return Step::Refused;
}

void RequestReader::beginNext()
{
    *this = RequestReader();
}

void RequestReader::beginBody()
{
    m_state = m_head.framing == BodyFraming::Empty ? State::Whole : State::Body;
}

bool RequestReader::refuse(const char *reason, int status)
{
    m_state = State::Refused;
    m_refusalStatus = status;
    m_refusalReason = reason;
    m_line = {};
    return false;
}

RequestReader::Step RequestReader::takeHead(std::string_view &bytes)
{
    while (!bytes.empty()) {
        const std::size_t lineEnd = bytes.find('\n');
        const std::size_t length = lineEnd == std::string_view::npos ? bytes.size() : lineEnd + 1;
        std::string_view line = bytes.substr(0, length);
        bytes.remove_prefix(length);
        if (m_headBytes + m_line.size() + length > MaxHeadBytes + 2) {
            refuse("the head of the request is too long: send less than 32 KiB", HeadTooLarge);
            return Step::Refused;
        }
        if (!m_line.empty() || lineEnd == std::string_view::npos) {
            m_line += line;
            line = m_line;
        }
        if (lineEnd == std::string_view::npos) {
            return Step::NeedsMore;
        }
        if (line.size() < 2 || line[line.size() - 2] != '\r') {
            refuse("a line of the head ends without CR: end each with CR and LF");
            return Step::Refused;
        }
        line.remove_suffix(2);
        m_headBytes += line.size();
        if (!parseLine(line)) {
            return Step::Refused;
        }
        m_line.clear();
        if (m_state == State::HeadComplete) {
            return Step::Head;
        }
    }
    return Step::NeedsMore;
}

bool RequestReader::parseLine(std::string_view line)
{
    if (m_state == State::Fields) {
        return line.empty() ? endHead() : parseField(line);
    }
    if (!line.empty()) {
        return parseRequestLine(line);
    }
    m_head.isPlain = false;
    return ++m_emptyLines <= MaxEmptyLines || refuse("a request begins with empty lines: begin it with the request line");
}

/// "GET /path HTTP/1.1", with one space each (RFC 9112, 3).
bool RequestReader::parseRequestLine(std::string_view line)
{
    const std::size_t methodEnd = line.find(' ');
    const std::size_t targetEnd = line.rfind(' ');
    if (methodEnd == std::string_view::npos || methodEnd == targetEnd || !isToken(line.substr(0, methodEnd))) {
        return refuse("the request line is no method, target and version with one space each: send HTTP/1.1");
    }
    const std::string_view version = line.substr(targetEnd + 1);
    const bool isVersion1 = version.size() == VersionPrefix.size() + 1 && version.starts_with(VersionPrefix) && version.back() >= '0' && version.back() <= '9';
    if (!isVersion1) {
        return refuse("the version is not HTTP/1.1: send HTTP/1.1");
    }
    m_isVersion10 = version.back() == '0';
    if (version.back() > '1') {
        // libevent would answer with that version.
        m_head.isPlain = false;
    }
    m_head.method = line.substr(0, methodEnd);
    m_state = State::Fields;
    return parseTarget(line.substr(methodEnd + 1, targetEnd - methodEnd - 1));
}

/// RFC 9112, 3.2.
bool RequestReader::parseTarget(std::string_view target)
{
    if (target.empty() || std::ranges::any_of(target, isForbiddenInTarget)) {
        return refuse("the target is empty or has blanks, controls or a fragment: encode them");
    }
    if (target.starts_with('/') || (target == "*" && m_head.method == "OPTIONS")) {
        m_head.target = target;
        // libevent would take what follows two slashes for a host.
        m_head.isPlain = m_head.isPlain && !target.starts_with("//");
        return m_head.method != "CONNECT" || refuse("this server is no tunnel: send no CONNECT");
    }
    for (const std::string_view scheme : {"http://", "https://"}) {
        if (m_head.method == "CONNECT" || !equalsIgnoringCase(target.substr(0, scheme.size()), scheme)) {
            continue;
        }
        target.remove_prefix(scheme.size());
        const std::size_t end = std::min(target.find_first_of("/?"), target.size());
        m_authority = target.substr(0, end);
        m_head.target = (target.substr(end).starts_with('/') ? "" : "/") + std::string(target.substr(end));
        m_head.isPlain = false;
        return !m_authority.empty() || refuse("the target names no host: begin it with a slash");
    }
    return refuse("the target is no path: begin it with a slash");
}

bool RequestReader::parseField(std::string_view line)
{
    const auto field = parseFieldLine(line);
    if (!field) {
        return refuse("a line of the head is no field: send a name, a colon without a space before it, and a value without controls, in one line");
    }
    // libevent removes no tabs.
    m_head.isPlain = m_head.isPlain && line.find('\t') == std::string_view::npos;
    bool isFraming = false;
    if (!parseFramingField(field->name, field->value, isFraming) || isFraming) {
        return m_state != State::Refused;
    }
    if (!equalsIgnoringCase(field->name, "Host")) {
        return true;
    }
    if (m_hasHost || !std::ranges::all_of(field->value, isHostByte)) {
        return refuse("the host is given twice or is no host: send one Host");
    }
    m_hasHost = true;
    m_host = field->value;
    return true;
}

/// RFC 9112, 6.
bool RequestReader::parseFramingField(std::string_view name, std::string_view value, bool &isFraming)
{
    constexpr const char *Twice = "the body's length is given twice: send one Content-Length, or one Transfer-Encoding";
    const bool isLength = equalsIgnoringCase(name, "Content-Length");
    isFraming = isLength || equalsIgnoringCase(name, "Transfer-Encoding");
    if (!isFraming) {
        return true;
    }
    if (m_hasLength || m_head.framing == BodyFraming::Chunked) {
        return refuse(Twice);
    }
    if (!isLength) {
        m_head.framing = BodyFraming::Chunked;
        const bool isKnown = equalsIgnoringCase(value, "chunked") && !m_isVersion10;
        return isKnown || refuse("the encoding of the body is not known: send Transfer-Encoding: chunked, with HTTP/1.1");
    }
    const auto length = parseContentLength(value);
    if (!length) {
        return refuse("the body's length is no number: send digits only");
    }
    m_hasLength = true;
    m_head.length = *length;
    m_head.framing = *length == 0 ? BodyFraming::Empty : BodyFraming::Length;
    return true;
}

bool RequestReader::endHead()
{
    if (!m_hasHost && !m_isVersion10) {
        return refuse("the host is missing: send one Host");
    }
    if (!m_authority.empty() && !equalsIgnoringCase(m_authority, m_host)) {
        return refuse("the target is on another host than Host: send the same");
    }
    if (m_head.length > MaxBodyBytes) {
        return refuse(BodyTooLong, BodyTooLarge);
    }
    m_state = State::HeadComplete;
    m_remaining = m_head.length;
    return true;
}

void RequestReader::skip(std::uint64_t bytes)
{
    m_remaining -= bytes;
    m_state = m_remaining == 0 ? State::Whole : State::Body;
}

RequestReader::Step RequestReader::takeBody(std::string_view &bytes)
{
    if (bytes.empty()) {
        return Step::NeedsMore;
    }
    if (m_head.framing == BodyFraming::Chunked) {
        return takeChunked(bytes);
    }
    m_body = bytes.substr(0, static_cast<std::size_t>(std::min<std::uint64_t>(m_remaining, bytes.size())));
    bytes.remove_prefix(m_body.size());
    skip(m_body.size());
    return Step::Body;
}

RequestReader::Step RequestReader::takeChunked(std::string_view &bytes)
{
    m_body = m_chunks.takeData(bytes);
    m_chunkedBytes += m_body.size();
    if (m_chunkedBytes + m_chunks.remainingData() > MaxBodyBytes) {
        refuse(BodyTooLong, BodyTooLarge);
        return Step::Refused;
    }
    if (!m_body.empty()) {
        return Step::Body;
    }
    if (m_chunks.isBroken()) {
        refuse("the body is not sent in chunks as its head says: send each with its size in hexadecimal digits");
        return Step::Refused;
    }
    if (m_chunks.isComplete()) {
        m_state = State::Whole;
        return Step::Whole;
    }
    return Step::NeedsMore;
}

std::string canonicalHead(std::string_view head, std::string_view target)
{
    std::string canonical;
    canonical.reserve(head.size());
    for (std::size_t end = head.find("\r\n"); end != std::string_view::npos; end = head.find("\r\n")) {
        const std::string_view line = head.substr(0, end);
        head.remove_prefix(end + 2);
        if (canonical.empty()) {
            if (!line.empty()) {
                canonical.append(line.substr(0, line.find(' ') + 1)).append(target).append(line.ends_with("0") ? " HTTP/1.0\r\n" : " HTTP/1.1\r\n");
            }
        } else if (const auto field = parseFieldLine(line)) {
            canonical.append(field->name).append(": ").append(field->value).append("\r\n");
        }
    }
    return canonical + "\r\n";
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

}
