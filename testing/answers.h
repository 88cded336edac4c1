// The answers that the stand-in engine gives: a function of the prompt alone, so that a client can
// tell whether it got the whole answer to its own request, and a resumed stream continues the same.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ramphinge {

// Token `position` (from 1) of the answer to `prompt`.
std::string answerToken(std::string_view prompt, std::int64_t position);

// Tokens first..last, concatenated.
std::string answerText(std::string_view prompt, std::int64_t first, std::int64_t last);

} // namespace ramphinge
