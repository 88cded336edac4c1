// State that the parts of one gateway share. Internal to the gateway library; used on the request
// loop only.

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

// Calls in progress by upstream, so that those to a dead one can be cancelled at once.
class OpenCalls
{
public:
    // Lists the call for the lifetime of this object.
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

// An upstream of a plain service.
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

    // Options of the upstream calls for this request. At-most-once requests get a new connection:
    // an idle one may turn out to be dead only after the request was sent.
    HttpCallOptions callOptions(const CallerRequest &request,
                                std::optional<MonotonicTime> sendBy) const;

    // Ends a request that got no answer: sends the failure to the caller, counts and records it.
    void fail(HttpExchange &exchange, const CallerRequest &request, const Failure &failure,
              Yield yield);

    // The refusal of a request with a key may say NotRun only if the key's owner confirms that no
    // earlier try was sent; otherwise its outcome becomes Unknown. Without a key it is unchanged.
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

// Answers with the stored answer of an earlier try.
void replay(HttpExchange &exchange, const CallerRequest &request, const KeptAnswer &kept,
            Yield yield);

// Claim of one request on its idempotency key. The destructor settles a granted claim: as not sent
// unless markMayHaveRun() or recordAnswer() was called.
class KeyClaim
{
public:
    KeyClaim(GatewayContext &context, const CallerRequest &request);
    ~KeyClaim();
    KeyClaim(const KeyClaim &) = delete;
    KeyClaim &operator=(const KeyClaim &) = delete;

    // Asks the key's owner for the right to send. No value: the request may be sent until sendBy().
    // Otherwise what the caller gets: the stored answer of an earlier try, or a failure.
    std::optional<std::variant<KeptAnswer, Failure>> acquire(Yield yield);

    // Acquires the right to send unless it is current. If that fails, answers the caller and
    // returns false.
    bool acquireOrAnswer(HttpExchange &exchange, Yield yield);

    // Whether the request has no key or its right to send has not expired.
    bool maySend() const;

    // No value for requests without a key.
    std::optional<MonotonicTime> sendBy() const { return m_sendBy; }

    void markMayHaveRun() { m_outcome = ClaimOutcome::MayHaveRun; }
    void recordAnswer(KeptAnswer answer);

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
