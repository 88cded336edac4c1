// The command about servers that limit their rate, asked for no requests or leave, on a platform:
// it asks daemons at their metrics addresses.

#pragma once

#include <ostream>
#include <string>

#include <nlohmann/json.hpp>

#include "ramphinge/base/result.h"

namespace ramphinge {

// By daemon's address, the servers that said such a thing to it. `daemons`: "address:port", with
// commas between. Errors: InvalidInput for addresses that can't be read; what asking a daemon fails
// with.
Result<nlohmann::json> statingServers(const std::string &daemons);

// A line a server and daemon.
void printStatingServers(const nlohmann::json &byDaemon, std::ostream &out);

} // namespace ramphinge
