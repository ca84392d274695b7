#include "entry/requesttraits.h"

#include "common/hash.h"
#include "common/jsondepth.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>

namespace cumindyke
{

namespace
{

constexpr std::size_t MaxPartIdBytes = 64;
/// Prompts with the same leading bytes share them as a part.
constexpr std::size_t LeadingBytes = 256;

RequestTrait partTrait(std::string_view service, std::string_view part)
{
    return RequestTrait{secureHash({"part", service, part})};
}

/// Appends the part unless it is known or one too many.
void appendPart(std::vector<RequestTrait> &parts, RequestTrait part)
{
    if (parts.size() < MaxPromptParts && std::ranges::find(parts, part) == parts.end()) {
        parts.push_back(part);
    }
}

std::vector<RequestTrait> parsePartList(std::string_view service, std::string_view list)
{
    std::vector<RequestTrait> parts;
    // What follows the last comma is the request's own part.
    for (std::size_t comma = list.find(','); comma != std::string_view::npos; comma = list.find(',')) {
        std::string id(list.substr(0, std::min(comma, list.find(':'))));
        list.remove_prefix(comma + 1);
        std::erase(id, ' ');
        std::ranges::transform(id, id.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const bool isHexadecimal = std::ranges::all_of(id, [](unsigned char c) { return std::isxdigit(c) != 0; });
        if (!id.empty() && id.size() <= MaxPartIdBytes && isHexadecimal) {
            appendPart(parts, partTrait(service, id));
        }
    }
    return parts;
}

std::vector<RequestTrait> parseCompletionBody(std::string_view service, std::string_view text)
{
    std::vector<RequestTrait> parts;
    if (exceedsMaxDepth(text)) {
        return parts;
    }
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return parts;
    }
    if (body.contains("prompt") && body["prompt"].is_string()) {
        const std::string prompt = body["prompt"].get<std::string>();
        if (prompt.size() > LeadingBytes) {
            appendPart(parts, partTrait(service, std::string_view(prompt).substr(0, LeadingBytes)));
        }
        return parts;
    }
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()) {
        return parts;
    }
    const nlohmann::json &messages = body["messages"];
    for (std::size_t i = 0; i + 1 < messages.size(); ++i) {
        appendPart(parts, partTrait(service, messages[i].dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
    }
    return parts;
}

}

bool RequestTraits::hasPart(RequestTrait part) const
{
    return std::ranges::find(parts, part) != parts.end();
}

std::vector<RequestTrait> parsePromptParts(std::string_view service, PromptFormat format, std::string_view prompt)
{
    switch (format) {
    case PromptFormat::None:
        return {};
    case PromptFormat::PartList:
        return parsePartList(service, prompt);
    case PromptFormat::CompletionBody:
        return parseCompletionBody(service, prompt);
    }
    return {};
}

RequestTrait organisationTrait(std::string_view organisation)
{
    return RequestTrait{secureHash({"organisation", organisation})};
}

std::string toString(const std::vector<RequestTrait> &traits)
{
    std::string text;
    for (const RequestTrait trait : traits) {
        text += (text.empty() ? "" : ",") + toString(trait);
    }
    return text;
}

}
