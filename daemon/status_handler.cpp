// Readiness, metrics and server limits: see status_handler.h.

#include "daemon/status_handler.h"

#include <utility>

#include "platform/wire_names.h"

namespace ramphinge {

StatusHandler::StatusHandler(std::function<bool()> ready, std::function<nlohmann::json()> servers,
                             const Metrics &metrics)
    : m_ready(std::move(ready)), m_servers(std::move(servers)), m_metrics(metrics)
{ }

void StatusHandler::handle(HttpExchange &exchange, Yield yield)
{
    const auto path = exchange.request().path();
    HttpResponse response { 404, {}, {} };
    if (path == platform::readinessPath)
        response.status = m_ready() ? 200 : 503;
    else if (path == "/metrics")
        response = { 200, { { "Content-Type", "text/plain" } }, m_metrics.toText() };
    else if (path == "/limits")
        response = jsonResponse(200, m_servers().dump());
    static_cast<void>(exchange.respond(response, yield)); // Fails if the client has disconnected.
}

} // namespace ramphinge
