#include "proxy/headerfields.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace cumindyke
{

namespace
{

constexpr std::array<std::string_view, 10>
    HopHeaders{"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "expect"};

}

std::string toLower(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

bool isHopHeader(std::string_view name)
{
    return std::ranges::find(HopHeaders, toLower(name)) != HopHeaders.end();
}

const std::string *headerOf(const AnswerHead &head, std::string_view name)
{
    const std::string wanted = toLower(name);
    for (const auto &[key, value] : head.headers) {
        if (toLower(key) == wanted) {
            return &value;
        }
    }
    return nullptr;
}

bool hasEvents(const AnswerHead &head)
{
    return head.contentType.empty() || toLower(head.contentType).starts_with("text/event-stream");
}

bool isSuccess(const AnswerHead &head)
{
    constexpr int FirstSuccess = 200;
    constexpr int FirstRedirect = 300;
    return head.status >= FirstSuccess && head.status < FirstRedirect;
}

}
