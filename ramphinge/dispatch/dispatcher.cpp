// The request path's entry: see dispatcher.h.

#include "ramphinge/dispatch/dispatcher.h"

#include "ramphinge/base/process_marks.h"
#include "ramphinge/dispatch/internal/run.h"

namespace ramphinge {

struct Dispatcher::Parts
{
    RunContext context;
};

Dispatcher::Dispatcher(IoContext &io, const Clock &clock, DispatchOptions options,
                       const RequestCodec &codec, HttpClient &client, DispatchState &state,
                       DecisionLog &log, Metrics &metrics)
    : m_parts(new Parts {
        { io, clock, options, codec, client, state, log, metrics, Random(entropySeed()) } })
{ }

Dispatcher::~Dispatcher() = default;

void Dispatcher::handle(HttpExchange &exchange, Yield yield)
{
    const MarkedScope open(processMarks().openRequests);
    RunContext &context = m_parts->context;
    const MonotonicTime arrival = context.clock.now();
    context.state.sawRequest = true;
    const auto refuseNow = [&](RefusalReason reason, const std::string &request,
                               std::optional<Duration> retryAfter) {
        context.log.write(
            "refused", LogWeight::Failure,
            { { "request", request },
              { "reason", toString(reason) },
              { "catalog", context.state.catalog ? context.state.catalog->version().count() : 0 },
              { "catalog_age_ms",
                toMilliseconds(
                    context.state.freshness.age(arrival).value_or(Duration::zero())) } });
        context.metrics.count(MetricName("requests_total").with("outcome", toString(reason)));
        static_cast<void>(exchange.respond(refusalAnswer(reason, retryAfter), yield));
    };
    const Result<IncomingRequest> incoming = context.codec.decode(exchange.request());
    if (!incoming.ok()) {
        refuseNow(RefusalReason::Malformed, "", std::nullopt);
        return;
    }
    std::variant<AdmittedRequest, RefusalReason> admission =
        admit(context.state, incoming.value(), arrival);
    if (const auto *reason = std::get_if<RefusalReason>(&admission)) {
        const bool comeBack =
            *reason == RefusalReason::NoCatalog || *reason == RefusalReason::StaleCatalog;
        refuseNow(*reason, incoming.value().request.text(),
                  comeBack ? std::optional<Duration>(context.options.retryAfter) : std::nullopt);
        return;
    }
    auto &admitted = std::get<AdmittedRequest>(admission);
    if (admitted.route->kind == RequestKind::Stream)
        StreamRun(context, exchange, incoming.value(), std::move(admitted), arrival).execute(yield);
    else
        WholeRun(context, exchange, incoming.value(), std::move(admitted), arrival).execute(yield);
}

HttpResponse Dispatcher::refuse(HttpFault fault)
{
    m_parts->context.metrics.count(MetricName("requests_total").with("outcome", "unreadable"));
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
