// Authentication and dispatch of callers' requests: see gateway.h. The handlers are in internal/.

#include "ramphinge/gateway/gateway.h"

#include <nlohmann/json.hpp>

#include "ramphinge/gateway/internal/context.h"
#include "ramphinge/gateway/internal/proxied_completion.h"
#include "ramphinge/gateway/internal/proxied_service_call.h"

namespace ramphinge {

namespace {

using Json = nlohmann::json;

constexpr Duration notServingRetryAfter = std::chrono::seconds(1);
constexpr Duration undecidedRetryAfter = std::chrono::seconds(2);
constexpr Duration drainingRetryAfter = std::chrono::seconds(1);
constexpr int misdirectedStatus = 421;

// Counts a request of an account for the lifetime of this object.
class InProgressCount
{
public:
    InProgressCount(std::map<AccountId, int> &counts, AccountId account)
        : m_counts(counts), m_account(std::move(account))
    {
        ++m_counts[m_account];
    }
    ~InProgressCount()
    {
        if (--m_counts[m_account] == 0)
            m_counts.erase(m_account);
    }
    InProgressCount(const InProgressCount &) = delete;
    InProgressCount &operator=(const InProgressCount &) = delete;

private:
    std::map<AccountId, int> &m_counts;
    AccountId m_account;
};

} // namespace

struct Gateway::Impl
{
    Impl(IoContext &io, const Clock &clock, GatewayOptions options, ClaimService &claims,
         Timeline &timeline, Metrics &metrics)
        : context(io, clock, std::move(options), claims, timeline, metrics)
    { }

    void handle(HttpExchange &exchange, Yield yield);
    void handleHealth(HttpExchange &exchange, Yield yield);
    void handleForAccount(HttpExchange &exchange, const Account &account, const RequestId &id,
                          const ServingDecision &serving, Yield yield);
    void handleCompletion(HttpExchange &exchange, const Account &account, const RequestId &id,
                          Yield yield);
    void handleService(HttpExchange &exchange, const Account &account, const ServiceSpec &service,
                       const RequestId &id, Yield yield);
    void listModels(HttpExchange &exchange, const Account &account, Yield yield);
    std::optional<Failure> holdingFailure(const Account &account) const;
    std::optional<Failure> undecidedChangeFailure(const ServingDecision &serving,
                                                  const Account &account) const;
    void applyWeights();

    RequestReader reader() const
    {
        return { context.config->configuration, context.options.defaults };
    }

