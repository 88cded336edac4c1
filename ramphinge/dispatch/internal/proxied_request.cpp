// What whole and streamed requests have in common: see proxied_request.h.

#include "ramphinge/dispatch/internal/proxied_request.h"

#include <algorithm>
#include <exception>
#include <limits>
#include <utility>

namespace ramphinge {

namespace {

constexpr int lowestPriority = 9; // Of what upstreams distinguish.
// Of a request whose answer is remembered though nothing is suspected: its fingerprint takes 58 us
// then (5 us for 100 bytes, 870 us for a megabyte; mean of many, on one core of the build machine).
constexpr std::size_t mostRememberedBytes = 64 * 1024;
constexpr int misdirected = 421;
constexpr Duration leastTimeout = std::chrono::milliseconds(1);

bool promisesNotRun(RefusalReason reason)
{
    return reason == RefusalReason::NoUpstream || reason == RefusalReason::Overloaded
        || reason == RefusalReason::Quarantined || reason == RefusalReason::RateLimited
        || reason == RefusalReason::BackingOff || reason == RefusalReason::InternalError;
}

// Empty on public routes.
AccountId accountOf(const AdmittedRequest &admitted)
{
    return admitted.account == nullptr ? AccountId() : admitted.account->account;
}

} // namespace

TargetUse::TargetUse(TargetTable &targets, HostId host, Tokens prompt, Urgency urgency)
    : m_targets(targets), m_host(std::move(host)), m_prompt(prompt), m_urgency(urgency)
{
    m_targets.sent(m_host, m_prompt, m_urgency);
}

TargetUse::~TargetUse()
{
    m_targets.ended(m_host, m_prompt, m_begun, m_urgency);
}

void TargetUse::begin(Duration took, Duration expected, MonotonicTime now)
{
    m_targets.began(m_host, m_prompt, took, expected, now, m_urgency);
    m_begun = true;
}

Run::Run(RunContext &context, HttpExchange &exchange, const IncomingRequest &incoming,
         AdmittedRequest admitted, MonotonicTime arrival)
    : m_context(context), m_exchange(exchange), m_incoming(incoming),
      m_admitted(std::move(admitted)), m_arrival(arrival)
{ }

Run::~Run()
{
    m_exchange.watchCaller({});
}

void Run::execute(Yield yield)
{
    std::optional<std::string> failure;
    try {
        tryUpstreams(yield);
    } catch (const std::exception &e) {
        failure = e.what(); // Answered below: nothing may wait in a handler of exceptions.
    }
    if (failure)
        endByFailure(*failure, yield);
}

// The caller gets an answer that is true of what was sent.
void Run::endByFailure(const std::string &why, Yield yield)
{
    abandon();
    logEnd("request_failed_inside", LogWeight::Failure, { { "why", why } });
    if (m_mayHaveRun == 0)
        giveUp(RefusalReason::InternalError, yield);
    else
        giveUp(finalReason(), yield);
}

void Run::abandon()
{
    if (!m_call)
        return;
    const int sent = m_call->sent() ? 1 : 0;
    m_sends += sent;
    m_mayHaveRun += sent;
    m_call->cancel();
}

void Run::tryUpstreams(Yield yield)
{
    m_context.state.budgetOf(m_admitted.service).onRequest(m_arrival);
    const ServiceEntry *service = m_admitted.catalog->findService(m_admitted.service);
    if (service != nullptr && service->engine)
        m_context.state.demand.add(*service->engine, m_incoming.model, m_incoming.promptTokens,
                                   m_incoming.maxAnswerTokens, m_arrival);
    m_exchange.watchCaller([this] { cancelCalls(); });
    if (isQuarantined())
        m_onTrial = m_context.trials.grantTrial(fingerprint(), yield);
    if (callerGone()) { // While that was settled.
        logEnd("caller_gone", LogWeight::Failure, {});
        countEnd("caller_gone");
        return;
    }
    while (true) {
        const std::optional<Target> target = nextTarget();
        if (!target) {
            giveUp(finalReason(), yield);
            return;
        }
        const AttemptEnd end = attempt(*target, yield);
        m_onTrial = m_onTrial && m_sends == 0; // What was not sent tried nothing.
        m_call.reset();
        if (end == AttemptEnd::Done)
            return;
        if (callerGone()) {
            logEnd("caller_gone", LogWeight::Failure, { { "host", target->host.text() } });
            countEnd("caller_gone");
            return;
        }
        if (const std::optional<RefusalReason> reason = whyNotAgain(end)) {
            giveUp(*reason, yield);
            return;
        }
    }
}

std::optional<Target> Run::takeTarget()
{
    if (isQuarantined())
        return std::nullopt;
    const Target *chosen = m_context.state.targets.choose(query(), now());
    if (chosen == nullptr)
        return std::nullopt;
    m_tried.insert(chosen->host);
    m_context.state.gate.take(chosen->host, now());
    return *chosen; // A copy: the table may change while the attempt waits.
}

void Run::cancelCalls()
{
    if (m_call)
        m_call->cancel();
}

TargetQuery Run::query() const
{
    return { m_admitted.service, m_incoming.model, m_incoming.promptTokens, m_tried,
             &m_context.state.gate };
}

bool Run::mayMove(int mayHaveRun) const
{
    return mayRepeat() && mayHaveRun < m_admitted.route->maxAttempts && !m_onTrial
        && !isQuarantined() && m_context.state.budgetOf(m_admitted.service).allows(now())
        && m_context.state.targets.choose(query(), now()) != nullptr;
}

std::optional<RefusalReason> Run::whyNotAgain(AttemptEnd last)
{
    if (last == AttemptEnd::Failed && !mayRepeat())
        return timeLeft() <= Duration::zero() ? RefusalReason::DeadlineExceeded
                                              : RefusalReason::OutcomeUnknown;
    if (timeLeft() <= Duration::zero())
        return m_mayHaveRun > 0 ? RefusalReason::DeadlineExceeded : RefusalReason::Overloaded;
    if (m_mayHaveRun >= m_admitted.route->maxAttempts)
        return RefusalReason::UpstreamFailed;
    if (isQuarantined())
        return finalReason();
    if (last == AttemptEnd::NotExecuted && ++m_refusals >= m_context.options.maxRefusals)
        return finalReason();
    // What was never sent is no repeat.
    const bool paid = std::exchange(m_repeatPaid, false);
    if (m_sends > 0 && !paid && !m_context.state.budgetOf(m_admitted.service).take(now())) {
        m_context.metrics.count(MetricName("repeats_denied_total"));
        return finalReason();
    }
    return std::nullopt;
}

RefusalReason Run::finalReason() const
{
    if (m_mayHaveRun > 0)
        return mayRepeat() ? RefusalReason::UpstreamFailed : RefusalReason::OutcomeUnknown;
    if (isQuarantined())
        return RefusalReason::Quarantined;
    if (m_sends > 0)
        return RefusalReason::Overloaded;
    return whyWithheld().value_or(RefusalReason::NoUpstream);
}

std::vector<HostId> Run::possibleHosts() const
{
    TargetQuery any = query();
    any.exclude.clear();
    any.gate = nullptr;
    return m_context.state.targets.candidates(any, now());
}

std::optional<RefusalReason> Run::whyWithheld() const
{
    const ServerGate &gate = m_context.state.gate;
    std::optional<RefusalReason> reason;
    if (gate.empty())
        return reason;
    for (const HostId &host : possibleHosts()) {
        if (gate.admits(host, now()))
            return std::nullopt;
        if (gate.departures().isLeaving(host))
            continue;
        if (gate.backoffs().admits(host, now()))
            return RefusalReason::RateLimited;
        reason = RefusalReason::BackingOff;
    }
    return reason;
}

std::optional<Duration> Run::untilAccepted()
{
    const std::optional<RefusalReason> reason = whyWithheld();
    if (!reason)
        return std::nullopt;
    if (reason == RefusalReason::RateLimited)
        return m_context.state.returnsTo(m_admitted.service, m_incoming.model)
            .next(acceptedPart(), now());
    const ServerBackoffs &backoffs = m_context.state.gate.backoffs();
    MonotonicTime earliest = MonotonicTime::max();
    for (const HostId &host : possibleHosts())
        earliest = std::min(earliest, backoffs.returnsAt(host, now()).value_or(now()));
    const Duration base = m_context.options.retryAfter;
    const Duration spread = scaled(base, m_context.options.retryAfterSpread);
    return std::max(base, earliest - now()) + scaled(spread, m_context.random.fraction());
}

RequestRate Run::acceptedPart() const
{
    const ServerLimits &limits = m_context.state.gate.limits();
    double perSecond = 0;
    for (const HostId &host : possibleHosts())
        perSecond += limits.rateOf(host, now()).value_or(RequestRate()).perSecond();
    return RequestRate(perSecond / static_cast<double>(std::max<std::size_t>(1, limits.daemons())));
}

std::optional<Duration> Run::retryAfter(RefusalReason reason)
{
    if (!promisesNotRun(reason))
        return std::nullopt;
    const bool isForCapacity =
        reason != RefusalReason::Quarantined && reason != RefusalReason::InternalError;
    if (const auto wait = isForCapacity ? untilAccepted() : std::nullopt)
        return wait;
    const Duration base = reason == RefusalReason::Quarantined
        ? m_context.options.retryAfterQuarantine
        : m_context.options.retryAfter;
    return m_context.random.jittered(base, m_context.options.retryAfterSpread);
}

void Run::giveUp(RefusalReason reason, Yield yield)
{
    nlohmann::json more { { "reason", toString(reason) } };
    if (reason == RefusalReason::Quarantined)
        more["fingerprint"] = fingerprint().text();
    logEnd("refused", LogWeight::Failure, std::move(more));
    countEnd(toString(reason));
    // A caller that is gone was noted by the server.
    static_cast<void>(m_exchange.respond(refusalAnswer(reason, retryAfter(reason)), yield));
}

std::unique_ptr<UpstreamCall> Run::makeCall(const Target &target, const EventId &resumeAfter,
                                            Duration headTimeout, Urgency urgency) const
{
    const OutgoingRequest outgoing {
        m_incoming,  accountOf(m_admitted),
        target.host, timeLeft(),
        resumeAfter, urgency == Urgency::Late ? lowestPriority : m_admitted.priority()
    };
    HttpCallOptions options;
    options.connectTimeout = std::clamp(timeLeft(), leastTimeout, m_context.options.connectTimeout);
    options.headTimeout = std::max(headTimeout, leastTimeout);
    options.readTimeout = std::max(timeLeft(), leastTimeout);
    if (!m_admitted.route->mayRepeat())
        options.maxIdle = m_context.options.maxIdleAtMostOnce;
    options.maxIdleConnections = maxIdleConnections();
    options.belongs = [&codec = m_context.codec, request = m_incoming.request](
                          const HttpHeaders &headers) { return codec.answers(headers, request); };
    return m_context.upstreams.call(target.address(), SendPurpose::Request,
                                    m_context.codec.encode(outgoing), options);
}

int Run::maxIdleConnections() const
{
    const ServiceEntry *service = m_admitted.catalog->findService(m_admitted.service);
    if (service == nullptr || service->connectionLimit == 0)
        return std::numeric_limits<int>::max();
    return std::max(1, service->connectionLimit / m_context.state.daemons());
}

bool Run::isQuarantined() const
{
    const Quarantine &quarantine = m_context.state.quarantine;
    return !m_onTrial && !quarantine.empty() && quarantine.holds(fingerprint());
}

SuspectRequest Run::suspect() const
{
    return { fingerprint(), accountOf(m_admitted), m_admitted.route->route.text() };
}

void Run::noteConnectionEnded(const Target &target, MonotonicTime sentAt, Yield yield)
{
    const Duration patience =
        std::clamp(timeLeft(), leastTimeout, m_context.options.crashWatch.timeout);
    m_context.crashes.connectionEnded(suspect(), target, sentAt, patience, yield);
}

void Run::noteAnswered()
{
    // An answer without a length looks whole also where its server ended in the middle of it.
    if (m_call->endsWithConnection())
        return;
    const bool isKnown = !m_context.state.quarantine.empty();
    if (!isKnown && m_incoming.message.body.size() > mostRememberedBytes)
        return;
    if (m_context.state.quarantine.noteAnswered(fingerprint(), now()))
        m_context.log.write(
            "request_cleared", LogWeight::Belief,
            { { "request", m_incoming.request.text() }, { "fingerprint", fingerprint().text() } });
}

AttemptEnd Run::endOf(const Status &failure) const
{
    return failure.error().kind() == ErrorKind::Unavailable ? AttemptEnd::NotSent
                                                            : AttemptEnd::Failed;
}

void Run::noteWithheld(const Target &target) const
{
    logAttempt(target, "withheld", "the server asked for no requests, or leaves");
}

void Run::avoid(const Target &target)
{
    m_context.state.targets.avoid(target.host, now());
    m_context.state.suspicions.note(target.replica, now());
}

AttemptEnd Run::noteRefusal(const Target &target, const AnswerHead &head)
{
    TargetTable &targets = m_context.state.targets;
    targets.failed(target.host, now());
    // Refusals that name another server are about the replica's missing member; those without a
    // name say that this server is full.
    if (!head.faultyServer.empty() || head.status == misdirected)
        avoid(target);
    logAttempt(target, "not_executed",
               "status " + std::to_string(head.status)
                   + (head.faultyServer.empty() ? "" : ", because of " + head.faultyServer.text()));
    return AttemptEnd::NotExecuted;
}

Result<std::string> Run::readWhole(Yield yield)
{
    std::string body;
    while (true) {
        m_call->setReadTimeout(std::max(timeLeft(), leastTimeout));
        const Result<std::size_t> got = m_call->read(body, yield);
        if (!got.ok())
            return got.error();
        if (got.value() == 0)
            return body;
        if (body.size() > m_context.options.maxWholeAnswerBytes) {
            m_call->cancel();
            return Error(ErrorKind::Unknown, "the answer is larger than this side accepts");
        }
    }
}

Status Run::deliver(const AnswerHead &head, std::string body, Yield yield)
{
    return m_exchange.respond({ head.status, head.headers, std::move(body) }, yield);
}

const RequestFingerprint &Run::fingerprint() const
{
    if (m_fingerprint.empty()) {
        const HttpRequest &message = m_incoming.message;
        m_fingerprint = fingerprintOf(m_context.state.fingerprintKey,
                                      { message.method, m_incoming.host, message.target,
                                        message.body, accountOf(m_admitted) });
    }
    return m_fingerprint;
}

void Run::logTarget(const Target &target, Duration expected, Urgency urgency) const
{
    const double pictureAge =
        toMilliseconds(m_context.state.freshness.age(now()).value_or(Duration::zero()));
    m_context.log.write("target_chosen", LogWeight::Routine,
                        { { "request", m_incoming.request.text() },
                          { "host", target.host.text() },
                          { "replica", target.replica.text() },
                          { "attempt", m_tried.size() },
                          { "expected_ms", toMilliseconds(expected) },
                          { "urgency", toString(urgency) },
                          { "in_flight", m_context.state.targets.inFlight(target.host) },
                          { "catalog", m_admitted.catalog->version().count() },
                          { "picture_age_ms", pictureAge },
                          { "left_ms", toMilliseconds(timeLeft()) } });
}

void Run::logAttempt(const Target &target, const char *what, const std::string &why) const
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

void Run::logEnd(const char *event, LogWeight weight, nlohmann::json more) const
{
    more["request"] = m_incoming.request.text();
    more["route"] = m_admitted.route->route.text();
    more["age_ms"] = toMilliseconds(now() - m_arrival);
    more["sends"] = m_sends;
    m_context.log.write(event, weight, std::move(more));
}

void Run::countEnd(const char *outcome) const
{
    m_context.metrics.count(MetricName("requests_total").with("outcome", outcome));
    m_context.metrics.observe(MetricName("request_ms").with("outcome", outcome), now() - m_arrival,
                              now());
}

} // namespace ramphinge
