#include "upstream/httpgrammar.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace cumindyke
{

namespace
{

/// A longer one might not fit into 64 bits.
constexpr std::size_t MaxLengthDigits = 18;
constexpr std::size_t ByteValues = 256;

constexpr std::array<bool, ByteValues> makeTokenBytes()
{
    std::array<bool, ByteValues> bytes{};
    for (const char byte : std::string_view("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")) {
        bytes[static_cast<unsigned char>(byte)] = true;
    }
    return bytes;
}

constexpr std::array<bool, ByteValues> TokenBytes = makeTokenBytes();

bool isDigit(char byte)
{
    return byte >= '0' && byte <= '9';
}

}

bool isTokenByte(char byte)
{
    return TokenBytes[static_cast<unsigned char>(byte)];
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, isTokenByte);
}

bool isControlByte(char byte)
{
    return (static_cast<unsigned char>(byte) < ' ' && byte != '\t') || byte == '\x7f';
}

bool hasControlBytes(std::string_view text)
{
    return std::ranges::any_of(text, isControlByte);
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    const std::size_t end = text.find_last_not_of(" \t");
    return begin == std::string_view::npos ? std::string_view() : text.substr(begin, end - begin + 1);
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    const auto lower = [](char byte) { return byte >= 'A' && byte <= 'Z' ? static_cast<char>(byte + ('a' - 'A')) : byte; };
    return std::ranges::equal(left, right, [lower](char a, char b) { return lower(a) == lower(b); });
}

std::optional<FieldLine> parseFieldLine(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)) || hasControlBytes(line)) {
        return {};
    }
    return FieldLine{.name = line.substr(0, colon), .value = trimmed(line.substr(colon + 1))};
}

std::optional<std::uint64_t> parseContentLength(std::string_view value)
{
    if (value.empty() || value.size() > MaxLengthDigits || !std::ranges::all_of(value, isDigit)) {
        return {};
    }
    std::uint64_t length = 0;
    std::from_chars(value.data(), value.data() + value.size(), length);
    return length;
}

}
