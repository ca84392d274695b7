#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// The only right content of the faulty upstream's answers, so that a caller can check that an answer is its own, whole and in order.
namespace cumindyke::test
{

/// The line of a plain answer, or the event of a stream, with this number; the first one has number 1.
inline std::string contentPart(bool isStream, const std::string &id, int number, int count)
{
    const std::string text = id + " part " + std::to_string(number) + " of " + std::to_string(count) + "\n";
    return isStream ? "id: " + std::to_string(number) + "\ndata: " + text + "\n" : text;
}

/// The content from the part "first" on.
inline std::string contentOf(bool isStream, const std::string &id, int count, int first = 1)
{
    std::string content;
    for (int number = first; number <= count; ++number) {
        content += contentPart(isStream, id, number, count);
    }
    return content;
}

/// Length and hash (FNV-1a) of a request's body.
inline std::string digestOf(std::string_view body)
{
    std::uint64_t hash = 14695981039346656037U;
    for (const char byte : body) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 1099511628211U;
    }
    return std::to_string(body.size()) + ":" + std::to_string(hash);
}

}
