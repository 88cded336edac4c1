// Common part of buffered and streamed requests: see proxied_request.h.

#include "ramphinge/dispatch/internal/proxied_request.h"

#include "ramphinge/dispatch/internal/retry_loan.h"

#include <algorithm>
#include <exception>
#include <limits>
#include <utility>

namespace ramphinge {

namespace {

constexpr int latePriority = 9; // The lowest that upstreams distinguish.
// While no request is suspected, responses to larger requests are not recorded. The fingerprint of
// a request of this size takes 58 us on one core (5 us for 100 bytes, 870 us for a megabyte).
constexpr std::size_t maxFingerprintedBytes = 64 * 1024;
constexpr int misdirectedStatus = 421;
constexpr Duration minTimeout = std::chrono::milliseconds(1);
// Of a body that nobody needs: a new connection costs less than reading more.
constexpr std::size_t maxDiscardedBytes = 64 * 1024;
constexpr Duration maxDiscardTime = std::chrono::milliseconds(100);
// For what has arrived by the deadline and is read later.
constexpr Duration maxDeadlineOverrun = std::chrono::milliseconds(60);

// Whether a daemon that refuses for this reason would refuse other requests for the service too.
bool tellsOfDaemon(const std::optional<RefusalReason> &reason)
{
    return !reason || reason == RefusalReason::Partitioned || reason == RefusalReason::NoCatalog
        || reason == RefusalReason::StaleCatalog || reason == RefusalReason::Draining
        || reason == RefusalReason::InternalError;
}

const char *toString(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Done:
        break;
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::Refused:
        return "not_executed";
    case AttemptEnd::Failed:
        return "failed";
    }
    return "done";
}

// Empty on public routes.
AccountId accountOf(const AdmittedRequest &admitted)
{
    return admitted.account == nullptr ? AccountId() : admitted.account->account;
}

} // namespace

InFlightGuard::InFlightGuard(DispatchState &state, const Target &target, Tokens prompt,
                             Urgency urgency)
    : m_state(state), m_host(target.host), m_daemon(target.daemon), m_prompt(prompt),
      m_urgency(urgency)
{
    if (m_daemon.empty())
        m_state.targets.sent(m_host, m_prompt, m_urgency);
    else
        m_state.forwards.sent(m_daemon);
}

InFlightGuard::~InFlightGuard()
{
    if (m_daemon.empty())
        m_state.targets.ended(m_host, m_prompt, m_begun, m_urgency);
    else
        m_state.forwards.ended(m_daemon);
}

void InFlightGuard::begin(Duration took, Duration expected, MonotonicTime now)
{
    if (!m_daemon.empty())
        return;
    m_state.targets.began(m_host, m_prompt, took, expected, now, m_urgency);
    m_begun = true;
}

ProxiedRequest::ProxiedRequest(DispatchContext &context, HttpExchange &exchange,
                               const IncomingRequest &incoming, AdmittedRequest admitted,
                               MonotonicTime arrival)
    : m_context(context), m_exchange(exchange), m_incoming(incoming),
      m_admitted(std::move(admitted)), m_arrival(arrival)
{
    m_context.requests.insert(this);
}

ProxiedRequest::~ProxiedRequest()
{
    m_context.requests.erase(this);
    m_exchange.watchCaller({});
    if (m_retryPrepaid)
        m_context.state.budgetOf(m_admitted.service).giveBack(now());
}

void ProxiedRequest::execute(Yield yield)
{
    std::optional<std::string> failure;
    try {
        tryTargets(yield);
    } catch (const std::exception &e) {
        failure = e.what(); // Handled below, since a coroutine must not wait in a catch block.
    }
    if (failure)
        failAfterException(*failure, yield);
}

void ProxiedRequest::end()
{
    m_mustEnd = true;
    cancelCalls();
}

// Responds with an error that is correct about whether the request may have been executed.
void ProxiedRequest::failAfterException(const std::string &why, Yield yield)
{
    cancelAfterException();
    logEnd("request_failed_inside", LogWeight::Failure, { { "why", why } });
    endWithError(m_record.guarantee() ? RefusalReason::InternalError : finalReason(), yield);
}

void ProxiedRequest::cancelAfterException()
{
    if (!m_call)
        return;
    const int sent = m_call->sent() ? 1 : 0;
    m_sendCount += sent;
    m_mayHaveRunCount += sent;
    m_call->cancel();
}

