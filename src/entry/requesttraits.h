#pragma once

#include "common/types.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cumindyke
{

/// How a text names the parts of a prompt.
enum class PromptFormat {
    None, ///< the request has no prompt
    PartList, ///< "ID:TOKENS,ID:TOKENS,...", IDs in hexadecimal
    CompletionBody, ///< the JSON body of a completion
};

/// What a request has in common with others, and what may be the reason that an upstream ends under them.
struct RequestTraits
{
    /// The parts of its prompt that other requests may share, without repetition: all but the last, which belongs to the request alone.
    std::vector<RequestTrait> parts;
    /// The caller's organisation; none: it is not known.
    std::optional<RequestTrait> organisation;

    bool hasPart(RequestTrait part) const;
    bool has(RequestTrait trait) const
    {
        return trait == organisation || hasPart(trait);
    }
};

/// Further parts of a prompt are not looked at.
constexpr std::size_t MaxPromptParts = 16;

/// Returns the parts of a prompt for a service. What can't be parsed names no part.
std::vector<RequestTrait> parsePromptParts(std::string_view service, PromptFormat format, std::string_view prompt);

/// Returns the trait that all requests of the organisation have.
RequestTrait organisationTrait(std::string_view organisation);

/// Returns the traits, separated by commas, for logs.
std::string toString(const std::vector<RequestTrait> &traits);

}
