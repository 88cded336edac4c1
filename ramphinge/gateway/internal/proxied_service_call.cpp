// Proxying of one request to a plain service: see proxied_service_call.h.

#include "ramphinge/gateway/internal/proxied_service_call.h"

#include <algorithm>
#include <array>

namespace ramphinge::internal {

namespace {

// Hop-by-hop headers, and those that the gateway replaces or consumes.
constexpr std::array<std::string_view, 9> unforwardedHeaders {
    "connection", "keep-alive", "transfer-encoding", "te",           "upgrade",
    "host",       "trailer",    "content-length",    "authorization"
};

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(x) == std::tolower(y);
           });
}

bool isForwarded(const HttpHeader &field)
{
    return std::none_of(
        unforwardedHeaders.begin(), unforwardedHeaders.end(),
        [&field](std::string_view name) { return equalsIgnoringCase(name, field.name); });
}

} // namespace

ProxiedServiceCall::ProxiedServiceCall(GatewayContext &context, HttpExchange &exchange,
                                       CallerRequest request, const ServiceSpec &service)
    : m_context(context), m_exchange(exchange), m_request(std::move(request)),
      m_service(service.service), m_claim(context, m_request)
{ }

void ProxiedServiceCall::run(Yield yield)
{
    m_exchange.watchCaller([this] {
        m_callerGone = true;
        // An at-most-once request runs to its end, so that a later try with its key gets the
        // answer.
        if (m_call != nullptr && !m_request.atMostOnce())
            m_call->cancel();
    });
    m_context.retryBudget.onRequest();
    while (!m_callerGone) {
        if (chooseUpstream() == nullptr) {
            failWithoutUpstream(yield);
            break;
        }
        if (!m_claim.acquireOrAnswer(m_exchange, yield))
            break;
        // Chosen again after the claim: a membership change during it replaces the upstreams.
        ServiceUpstream *upstream = chooseUpstream();
        if (upstream != nullptr && attempt(*upstream, yield))
            break;
    }
    m_exchange.watchCaller({});
}

ServiceUpstream *ProxiedServiceCall::chooseUpstream()
{
    ServiceUpstream *best = nullptr;
    const auto rank = [this](const ServiceUpstream &upstream) {
        return std::make_pair(upstream.member.zone != m_context.options.zone, upstream.inFlight);
    };
    for (auto &[host, upstream] : m_context.services) {
        const bool isEligible = upstream.member.service == m_service && m_tried.count(host) == 0
            && m_context.unusable.count(host) == 0;
        if (isEligible && (best == nullptr || rank(upstream) < rank(*best)))
            best = &upstream;
    }
    return best;
}

HttpRequest ProxiedServiceCall::upstreamRequest() const
{
    const HttpRequest &original = m_exchange.request();
    HttpRequest request { original.method, original.target, {}, original.body };
    for (const HttpHeader &field : original.headers.fields()) {
        if (isForwarded(field) && !equalsIgnoringCase(field.name, "x-request-id")
            && !equalsIgnoringCase(field.name, "x-attempt"))
            request.headers.add(field.name, field.value);
    }
    request.headers.add("x-request-id", m_request.id.text());
    request.headers.add("x-attempt", std::to_string(m_attempts));
    request.headers.add("x-client-account", m_request.account.text());
    return request;
}

void ProxiedServiceCall::failWithoutUpstream(Yield yield)
{
    Failure failure { 503, "no_upstream",
                      "no upstream of " + m_service.text()
                          + " can serve now; come back after the time given",
                      outcomeSoFar(), std::chrono::seconds(1) };
    if (m_attempts == 0)
        failure = m_context.confirmedRefusal(m_request, std::move(failure), yield);
    m_context.fail(m_exchange, m_request, failure, yield);
}

Result<HttpResponse> ProxiedServiceCall::exchange(HttpCall &call, Yield yield) const
{
    if (const Status sent = call.start(yield); !sent.ok())
        return sent.error();
    HttpResponse response;
    response.status = call.status();
    for (const HttpHeader &field : call.headers().fields()) {
        if (isForwarded(field))
            response.headers.add(field.name, field.value);
    }
    while (response.body.size() <= m_context.options.maxAnswerBytes) {
        const Result<std::size_t> got = call.read(response.body, yield);
        if (!got.ok())
            return got.error();
        if (got.value() == 0)
            return response;
    }
    call.cancel();
    return Error(ErrorKind::Unknown, "the answer is larger than this side accepts");
}

// `upstream` may be destroyed by a membership change during the first wait.
bool ProxiedServiceCall::attempt(ServiceUpstream &upstream, Yield yield)
{
    ++m_attempts;
    const HostId host = upstream.member.host;
    const std::unique_ptr<HttpCall> call =
        m_context.client->call(upstream.member.endpoint, upstreamRequest(),
                               m_context.callOptions(m_request, m_claim.sendBy()));
    const OpenCalls::Listing listing(m_context.calls, host.text(), *call);
    m_context.record(EventKind::RequestSent, m_request, ReplicaId(host.text()),
                     Attempt(m_attempts));
    m_call = call.get();
    ++upstream.inFlight;
    const Result<HttpResponse> response = exchange(*call, yield);
    m_call = nullptr;
    const auto listed = m_context.services.find(host);
    if (listed != m_context.services.end())
        --listed->second.inFlight;
    m_tried.insert(host);
    const bool notSent = !response.ok() && response.error().kind() == ErrorKind::Unavailable;
    if (!notSent) {
        m_mayHaveRun = true;
        m_claim.markMayHaveRun();
    }
    return response.ok() ? forwardAnswer(host, response.value(), yield)
                         : failOrRetry(host, notSent, yield);
}

bool ProxiedServiceCall::forwardAnswer(const HostId &host, HttpResponse response, Yield yield)
{
    const auto type = response.headers.find("content-type");
    m_claim.recordAnswer(
        { response.status, std::string(type.value_or("application/octet-stream")), response.body });
    if (response.headers.count("x-request-id") == 0)
        response.headers.add("x-request-id", m_request.id.text());
    if (m_callerGone || !m_exchange.respond(response, yield).ok()) {
        m_context.record(EventKind::CallerGone, m_request);
        return true;
    }
    const MonotonicTime now = m_context.clock.now();
    m_context.metrics.observe(MetricName("service_ms").with("service", m_service.text()),
                              now - m_request.arrived, now);
    m_context.record(EventKind::RequestEnded, m_request, ReplicaId(host.text()),
                     Attempt(m_attempts));
    return true;
}

bool ProxiedServiceCall::failOrRetry(const HostId &host, bool notSent, Yield yield)
{
    if (m_callerGone) {
        m_context.record(EventKind::CallerGone, m_request);
        return true;
    }
    const bool tooLate = timeLeft() <= Duration::zero();
    const bool again = !tooLate && m_attempts < m_context.options.maxAttempts
        && (notSent || (!m_request.atMostOnce() && m_context.retryBudget.take()));
    if (again) {
        m_context.record(EventKind::RequestRetried, m_request, ReplicaId(host.text()),
                         Attempt(m_attempts));
        return false;
    }
    m_context.fail(m_exchange, m_request,
                   tooLate ? deadlineExceeded(outcomeSoFar()) : upstreamFailed(outcomeSoFar()),
                   yield);
    return true;
}

} // namespace ramphinge::internal
