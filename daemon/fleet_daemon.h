// The daemon on a platform that provides servers and configuration: wires the libraries together,
// runs the event loop and shuts down gracefully.

#pragma once

#include <string>

#include "ramphinge/settings/fleet_settings.h"

namespace ramphinge {

// Runs until SIGTERM or SIGINT; call it once and end the process when it returns. Reloads
// `settingsPath` on SIGHUP and when the file changes. Errors: Unavailable if an address can't be
// bound.
Status runFleetDaemon(const FleetSettings &settings, const std::string &settingsPath);

} // namespace ramphinge