void ProxiedRequest::tryTargets(Yield yield)
{
    const bool isForwarded = shouldForward();
    if (!isForwarded)
        meterArrival();
    m_exchange.watchCaller([this] { cancelCalls(); });
    if (!isForwarded && isQuarantined())
        m_isTrial = requestTrial(yield);
    const bool isAdmitted = isForwarded || isQuarantined() || awaitAdmission(yield);
    if (callerGone()) { // While it waited for the trial or for admission.
        logEnd("caller_gone", LogWeight::Failure, {});
        countOutcome("caller_gone");
        return;
    }
    if (mustEnd()) {
        endWithError(RefusalReason::Draining, yield);
        return;
    }
    if (!isAdmitted) {
        endWithError(RefusalReason::Overloaded, yield);
        return;
    }
    while (true) {
        const std::optional<Target> target = nextTarget();
        if (!target) {
            endWithError(finalReason(), yield);
            return;
        }
        const AttemptEnd end = attempt(*target, yield);
        m_isTrial = m_isTrial && m_sendCount == 0; // The trial lasts until something is sent.
        m_call.reset();
        if (end == AttemptEnd::Done)
            return;
        if (callerGone()) {
            logEnd("caller_gone", LogWeight::Failure, { { "host", target->host.text() } });
            countOutcome("caller_gone");
            return;
        }
        if (const std::optional<RefusalReason> reason = reasonToStop(end, yield)) {
            endWithError(*reason, yield);
            return;
        }
    }
}

void ProxiedRequest::meterArrival()
{
    m_context.state.budgetOf(m_admitted.service).onRequest(m_arrival);
    const ServiceEntry *service = m_admitted.catalog->findService(m_admitted.service);
    if (service == nullptr || !service->engine)
        return;
    m_context.state.demand.add(*service->engine, m_incoming.model, m_incoming.promptTokens,
                               m_incoming.maxAnswerTokens, m_arrival);
    noteAccount(*service->engine);
}

void ProxiedRequest::noteAccount(const EngineProfile &engine)
{
    DispatchState &state = m_context.state;
    if (state.admitsByModel(m_admitted.service) && engine.find(m_incoming.model) != nullptr)
        state.accountShares.noteArrival(m_incoming.model, accountOf(m_admitted), m_arrival);
}

bool ProxiedRequest::hasLostContact() const
{
    return m_context.state.contacts.isLost(m_admitted.service);
}

bool ProxiedRequest::shouldForward() const
{
    const DispatchState &state = m_context.state;
    return hasLostContact() && m_incoming.forwardedBy.empty()
        && state.forwards.hasAny(m_admitted.service);
}

std::optional<Target> ProxiedRequest::reserveDaemon()
{
    if (m_triedDaemons.size() >= m_context.options.maxForwards)
        return std::nullopt;
    const auto peer = m_context.state.forwards.choose(m_admitted.service, m_triedDaemons, now());
    if (!peer)
        return std::nullopt;
    m_triedDaemons.insert(peer->daemon);
    Target target;
    target.host = HostId(peer->daemon.text());
    target.endpoint = peer->endpoint;
    target.zone = peer->zone;
    target.service = m_admitted.service;
    target.model = m_incoming.model;
    target.daemon = peer->daemon;
    return target;
}

std::optional<Target> ProxiedRequest::reserveTarget()
{
    if (shouldForward())
        return reserveDaemon();
    if (isQuarantined())
        return std::nullopt;
    const Target *chosen = m_context.state.targets.choose(targetQuery(), now());
    if (chosen == nullptr)
        return std::nullopt;
    m_triedHosts.insert(chosen->host);
    m_context.state.gate.recordSend(chosen->host, now());
    m_context.state.reachability.noteSent(chosen->host, now());
    return *chosen; // A copy: the table may change while the attempt waits.
}

void ProxiedRequest::cancelCalls()
{
    if (m_call)
        m_call->cancel();
}

TargetQuery ProxiedRequest::targetQuery() const
{
    return { m_admitted.service, m_incoming.model,      m_incoming.promptTokens,
             m_triedHosts,       &m_context.state.gate, &m_context.state.reachability,
             m_unreachableZones };
}

AccountId ProxiedRequest::account() const
{
    return accountOf(m_admitted);
}

bool ProxiedRequest::mayRetry() const
{
    if (!m_admitted.route->mayRetry() || m_incoming.isAtMostOnce)
        return false;
    const CatalogPointer &current = m_context.state.catalog;
    if (current == m_admitted.catalog)
        return true;
    const RouteEntry *route = current->findRoute(m_incoming.host, m_incoming.path);
    return route == nullptr || route->mayRetry();
}

