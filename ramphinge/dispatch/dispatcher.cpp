// Entry point of the request path: see dispatcher.h.

#include "ramphinge/dispatch/dispatcher.h"

#include <exception>
#include <utility>

#include "ramphinge/base/process_status.h"
#include "ramphinge/dispatch/internal/proxied_request.h"
#include "ramphinge/dispatch/internal/retry_loan.h"

namespace ramphinge {

namespace {

// The Retry-After of a request that was sent nowhere; nothing if it must not come back.
std::optional<Duration> retryAfterOf(RefusalReason reason, const DispatchOptions &options)
{
    switch (reason) {
    case RefusalReason::NoCatalog:
    case RefusalReason::StaleCatalog:
    case RefusalReason::Partitioned:
    case RefusalReason::Overloaded:
    case RefusalReason::InternalError:
        return options.retryAfter;
    case RefusalReason::Draining:
        return options.retryAfterDraining;
    default:
        return std::nullopt;
    }
}

enum class RequestOrigin { Caller, Daemon };

// Fills in `incoming`. Exceptions of the codec and the admission become InternalError, which tells
// the caller that nothing was executed.
std::variant<AdmittedRequest, RefusalReason>
decodeAndAdmit(DispatchContext &context, const HttpRequest &message, IncomingRequest &incoming,
               RequestOrigin origin, MonotonicTime arrival)
{
    try {
        Result<IncomingRequest> decoded = context.codec.decode(message);
        if (!decoded.ok())
            return RefusalReason::Malformed;
        incoming = std::move(decoded.value());
        if (origin == RequestOrigin::Caller)
            return admit(context.state, incoming, arrival);
        takeForwardHeaders(incoming);
        if (context.state.forwardedRequests > context.state.maxForwardedRequests)
            return RefusalReason::Overloaded;
        std::variant<AdmittedRequest, RefusalReason> admitted =
            admit(context.state, incoming, arrival);
        const auto *request = std::get_if<AdmittedRequest>(&admitted);
        if (request != nullptr && context.state.contacts.isLost(request->service))
            return RefusalReason::Partitioned;
        return admitted;
    } catch (const std::exception &e) {
        context.log.write("request_failed_inside", LogWeight::Failure, { { "why", e.what() } });
        return RefusalReason::InternalError;
    }
}

void recordRefusal(DispatchContext &context, RefusalReason reason, const IncomingRequest &incoming,
                   MonotonicTime arrival)
{
    const DispatchState &state = context.state;
    const Duration age = state.freshness.age(arrival).value_or(Duration::zero());
    context.log.write("refused", LogWeight::Failure,
                      { { "request", incoming.request.text() },
                        { "reason", toString(reason) },
                        { "forwarded_by", incoming.forwardedBy.text() },
                        { "catalog", state.catalog ? state.catalog->version().count() : 0 },
                        { "catalog_age_ms", toMilliseconds(age) } });
    context.metrics.count(MetricName("requests_total").with("outcome", toString(reason)));
}

// The response to a request that was sent nowhere.
HttpResponse refusalWithoutSend(const DispatchContext &context, RefusalReason reason)
{
    return refusalResponse(reason, ExecutionRecord().guarantee(),
                           retryAfterOf(reason, context.options));
}

// The same for one that was not read completely, since there was no memory for it.
HttpResponse refusalForMemory(DispatchContext &context)
{
    const RefusalReason reason = RefusalReason::Overloaded;
    context.metrics.count(MetricName("requests_total").with("outcome", toString(reason)));
    return refusalResponse(
        reason, ExecutionRecord().guarantee(),
        context.random.jittered(context.options.retryAfter, context.options.retryAfterSpread));
}

void serve(DispatchContext &context, HttpExchange &exchange, RequestOrigin origin, Yield yield)
{
    const ScopedCounter open(processStatus().openRequests);
    const MonotonicTime arrival = context.clock.now();
    context.state.sawRequest = true;
    IncomingRequest incoming;
    std::variant<AdmittedRequest, RefusalReason> admission =
        decodeAndAdmit(context, exchange.request(), incoming, origin, arrival);
    if (const auto *reason = std::get_if<RefusalReason>(&admission)) {
        recordRefusal(context, *reason, incoming, arrival);
        HttpResponse response = refusalWithoutSend(context, *reason);
        if (origin == RequestOrigin::Daemon)
            addRefusalHeaders(response, *reason, 0, incoming.request);
        static_cast<void>(exchange.respond(response, yield));
        return;
    }
    auto &admitted = std::get<AdmittedRequest>(admission);
    if (admitted.route->kind == RequestKind::Stream)
        StreamedRequest(context, exchange, incoming, std::move(admitted), arrival).execute(yield);
    else
        BufferedRequest(context, exchange, incoming, std::move(admitted), arrival).execute(yield);
}

// Serves the requests that other daemons forward.
class ForwardHandler : public HttpHandler
{
public:
    explicit ForwardHandler(DispatchContext &context) : m_context(context) { }

