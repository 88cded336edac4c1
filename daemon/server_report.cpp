// Servers' announced limits, backoffs and departures: see server_report.h.

#include "daemon/server_report.h"

#include <map>

namespace ramphinge {

namespace {

struct ServiceTotals
{
    int limited = 0;
    double perSecond = 0; // Sum of the limited servers' rates, in requests per second.
    int backingOff = 0;
    int leaving = 0;
};

} // namespace

nlohmann::json serversAsJson(const ServerGate &gate, const FleetView &servers, MonotonicTime now)
{
    std::map<HostId, nlohmann::json> byHost;
    for (const ServerLimitState &limit : gate.limits().states(now))
        byHost[limit.host]["limit"] = { { "per_second", limit.accepted.perSecond() },
                                        { "stated_ms_ago", toMilliseconds(limit.sinceStated) },
                                        { "ended", limit.hasEnded },
                                        { "shares", limit.isSharer } };
    for (const ServerBackoffState &backoff : gate.backoffs().states(now))
        byHost[backoff.host]["backoff_left_ms"] = toMilliseconds(backoff.left);
    for (const HostId &host : gate.departures().servers())
        byHost[host]["leaving"] = true;
    for (const HostId &host : gate.coldServers().servers(now))
        byHost[host]["cold"] = true;
    nlohmann::json list = nlohmann::json::array();
    for (auto &[host, state] : byHost) {
        const UpstreamServer *server = servers.find(host);
        state["host"] = host.text();
        state["service"] = server == nullptr ? "" : server->service.text();
        list.push_back(std::move(state));
    }
    return list;
}

void measureServers(const ServerGate &gate, const FleetView &servers, const ServiceCatalog &catalog,
                    Metrics &metrics, MonotonicTime now)
{
    std::map<ServiceId, ServiceTotals> byService;
    for (const ServiceEntry &service : catalog.services())
        byService[service.service] = {}; // Resets services that nothing applies to any more.
    const auto totalsOf = [&](const HostId &host) -> ServiceTotals * {
        const UpstreamServer *server = servers.find(host);
        return server == nullptr ? nullptr : &byService[server->service];
    };
    for (const ServerLimitState &limit : gate.limits().states(now)) {
        ServiceTotals *const service = totalsOf(limit.host);
        if (service == nullptr)
            continue;
        ++service->limited;
        service->perSecond += limit.accepted.perSecond();
    }
    for (const ServerBackoffState &backoff : gate.backoffs().states(now)) {
        ServiceTotals *const service = totalsOf(backoff.host);
        if (service != nullptr && backoff.left > Duration::zero())
            ++service->backingOff;
    }
    for (const HostId &host : gate.departures().servers()) {
        ServiceTotals *const service = totalsOf(host);
        if (service != nullptr)
            ++service->leaving;
    }
    for (const auto &[service, totals] : byService) {
        const auto set = [&, &name = service](const char *metric, double value) {
            metrics.set(MetricName(metric).with("service", name.text()), value);
        };
        set("limited_servers", totals.limited);
        set("limited_servers_per_second", totals.perSecond);
        set("servers_backing_off", totals.backingOff);
        set("servers_leaving", totals.leaving);
    }
}

} // namespace ramphinge