bool ProxiedRequest::mayFailOver(int mayHaveRunCount) const
{
    return mayRetry() && mayHaveRunCount < maxAttempts() && !m_isTrial && !isQuarantined()
        && (m_retryPrepaid || m_context.state.budgetOf(m_admitted.service).allows(now()))
        && hasTarget();
}

int ProxiedRequest::maxAttempts() const
{
    const int permitted = m_admitted.route->maxAttempts;
    return std::min(permitted, m_incoming.attemptsLeft.value_or(permitted));
}

bool ProxiedRequest::hasTarget() const
{
    if (shouldForward())
        return m_triedDaemons.size() < m_context.options.maxForwards
            && m_context.state.forwards.hasOther(m_admitted.service, m_triedDaemons, now());
    return !m_context.state.targets.candidates(targetQuery(), now()).empty();
}

std::optional<RefusalReason> ProxiedRequest::reasonToStop(AttemptEnd last, Yield yield)
{
    if (mustEnd())
        return RefusalReason::Draining;
    if (!m_record.maySend(repeatability()))
        return timeLeft() <= Duration::zero() ? RefusalReason::DeadlineExceeded
                                              : RefusalReason::OutcomeUnknown;
    if (timeLeft() <= Duration::zero())
        return m_record.guarantee() ? RefusalReason::Overloaded : RefusalReason::DeadlineExceeded;
    if (m_mayHaveRunCount >= maxAttempts())
        return RefusalReason::UpstreamFailed;
    if (m_isExhausted) // As every other upstream would find it.
        return m_record.guarantee() ? RefusalReason::Overloaded : finalReason();
    if (const auto refused = finalForwardRefusal()) {
        m_admissionDelay = m_refusal->retryAfter;
        return m_record.guarantee() ? *refused : finalReason();
    }
    if (isQuarantined())
        return finalReason();
    if (last == AttemptEnd::Refused
        && ++m_notExecutedResponses >= m_context.options.maxNotExecutedResponses)
        return finalReason();
    if (hasLostContact() && !m_incoming.forwardedBy.empty())
        return finalReason(); // The daemon that forwarded it may ask another one.
    if (m_sendCount == 0) // The next attempt is not a retry.
        return std::nullopt;
    if (!hasTarget())
        return finalReason();
    if (!chargeRetry(toString(last)) && !borrowRetry(yield)) {
        m_context.metrics.count(MetricName("repeats_denied_total"));
        m_context.metrics.count(MetricName("retries_denied_total")
                                    .with("service", m_admitted.service.text())
                                    .with("cause", m_retryCause));
        return finalReason();
    }
    return std::nullopt;
}

bool ProxiedRequest::chargeRetry(const char *cause)
{
    if (m_retryPrepaid)
        return true;
    m_retryCause = cause;
    m_retryPrepaid = m_context.state.budgetOf(m_admitted.service).take(now());
    return m_retryPrepaid;
}

bool ProxiedRequest::borrowRetry(Yield yield)
{
    DispatchState &state = m_context.state;
    const ServiceId &service = m_admitted.service;
    if (!state.mayBorrowRetry(service, now()))
        return false;
    std::set<DaemonId> asked;
    while (asked.size() < m_context.options.maxLenders && !callerGone()) {
        const auto lender = state.forwards.choose(service, asked, now());
        if (!lender)
            break;
        asked.insert(lender->daemon);
        HttpCallOptions options;
        options.connectTimeout = m_context.options.loanTimeout;
        options.headTimeout = m_context.options.loanTimeout;
        options.readTimeout = m_context.options.loanTimeout;
        options.maxIdleConnections = m_context.options.maxIdleForwardConnections;
        m_call = m_context.upstreams.callDaemon(lender->endpoint, retryLoanRequest(service),
                                                std::move(options));
        const Status started = m_call->start(yield);
        const bool isGranted = started.ok() && grantsRetryLoan(m_call->status(), m_call->headers());
        if (started.ok())
            discardBody(yield);
        m_call.reset();
        m_context.metrics.count(MetricName("retry_loans_total")
                                    .with("service", service.text())
                                    .with("result", isGranted ? "granted" : "denied"));
        if (!isGranted)
            continue;
        m_retryPrepaid = true;
        return true;
    }
    state.noteNoRetryToBorrow(service, now() + m_context.options.loanPause);
    return false;
}

