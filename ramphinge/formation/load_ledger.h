// The loads from the weight store that are in progress, as the planner writes them down before it
// orders them. The next planner reads them, and so keeps to the weight store's rate without waiting
// until loads that it knows nothing of would be over.

#pragma once

#include <map>
#include <string>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"

namespace ramphinge {

using LoadLedger = std::map<HostId, ModelId>; // Which model each server loads.

std::string serializeLoads(const LoadLedger &loads);

// Errors: InvalidInput.
Result<LoadLedger> parseLoads(const std::string &text);

} // namespace ramphinge
