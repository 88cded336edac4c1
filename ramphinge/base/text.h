// Comparison of texts whose letters' case does not matter, such as names of HTTP fields.

#pragma once

#include <string_view>

#include <strings.h>

namespace ramphinge {

// Whether both are the same but for the case of ASCII letters.
inline bool sameIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace ramphinge
