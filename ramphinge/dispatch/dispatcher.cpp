// Entry point of the request path: see dispatcher.h.

#include "ramphinge/dispatch/dispatcher.h"

#include <exception>
#include <utility>

#include "ramphinge/base/process_status.h"
#include "ramphinge/dispatch/internal/proxied_request.h"

namespace ramphinge {

namespace {

bool carriesRetryAfter(RefusalReason reason)
{
    return reason == RefusalReason::NoCatalog || reason == RefusalReason::StaleCatalog
        || reason == RefusalReason::InternalError;
}

// Fills in `incoming`. Exceptions of the codec and the admission become InternalError, which tells
// the caller that nothing was executed.
std::variant<AdmittedRequest, RefusalReason> decodeAndAdmit(DispatchContext &context,
                                                            const HttpRequest &message,
                                                            IncomingRequest &incoming,
                                                            MonotonicTime arrival)
{
    try {
        Result<IncomingRequest> decoded = context.codec.decode(message);
        if (!decoded.ok())
            return RefusalReason::Malformed;
        incoming = std::move(decoded.value());
        return admit(context.state, incoming, arrival);
    } catch (const std::exception &e) {
        context.log.write("request_failed_inside", LogWeight::Failure, { { "why", e.what() } });
        return RefusalReason::InternalError;
    }
}

void recordRefusal(DispatchContext &context, RefusalReason reason, const RequestId &request,
                   MonotonicTime arrival)
{
    const DispatchState &state = context.state;
    const Duration age = state.freshness.age(arrival).value_or(Duration::zero());
    context.log.write("refused", LogWeight::Failure,
                      { { "request", request.text() },
                        { "reason", toString(reason) },
                        { "catalog", state.catalog ? state.catalog->version().count() : 0 },
                        { "catalog_age_ms", toMilliseconds(age) } });
    context.metrics.count(MetricName("requests_total").with("outcome", toString(reason)));
}

} // namespace

struct Dispatcher::Impl
{
    DispatchContext context;
};

Dispatcher::Dispatcher(IoContext &io, const Clock &clock, DispatchOptions options,
                       const RequestCodec &codec, UpstreamClient &upstreams, ServerProbe &probe,
                       TrialGranter &trials, DispatchState &state, DecisionLog &log,
                       Metrics &metrics)
    : m_impl(new Impl {
        { io, clock, options, codec, upstreams, state, log, metrics, Random(entropySeed()),
          CrashDetector(io, clock, options.crashDetector, probe, state.contacts, state.quarantine, log,
                        metrics),
          trials } })
{ }

Dispatcher::~Dispatcher() = default;

void Dispatcher::handle(HttpExchange &exchange, Yield yield)
{
    const ScopedCounter open(processStatus().openRequests);
    DispatchContext &context = m_impl->context;
    const MonotonicTime arrival = context.clock.now();
    context.state.sawRequest = true;
    IncomingRequest incoming;
    std::variant<AdmittedRequest, RefusalReason> admission =
        decodeAndAdmit(context, exchange.request(), incoming, arrival);
    if (const auto *reason = std::get_if<RefusalReason>(&admission)) {
        recordRefusal(context, *reason, incoming.request, arrival);
        const std::optional<Duration> retryAfter = carriesRetryAfter(*reason)
            ? std::optional<Duration>(context.options.retryAfter)
            : std::nullopt;
        static_cast<void>(exchange.respond(refusalResponse(*reason, retryAfter), yield));
        return;
    }
    auto &admitted = std::get<AdmittedRequest>(admission);
    if (admitted.route->kind == RequestKind::Stream)
        StreamedRequest(context, exchange, incoming, std::move(admitted), arrival).execute(yield);
    else
        BufferedRequest(context, exchange, incoming, std::move(admitted), arrival).execute(yield);
}

void Dispatcher::serversChanged(const FleetView &fleet)
{
    m_impl->context.crashDetector.serversChanged(
        [&fleet](const HostId &host) { return fleet.find(host) != nullptr; });
}

HttpResponse Dispatcher::refuse(HttpFault fault)
{
    m_impl->context.metrics.count(MetricName("requests_total").with("outcome", "unreadable"));
    switch (fault) {
    case HttpFault::BodyTooLarge:
        return jsonResponse(413, R"({"error":{"type":"body_too_large"}})");
    case HttpFault::HeadTooLarge:
        return jsonResponse(431, R"({"error":{"type":"headers_too_large"}})");
    case HttpFault::SlowSender:
        return jsonResponse(408, R"({"error":{"type":"sender_too_slow"}})");
    case HttpFault::TooManyConnections:
    case HttpFault::Malformed:
        break;
    }
    return jsonResponse(400, R"({"error":{"type":"malformed"}})");
}

} // namespace ramphinge
