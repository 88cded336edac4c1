// The command about servers that limit their rate, on a platform: it asks daemons at their metrics
// addresses.

#pragma once

#include <ostream>
#include <string>

#include <nlohmann/json.hpp>

#include "ramphinge/base/result.h"

namespace ramphinge {

// By daemon's address, the limits that it knows. `daemons`: "address:port", with commas between.
// Errors: InvalidInput for addresses that can't be read; what asking a daemon fails with.
Result<nlohmann::json> limitedServers(const std::string &daemons);

// A line a server and daemon.
void printLimitedServers(const nlohmann::json &byDaemon, std::ostream &out);

} // namespace ramphinge