Status ProxiedRequest::startCounted(const Target &target, Yield yield)
{
    const std::optional<SendNumber> send = beginSend(target);
    if (!send)
        return Error(ErrorKind::Unknown, "not sent again: it may have been executed");
    m_send = *send;
    // Used up while the call is under way: another retry that is tried meanwhile has its own.
    const bool wasPrepaid = std::exchange(m_retryPrepaid, false);
    Status started = Done {};
    try {
        started = m_call->start(yield);
    } catch (...) {
        noteNoResponse(target, m_send, *m_call);
        throw;
    }
    if (!started.ok())
        noteNoResponse(target, m_send, *m_call);
    m_isExhausted = m_call->exhausted();
    countSend(target, *m_call);
    if (wasPrepaid && !m_call->sent())
        returnCharge();
    return started;
}

std::optional<SendNumber> ProxiedRequest::beginSend(const Target &target)
{
    const std::optional<SendNumber> send = m_record.beginSend(repeatability());
    if (send) {
        m_sentTo.insert(target.endpoint);
        logSendAgain(target);
    } else {
        logFailedAttempt(target, "not_sent_again", "it may have been executed");
    }
    return send;
}

void ProxiedRequest::noteNoResponse(const Target &target, SendNumber send, const UpstreamCall &call)
{
    const std::optional<NotExecutedProof> proof = NotExecutedProof::fromCall(call);
    if (proof)
        m_record.proveNotExecuted(send, *proof);
    noteSendEnd(target, proof ? "nothing written" : "no answer");
}

// Why another send of a request that may be executed once only was thought safe.
void ProxiedRequest::logSendAgain(const Target &target) const
{
    if (mayRetry() || m_sendEnds.empty())
        return;
    m_context.metrics.count(MetricName("at_most_once_sends_again_total"));
    m_context.log.write("sent_again", LogWeight::Failure,
                        { { "request", m_incoming.request.text() },
                          { "host", target.host.text() },
                          { "catalog", m_admitted.catalog->version().count() },
                          { "earlier_sends", m_sendEnds } });
}

void ProxiedRequest::noteSendEnd(const Target &target, const std::string &end)
{
    m_sendEnds.push_back(target.host.text() + ": " + end);
}

void ProxiedRequest::returnCharge()
{
    if (m_retryPrepaid)
        m_context.state.budgetOf(m_admitted.service).giveBack(now());
    m_retryPrepaid = true;
}

void ProxiedRequest::countSend(const Target &target, const UpstreamCall &call)
{
    if (!call.sent())
        return;
    const char *cause = m_sendCount == 0 ? "first" : m_retryCause;
    ++m_sendCount;
    if (!target.isDaemon()) // The other daemon counts its own.
        m_context.metrics.count(MetricName("upstream_sends_total")
                                    .with("service", m_admitted.service.text())
                                    .with("cause", cause));
}

RefusalReason ProxiedRequest::finalReason() const
{
    if (!m_record.guarantee())
        return mayRetry() ? RefusalReason::UpstreamFailed : RefusalReason::OutcomeUnknown;
    if (isQuarantined())
        return RefusalReason::Quarantined;
    if (m_sendCount > 0)
        return RefusalReason::Overloaded;
    if (hasLostContact())
        return RefusalReason::Partitioned;
    return reasonWithheld().value_or(RefusalReason::NoUpstream);
}

// What a daemon with contact knows of its servers' room holds for all. That it has no upstream may
// only mean that it has just started.
std::optional<RefusalReason> ProxiedRequest::finalForwardRefusal() const
{
    if (!m_refusal || !m_refusal->isRefusal || !m_refusal->reason)
        return std::nullopt;
    switch (*m_refusal->reason) {
    case RefusalReason::Overloaded:
    case RefusalReason::RateLimited:
    case RefusalReason::BackingOff:
    case RefusalReason::Quarantined:
        return m_refusal->reason;
    default:
        return std::nullopt;
    }
}

std::vector<HostId> ProxiedRequest::allCandidateHosts() const
{
    TargetQuery allTargets = targetQuery();
    allTargets.exclude.clear();
    allTargets.gate = nullptr;
    return m_context.state.targets.candidates(allTargets, now());
}

std::optional<RefusalReason> ProxiedRequest::reasonWithheld() const
{
    const ServerGate &gate = m_context.state.gate;
    std::optional<RefusalReason> reason;
    if (gate.empty())
        return reason;
    for (const HostId &host : allCandidateHosts()) {
        if (gate.admits(host, now()))
            return std::nullopt;
        if (!gate.takesRequests(host))
            continue;
        if (gate.backoffs().admits(host, now()))
            return RefusalReason::RateLimited;
        reason = RefusalReason::BackingOff;
    }
    return reason;
}

