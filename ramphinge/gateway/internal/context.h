// What the parts of one gateway share. Internal to the gateway library; lives on the request loop.

#pragma once

#include <map>
#include <memory>
#include <set>

#include "ramphinge/config/accepted.h"
#include "ramphinge/gateway/claim_service.h"
#include "ramphinge/gateway/gateway.h"
#include "ramphinge/gateway/model_pool.h"
#include "ramphinge/limits/retry_budget.h"
#include "ramphinge/net/http_client.h"
#include "ramphinge/net/http_server.h"
#include "ramphinge/observe/metrics.h"
#include "ramphinge/observe/timeline.h"
#include "ramphinge/routing/policies.h"

namespace ramphinge::internal {

// Calls in progress at each upstream, so that those at a lost one end at once.
class OpenCalls
{
public:
    // Keeps the call listed while this object lives.
    class Listing
    {
    public:
        Listing(OpenCalls &calls, std::string upstream, HttpCall &call);
        ~Listing();
        Listing(const Listing &) = delete;
        Listing &operator=(const Listing &) = delete;

    private:
        OpenCalls &m_calls;
        std::string m_upstream;
        HttpCall &m_call;
    };

    void cancelAll(const std::string &upstream);

private:
    std::map<std::string, std::set<HttpCall *>> m_calls;
};

// A plain service's upstreams.
struct ServiceUpstream
{
    Member member;
    int inFlight = 0;
};

struct GatewayContext
{
    GatewayContext(IoContext &io, const Clock &clock, GatewayOptions options, ClaimService &claims,
                   Timeline &timeline, Metrics &metrics);

    ModelPool &poolFor(const ModelId &model);
    void record(EventKind kind, const CallerRequest &request, const ReplicaId &replica = {},
                Attempt attempt = {}, std::string detail = {});

    // How an upstream is called for this request. What may run only once gets a connection of its
    // own: a kept one may prove dead after the send.
    HttpCallOptions callOptions(const CallerRequest &request,
                                std::optional<MonotonicTime> sendBy) const;

    // Ends a request that got no answer: tells the caller, counts, records.
    void fail(HttpExchange &exchange, const CallerRequest &request, const Failure &failure,
              Yield yield);

    // A refusal of a keyed request says "not run" only if the key's owner confirms that no earlier
    // try was sent. Unkeyed ones pass unchanged.
    Failure confirmedRefusal(const CallerRequest &request, Failure failure, Yield yield);

    IoContext &io;
    const Clock &clock;
    const GatewayOptions options;
    ClaimService &claims;
    Timeline &timeline;
    Metrics &metrics;
    std::unique_ptr<HttpClient> client;
    AcceptedConfigPtr config;
    ReplicaTable replicas;
    std::unique_ptr<RoutingPolicy> policy;
    RetryBudget retryBudget;
    CostEstimator costs;
    OpenCalls calls;
    std::map<HostId, ServiceUpstream> services;
    std::set<HostId> unusable;
    std::map<ModelId, std::unique_ptr<ModelPool>> pools;
    std::map<AccountId, int> inProgress;
    Random random;
    std::int64_t nextTicket = 1;
};

// Gives an earlier try's answer again.
void replay(HttpExchange &exchange, const CallerRequest &request, const KeptAnswer &kept,
            Yield yield);

// One caller's key, claimed for one request. Settles itself when it goes out of scope: what was not
// said to have run or to be unsure was not sent.
class KeyClaim
{
public:
    KeyClaim(GatewayContext &context, const CallerRequest &request);
    ~KeyClaim();
    KeyClaim(const KeyClaim &) = delete;
    KeyClaim &operator=(const KeyClaim &) = delete;

    // Asks for the right to send. Nothing: it may be sent until sendBy(). Otherwise the answer for
    // the caller: a kept answer of an earlier try, or a failure.
    std::optional<std::variant<KeptAnswer, Failure>> acquire(Yield yield);

    // Makes sure of the right to send, or answers the caller; true if it may be sent.
    bool acquireOrAnswer(HttpExchange &exchange, Yield yield);

    // True if the request has no key or its right to send is current.
    bool maySend() const;

    // Nothing for requests without a key.
    std::optional<MonotonicTime> sendBy() const { return m_sendBy; }

    void mayHaveRun() { m_outcome = ClaimOutcome::MayHaveRun; }
    void ran(KeptAnswer answer);

private:
    ClaimAttempt attempt() const;
    bool mayPredateHolding() const;
    void settle();

    GatewayContext &m_context;
    const CallerRequest &m_request;
    std::optional<MonotonicTime> m_sendBy;
    int m_tries = 0;
    bool m_granted = false;
    ClaimOutcome m_outcome = ClaimOutcome::NotSent;
    std::optional<KeptAnswer> m_answer;
};

} // namespace ramphinge::internal
