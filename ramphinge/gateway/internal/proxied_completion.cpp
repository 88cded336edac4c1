// Proxying of one completion: see proxied_completion.h.

#include "ramphinge/gateway/internal/proxied_completion.h"

#include <nlohmann/json.hpp>

namespace ramphinge::internal {

namespace {

using Json = nlohmann::json;

constexpr Duration choiceRetryInterval = std::chrono::milliseconds(20);
constexpr Duration choiceTimeout = std::chrono::milliseconds(500);
constexpr std::size_t maxKeptBodyBytes = 32 * 1024;
constexpr int wrongReplicaStatus = 409;

} // namespace

ProxiedCompletion::ProxiedCompletion(GatewayContext &context, HttpExchange &exchange,
                                     CompletionRequest request)
    : m_context(context), m_exchange(exchange), m_request(std::move(request)),
      m_pool(context.poolFor(m_request.model)), m_claim(context, m_request.common)
{
    m_ticket.number = TicketNumber(context.nextTicket++);
    m_ticket.account = m_request.common.account;
    m_ticket.priority = m_request.priority;
    m_ticket.estimate = context.costs.estimate(m_request.common.account, m_request.promptTokens,
                                               m_request.maxAnswer);
    m_ticket.startBy = std::min(m_request.common.arrived + context.options.firstTokenDeadline,
                                m_request.common.deadline);
}

void ProxiedCompletion::run(Yield yield)
{
    m_exchange.watchCaller([this] {
        m_callerGone = true;
        m_pool.wake(m_ticket.number);
        // An at-most-once request runs to its end, so that a later try with its key gets the
        // answer.
        if (m_call != nullptr && !m_request.common.atMostOnce())
            m_call->cancel();
    });
    if (acquireSlot(yield)) {
        m_context.retryBudget.onRequest();
        runAttempts(yield);
        m_pool.dropReservation();
        m_pool.release(m_ticket.account, m_ticket.estimate,
                       m_mayHaveRun ? m_request.promptTokens + Tokens(m_answerTokens) : Tokens(0));
    }
    if (m_callerGone)
        m_context.record(EventKind::CallerGone, m_request.common);
    m_exchange.watchCaller({});
}

bool ProxiedCompletion::acquireSlot(Yield yield)
{
    const MonotonicTime now = m_context.clock.now();
    if (m_context.replicas.candidates(m_request.model, now).empty()) {
        failRequest(noReplica(m_request.model), yield);
        return false;
    }
    if (!m_context.options.fairness) {
        m_pool.reserveSlot();
        return true;
    }
    const std::optional<Refusal> refusal = m_pool.acquire(m_ticket, m_callerGone, yield);
    if (!refusal)
        return true;
    if (!m_callerGone)
        failRequest(
            { 429, "overloaded", refusal->error.message(), Outcome::NotRun, refusal->retryAfter },
            yield);
    return false;
}

void ProxiedCompletion::runAttempts(Yield yield)
{
    while (true) {
        if (!m_claim.acquireOrAnswer(m_exchange, yield))
            return;
        const std::optional<ReplicaEntry> replica = chooseReplica(yield);
        if (m_callerGone)
            return;
        if (!replica) {
            Failure failure = noReplica(m_request.model);
            failure.outcome = outcomeSoFar();
            return failRequest(failure, yield);
        }
        const AttemptResult end = attempt(*replica, yield);
        m_tried.push_back(replica->replica);
        if (end == AttemptResult::Completed || end == AttemptResult::CallerGone
            || end == AttemptResult::UpstreamError)
            return;
        if (timeLeft() <= Duration::zero())
            return failRequest(deadlineExceeded(outcomeSoFar()), yield);
        if (!mayRetry(end))
            return failRequest(upstreamFailed(outcomeSoFar()), yield);
        m_context.record(m_relay.position() > 0 ? EventKind::RequestResumed
                                                : EventKind::RequestRetried,
                         m_request.common, replica->replica, Attempt(m_attempts));
    }
}

bool ProxiedCompletion::mayRetry(AttemptResult end)
{
    if (end == AttemptResult::Failed && m_request.common.atMostOnce())
        return false;
    // An attempt that certainly did not run cost an upstream only a connection.
    const bool isFree = end == AttemptResult::NotRun;
    const bool allowed =
        m_attempts < m_context.options.maxAttempts && (isFree || m_context.retryBudget.take());
    m_context.metrics.count(MetricName(allowed ? "retries_total" : "retries_denied_total"));
    return allowed;
}

std::optional<ReplicaEntry> ProxiedCompletion::chooseReplica(Yield yield)
{
    const MonotonicTime until =
        std::min(m_context.clock.now() + choiceTimeout, m_request.common.deadline);
    while (true) {
        const MonotonicTime now = m_context.clock.now();
        const std::vector<Candidate> candidates =
            m_context.replicas.candidates(m_request.model, now);
        const auto chosen = m_context.policy->choose({ m_request.prefix, m_tried }, candidates);
        if (chosen)
            return m_context.replicas.find(candidates[*chosen].replica);
        // All replicas were tried; an earlier one may have recovered.
        m_tried.clear();
        if (now >= until || m_callerGone)
            return std::nullopt;
        sleepFor(m_context.io, choiceRetryInterval, yield);
    }
}

HttpRequest ProxiedCompletion::upstreamRequest(const ReplicaEntry &replica) const
{
    HttpRequest request { "POST", "/v1/chat/completions", {}, m_request.upstreamBody };
    if (m_relay.position() > 0) {
        Json body = Json::parse(m_request.upstreamBody);
        body["resume_from"] = m_relay.position();
        request.body = body.dump();
    }
    request.headers = { { "content-type", "application/json" },
                        { "x-request-id", m_request.common.id.text() },
                        { "x-attempt", std::to_string(m_attempts) },
                        { "x-replica", replica.replica.text() },
                        { "x-replica-epoch", std::to_string(replica.epoch.count()) },
                        { "x-priority", std::to_string(m_request.priority) } };
    if (!m_request.common.key.empty())
        request.headers.add("idempotency-key", m_request.common.key.text());
    return request;
}

Duration ProxiedCompletion::timeLeft() const
{
    return m_request.common.deadline - m_context.clock.now();
}

ProxiedCompletion::AttemptResult ProxiedCompletion::attempt(const ReplicaEntry &replica,
                                                            Yield yield)
{
    ++m_attempts;
    m_sawFirstToken = false;
    m_relay.restart();
    m_sentAt = m_context.clock.now();
    const std::unique_ptr<HttpCall> call =
        m_context.client->call(replica.endpoint, upstreamRequest(replica),
                               m_context.callOptions(m_request.common, m_claim.sendBy()));
    const OpenCalls::Listing listing(m_context.calls, replica.replica.text(), *call);
    m_context.record(EventKind::RequestSent, m_request.common, replica.replica,
                     Attempt(m_attempts));
    m_call = call.get();
    m_context.replicas.began(replica.replica);
    m_pool.dropReservation();
    const AttemptResult end = receive(*call, replica, yield);
    m_pool.reserveSlot();
    m_context.replicas.ended(replica.replica);
    m_call = nullptr;
    if (end == AttemptResult::Failed || end == AttemptResult::NotRun)
        m_context.replicas.outliers().observeFailure(replica.replica, m_context.clock.now());
    if (end == AttemptResult::Failed) {
        m_mayHaveRun = true;
        m_claim.markMayHaveRun();
    }
    return end;
}

ProxiedCompletion::AttemptResult ProxiedCompletion::failedOrCallerGone() const
{
    return m_callerGone ? AttemptResult::CallerGone : AttemptResult::Failed;
}

ProxiedCompletion::AttemptResult
ProxiedCompletion::receive(HttpCall &call, const ReplicaEntry &replica, Yield yield)
{
    if (const Status sent = call.start(yield); !sent.ok()) {
        const bool notSent = sent.error().kind() == ErrorKind::Unavailable;
        if (!notSent)
            m_claim.markMayHaveRun();
        if (m_callerGone)
            return AttemptResult::CallerGone;
        return notSent ? AttemptResult::NotRun : AttemptResult::Failed;
    }
    if (call.status() == wrongReplicaStatus) {
        call.cancel();
        return AttemptResult::NotRun;
    }
    m_claim.markMayHaveRun();
    m_mayHaveRun = true;
    if (!matchesAttempt(call, replica)) {
        call.cancel();
        return AttemptResult::Failed;
    }
    const bool streams = m_request.stream && call.status() == 200;
    return streams ? receiveStream(call, replica, yield) : receiveBuffered(call, replica, yield);
}

// False for an answer to another request or attempt, or from a host that belongs to another replica
// by now.
bool ProxiedCompletion::matchesAttempt(const HttpCall &call, const ReplicaEntry &replica)
{
    const auto matches = [&call](const char *name, const std::string &expected) {
        const auto value = call.headers().find(name);
        return !value || *value == expected;
    };
    const bool matchesAll = matches("x-request-id", m_request.common.id.text())
        && matches("x-attempt", std::to_string(m_attempts))
        && matches("x-replica", replica.replica.text())
        && matches("x-replica-epoch", std::to_string(replica.epoch.count()));
    if (!matchesAll) {
        m_context.record(EventKind::LateAnswerDropped, m_request.common, replica.replica,
                         Attempt(m_attempts));
        m_context.metrics.count(MetricName("late_answers_total"));
    }
    return matchesAll;
}

ProxiedCompletion::AttemptResult
ProxiedCompletion::receiveBuffered(HttpCall &call, const ReplicaEntry &replica, Yield yield)
{
    std::string body;
    while (true) {
        const Result<std::size_t> got = call.read(body, yield);
        if (!got.ok() || body.size() > m_context.options.maxAnswerBytes)
            return failedOrCallerGone();
        if (got.value() == 0)
            break;
    }
    if (call.status() >= 500)
        return AttemptResult::Failed;
    const Json json = Json::parse(body, nullptr, false);
    std::int64_t tokens = 0;
    if (json.is_object() && json.contains("usage") && json["usage"].is_object())
        tokens = json["usage"].value("completion_tokens", std::int64_t { 0 });
    recordFirstToken(replica);
    const HttpResponse response { call.status(),
                                  { { "content-type", "application/json" },
                                    { "x-request-id", m_request.common.id.text() } },
                                  std::move(body) };
    m_claim.recordAnswer({ response.status, "application/json", response.body });
    if (!m_exchange.respond(response, yield).ok()) {
        m_callerGone = true;
        return AttemptResult::CallerGone;
    }
    finish(replica, tokens);
    return call.status() == 200 ? AttemptResult::Completed : AttemptResult::UpstreamError;
}

ProxiedCompletion::AttemptResult
ProxiedCompletion::receiveStream(HttpCall &call, const ReplicaEntry &replica, Yield yield)
{
    const bool keepsAnswer = !m_request.common.key.empty();
    std::string piece;
    std::string out;
    while (!m_relay.done()) {
        piece.clear();
        out.clear();
        const Result<std::size_t> got = call.read(piece, yield);
        if (!got.ok() || got.value() == 0)
            return failedOrCallerGone(); // The stream ended without [DONE].
        const bool isValid = m_relay.feed(piece, out);
        m_answerTokens = m_relay.position();
        if (!out.empty()) {
            recordFirstToken(replica);
            if (!m_streamBegun)
                m_exchange.beginStream(200,
                                       { { "content-type", "text/event-stream" },
                                         { "cache-control", "no-store" },
                                         { "x-request-id", m_request.common.id.text() } });
            m_streamBegun = true;
            if (keepsAnswer && m_keptBody.size() <= maxKeptBodyBytes)
                m_keptBody += out;
            m_callerGone = m_callerGone || !m_exchange.write(out, yield).ok();
            if (m_callerGone && !keepsAnswer) {
                call.cancel();
                return AttemptResult::CallerGone;
            }
        }
        if (!isValid) {
            call.cancel();
            return AttemptResult::Failed;
        }
    }
    // Reads to the end of the message so that the connection can be reused.
    call.read(piece, yield);
    if (keepsAnswer)
        m_claim.recordAnswer({ 200, "text/event-stream", std::move(m_keptBody) });
    if (m_callerGone || !m_exchange.finish(yield).ok()) {
        m_callerGone = true;
        return AttemptResult::CallerGone;
    }
    finish(replica, m_relay.position());
    return AttemptResult::Completed;
}

void ProxiedCompletion::recordFirstToken(const ReplicaEntry &replica)
{
    if (m_sawFirstToken)
        return;
    m_sawFirstToken = true;
    const MonotonicTime now = m_context.clock.now();
    m_context.metrics.observe(
        MetricName("upstream_first_token_ms").with("replica", replica.replica.text()),
        now - m_sentAt, now);
    if (!m_streamBegun)
        m_context.metrics.observe(
            MetricName("first_token_ms").with("account", m_request.common.account.text()),
            now - m_request.common.arrived, now);
}

void ProxiedCompletion::finish(const ReplicaEntry &replica, std::int64_t answerTokens)
{
    const MonotonicTime now = m_context.clock.now();
    const std::string &account = m_request.common.account.text();
    m_answerTokens = answerTokens;
    m_context.costs.observe(m_request.common.account, Tokens(answerTokens));
    // Time per token, so that long and short answers are comparable.
    m_context.replicas.outliers().observe(
        replica.replica, (now - m_sentAt) / std::max<std::int64_t>(1, answerTokens), now);
    m_context.metrics.observe(MetricName("request_ms").with("account", account),
                              now - m_request.common.arrived, now);
    m_context.metrics.count(MetricName("answers_total").with("account", account));
    m_context.metrics.count(MetricName("answer_tokens_total").with("account", account),
                            static_cast<double>(answerTokens));
    m_context.record(EventKind::RequestEnded, m_request.common, replica.replica,
                     Attempt(m_attempts));
}

void ProxiedCompletion::failRequest(Failure failure, Yield yield)
{
    if (m_callerGone)
        return;
    if (!m_streamBegun) {
        if (m_attempts == 0)
            failure = m_context.confirmedRefusal(m_request.common, std::move(failure), yield);
        m_context.fail(m_exchange, m_request.common, failure, yield);
        return;
    }
    failure.outcome = Outcome::Unknown;
    m_context.record(EventKind::RequestUnknown, m_request.common, {}, Attempt(m_attempts),
                     failure.type);
    m_exchange.write(toStreamEvent(failure, m_request.common.id), yield);
    m_exchange.finish(yield);
}

} // namespace ramphinge::internal
