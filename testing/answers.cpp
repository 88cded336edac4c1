// The stand-in engine's answers: see answers.h.

#include "testing/answers.h"

#include "ramphinge/base/hash.h"

namespace ramphinge {

std::string answerToken(std::string_view prompt, std::int64_t position)
{
    return "w" + std::to_string(stableHash(prompt, static_cast<std::uint64_t>(position)) % 10'000)
        + " ";
}

std::string answerText(std::string_view prompt, std::int64_t first, std::int64_t last)
{
    std::string text;
    for (std::int64_t position = first; position <= last; ++position)
        text += answerToken(prompt, position);
    return text;
}

} // namespace ramphinge
