// What a daemon reports of servers that said something of themselves: that limit their rate, asked
// for no requests for a while, or leave.

#pragma once

#include <nlohmann/json.hpp>

#include "ramphinge/catalog/service_catalog.h"
#include "ramphinge/fleet/fleet_view.h"
#include "ramphinge/limits/server_gate.h"
#include "ramphinge/observe/metrics.h"

namespace ramphinge {

// A list with an object a server: host, service, and of these what applies: limit (per_second,
// stated_ms_ago, ended, shares), backoff_left_ms (0 while it is tried again), leaving (true).
nlohmann::json serversAsJson(const ServerGate &gate, const FleetView &servers, MonotonicTime now);

// Sets how many servers of each service are limited, with what they accept together, asked for
// nothing, or leave.
void measureServers(const ServerGate &gate, const FleetView &servers, const ServiceCatalog &catalog,
                    Metrics &metrics, MonotonicTime now);

} // namespace ramphinge
