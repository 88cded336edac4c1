// State that the parts of a gateway share: see context.h.

#include "ramphinge/gateway/internal/context.h"

#include "ramphinge/claims/key_stamp.h"

namespace ramphinge::internal {

namespace {

constexpr Duration ownerRetryAfter = std::chrono::seconds(1);
// Keys without a stamp are presumed to be at most this old.
constexpr Milliseconds opaqueKeyMaxAge = std::chrono::minutes(10);
constexpr Milliseconds maxStampSkew = std::chrono::seconds(1); // Twice the skew between two clocks.

std::unique_ptr<RoutingPolicy> makePolicy(RoutingChoice choice)
{
    switch (choice) {
    case RoutingChoice::RoundRobin:
        return makeRoundRobinPolicy();
    case RoutingChoice::LeastLoaded:
        return makeLeastLoadedPolicy();
    case RoutingChoice::Affinity:
        return makeAffinityPolicy({});
    }
    return makeAffinityPolicy({});
}

ReplicaTableOptions tableOptions(const GatewayOptions &options)
{
    ReplicaTableOptions table;
    table.ownZone = options.zone;
    table.zones = options.zones;
    // Without fair queueing, requests wait at the engines in order of arrival.
    constexpr double unboundedDepth = 1000;
    if (!options.fairness)
        table.queueDepth = unboundedDepth;
    return table;
}

Failure conflict(const std::string &type, const std::string &message, Outcome outcome)
{
    return { 409, type, message, outcome, std::nullopt };
}

// The failure that a caller gets when the owner does not grant its key.
Failure failureForVerdict(ClaimVerdict verdict)
{
    switch (verdict) {
    case ClaimVerdict::InProgress:
        return { 409, "in_progress",
                 "an earlier try with this key is being run; ask again with the same key",
                 Outcome::Unknown, ownerRetryAfter };
    case ClaimVerdict::Ran:
        return conflict("already_run",
                        "this key's request has run; its answer is not kept any more",
                        Outcome::Ran);
    case ClaimVerdict::Indeterminate:
        return conflict("outcome_unknown",
                        "an earlier try with this key may have run, and will not be run again",
                        Outcome::Unknown);
    case ClaimVerdict::KeyReused:
        return { 422, "key_reused", "this key belongs to another request; make a new key",
                 Outcome::NotRun, std::nullopt };
    case ClaimVerdict::CantVouch:
        return conflict("cannot_vouch",
                        "this key is older than what its present owner can vouch for: an earlier "
                        "try may have run. If there was none, make a new key",
                        Outcome::Unknown);
    case ClaimVerdict::Granted:
    case ClaimVerdict::NotOwner:
        break;
    }
    return { 503, "key_owner_unavailable",
             "the owner of this key can't be asked now; asking again with the same key is safe",
             Outcome::Unknown, ownerRetryAfter };
}

} // namespace

OpenCalls::Listing::Listing(OpenCalls &calls, std::string upstream, HttpCall &call)
    : m_calls(calls), m_upstream(std::move(upstream)), m_call(call)
{
    m_calls.m_calls[m_upstream].insert(&m_call);
}

OpenCalls::Listing::~Listing()
{
    const auto found = m_calls.m_calls.find(m_upstream);
    found->second.erase(&m_call);
    if (found->second.empty())
        m_calls.m_calls.erase(found);
}

void OpenCalls::cancelAll(const std::string &upstream)
{
    const auto found = m_calls.find(upstream);
    if (found == m_calls.end())
        return;
    for (HttpCall *call : found->second)
        call->cancel();
}

GatewayContext::GatewayContext(IoContext &loop, const Clock &time, GatewayOptions gatewayOptions,
                               ClaimService &claimService, Timeline &events, Metrics &counters)
    : io(loop), clock(time), options(std::move(gatewayOptions)), claims(claimService),
      timeline(events), metrics(counters), client(HttpClient::create(loop, 256)),
      replicas(tableOptions(options)), policy(makePolicy(options.routing)), retryBudget({}),
      random(entropySeed())
{ }

ModelPool &GatewayContext::poolFor(const ModelId &model)
{
    std::unique_ptr<ModelPool> &pool = pools[model];
    if (!pool)
        pool = std::make_unique<ModelPool>(io, clock, model, replicas, FairQueueOptions {});
    return *pool;
}

void GatewayContext::record(EventKind kind, const CallerRequest &request, const ReplicaId &replica,
                            Attempt attempt, std::string detail)
{
    TimelineEvent event;
    event.kind = kind;
    event.request = request.id;
    event.account = request.account;
    event.replica = replica;
    event.attempt = attempt;
    event.detail = std::move(detail);
    timeline.record(std::move(event));
}

HttpCallOptions GatewayContext::callOptions(const CallerRequest &request,
                                            std::optional<MonotonicTime> sendBy) const
{
    const Duration left = request.deadline - clock.now();
    HttpCallOptions call;
    call.headTimeout = left;
    call.readTimeout = std::min(left, options.stallTimeout);
    call.freshConnection = request.atMostOnce();
    call.sendBy = sendBy;
    return call;
}

void GatewayContext::fail(HttpExchange &exchange, const CallerRequest &request,
                          const Failure &failure, Yield yield)
{
    const bool notRun = failure.outcome == Outcome::NotRun;
    record(notRun ? EventKind::RequestRefused : EventKind::RequestUnknown, request, {}, {},
           failure.type);
    metrics.count(MetricName("failures_total")
                      .with("account", request.account.text())
                      .with("type", failure.type)
                      .with("outcome", toString(failure.outcome)));
    exchange.respond(toResponse(failure, request.id), yield);
}

Failure GatewayContext::confirmedRefusal(const CallerRequest &request, Failure failure, Yield yield)
{
    if (request.key.empty() || failure.outcome != Outcome::NotRun)
        return failure;
    KeyClaim claim(*this, request);
    if (!claim.acquire(yield))
        return failure; // Granted: no earlier try was sent. The claim's destructor gives the key
                        // back.
    failure.outcome = Outcome::Unknown;
    return failure;
}

void replay(HttpExchange &exchange, const CallerRequest &request, const KeptAnswer &kept,
            Yield yield)
{
    exchange.respond({ kept.status,
                       { { "content-type", kept.contentType },
                         { "x-request-id", request.id.text() },
                         { "x-ramphinge-replayed", "true" } },
                       kept.body },
                     yield);
}

KeyClaim::KeyClaim(GatewayContext &context, const CallerRequest &request)
    : m_context(context), m_request(request)
{ }

KeyClaim::~KeyClaim()
{
    settle();
}

ClaimAttempt KeyClaim::attempt() const
{
    return { { m_request.account, m_request.key },
             m_request.fingerprint,
             RequestId(m_request.id.text() + "." + std::to_string(m_tries)) };
}

std::optional<std::variant<KeptAnswer, Failure>> KeyClaim::acquire(Yield yield)
{
    if (m_request.key.empty())
        return std::nullopt;
    settle();
    if (mayPredateHolding())
        return failureForVerdict(ClaimVerdict::CantVouch);
    ++m_tries;
    const MonotonicTime asked = m_context.clock.now();
    const Result<ClaimAnswer> answer = m_context.claims.claim(attempt(), yield);
    if (!answer.ok()) {
        // The claim may have been granted although the answer was lost; nothing was sent.
        m_context.claims.settle(attempt(), ClaimOutcome::NotSent, std::nullopt);
        return failureForVerdict(ClaimVerdict::NotOwner);
    }
    const ClaimVerdict verdict = answer.value().verdict;
    const bool granted = verdict == ClaimVerdict::Granted;
    m_context.record(granted ? EventKind::ClaimGranted : EventKind::ClaimRefused, m_request, {}, {},
                     toString(verdict));
    if (granted) {
        m_granted = true;
        m_sendBy = asked + answer.value().sendWithin;
        return std::nullopt;
    }
    if (verdict == ClaimVerdict::Ran && answer.value().kept)
        return *answer.value().kept;
    return failureForVerdict(verdict);
}

bool KeyClaim::acquireOrAnswer(HttpExchange &exchange, Yield yield)
{
    if (maySend())
        return true;
    const auto answer = acquire(yield);
    if (!answer)
        return true;
    if (const auto *kept = std::get_if<KeptAnswer>(&*answer))
        replay(exchange, m_request, *kept, yield);
    else
        m_context.fail(exchange, m_request, std::get<Failure>(*answer), yield);
    return false;
}

bool KeyClaim::maySend() const
{
    return m_request.key.empty() || (m_granted && m_context.clock.now() < *m_sendBy);
}

// Whether the key may have been used before this side held the account. The other side of the
// migration may then have run the request, so it is not run here.
bool KeyClaim::mayPredateHolding() const
{
    const Holding holding = m_context.config->configuration.holdingOf(m_request.account);
    if (holding.since == WallTime())
        return false;
    const std::optional<KeyStamp> stamp = parseKeyStamp(m_request.key);
    if (!stamp)
        return m_context.clock.wallNow() < holding.since + opaqueKeyMaxAge;
    return stamp->createdAt <= holding.since + maxStampSkew;
}

void KeyClaim::recordAnswer(KeptAnswer answer)
{
    m_outcome = ClaimOutcome::Ran;
    m_answer = std::move(answer);
}

void KeyClaim::settle()
{
    if (m_granted)
        m_context.claims.settle(attempt(), m_outcome, std::move(m_answer));
    m_granted = false;
    m_sendBy.reset();
}

} // namespace ramphinge::internal
