// The command that lists servers which limit their rate, asked for a backoff or are leaving. It
// asks the daemons, at their metrics addresses.

#pragma once

#include <ostream>
#include <string>

#include <nlohmann/json.hpp>

#include "ramphinge/base/result.h"

namespace ramphinge {

// The servers that announced something of the kind, keyed by the address of the daemon that knows
// it. `daemons`: comma-separated "address:port". Errors: InvalidInput if an address is malformed;
// the error of the first daemon that can't be asked.
Result<nlohmann::json> fetchServerStates(const std::string &daemons);

// Prints one line per daemon and server.
void printServerStates(const nlohmann::json &byDaemon, std::ostream &out);

} // namespace ramphinge
