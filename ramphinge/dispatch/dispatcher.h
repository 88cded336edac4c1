// The request path: admits a request, chooses an upstream, relays the answer, and tries another
// upstream where the request's kind and the budgets allow it.
//
// What may be repeated: a request that was certainly not executed, always; one that may have run,
// only if its kind allows it. A request that is given up on is answered at once.

#pragma once

#include <functional>
#include <memory>

#include "ramphinge/dispatch/admission.h"
#include "ramphinge/dispatch/crash_watch.h"
#include "ramphinge/dispatch/requests.h"
#include "ramphinge/dispatch/stall_policy.h"
#include "ramphinge/dispatch/trial_granter.h"
#include "ramphinge/dispatch/upstream_client.h"
#include "ramphinge/net/http_server.h"
#include "ramphinge/observe/decision_log.h"
#include "ramphinge/observe/metrics.h"

namespace ramphinge {

struct DispatchOptions
{
    // To a live server a connection takes a round trip of a few milliseconds; to one that is gone
    // it hangs.
    Duration connectTimeout = std::chrono::milliseconds(250);
    // A request that must not run twice goes over a kept connection only if that was used this
    // recently: the other side may be closing an older one.
    Duration maxIdleAtMostOnce = std::chrono::milliseconds(1500);
    // Part of the remaining time after which a repeatable request that got no answer is tried
    // elsewhere.
    double repeatAfterShare = 0.4;
    StallOptions stall;
    // Between two looks at whether a stream stands still.
    Duration stallLook = std::chrono::milliseconds(60);
    UrgencyOptions urgency;
    // Not-executed answers that a request may meet before it is refused.
    int maxRefusals = 3;
    // When a refused caller should come back; up to `retryAfterSpread` more, at random. A still
    // stream that another upstream refused waits as long before the next one is asked.
    Duration retryAfter = std::chrono::milliseconds(250);
    double retryAfterSpread = 0.8;
    // The same for a request that is held back for the servers that ended under it: it is until an
    // operator lets it go, or a whole answer elsewhere clears it.
    Duration retryAfterQuarantine = std::chrono::minutes(1);
    CrashWatchOptions crashWatch;
    std::size_t maxWholeAnswerBytes = 16 * 1024 * 1024;
};

// Not thread-safe: lives on the event loop.
class Dispatcher : public HttpHandler
{
public:
    Dispatcher(IoContext &io, const Clock &clock, DispatchOptions options,
               const RequestCodec &codec, UpstreamClient &upstreams, ServerProbe &probe,
               TrialGranter &trials, DispatchState &state, DecisionLog &log, Metrics &metrics);
    ~Dispatcher() override;

    void handle(HttpExchange &exchange, Yield yield) override;
    HttpResponse refuse(HttpFault fault) override;

    // The picture of the fleet is another.
    void serversChanged(const FleetView &fleet);

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace ramphinge