    internal::GatewayContext context;
    std::function<ServingDecision(MonotonicTime)> servingCheck;
    AcceptedConfigPtr prepared;
    bool draining = false;
};

Gateway::Gateway(IoContext &io, const Clock &clock, GatewayOptions options, ClaimService &claims,
                 Timeline &timeline, Metrics &metrics)
    : m_impl(std::make_unique<Impl>(io, clock, std::move(options), claims, timeline, metrics))
{ }

Gateway::~Gateway() = default;

void Gateway::setConfig(AcceptedConfigPtr config)
{
    m_impl->context.config = std::move(config);
    m_impl->applyWeights();
}

void Gateway::setPrepared(AcceptedConfigPtr prepared)
{
    m_impl->prepared = std::move(prepared);
}

// While the zone is partitioned from the others, a confirmed change may or may not have been
// accepted: accounts that it changes are refused until the zone learns the decision.
std::optional<Failure> Gateway::Impl::undecidedChangeFailure(const ServingDecision &serving,
                                                             const Account &account) const
{
    if (!serving.inDoubt || serving.mode != ServingMode::ZoneAlone || !prepared)
        return std::nullopt;
    const bool same = prepared->configuration.expandedFor(account.account)
        == context.config->configuration.expandedFor(account.account);
    if (same)
        return std::nullopt;
    return Failure { 503, "change_undecided",
                     "a change of this account's configuration is undecided while the zone is cut "
                     "off; ask another zone or come back after the time given",
                     Outcome::NotRun, undecidedRetryAfter };
}

void Gateway::Impl::applyWeights()
{
    std::map<ModelId, std::vector<AccountTokens>> weights;
    for (const Account &account : context.config->configuration.accounts()) {
        for (const ModelGrant &grant : account.models)
            weights[grant.model].push_back({ account.account, grant.share });
    }
    for (const auto &[model, shares] : weights)
        context.poolFor(model).queue().setWeights(shares);
}

void Gateway::setReplicas(const std::vector<ReplicaEntry> &entries)
{
    m_impl->context.replicas.setReplicas(entries, m_impl->context.clock.now());
    for (const auto &[model, pool] : m_impl->context.pools)
        pool->startWaiting();
}

void Gateway::setServices(const std::vector<Member> &members)
{
    std::map<HostId, internal::ServiceUpstream> services;
    for (const Member &member : members) {
        if (member.kind != UpstreamKind::Service)
            continue;
        const auto known = m_impl->context.services.find(member.host);
        const int inFlight = known == m_impl->context.services.end() ? 0 : known->second.inFlight;
        services[member.host] = { member, inFlight };
    }
    m_impl->context.services = std::move(services);
}

void Gateway::setUnusableHosts(const std::set<HostId> &unusable, const std::set<HostId> &dead)
{
    internal::GatewayContext &context = m_impl->context;
    const std::vector<ReplicaEntry> before = context.replicas.entries();
    context.unusable = unusable;
    context.replicas.setUnusableHosts(unusable);
    for (const HostId &host : dead)
        context.calls.cancelAll(host.text());
    for (const ReplicaEntry &entry : before) {
        for (const HostId &host : entry.hosts) {
            if (dead.count(host) > 0)
                context.calls.cancelAll(entry.replica.text());
        }
    }
    for (const auto &[model, pool] : context.pools)
        pool->startWaiting();
}

void Gateway::setSharers(int daemons)
{
    m_impl->context.replicas.setSharers(daemons);
}

void Gateway::reportLoad(const ReplicaId &replica, const LoadReport &report)
{
    m_impl->context.replicas.report(replica, report);
    const std::optional<ReplicaEntry> entry = m_impl->context.replicas.find(replica);
    if (entry)
        m_impl->context.poolFor(entry->model).startWaiting();
}

void Gateway::addRemoteService(const ModelService &service)
{
    FairQueue &queue = m_impl->context.poolFor(service.model).queue();
    for (const AccountTokens &given : service.service)
        queue.addRemoteService(given.account, given.tokens);
}

void Gateway::setServingCheck(std::function<ServingDecision(MonotonicTime)> check)
{
    m_impl->servingCheck = std::move(check);
}

void Gateway::startDraining()
{
    m_impl->draining = true;
}

std::vector<ModelService> Gateway::takeUnreportedService()
{
    std::vector<ModelService> all;
    for (const auto &[model, pool] : m_impl->context.pools) {
        std::vector<AccountTokens> service = pool->queue().takeUnreportedService();
        if (!service.empty())
            all.push_back({ model, std::move(service) });
    }
    return all;
}

const ReplicaTable &Gateway::replicas() const
{
    return m_impl->context.replicas;
}

int Gateway::inProgress(const AccountId &account) const
{
    const auto found = m_impl->context.inProgress.find(account);
    return found == m_impl->context.inProgress.end() ? 0 : found->second;
}

Json Gateway::explain(const AccountId &id, const std::string &alias, const std::string &prompt)
{
    internal::GatewayContext &context = m_impl->context;
    const Account *account = context.config ? context.config->configuration.account(id) : nullptr;
    const ModelGrant *grant = account == nullptr ? nullptr : account->grantFor(alias);
    if (grant == nullptr)
        return { { "refused", "the account has no such model" } };
    const MonotonicTime now = context.clock.now();
    const std::vector<Candidate> candidates = context.replicas.candidates(grant->model, now);
    const RouteQuery query { promptPrefixHash("user:" + prompt + "\n", grant->adapter), {} };
    const auto chosen = context.policy->choose(query, candidates);
    Json list = Json::array();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        list.push_back({ { "replica", candidate.replica.text() },
                         { "zone", candidate.zone.text() },
                         { "load", candidate.load },
                         { "inFlight", candidate.inFlight },
                         { "slots", candidate.slots },
                         { "chosen", chosen && *chosen == i } });
    }
    FairQueue &queue = context.poolFor(grant->model).queue();
    return { { "model", grant->model.text() },
             { "share", grant->share.count() },
             { "priority", grant->priority },
             { "policy", context.policy->name() },
             { "expectedWaitMs", toMilliseconds(queue.expectedWait(id, now)) },
             { "candidates", list } };
}

