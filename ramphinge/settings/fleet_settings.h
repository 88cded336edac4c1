// Settings of a daemon that runs on a platform which hands out servers and configuration:
// addresses, limits of the machine, and the bounds that the operators have set.

#pragma once

#include <optional>
#include <string>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

// Field by field as in schema/fleet-settings.schema.json.
struct FleetSettings
{
    DaemonId daemon;
    ZoneId zone;
    Endpoint callers;
    Endpoint readiness;
    std::optional<Endpoint> metrics;
    Endpoint store;
    std::optional<Endpoint> links; // Where other daemons link up.
    double processorShare = 1; // Part of a processor that the machine has.
    int relaysFrom = 8; // Daemons of a zone from which it has relays.
    int fileDescriptors = 1024;
    Duration stopGrace = std::chrono::seconds(8); // From SIGTERM to SIGKILL.
    // A key that was taken away may be accepted for so long by a daemon that is cut off.
    std::optional<Duration> keyRevocation;
    // By when a change of the configuration must be in force.
    Duration changeInForce = std::chrono::seconds(2);
    // By when a server that says that it leaves must get no more requests.
    Duration leaveInForce = std::chrono::seconds(2);
    // How often upstream servers renew their entries; one lapses after three.
    Duration serverHeartbeat = std::chrono::milliseconds(1200);
    // A daemon whose ways have been sound for so long must know every change in time again.
    Duration connectivityGrace = std::chrono::seconds(3);
    double retryRatio = 0.2;
    double retrySlack = 10;
    Duration retryWindow = std::chrono::seconds(10);
    Duration loadWindow = std::chrono::seconds(5); // Over which loads of weights are limited.
    std::string logLevel = "info";
};

// Whether the document is for this kind of daemon.
bool isFleetSettings(const std::string &text);

// Errors: InvalidInput with a line for each finding.
Result<FleetSettings> parseFleetSettings(const std::string &text);

} // namespace ramphinge
