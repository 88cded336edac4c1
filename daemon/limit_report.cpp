// Reports of limits: see limit_report.h.

#include "daemon/limit_report.h"

#include <map>

namespace ramphinge {

namespace {

struct LimitedService
{
    int servers = 0;
    double perSecond = 0;
};

} // namespace

nlohmann::json limitsAsJson(const ServerLimits &limits, const FleetView &servers, MonotonicTime now)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ServerLimitState &limit : limits.states(now)) {
        const UpstreamServer *server = servers.find(limit.host);
        list.push_back({ { "host", limit.host.text() },
                         { "service", server == nullptr ? "" : server->service.text() },
                         { "per_second", limit.accepted.perSecond() },
                         { "stated_ms_ago", toMilliseconds(limit.statedBefore) },
                         { "ended", limit.hasEnded },
                         { "shares", limit.isSharer } });
    }
    return list;
}

void measureLimits(const ServerLimits &limits, const FleetView &servers,
                   const ServiceCatalog &catalog, Metrics &metrics, MonotonicTime now)
{
    std::map<ServiceId, LimitedService> byService;
    for (const ServiceEntry &service : catalog.services())
        byService[service.service] = {}; // Back to zero where none is limited any more.
    for (const ServerLimitState &limit : limits.states(now)) {
        const UpstreamServer *server = servers.find(limit.host);
        if (server == nullptr)
            continue;
        LimitedService &service = byService[server->service];
        ++service.servers;
        service.perSecond += limit.accepted.perSecond();
    }
    for (const auto &[service, sum] : byService) {
        metrics.set(MetricName("limited_servers").with("service", service.text()), sum.servers);
        metrics.set(MetricName("limited_servers_per_second").with("service", service.text()),
                    sum.perSecond);
    }
}

} // namespace ramphinge