Json Gateway::status()
{
    Json pools = Json::object();
    for (const auto &[model, pool] : m_impl->context.pools)
        pools[model.text()] = { { "waiting", pool->queue().waiting() } };
    Json replicas = Json::array();
    for (const ReplicaEntry &entry : m_impl->context.replicas.entries())
        replicas.push_back({ { "replica", entry.replica.text() },
                             { "usable", m_impl->context.replicas.find(entry.replica).has_value() },
                             { "inFlight", m_impl->context.replicas.inFlight(entry.replica) } });
    return { { "queues", pools }, { "replicas", replicas }, { "draining", m_impl->draining } };
}

HttpResponse Gateway::refuse(HttpFault fault, const HttpRequest & /*head*/)
{
    m_impl->context.metrics.count(MetricName("unreadable_requests_total"));
    const RequestId none("none");
    switch (fault) {
    case HttpFault::BodyTooLarge:
        return toResponse({ 413, "too_large", "the body is too large; shorten it", Outcome::NotRun,
                            std::nullopt },
                          none);
    case HttpFault::HeadTooLarge:
        return toResponse({ 431, "too_large", "the headers are too large; shorten them",
                            Outcome::NotRun, std::nullopt },
                          none);
    case HttpFault::SlowSender:
        return toResponse({ 408, "too_slow", "the request did not arrive in time; send it again",
                            Outcome::NotRun, std::nullopt },
                          none);
    case HttpFault::Overloaded:
        return toResponse({ 503, "overloaded",
                            "there is no memory for the request now; send it again",
                            Outcome::NotRun, std::chrono::seconds(1) },
                          none);
    case HttpFault::Malformed:
    case HttpFault::TooManyConnections:
        break;
    }
    return toResponse(invalidRequest("this is no well-formed HTTP/1.1 request"), none);
}

void Gateway::handle(HttpExchange &exchange, Yield yield)
{
    m_impl->handle(exchange, yield);
}

void Gateway::Impl::handle(HttpExchange &exchange, Yield yield)
{
    if (exchange.request().path() == "/health")
        return handleHealth(exchange, yield);
    const RequestId id(context.random.token());
    const ServingDecision serving = servingCheck(context.clock.now());
    const bool keyed = exchange.request().headers.count("idempotency-key") > 0;
    if (!context.config || serving.mode == ServingMode::Refusing) {
        // An earlier try with the key may have run elsewhere; its owner can't be asked.
        const Failure failure { 503, "not_in_service", serving.reason,
                                keyed ? Outcome::Unknown : Outcome::NotRun, notServingRetryAfter };
        CallerRequest request;
        request.id = id;
        return context.fail(exchange, request, failure, yield);
    }
    const AcceptedConfigPtr config = context.config; // Kept alive during the request.
    const auto account = reader().authenticate(exchange.request());
    if (const auto *failure = std::get_if<Failure>(&account)) {
        CallerRequest request;
        request.id = id;
        return context.fail(exchange, request, *failure, yield);
    }
    handleForAccount(exchange, *std::get<const Account *>(account), id, serving, yield);
}

void Gateway::Impl::handleHealth(HttpExchange &exchange, Yield yield)
{
    const ServingDecision serving = servingCheck(context.clock.now());
    const bool healthy = !draining && context.config && serving.mode != ServingMode::Refusing;
    const Json body { { "serving", healthy },
                      { "mode", toString(serving.mode) },
                      { "reason", draining ? "shutting down" : serving.reason } };
    exchange.respond(jsonResponse(healthy ? 200 : 503, body.dump()), yield);
}