std::optional<Duration> ProxiedRequest::timeUntilAccepted()
{
    const std::optional<RefusalReason> reason = reasonWithheld();
    if (!reason)
        return std::nullopt;
    if (reason == RefusalReason::RateLimited)
        return m_context.state.retryAfterSchedule(m_admitted.service, m_incoming.model)
            .next(acceptedRateShare(), now());
    const ServerBackoffs &backoffs = m_context.state.gate.backoffs();
    MonotonicTime earliest = MonotonicTime::max();
    for (const HostId &host : allCandidateHosts())
        earliest = std::min(earliest, backoffs.resumesAt(host, now()).value_or(now()));
    const Duration base = m_context.options.retryAfter;
    const Duration spread = scaled(base, m_context.options.retryAfterSpread);
    return std::max(base, earliest - now()) + scaled(spread, m_context.random.fraction());
}

RequestRate ProxiedRequest::acceptedRateShare() const
{
    const ServerGate &gate = m_context.state.gate;
    double perSecond = 0;
    for (const HostId &host : allCandidateHosts()) {
        if (gate.takesRequests(host))
            perSecond += gate.rateOf(host, now()).value_or(RequestRate()).perSecond();
    }
    return RequestRate(perSecond
                       / static_cast<double>(std::max<std::size_t>(1, gate.limits().daemons())));
}

std::optional<Duration> ProxiedRequest::retryAfter(RefusalReason reason)
{
    if (!promisesNotExecuted(reason))
        return std::nullopt;
    if (reason == RefusalReason::Draining)
        return m_context.options.retryAfterDraining;
    if (m_admissionDelay)
        return m_admissionDelay;
    const bool isCapacityRefusal =
        reason != RefusalReason::Quarantined && reason != RefusalReason::InternalError;
    if (const auto wait = isCapacityRefusal ? timeUntilAccepted() : std::nullopt)
        return wait;
    const Duration base = reason == RefusalReason::Quarantined
        ? m_context.options.retryAfterQuarantine
        : m_context.options.retryAfter;
    return m_context.random.jittered(base, m_context.options.retryAfterSpread);
}

void ProxiedRequest::endWithError(RefusalReason reason, Yield yield)
{
    const std::optional<NotExecutedGuarantee> guarantee = m_record.guarantee();
    if (promisesNotExecuted(reason) && !guarantee)
        reason = finalReason();
    nlohmann::json fields { { "reason", toString(reason) } };
    if (reason == RefusalReason::Quarantined)
        fields["fingerprint"] = quarantineCause().text();
    if (m_context.state.admitsByModel(m_admitted.service)) {
        const AccountId account = accountOf(m_admitted);
        fields["account"] = account.text();
        fields["account_over_share"] =
            m_context.state.accountShares.isOverShare(m_incoming.model, account, now());
    }
    fields["earlier_sends"] = m_sendEnds;
    logEnd("refused", LogWeight::Failure, std::move(fields));
    countOutcome(toString(reason));
    if (promisesNotExecuted(reason))
        m_context.metrics.count(MetricName("refusals_with_promise_total")
                                    .with("sends", m_sendCount == 0 ? "none" : "some"));
    // The HTTP server notes a caller that has disconnected.
    HttpResponse response = refusalResponse(reason, guarantee, retryAfter(reason));
    if (!m_incoming.forwardedBy.empty())
        addRefusalHeaders(response, reason, m_sendCount,
                          guarantee ? std::optional<RequestId>(m_incoming.request) : std::nullopt);
    static_cast<void>(m_exchange.respond(response, yield));
}

std::unique_ptr<UpstreamCall> ProxiedRequest::makeCall(const Target &target,
                                                       const EventId &resumeAfter,
                                                       Duration headTimeout, Urgency urgency) const
{
    HttpCallOptions options;
    const Duration connectTimeout = m_context.state.reachability.knows(target.host)
        ? m_context.options.sensitiveConnectTimeout
        : m_context.options.connectTimeout;
    options.connectTimeout = std::clamp(timeLeft(), minTimeout, connectTimeout);
    options.headTimeout = std::max(headTimeout, minTimeout);
    options.readTimeout = std::max(timeLeft(), minTimeout);
    if (!m_admitted.route->mayRetry())
        options.maxIdle = m_context.options.maxIdleAtMostOnce;
    options.belongs = [&codec = m_context.codec, request = m_incoming.request](
                          const HttpHeaders &headers) { return codec.answers(headers, request); };
    // Otherwise a late copy of the refusal of an earlier send could be taken for that of this one.
    options.freshConnection = m_sentTo.count(target.endpoint) > 0;
    if (target.isDaemon())
        return makeForwardCall(target, resumeAfter, std::move(options));
    const OutgoingRequest outgoing {
        m_incoming,  accountOf(m_admitted),
        target.host, timeLeft(),
        resumeAfter, urgency == Urgency::Late ? latePriority : m_admitted.priority()
    };
    options.maxIdleConnections = maxIdleConnections();
    // A kept connection may be dead, and what is sent on it may have run. A new one fails before
    // anything is sent.
    if (m_context.state.reachability.isInDoubt(target.host, now()))
        options.freshConnection = true;
    return m_context.upstreams.call(target.address(), SendPurpose::Request,
                                    m_context.codec.encode(outgoing), options);
}

