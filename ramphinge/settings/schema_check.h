// Checks JSON against one of the schemas in schema/. Each finding has the JSON pointer of the wrong
// value and says how to correct it.

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

// Returns every violation of `schemaText`; empty if the document conforms.
Findings checkAgainstSchema(const nlohmann::json &document, const char *schemaText);

// Returns all findings as one InvalidInput error with a line for each.
Error toError(const Findings &findings);

} // namespace ramphinge
