// HTTP handler for a platform daemon's readiness, metrics and server-limit endpoints.

#pragma once

#include <functional>

#include <nlohmann/json.hpp>

#include "ramphinge/net/http_server.h"
#include "ramphinge/observe/metrics.h"

namespace ramphinge {

// Not thread-safe: lives on the event loop.
class StatusHandler : public HttpHandler
{
public:
    // `ready`: whether the load balancer should send callers to this daemon; `servers`: the rate
    // limits, backoffs and departures that servers announced. `metrics` must outlive the handler.
    StatusHandler(std::function<bool()> ready, std::function<nlohmann::json()> servers,
                  const Metrics &metrics);

    void handle(HttpExchange &exchange, Yield yield) override;

private:
    std::function<bool()> m_ready;
    std::function<nlohmann::json()> m_servers;
    const Metrics &m_metrics;
};

} // namespace ramphinge