// Keeps one attempt for another daemon, in case this one dies with the request.
std::unique_ptr<UpstreamCall> ProxiedRequest::makeForwardCall(const Target &target,
                                                              const EventId &resumeAfter,
                                                              HttpCallOptions options) const
{
    m_grantedAttempts = std::max(1, maxAttempts() - m_mayHaveRunCount - 1);
    HttpRequest message = m_context.codec.encodeForwarded(m_incoming, timeLeft(), resumeAfter);
    addForwardHeaders(message, m_context.state.self, m_grantedAttempts, repeatability());
    options.maxIdleConnections = m_context.options.maxIdleForwardConnections;
    return m_context.upstreams.callDaemon(target.endpoint, message, std::move(options));
}

ResponseHead ProxiedRequest::decodeResponse(const Target &target, SendNumber send,
                                            const HttpCall &call)
{
    ResponseHead head = m_context.codec.decodeResponseHead(call.status(), call.headers());
    noteSendEnd(target,
                head.evidence + (call.usesKeptConnection() ? ", on a kept connection" : ""));
    m_refusal.reset();
    if (target.isDaemon() && head.authentic) {
        head.refused = false; // A server's response; the daemon's own refusals carry no proof.
    } else if (target.isDaemon()) {
        m_refusal = decodeForwardRefusal(call.status(), call.headers());
        head.refused = m_refusal->isRefusal;
        if (!head.notExecuted)
            head.notExecuted = m_refusal->notExecuted;
    }
    if (const auto proof = NotExecutedProof::fromResponse(head.notExecuted, m_incoming.request))
        m_record.proveNotExecuted(send, *proof);
    return head;
}

AttemptEnd ProxiedRequest::handleForwardRefusal(const Target &target)
{
    m_sendCount += m_refusal->sends - 1; // The call itself was counted as one.
    if (tellsOfDaemon(m_refusal->reason))
        m_context.state.forwards.avoid(target.daemon, target.service, now());
    logFailedAttempt(target, "not_executed",
                     std::string("the daemon refused it: ")
                         + (m_refusal->reason ? toString(*m_refusal->reason) : "unknown reason"));
    return AttemptEnd::Refused;
}

int ProxiedRequest::maxIdleConnections() const
{
    const ServiceEntry *service = m_admitted.catalog->findService(m_admitted.service);
    if (service == nullptr || service->connectionLimit == 0)
        return std::numeric_limits<int>::max();
    return std::max(1, service->connectionLimit / m_context.state.daemons());
}

bool ProxiedRequest::isQuarantined() const
{
    const Quarantine &quarantine = m_context.state.quarantine;
    return !m_isTrial && !quarantine.quarantinesNothing() && quarantine.contains(suspectRequest());
}

// A request with several quarantined causes gets none: its crash would not tell which one it is.
bool ProxiedRequest::requestTrial(Yield yield)
{
    const std::vector<Fingerprint> causes = m_context.state.quarantine.causesIn(suspectRequest());
    return causes.size() == 1 && m_context.trials.grantTrial(causes.front(), yield);
}

const SuspectRequest &ProxiedRequest::suspectRequest() const
{
    if (m_suspect)
        return *m_suspect;
    const std::string &key = m_context.state.fingerprintKey;
    const HttpRequest &message = m_incoming.message;
    SuspectRequest suspect;
    suspect.account = accountOf(m_admitted);
    suspect.route = m_admitted.route->route.text();
    suspect.fingerprint = fingerprintOf(
        key,
        { message.method, m_incoming.host, message.target, message.body.text(), suspect.account });
    for (const PromptPartId &part : m_incoming.promptParts)
        suspect.parts.push_back(fingerprintOf(key, PromptPartIdentity { m_incoming.model, part }));
    m_suspect = std::move(suspect);
    return *m_suspect;
}

