// What a daemon on a platform answers to the balancer, and to whoever reads its metrics.

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
    // `ready`: whether the balancer should send callers here; `servers`: what servers said of
    // themselves. `metrics` must outlive the handler.
    StatusHandler(std::function<bool()> ready, std::function<nlohmann::json()> servers,
                  const Metrics &metrics);

    void handle(HttpExchange &exchange, Yield yield) override;

private:
    std::function<bool()> m_ready;
    std::function<nlohmann::json()> m_servers;
    const Metrics &m_metrics;
};

} // namespace ramphinge
