#include "common/jsondepth.h"

#include <cstddef>

namespace cumindyke
{

bool exceedsMaxDepth(std::string_view text)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            i += c == '\\' ? 1 : 0;
            inString = c != '"';
            continue;
        }
        inString = c == '"';
        depth += (c == '[' || c == '{') ? 1 : 0;
        depth -= (c == ']' || c == '}') ? 1 : 0;
        if (depth > MaxJsonDepth) {
            return true;
        }
    }
    return false;
}

}
