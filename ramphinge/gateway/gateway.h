// The callers' side of the daemon: completions of models, plain services, health.
//
// Lives on the request loop. Everything it needs to know is set from outside; it decides on each
// request alone, without a call to the platform (requests with a key ask the key's owner).
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
    Duration stallTimeout = std::chrono::seconds(10); // Between two pieces of an answer.
    int maxAttempts = 3;
    RoutingChoice routing = RoutingChoice::Affinity;
    bool fairness = true;
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
};

// Service given to accounts of one model, since last asked.
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

    // A confirmed change that is not decided as far as known; null if there is none. While the zone
    // is cut off, accounts that it changes are refused.
    void setPrepared(AcceptedConfigPtr prepared);
    void setReplicas(const std::vector<ReplicaEntry> &entries);

    // All members of the platform's list that are plain services.
    void setServices(const std::vector<Member> &members);

    // Hosts that get nothing new. Calls in progress at those in `dead` end at once.
    void setUnusableHosts(const std::set<HostId> &unusable, const std::set<HostId> &dead);
    void setSharers(int daemons);
    void reportLoad(const ReplicaId &replica, const LoadReport &report);
    void addRemoteService(const ModelService &service);

    // Asked at each request, with the present time.
    void setServingCheck(std::function<ServingDecision(MonotonicTime)> check);

    // From now on health is red; what comes is still served.
    void startDraining();

    std::vector<ModelService> takeService();
    const ReplicaTable &replicas() const;

    // Where a request of this account for this model would go now, for operators.
    nlohmann::json explain(const AccountId &account, const std::string &alias,
                           const std::string &prompt);

    // Requests that wait, by model; and the accounts among them.
    nlohmann::json status();

    // Requests of the account that have been taken in and not answered yet.
    int inProgress(const AccountId &account) const;

    void handle(HttpExchange &exchange, Yield yield) override;
    HttpResponse refuse(HttpFault fault) override;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace ramphinge
