#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace cumindyke
{

/// A JSON object that holds a list, as bytes of the text that it was split from.
struct JsonList
{
    /// No list of this system is longer; a longer one is not split.
    static constexpr std::size_t MaxEntries = 100'000;
    static constexpr std::size_t MaxMembers = 64;

    struct Member
    {
        std::string_view name;
        std::string_view value;
    };

    /// Each may be anything, also no JSON at all.
    std::vector<std::string_view> entries;
    /// The object's members beside the list.
    std::vector<Member> members;

    /// The value of a member; none: it is missing, or there are several.
    std::optional<std::string_view> member(std::string_view name) const;
};

/// Splits the text by its strings and brackets alone, so that an entry that no JSON parser accepts does not hide the others. An entry whose brackets or
/// quotes do not match ends before the next entry that begins with "{", or before the end of a list that another member follows. Iterative; time and memory are
/// linear in the text. Returns nothing if the end of the list or of the object can't be found, as in a text that was cut off.
std::optional<JsonList> splitJsonList(std::string_view text, std::string_view listName);

}