bool ProxiedRequest::awaitCrashVerdict(const Target &target, MonotonicTime sentAt, Yield yield)
{
    if (target.isDaemon()) // It has checked its servers itself.
        return false;
    const Duration maxWait =
        std::clamp(timeLeft(), minTimeout, m_context.options.crashDetector.timeout);
    return m_context.crashDetector.connectionEnded(suspectRequest(), target, sentAt, maxWait,
                                                   yield);
}

bool ProxiedRequest::isEndProven(const Target &target, MonotonicTime sentAt, Yield yield)
{
    if (!m_call->endsWithConnection())
        return true;
    if (target.isDaemon()) // Daemons delimit all responses.
        return false;
    const MonotonicTime knownBy = now()
        + (mayFailOver(m_mayHaveRunCount) ? scaled(timeLeft(), m_context.options.headTimeoutShare)
                                          : timeLeft());
    // Nothing is sent to a server that asked for a pause.
    const std::optional<MonotonicTime> resumesAt =
        m_context.state.gate.backoffs().resumesAt(target.host, now());
    if (resumesAt && *resumesAt < knownBy)
        sleepFor(m_context.io, *resumesAt - now(), yield);
    if (m_context.livenessChecker.isAlive(target, std::max(knownBy - now(), minTimeout), yield))
        return true;
    awaitCrashVerdict(target, sentAt, yield);
    return false;
}

// The request itself, if another daemon has refused it and this one doesn't know the cause.
Fingerprint ProxiedRequest::quarantineCause() const
{
    const std::vector<Fingerprint> causes = m_context.state.quarantine.causesIn(suspectRequest());
    return causes.empty() ? fingerprint() : causes.front();
}

void ProxiedRequest::noteAnswered(MonotonicTime begunAt)
{
    const bool isKnown = !m_context.state.quarantine.empty();
    if (!isKnown && m_incoming.message.body.size() > maxFingerprintedBytes)
        return;
    Quarantine &quarantine = m_context.state.quarantine;
    const bool clearsRequest = quarantine.noteCompleteAnswer(fingerprint(), now());
    const bool clearsParts = quarantine.notePartsSound(suspectRequest().parts, begunAt, now());
    if (clearsRequest || clearsParts)
        m_context.log.write("request_cleared", LogWeight::Belief,
                            { { "request", m_incoming.request.text() },
                              { "fingerprint", fingerprint().text() },
                              { "clears_parts", clearsParts } });
}

AttemptEnd ProxiedRequest::attemptEndFor(const Status &failure) const
{
    return failure.error().kind() == ErrorKind::Unavailable ? AttemptEnd::NotSent
                                                            : AttemptEnd::Failed;
}

void ProxiedRequest::logWithheld(const Target &target) const
{
    logFailedAttempt(target, "withheld",
                     m_isExhausted ? "no connection is left"
                                   : "the server asked for a pause or is leaving");
}

void ProxiedRequest::noteConnectionFailure(const Target &target, const UpstreamCall &call)
{
    if (call.unreachable() && m_context.state.reachability.knows(target.host))
        m_unreachableZones.insert(target.zone);
}

void ProxiedRequest::avoid(const Target &target)
{
    if (target.isDaemon()) {
        m_context.state.forwards.avoid(target.daemon, target.service, now());
        return;
    }
    // An unreachable host returns as soon as it is reached, not after a fixed time.
    if (!m_context.state.reachability.isUnreachable(target.host, now()))
        m_context.state.targets.avoid(target.host, now());
    m_context.state.suspicions.note(target.replica, now());
}

AttemptEnd ProxiedRequest::handleRefusal(const Target &target, const ResponseHead &head)
{
    if (target.isDaemon())
        return handleForwardRefusal(target);
    TargetTable &targets = m_context.state.targets;
    targets.failed(target.host, now());
    // A refusal that names another server is caused by a missing member of the replica; one without
    // a name means that this server has no capacity.
    if (!head.faultyServer.empty() || head.status == misdirectedStatus)
        avoid(target);
    logFailedAttempt(
        target, "not_executed",
        "status " + std::to_string(head.status)
            + (head.faultyServer.empty() ? "" : ", because of " + head.faultyServer.text()));
    return AttemptEnd::Refused;
}

void ProxiedRequest::endWithUnprovenRefusal(const Target &target, const ResponseHead &head,
                                            Yield yield)
{
    logFailedAttempt(target, "unproven_refusal", head.evidence);
    endWithError(finalReason(), yield);
}

