// JSON texts from outside the process.

#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "ramphinge/base/result.h"

namespace ramphinge {

// Maximum nesting depth of a document. Copying 64 nested objects takes 9 KB of stack with
// nlohmann-json 3.11.
constexpr std::size_t maxJsonDepth = 64;

// Errors: InvalidInput with line and column, or that the document nests too deep.
Result<nlohmann::json> parseJson(const std::string &text);

} // namespace ramphinge
