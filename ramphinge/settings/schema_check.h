// Checks JSON against one of the product's schemas. Each finding names the place by its JSON
// pointer and says what would be right.

#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "ramphinge/base/result.h"

namespace ramphinge {

extern const char *const settingsSchemaText;
extern const char *const configurationSchemaText;
extern const char *const fleetSettingsSchemaText;

struct Finding
{
    std::string pointer; // JSON pointer to the wrong value; empty is the whole document.
    std::string message; // What is wrong and what to do.
};

using Findings = std::vector<Finding>;

// Every violation of `schemaText`; none if the document fits.
Findings checkAgainstSchema(const nlohmann::json &document, const char *schemaText);

// All findings as one InvalidInput error, a line each.
Error toError(const Findings &findings);

// Lists and objects in each other that a document may have. With nlohmann-json 3.11, to copy 64
// objects takes 9 KB of the stack.
constexpr std::size_t deepestJson = 64;

// Parses JSON text; the error names line and column, or says that it nests too deep.
Result<nlohmann::json> parseJson(const std::string &text);

} // namespace ramphinge
