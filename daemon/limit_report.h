// What a daemon reports of servers that limit their rate.

#pragma once

#include <nlohmann/json.hpp>

#include "ramphinge/catalog/service_catalog.h"
#include "ramphinge/fleet/fleet_view.h"
#include "ramphinge/limits/server_limits.h"
#include "ramphinge/observe/metrics.h"

namespace ramphinge {

// A list with an object a server: host, service, per_second, stated_ms_ago, ended, shares.
nlohmann::json limitsAsJson(const ServerLimits &limits, const FleetView &servers,
                            MonotonicTime now);

// Sets how many servers of each service are limited, and what they accept together.
void measureLimits(const ServerLimits &limits, const FleetView &servers,
                   const ServiceCatalog &catalog, Metrics &metrics, MonotonicTime now);

} // namespace ramphinge
