// The daemon on a platform that hands out servers and configuration: joins the libraries, runs the
// event loop, stops gracefully.

#pragma once

#include <string>

#include "ramphinge/settings/fleet_settings.h"

namespace ramphinge {

// Call once, and end the process after it returns. Runs until a signal ends it. `settingsPath` is
// read again on SIGHUP and when the file changes. Errors: Unavailable if an address can't be bound.
Status runFleetDaemon(const FleetSettings &settings, const std::string &settingsPath);

} // namespace ramphinge
