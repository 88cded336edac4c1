// The daemon's settings file: addresses, zone, durations. What operators change while the daemon
// runs is in the configuration instead (see config/).
//
//   Result<Settings> settings = loadSettings("/etc/ramphinge/daemon.json");

#pragma once

#include <string>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

// What replica planning gives more weight: time in which a replica can't serve, or healthy
// accelerators in no serving replica.
enum class Objective { GroupDowntime, StrandedAccelerators };

enum class RoutingChoice { Affinity, RoundRobin, LeastLoaded };

struct ZoneLatency
{
    ZoneId zone;
    Duration oneWay;
};

// The fields are described in schema/settings.schema.json.
struct Settings
{
    DaemonId daemon;
    ZoneId zone;
    std::vector<ZoneId> zones;
    std::vector<ZoneLatency> zoneLatencies;
    Endpoint callers;
    Endpoint administration;
    Endpoint peers;
    Endpoint advertisedPeers; // Where other daemons reach `peers`.
    Endpoint platform;
    std::string sharedKey;
    std::string bootstrapOperatorKeySha256;
    std::vector<Endpoint> peerSeeds;
    Duration leaseLength = std::chrono::seconds(5);
    Duration clockMargin = std::chrono::milliseconds(500);
    Duration firstTokenDeadline = std::chrono::milliseconds(1000);
    Duration requestDeadline = std::chrono::seconds(60);
    std::size_t maxBodyBytes = 1024 * 1024;
    int connectionMemoryMb = 512; // That connections at all ports may hold together.
    int maxConnections = 20'000;
    Duration drainLimit = std::chrono::seconds(120);
    Objective objective = Objective::GroupDowntime;
    bool enginesHonourFencing = false;
    int slotsPerZone = 8;
    Duration loadReportInterval = std::chrono::milliseconds(200);
    RoutingChoice routing = RoutingChoice::Affinity;
    bool fairness = true;
    std::string logLevel = "info";
    std::string timelineFile;
};

// Errors: InvalidInput with a line for each finding.
Result<Settings> parseSettings(const std::string &text);

// Parses the settings file at `path`. Errors: NotFound, or those of parseSettings().
Result<Settings> loadSettings(const std::string &path);

// Reads a whole file. Errors: NotFound with the path.
Result<std::string> readFile(const std::string &path);

} // namespace ramphinge
