// JSON texts from outside the process: see json.h.

#include "ramphinge/base/json.h"

#include <nlohmann/json.hpp>

namespace ramphinge {

namespace {

// Whether arrays and objects nest deeper than maxJsonDepth; works on any text, also if it isn't
// valid JSON.
bool isTooDeep(const std::string &text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString && c == '\\')
            ++i;
        else if (c == '"')
            inString = !inString;
        else if (!inString && (c == '[' || c == '{') && ++depth > maxJsonDepth)
            return true;
        else if (!inString && (c == ']' || c == '}') && depth > 0)
            --depth;
    }
    return false;
}

} // namespace

Result<nlohmann::json> parseJson(const std::string &text)
{
    // Copying, writing and checking a document recurse to its depth, on a coroutine's 64 KB stack.
    if (isTooDeep(text))
        return Error(ErrorKind::InvalidInput,
                     "this JSON nests deeper than " + std::to_string(maxJsonDepth) + " levels");
    try {
        return nlohmann::json::parse(text);
    } catch (const std::exception &e) { // Numbers out of range are no parse_error.
        return Error(ErrorKind::InvalidInput, std::string("this is no JSON: ") + e.what());
    }
}

} // namespace ramphinge
