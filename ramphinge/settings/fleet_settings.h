// Settings of a daemon that gets its servers and configuration from a platform: addresses, limits
// of the machine, and the bounds that operators set.

#pragma once

#include <optional>
#include <string>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

// The fields are described in schema/fleet-settings.schema.json.
struct FleetSettings
{
    DaemonId daemon;
    ZoneId zone;
    Endpoint callers;
    Endpoint readiness;
    std::optional<Endpoint> metrics;
    Endpoint store;
    std::optional<Endpoint> links; // Where other daemons connect for store updates.
    // Where other daemons forward requests while they reach no server.
    std::optional<Endpoint> forwards;
    double processorShare = 1; // CPU capacity of the machine, in processors.
    int memoryMb = 112; // Memory that the process may use.
    std::optional<int> connectionMemoryMb; // That connections at all ports may hold together.
    int relaysFrom = 8; // Least number of daemons with which a zone uses relays.
    int fileDescriptors = 1024;
    Duration stopGrace = std::chrono::seconds(8); // Time from SIGTERM to SIGKILL.
    // How long a daemon that can't reach the store may accept a key that has been revoked; without
    // limit if absent.
    std::optional<Duration> keyRevocation;
    // Time from the acknowledgement of a configuration change until it must take effect.
    Duration changeInForce = std::chrono::seconds(2);
    // Time from the acknowledgement of a server's leave notice until it must get no more requests.
    Duration leaveInForce = std::chrono::seconds(2);
    // Time from the acknowledgement of a zone's evacuation until its servers must get no more
    // requests; without limit if absent.
    std::optional<Duration> evacuationInForce;
    // Requests that a cold server may get in any second, over all daemons: its tolerated rate times
    // the overshoot, plus the tolerance.
    double coldOvershoot = 1.5;
    double coldTolerance = 5;
    // Services with a streamed route whose objective is at most this long are latency-sensitive:
    // see DispatchState::isLatencySensitive(). 0: none is.
    Duration shortObjective = std::chrono::milliseconds(250);
    // How often upstream servers renew their store entries; an entry expires after three
    // intervals.
    Duration serverHeartbeat = std::chrono::milliseconds(1200);
    // How long after its connectivity to the store and the servers is restored a daemon must meet
    // changeInForce, leaveInForce and evacuationInForce again.
    Duration connectivityGrace = std::chrono::seconds(3);
    double retryRatio = 0.2; // Retries per request, over all daemons.
    double retrySlack = 10; // Retries per window beyond the ratio, over all daemons.
    Duration retryWindow = std::chrono::seconds(10);
    Duration loadWindow = std::chrono::seconds(5); // Window of the limit on weight loads.
    std::string logLevel = "info";
};

// Whether the settings document is for a daemon that runs on a platform.
bool isFleetSettings(const std::string &text);

// Errors: InvalidInput with a line for each finding.
Result<FleetSettings> parseFleetSettings(const std::string &text);

} // namespace ramphinge
