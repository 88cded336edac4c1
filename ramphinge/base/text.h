// String functions, for example for HTTP headers.

#pragma once

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string>
#include <string_view>

#include <strings.h>

namespace ramphinge {

// Whether the strings are equal, ignoring the case of ASCII letters.
inline bool sameIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

// `text` without leading and trailing spaces.
inline std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ')
        text.remove_suffix(1);
    return text;
}

// `text` with ASCII letters in lower case.
inline std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return lower;
}

// A decimal number without a sign or an exponent, which may have spaces around it.
inline std::optional<double> parseDecimal(std::string_view text)
{
    text = trimmed(text);
    double number = 0;
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, std::chars_format::fixed);
    const bool isDecimal = parsed.ec == std::errc() && parsed.ptr == end && std::isfinite(number)
        && !std::signbit(number);
    return isDecimal ? std::optional<double>(number) : std::nullopt;
}

} // namespace ramphinge
