#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cumindyke
{

/// The parts of HTTP's grammar (RFC 9110, 5 and 8.6) that requests and answers have in common.

/// RFC 9110, 5.6.2.
bool isTokenByte(char byte);
bool isToken(std::string_view text);
/// Whether the text has bytes that no field value may have: controls other than the tab.
bool isControlByte(char byte);
bool hasControlBytes(std::string_view text);
/// The text without spaces and tabs at its ends.
std::string_view trimmed(std::string_view text);
bool equalsIgnoringCase(std::string_view left, std::string_view right);

struct FieldLine
{
    std::string_view name;
    /// Trimmed.
    std::string_view value;
};
/// Parses a line without its end; none: its name is no token, it has control bytes, or it continues the line before.
std::optional<FieldLine> parseFieldLine(std::string_view line);

/// Parses a Content-Length: digits only, and none that could exceed 64 bits.
std::optional<std::uint64_t> parseContentLength(std::string_view value);

}
