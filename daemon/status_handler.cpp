// Readiness, metrics and limits: see status_handler.h.

#include "daemon/status_handler.h"

#include <utility>

#include "platform/wire_names.h"

namespace ramphinge {

StatusHandler::StatusHandler(std::function<bool()> ready, std::function<nlohmann::json()> limits,
                             const Metrics &metrics)
    : m_ready(std::move(ready)), m_limits(std::move(limits)), m_metrics(metrics)
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
        response = jsonResponse(200, m_limits().dump());
    static_cast<void>(exchange.respond(response, yield)); // Whoever asked has gone.
}

} // namespace ramphinge