void ProxiedRequest::discardBody(Yield yield)
{
    const MonotonicTime until = now() + maxDiscardTime;
    std::string piece;
    for (std::size_t total = 0; total <= maxDiscardedBytes && now() < until;
         total += piece.size()) {
        piece.clear();
        m_call->setReadTimeout(until - now());
        const Result<std::size_t> got = m_call->read(piece, yield);
        if (!got.ok() || got.value() == 0)
            return;
    }
    m_call->cancel();
}

Result<std::string> ProxiedRequest::readBody(Yield yield)
{
    m_gaveUpBody = false;
    m_bodyMemory.emplace(m_context.state.answerMemory, m_admitted.service, [this] {
        if (m_call)
            m_call->cancel();
    });
    std::string body;
    while (true) {
        m_call->setReadTimeout(std::max(timeLeft(), minTimeout));
        const Result<std::size_t> got = m_call->read(body, yield);
        if (m_bodyMemory->isEvicted())
            return giveUpBody("response body was evicted from memory");
        if (!got.ok()) {
            m_bodyMemory.reset();
            return got.error();
        }
        if (got.value() == 0) {
            m_bodyMemory->complete();
            return body;
        }
        if (body.size() > m_context.options.maxBufferedResponseBytes)
            return giveUpBody("response body exceeds the size limit");
        if (!m_bodyMemory->resize(body.size()))
            return giveUpBody("response body exceeds the memory of all responses");
        if (timeLeft() < -maxDeadlineOverrun)
            return giveUpBody("response body has no end before the deadline");
    }
}

Error ProxiedRequest::giveUpBody(const char *why)
{
    m_gaveUpBody = true;
    m_bodyMemory.reset();
    m_call->cancel();
    m_context.metrics.count(MetricName("responses_given_up_total"));
    return Error(ErrorKind::Unknown, why);
}

Status ProxiedRequest::sendResponse(const ResponseHead &head, std::string body, Yield yield)
{
    return m_exchange.respond({ head.status, head.headers, std::move(body) }, yield);
}

void ProxiedRequest::logTarget(const Target &target, Duration expected, Urgency urgency) const
{
    const double pictureAge =
        toMilliseconds(m_context.state.freshness.age(now()).value_or(Duration::zero()));
    m_context.log.write("target_chosen", LogWeight::Routine,
                        { { "request", m_incoming.request.text() },
                          { "host", target.host.text() },
                          { "replica", target.replica.text() },
                          { "attempt", m_triedHosts.size() },
                          { "expected_ms", toMilliseconds(expected) },
                          { "urgency", toString(urgency) },
                          { "in_flight", m_context.state.targets.inFlight(target.host) },
                          { "catalog", m_admitted.catalog->version().count() },
                          { "picture_age_ms", pictureAge },
                          { "left_ms", toMilliseconds(timeLeft()) },
                          { "forwarded", target.isDaemon() } });
    if (target.isDaemon())
        m_context.metrics.count(MetricName("requests_forwarded_total"));
}

void ProxiedRequest::logFailedAttempt(const Target &target, const char *what,
                                      const std::string &why) const
{
    m_context.metrics.count(MetricName("attempts_failed_total").with("end", what));
    m_context.log.write("attempt_failed", LogWeight::Failure,
                        { { "request", m_incoming.request.text() },
                          { "host", target.host.text() },
                          { "replica", target.replica.text() },
                          { "end", what },
                          { "why", why },
                          { "fingerprint", fingerprint().text() },
                          { "age_ms", toMilliseconds(now() - m_arrival) } });
}

void ProxiedRequest::logEnd(const char *event, LogWeight weight, nlohmann::json fields) const
{
    fields["request"] = m_incoming.request.text();
    fields["route"] = m_admitted.route->route.text();
    fields["age_ms"] = toMilliseconds(now() - m_arrival);
    fields["sends"] = m_sendCount;
    if (!m_incoming.forwardedBy.empty())
        fields["forwarded_by"] = m_incoming.forwardedBy.text();
    m_context.log.write(event, weight, std::move(fields));
}

void ProxiedRequest::countServed() const
{
    m_context.state.durations.note(m_admitted.service, now() - m_arrival);
    countOutcome("served");
}

void ProxiedRequest::countOutcome(const char *outcome) const
{
    m_context.metrics.count(MetricName("requests_total").with("outcome", outcome));
    m_context.metrics.observe(MetricName("request_ms").with("outcome", outcome), now() - m_arrival,
                              now());
}

} // namespace ramphinge
