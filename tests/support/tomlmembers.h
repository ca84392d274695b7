#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace cumindyke::test
{

/// A line "key = value" of a TOML document that is made of such lines and headers of tables.
struct TomlMember
{
    std::string key;
    std::string value;
    std::size_t begin = 0;
    std::size_t end = 0;
};

inline std::vector<TomlMember> membersOf(std::string_view document)
{
    std::vector<TomlMember> members;
    for (std::size_t begin = 0; begin < document.size();) {
        const std::size_t end = std::min(document.find('\n', begin), document.size() - 1) + 1;
        const std::string_view line = document.substr(begin, end - begin - 1);
        if (const std::size_t equals = line.find(" = "); equals != std::string_view::npos) {
            members.push_back({.key = std::string(line.substr(0, equals)), .value = std::string(line.substr(equals + 3)), .begin = begin, .end = end});
        }
        begin = end;
    }
    return members;
}

inline std::string withValue(std::string_view document, const TomlMember &member, const std::string &value)
{
    return std::string(document.substr(0, member.begin)) + member.key + " = " + value + "\n" + std::string(document.substr(member.end));
}

inline std::string without(std::string_view document, const TomlMember &member)
{
    return std::string(document.substr(0, member.begin)) + std::string(document.substr(member.end));
}

/// Values of each type other than the given one's, and lists and numbers that no member may have.
inline std::vector<std::string> valuesOfOtherTypes(const std::string &value)
{
    const bool isText = value.starts_with('"');
    const bool isList = value.starts_with('[');
    const bool isFlag = value == "true" || value == "false";
    std::vector<std::string> values{"{}", "{ name = 1 }", "1979-05-27", "07:32:00", "[[]]", "[{}]", "[1]", "[true]", "nan", "inf", "-inf", "1e300"};
    if (!isText) {
        values.insert(values.end(), {"\"\"", "\"17\"", "\"true\""});
    }
    if (!isList) {
        values.insert(values.end(), {"[]", "[" + value + "]"});
    }
    if (!isFlag) {
        values.insert(values.end(), {"true", "false"});
    }
    if (isText || isList || isFlag) {
        values.insert(values.end(), {"0", "1", "0.5"});
    } else {
        values.insert(values.end(), {"-1", "99999999999999"});
    }
    return values;
}

}
