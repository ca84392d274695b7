#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cumindyke::test
{

/// What the first bytes of a connection are by RFC 9112, read as a whole and without regard to speed.
struct ModelRequest
{
    enum class Kind { Incomplete, Refused, Whole };
    Kind kind = Kind::Incomplete;
    std::string method;
    std::string target;
    std::string body;
    /// Whether the head says where the body ends.
    bool hasFraming = false;
    /// The request's bytes.
    std::size_t length = 0;
};

/// A plain model of RFC 9112, sections 2 to 7, written for tests only. It shares no code with RequestReader. Without the limits of lengths.
class RequestModel
{
public:
    static ModelRequest read(const std::string &bytes)
    {
        RequestModel model(bytes);
        ModelRequest request;
        request.kind = model.readAll(request);
        request.length = model.m_at;
        return request;
    }

private:
    using Kind = ModelRequest::Kind;

    explicit RequestModel(const std::string &bytes)
        : m_bytes(bytes)
    {
    }

    static bool in(const std::string &set, char byte)
    {
        return set.find(byte) != std::string::npos;
    }
    static std::string letters()
    {
        return "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
    }
    static bool consistsOf(const std::string &text, const std::string &set)
    {
        return std::all_of(text.begin(), text.end(), [&set](char byte) { return in(set, byte); });
    }
    /// RFC 9110, 5.6.2: token = 1*tchar.
    static bool isToken(const std::string &text)
    {
        return !text.empty() && consistsOf(text, "!#$%&'*+-.^_`|~0123456789" + letters());
    }
    /// RFC 9110, 5.5: field-vchar, SP and HTAB.
    static bool isValue(const std::string &text)
    {
        return std::all_of(text.begin(), text.end(), [](char byte) {
            const int value = static_cast<unsigned char>(byte);
            return value == 9 || (value >= 32 && value != 127);
        });
    }
    static std::string lower(std::string text)
    {
        for (char &byte : text) {
            if (byte >= 'A' && byte <= 'Z') {
                byte = static_cast<char>(byte - 'A' + 'a');
            }
        }
        return text;
    }
    static std::string strip(std::string text)
    {
        while (!text.empty() && in(" \t", text.front())) {
            text.erase(0, 1);
        }
        while (!text.empty() && in(" \t", text.back())) {
            text.pop_back();
        }
        return text;
    }

    /// A line without its CRLF; none if it isn't complete. A line that ends otherwise is bad.
    std::optional<std::string> line()
    {
        const std::size_t end = m_bytes.find('\n', m_at);
        if (end == std::string::npos) {
            return {};
        }
        std::string text = m_bytes.substr(m_at, end - m_at);
        m_at = end + 1;
        if (text.empty() || text.back() != '\r') {
            return "\n";
        }
        text.pop_back();
        return text;
    }

    Kind readAll(ModelRequest &request)
    {
        // 2.2: a server should ignore an empty line before a request line.
        std::optional<std::string> first = line();
        for (int empty = 0; first && first->empty() && empty < 2; ++empty) {
            first = line();
        }
        if (!first) {
            return Kind::Incomplete;
        }
        // 3: method SP request-target SP HTTP-version.
        const std::size_t one = first->find(' ');
        const std::size_t two = one == std::string::npos ? one : first->find(' ', one + 1);
        if (two == std::string::npos) {
            return Kind::Refused;
        }
        request.method = first->substr(0, one);
        const std::string target = first->substr(one + 1, two - one - 1);
        const std::string version = first->substr(two + 1);
        if (!isToken(request.method) || version.size() != 8 || version.substr(0, 7) != "HTTP/1." || !in("0123456789", version[7])) {
            return Kind::Refused;
        }
        std::string authority;
        if (!readTarget(request, target, authority)) {
            return Kind::Refused;
        }
        // 5: fields until an empty line.
        std::vector<std::string> hosts;
        std::vector<std::string> lengths;
        std::vector<std::string> encodings;
        for (;;) {
            const auto field = line();
            if (!field) {
                return Kind::Incomplete;
            }
            if (field->empty()) {
                break;
            }
            const std::size_t colon = field->find(':');
            if (colon == std::string::npos || !isToken(field->substr(0, colon)) || !isValue(field->substr(colon + 1))) {
                return Kind::Refused;
            }
            const std::string name = lower(field->substr(0, colon));
            const std::string value = strip(field->substr(colon + 1));
            (name == "host" ? hosts : name == "content-length" ? lengths : name == "transfer-encoding" ? encodings : m_others).push_back(value);
            const bool isHost = hosts.empty() || consistsOf(hosts.back(), "-._~!$&'()*+,;=:[]%0123456789" + letters());
            const bool isLength = lengths.empty() || (!lengths.back().empty() && lengths.back().size() <= 18 && consistsOf(lengths.back(), "0123456789"));
            const bool isEncoding = encodings.empty() || (lower(encodings.back()) == "chunked" && version != "HTTP/1.0");
            if (!isHost || !isLength || !isEncoding || hosts.size() > 1 || lengths.size() + encodings.size() > 1) {
                return Kind::Refused;
            }
        }
        if ((hosts.empty() && version != "HTTP/1.0") || (!authority.empty() && lower(authority) != lower(hosts.empty() ? "" : hosts[0]))) {
            return Kind::Refused;
        }
        request.hasFraming = lengths.size() + encodings.size() == 1;
        if (!encodings.empty()) {
            return readChunks(request);
        }
        const std::uint64_t length = lengths.empty() ? 0 : std::stoull(lengths[0]);
        if (length > (4U << 20)) {
            return Kind::Refused;
        }
        if (m_bytes.size() - m_at < length) {
            return Kind::Incomplete;
        }
        request.body = m_bytes.substr(m_at, length);
        m_at += length;
        return Kind::Whole;
    }

    /// 3.2.
    static bool readTarget(ModelRequest &request, const std::string &target, std::string &authority)
    {
        const bool hasBadBytes
            = std::any_of(target.begin(), target.end(), [](char byte) { return static_cast<unsigned char>(byte) <= 32 || byte == 127 || byte == '#'; });
        if (target.empty() || hasBadBytes || request.method == "CONNECT") {
            return false;
        }
        request.target = target;
        if (target[0] == '/') {
            return true;
        }
        if (target == "*") {
            return request.method == "OPTIONS";
        }
        const std::string scheme = lower(target.substr(0, target.find("://")));
        if (target.find("://") == std::string::npos || (scheme != "http" && scheme != "https")) {
            return false;
        }
        const std::string rest = target.substr(scheme.size() + 3);
        authority = rest.substr(0, rest.find_first_of("/?"));
        request.target = rest.substr(authority.size());
        if (request.target.empty() || request.target[0] != '/') {
            request.target = "/" + request.target;
        }
        return !authority.empty();
    }

    /// 7.1.
    Kind readChunks(ModelRequest &request)
    {
        for (;;) {
            const std::size_t begin = m_at;
            const auto text = line();
            if (!text) {
                return isChunkBegin(m_bytes.substr(begin)) ? Kind::Incomplete : Kind::Refused;
            }
            const std::size_t digits = std::min(text->find_first_not_of("0123456789abcdefABCDEF"), text->size());
            const std::string extension = strip(text->substr(digits));
            const bool hasExtension = digits < text->size();
            if (digits == 0 || digits > 15 || !isValue(*text) || (hasExtension && (extension.empty() || extension[0] != ';'))) {
                return Kind::Refused;
            }
            const std::uint64_t size = std::stoull(text->substr(0, digits), nullptr, 16);
            if (size + request.body.size() > (4U << 20)) {
                return Kind::Refused;
            }
            if (size == 0) {
                return readTrailer();
            }
            const std::string data = m_bytes.substr(m_at, size);
            m_at += data.size();
            request.body += data;
            if (data.size() < size) {
                return Kind::Incomplete;
            }
            const std::string end = m_bytes.substr(m_at, 2);
            if (end != std::string("\r\n").substr(0, end.size())) {
                return Kind::Refused;
            }
            if (end.size() < 2) {
                return Kind::Incomplete;
            }
            m_at += 2;
        }
    }

    /// Whether the bytes may still become the line of a chunk's size.
    static bool isChunkBegin(const std::string &text)
    {
        const std::size_t digits = std::min(text.find_first_not_of("0123456789abcdefABCDEF"), text.size());
        std::string rest = text.substr(digits);
        if (digits > 15 || (digits == 0 && !rest.empty())) {
            return false;
        }
        const bool endsWithCr = !rest.empty() && rest.back() == '\r';
        if (endsWithCr) {
            rest.pop_back();
        }
        const std::string extension = strip(rest);
        const bool isExtension = extension.empty() ? rest.empty() || !endsWithCr : extension[0] == ';';
        return isExtension && isValue(rest);
    }

    Kind readTrailer()
    {
        for (;;) {
            const std::size_t begin = m_at;
            const auto field = line();
            if (!field) {
                std::string text = m_bytes.substr(begin);
                const bool endsWithCr = !text.empty() && text.back() == '\r';
                if (endsWithCr) {
                    text.pop_back();
                }
                const std::size_t colon = text.find(':');
                const bool isName = colon == std::string::npos ? text.empty() || (isToken(text) && !endsWithCr) : isToken(text.substr(0, colon));
                return isName && isValue(text) ? Kind::Incomplete : Kind::Refused;
            }
            if (field->empty()) {
                return Kind::Whole;
            }
            const std::size_t colon = field->find(':');
            if (colon == std::string::npos || !isToken(field->substr(0, colon)) || !isValue(*field)) {
                return Kind::Refused;
            }
        }
    }

    const std::string &m_bytes;
    std::size_t m_at = 0;
    std::vector<std::string> m_others;
};

}
