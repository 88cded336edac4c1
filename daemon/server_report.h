// What a daemon reports about servers that announced a rate limit, a backoff or their departure, as
// JSON and as metrics.

#pragma once

#include <nlohmann/json.hpp>

#include "ramphinge/catalog/service_catalog.h"
#include "ramphinge/fleet/fleet_view.h"
#include "ramphinge/limits/server_gate.h"
#include "ramphinge/observe/metrics.h"

namespace ramphinge {

// An array with one object per server: host, service and, where they apply, limit (per_second,
// stated_ms_ago, ended, shares), backoff_left_ms (0 while the server is probed after its backoff)
// and leaving (true).
nlohmann::json serversAsJson(const ServerGate &gate, const FleetView &servers, MonotonicTime now);

// Sets the metrics of each service: its servers that limit their rate and the sum of their limits,
// that are backing off, and that are leaving.
void measureServers(const ServerGate &gate, const FleetView &servers, const ServiceCatalog &catalog,
                    Metrics &metrics, MonotonicTime now);

} // namespace ramphinge
