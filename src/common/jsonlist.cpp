#include "common/jsonlist.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

constexpr std::string_view Space = " \t\r\n";
/// After a value that does not end, the text is read again from the next entry on: this many times the text's length in all.
constexpr std::size_t MaxReadings = 16;

class Splitter
{
public:
    Splitter(std::string_view text, std::string_view listName)
        : m_text(text)
        , m_listName(listName)
    {
    }

    std::optional<JsonList> split()
    {
        if (!take('{') || !takeMembers(List::Expected)) {
            return {};
        }
        return std::move(m_list);
    }

private:
    enum class List { Expected, Taken };

    void skipSpace()
    {
        m_at = std::min(m_text.find_first_not_of(Space, m_at), m_text.size());
    }

    bool take(char byte)
    {
        const bool found = isBefore(byte);
        m_at += found ? 1 : 0;
        return found;
    }

    bool isBefore(char byte)
    {
        skipSpace();
        return m_at < m_text.size() && m_text[m_at] == byte;
    }

    /// Returns the position of the quote that ends the string; the end of the text if there is none.
    std::size_t endOfString(std::size_t begin) const
    {
        std::size_t at = begin + 1;
        while (at < m_text.size() && m_text[at] != '"') {
            at += m_text[at] == '\\' ? 2 : 1;
        }
        return std::min(at, m_text.size());
    }

    /// Takes the bytes up to the comma or bracket that follows a value. Fails if the text ends before, or brackets do not match.
    std::optional<std::string_view> takeValue()
    {
        skipSpace();
        const std::size_t begin = m_at;
        m_openBrackets.clear();
        for (; m_at < m_text.size(); ++m_at) {
            const char byte = m_text[m_at];
            const bool isClosing = byte == '}' || byte == ']';
            if ((isClosing || byte == ',') && m_openBrackets.empty()) {
                return m_text.substr(begin, m_at - begin);
            }
            if (byte == '"') {
                m_at = endOfString(m_at);
            } else if (byte == '{' || byte == '[') {
                m_openBrackets.push_back(byte == '{' ? '}' : ']');
            } else if (isClosing) {
                if (m_openBrackets.back() != byte) {
                    return {};
                }
                m_openBrackets.pop_back();
            }
        }
        return {};
    }

    /// Takes the members up to the end of the object, which ends the text. The list is taken once.
    bool takeMembers(List list)
    {
        do {
            skipSpace();
            const std::size_t nameBegin = m_at;
            if (!take('"')) {
                return false;
            }
            m_at = endOfString(nameBegin);
            const std::string_view name = m_text.substr(nameBegin + 1, m_at - nameBegin - 1);
            if (!take('"') || !take(':')) {
                return false;
            }
            if (name == m_listName) {
                return list == List::Expected && take('[') && takeEntries();
            }
            const std::optional<std::string_view> value = takeValue();
            if (!value || m_list.members.size() == JsonList::MaxMembers) {
                return false;
            }
            m_list.members.push_back({.name = name, .value = *value});
        } while (take(','));
        return list == List::Taken && takeEnd();
    }

    bool takeEnd()
    {
        const bool hasBracket = take('}');
        skipSpace();
        return hasBracket && m_at == m_text.size();
    }

    /// Takes what follows the list's bracket. On failure nothing is taken: the bracket does not end the list.
    bool takeRest()
    {
        const std::size_t begin = m_at;
        const std::size_t memberCount = m_list.members.size();
        if (take(',') ? takeMembers(List::Taken) : !m_hasSkipped && takeEnd()) {
            return true;
        }
        m_bytesRead += std::min(m_at, m_text.size()) - begin;
        m_at = begin;
        m_list.members.resize(memberCount);
        return false;
    }

    bool takeEntries()
    {
        while (m_list.entries.size() < JsonList::MaxEntries && m_bytesRead <= MaxReadings * m_text.size()) {
            const std::size_t begin = m_at;
            const std::optional<std::string_view> entry = takeValue();
            const char next = entry ? m_text[m_at] : '\0';
            if (next == ',') {
                m_list.entries.push_back(*entry);
                ++m_at;
                continue;
            }
            if (next == ']') {
                ++m_at;
                if (takeRest()) {
                    if (!entry->empty() || !m_list.entries.empty()) {
                        m_list.entries.push_back(*entry);
                    }
                    return true;
                }
            }
            m_bytesRead += std::min(m_at, m_text.size()) - begin;
            m_hasSkipped = true;
            switch (skipEntry(begin)) {
            case Skipped::BeforeEntry:
                break;
            case Skipped::BeforeEnd:
                return true;
            case Skipped::Nothing:
                return false;
            }
        }
        return false;
    }

    enum class Skipped { BeforeEntry, BeforeEnd, Nothing };

    /// Takes as an entry the bytes up to the next comma before a "{", or up to a bracket after which the object ends properly.
    Skipped skipEntry(std::size_t begin)
    {
        for (std::size_t end = m_text.find_first_of(",]", begin); end != std::string_view::npos; end = m_text.find_first_of(",]", end + 1)) {
            m_at = end + 1;
            const bool endsList = m_text[end] == ']';
            if (endsList ? !takeRest() : !isBefore('{')) {
                if (m_bytesRead > MaxReadings * m_text.size()) {
                    return Skipped::Nothing;
                }
                continue;
            }
            m_list.entries.push_back(m_text.substr(begin, end - begin));
            return endsList ? Skipped::BeforeEnd : Skipped::BeforeEntry;
        }
        return Skipped::Nothing;
    }

    const std::string_view m_text;
    const std::string_view m_listName;
    std::size_t m_at = 0;
    /// Of values that did not end.
    std::size_t m_bytesRead = 0;
    /// Whether an entry did not end by itself. Then only a member behind it shows the list's end: the brackets may be those of a text that was cut off.
    bool m_hasSkipped = false;
    /// The closing brackets that are due.
    std::vector<char> m_openBrackets;
    JsonList m_list;
};

}

std::optional<std::string_view> JsonList::member(std::string_view name) const
{
    const auto isNamed = [name](const Member &member) { return member.name == name; };
    const auto found = std::ranges::find_if(members, isNamed);
    return std::ranges::count_if(members, isNamed) == 1 ? std::optional(found->value) : std::nullopt;
}

std::optional<JsonList> splitJsonList(std::string_view text, std::string_view listName)
{
    return Splitter(text, listName).split();
}

}