std::optional<Failure> Gateway::Impl::holdingFailure(const Account &account) const
{
    const Configuration &configuration = context.config->configuration;
    switch (configuration.holdingOf(account.account).phase) {
    case HoldingPhase::Here:
        return std::nullopt;
    case HoldingPhase::Draining:
        return Failure { 503, "handing_over",
                         "this account is being handed over; come back after the time given",
                         Outcome::NotRun, drainingRetryAfter };
    case HoldingPhase::There:
        return Failure { misdirectedStatus, "held_elsewhere",
                         "this account is served by the other side: ask "
                             + configuration.otherSide().callers,
                         Outcome::NotRun, std::nullopt };
    }
    return std::nullopt;
}

void Gateway::Impl::handleForAccount(HttpExchange &exchange, const Account &account,
                                     const RequestId &id, const ServingDecision &serving,
                                     Yield yield)
{
    const HttpRequest &request = exchange.request();
    const std::string path(request.path());
    CallerRequest anonymous;
    anonymous.id = id;
    anonymous.account = account.account;
    std::optional<Failure> failure = holdingFailure(account);
    if (!failure)
        failure = undecidedChangeFailure(serving, account);
    if (failure) {
        if (request.headers.count("idempotency-key") > 0)
            failure->outcome = Outcome::Unknown; // An earlier try may have run before the handover.
        return context.fail(exchange, anonymous, *failure, yield);
    }
    const InProgressCount counted(context.inProgress, account.account);
    if (path == "/v1/chat/completions" && request.method == "POST")
        return handleCompletion(exchange, account, id, yield);
    if (path == "/v1/models" && request.method == "GET")
        return listModels(exchange, account, yield);
    if (path == "/v1/idempotency-keys" && request.method == "POST") {
        const Json body { { "key", context.claims.makeKey().text() } };
        exchange.respond(jsonResponse(201, body.dump()), yield);
        return;
    }
    const ServiceSpec *service = context.config->configuration.serviceForPath(path);
    if (service != nullptr && account.mayUse(service->service))
        return handleService(exchange, account, *service, id, yield);
    context.fail(exchange, anonymous,
                 { 404, "not_found",
                   "this account has nothing at " + path + "; check the path and the configuration",
                   Outcome::NotRun, std::nullopt },
                 yield);
}

void Gateway::Impl::handleCompletion(HttpExchange &exchange, const Account &account,
                                     const RequestId &id, Yield yield)
{
    auto request = reader().readCompletion(exchange.request(), account, context.clock.now(), id);
    if (const auto *failure = std::get_if<Failure>(&request)) {
        CallerRequest anonymous;
        anonymous.id = id;
        anonymous.account = account.account;
        return context.fail(exchange, anonymous, *failure, yield);
    }
    auto &completion = std::get<CompletionRequest>(request);
    context.record(EventKind::RequestReceived, completion.common);
    internal::ProxiedCompletion(context, exchange, std::move(completion)).run(yield);
}

void Gateway::Impl::handleService(HttpExchange &exchange, const Account &account,
                                  const ServiceSpec &service, const RequestId &id, Yield yield)
{
    auto request = reader().readCommon(exchange.request(), account,
                                       service.isUnrepeatable(exchange.request().method),
                                       context.clock.now(), id);
    if (const auto *failure = std::get_if<Failure>(&request)) {
        CallerRequest anonymous;
        anonymous.id = id;
        anonymous.account = account.account;
        return context.fail(exchange, anonymous, *failure, yield);
    }
    auto &common = std::get<CallerRequest>(request);
    context.record(EventKind::RequestReceived, common);
    internal::ProxiedServiceCall(context, exchange, std::move(common), service).run(yield);
}

void Gateway::Impl::listModels(HttpExchange &exchange, const Account &account, Yield yield)
{
    Json list = Json::array();
    for (const ModelGrant &grant : account.models)
        list.push_back(
            { { "id", grant.alias }, { "object", "model" }, { "owned_by", "ramphinge" } });
    exchange.respond(jsonResponse(200, Json { { "object", "list" }, { "data", list } }.dump()),
                     yield);
}

} // namespace ramphinge
