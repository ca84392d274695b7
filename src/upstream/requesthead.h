#pragma once

#include <algorithm>
#include <string>
#include <string_view>

namespace cumindyke
{

/// Whether the text can stand in a request's head without ending its line.
inline bool isSafeInHead(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

/// Whether the text can stand as the target in a request line: a path without blanks and control bytes.
inline bool isRequestTarget(std::string_view text)
{
    return text.starts_with('/') && std::ranges::all_of(text, [](unsigned char byte) { return byte > ' ' && byte != 0x7f; });
}

/// Leaves the header out if its value, which may come from a list or a caller, would end the line.
inline void appendHeader(std::string &head, std::string_view name, std::string_view value)
{
    if (isSafeInHead(name) && isSafeInHead(value)) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
}

}