    void handle(HttpExchange &exchange, Yield yield) override
    {
        if (const auto service = requestedRetryLoan(exchange.request())) {
            static_cast<void>(exchange.respond(retryLoanResponse(lend(*service)), yield));
            return;
        }
        const ScopedCounter counted(m_context.state.forwardedRequests);
        m_context.metrics.count(MetricName("forwarded_requests_received_total"));
        serve(m_context, exchange, RequestOrigin::Daemon, yield);
    }

    // Tells the daemon that forwarded it that the request was not executed, so that it can promise
    // that to its caller.
    HttpResponse refuse(HttpFault fault, const HttpRequest &head) override
    {
        const Result<IncomingRequest> decoded = m_context.codec.decode(head);
        if (fault != HttpFault::Overloaded || !decoded.ok())
            return HttpHandler::refuse(fault, head);
        HttpResponse response = refusalForMemory(m_context);
        addRefusalHeaders(response, RefusalReason::Overloaded, 0, decoded.value().request);
        return response;
    }

private:
    // Whether this daemon gives up a retry of its part of the service's budget.
    bool lend(const ServiceId &service)
    {
        DispatchState &state = m_context.state;
        return state.catalog && state.catalog->findService(service) != nullptr
            && state.budgetOf(service).take(m_context.clock.now());
    }

    DispatchContext &m_context;
};

} // namespace

struct Dispatcher::Impl
{
    DispatchContext context;
    ForwardHandler forwardHandler { context };
};

Dispatcher::Dispatcher(IoContext &io, const Clock &clock, DispatchOptions options,
                       const RequestCodec &codec, UpstreamClient &upstreams, ServerProbe &probe,
                       TrialGranter &trials, DispatchState &state, DecisionLog &log,
                       Metrics &metrics)
    : m_impl(new Impl {
        { io, clock, options, codec, upstreams, state, log, metrics, Random(entropySeed()),
          CrashDetector(io, clock, options.crashDetector, probe, state.contacts, state.quarantine,
                        log, metrics),
          LivenessChecker(io, clock, options.livenessChecker, probe, log, metrics), trials } })
{ }

Dispatcher::~Dispatcher() = default;

void Dispatcher::handle(HttpExchange &exchange, Yield yield)
{
    serve(m_impl->context, exchange, RequestOrigin::Caller, yield);
}

HttpHandler &Dispatcher::forwardHandler()
{
    return m_impl->forwardHandler;
}

void Dispatcher::endRequests()
{
    const std::set<ProxiedRequest *> requests = m_impl->context.requests;
    for (ProxiedRequest *request : requests)
        request->end();
}

void Dispatcher::serversChanged(const FleetView &fleet)
{
    m_impl->context.crashDetector.serversChanged(
        [&fleet](const HostId &host) { return fleet.find(host) != nullptr; });
}

std::optional<HttpResponse> Dispatcher::rejectByHead(const HttpRequest &head)
{
    DispatchContext &context = m_impl->context;
    const MonotonicTime arrival = context.clock.now();
    IncomingRequest incoming;
    const auto admission = decodeAndAdmit(context, head, incoming, RequestOrigin::Caller, arrival);
    const auto *reason = std::get_if<RefusalReason>(&admission);
    if (reason == nullptr)
        return std::nullopt;
    recordRefusal(context, *reason, incoming, arrival);
    return refusalWithoutSend(context, *reason);
}

HttpResponse Dispatcher::refuse(HttpFault fault, const HttpRequest & /*head*/)
{
    DispatchContext &context = m_impl->context;
    if (fault == HttpFault::Overloaded)
        return refusalForMemory(context);
    context.metrics.count(MetricName("requests_total").with("outcome", "unreadable"));
    switch (fault) {
    case HttpFault::BodyTooLarge:
        return jsonResponse(413, R"({"error":{"type":"body_too_large"}})");
    case HttpFault::HeadTooLarge:
        return jsonResponse(431, R"({"error":{"type":"headers_too_large"}})");
    case HttpFault::SlowSender:
        return refusalResponse(RefusalReason::SlowSender, ExecutionRecord().guarantee(), {});
    case HttpFault::TooManyConnections:
    case HttpFault::Overloaded:
    case HttpFault::Malformed:
        break;
    }
    return jsonResponse(400, R"({"error":{"type":"malformed"}})");
}

} // namespace ramphinge
