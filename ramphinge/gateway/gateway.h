// The daemon's HTTP handler for callers: chat completions, plain services and health.
//
// Used on the request loop only. Its state is set from outside; it handles requests without calls
// to the platform (for a request with an idempotency key it asks the key's owner).
//
//   Gateway gateway(io, clock, options, claims, timeline, metrics);
//   gateway.setConfig(config);
//   gateway.setReplicas(entries);
//   auto server = HttpServer::listen(io, settings.callers, {}, gateway);

#pragma once

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "ramphinge/config/accepted.h"
#include "ramphinge/gateway/caller_request.h"
#include "ramphinge/gateway/claim_service.h"
#include "ramphinge/limits/fair_queue.h"
#include "ramphinge/membership/serving_gate.h"
#include "ramphinge/net/http_server.h"
#include "ramphinge/observe/metrics.h"
#include "ramphinge/observe/timeline.h"
#include "ramphinge/routing/replica_table.h"
#include "ramphinge/settings/settings.h"
#include "ramphinge/store/platform_store.h"

namespace ramphinge {

struct GatewayOptions
{
    ZoneId zone;
    std::vector<ZoneDistance> zones;
    RequestDefaults defaults;
    Duration firstTokenDeadline = std::chrono::seconds(1);
    Duration stallTimeout = std::chrono::seconds(10); // For the next bytes of an answer.
    int maxAttempts = 3;
    RoutingChoice routing = RoutingChoice::Affinity;
    bool fairness = true;
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
};

// Tokens served to each account by one model since the last report (see FairQueue).
struct ModelService
{
    ModelId model;
    std::vector<AccountTokens> service;
};

class Gateway : public HttpHandler
{
public:
    Gateway(IoContext &io, const Clock &clock, GatewayOptions options, ClaimService &claims,
            Timeline &timeline, Metrics &metrics);
    ~Gateway() override;

    void setConfig(AcceptedConfigPtr config);

    // A confirmed configuration that is neither accepted nor rejected as far as known; null if
    // there is none. While the zone is partitioned from the others, accounts that it changes are
    // refused.
    void setPrepared(AcceptedConfigPtr prepared);
    void setReplicas(const std::vector<ReplicaEntry> &entries);

    // Members of the platform's list; only those of plain services are used.
    void setServices(const std::vector<Member> &members);

    // `unusable` hosts get no new requests. Calls in progress to those in `dead` are cancelled.
    void setUnusableHosts(const std::set<HostId> &unusable, const std::set<HostId> &dead);
    void setSharers(int daemons);
    void reportLoad(const ReplicaId &replica, const LoadReport &report);
    void addRemoteService(const ModelService &service);

    // `check` is called for each request, with the current time.
    void setServingCheck(std::function<ServingDecision(MonotonicTime)> check);

    // From now on the health check fails; requests are still served.
    void startDraining();

    std::vector<ModelService> takeUnreportedService();
    const ReplicaTable &replicas() const;

    // How a request of this account for this model would be routed now, for operators.
    nlohmann::json explain(const AccountId &account, const std::string &alias,
                           const std::string &prompt);

    // Queued requests by model, and the state of each replica, for operators.
    nlohmann::json status();

    // Requests of the account that were admitted and not answered yet.
    int inProgress(const AccountId &account) const;

    void handle(HttpExchange &exchange, Yield yield) override;
    HttpResponse refuse(HttpFault fault, const HttpRequest &head) override;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace ramphinge
