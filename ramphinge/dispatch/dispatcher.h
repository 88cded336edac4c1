// The request path: admits a request, chooses an upstream, forwards the response, and retries at
// another upstream where the route and the retry budget allow it.
//
// A request that certainly has not been executed may always be retried; one that may have been
// executed only if its route allows that. A request that is not retried any more gets an error
// response at once.

#pragma once

#include <functional>
#include <memory>

#include "ramphinge/dispatch/admission.h"
#include "ramphinge/dispatch/crash_detector.h"
#include "ramphinge/dispatch/liveness_checker.h"
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
    // Connecting to a live server takes a round trip of a few milliseconds; connecting to a host
    // that is down hangs.
    Duration connectTimeout = std::chrono::milliseconds(250);
    // For latency-sensitive services: leaves the time for another attempt within the objective. TCP
    // repeats a lost packet of a connection only after a second, so waiting longer gains nothing.
    Duration sensitiveConnectTimeout = std::chrono::milliseconds(100);
    // A request that must not be executed twice reuses an idle connection only if that was used
    // this recently: the server may be closing an older one.
    Duration maxIdleAtMostOnce = std::chrono::milliseconds(1500);
    // Share of the time left that a request with a buffered response waits for the response's head
    // before it is retried elsewhere, if it may be.
    double headTimeoutShare = 0.4;
    StallOptions stall;
    // The same for a stream that was forwarded to another daemon.
    StallOptions forwardStall { 3, 3, 8, 8 };
    // Other daemons to which a request is forwarded, one after the other, until one serves it.
    std::size_t maxForwards = 3;
    int maxIdleForwardConnections = 4; // To one daemon, which all others may forward to.
    // Daemons that are asked for a retry of their part of the budget, one after the other.
    std::size_t maxLenders = 2;
    // A daemon answers within milliseconds; the request's objective passes meanwhile.
    Duration loanTimeout = std::chrono::milliseconds(50);
    // How long nobody is asked after none had a retry left.
    Duration loanPause = std::chrono::milliseconds(250);
    // Interval between two checks whether a stream has stalled.
    Duration stallCheckInterval = std::chrono::milliseconds(60);
    UrgencyOptions urgency;
    // After this many responses with the promise that the request was not executed, it is refused.
    int maxNotExecutedResponses = 3;
    // Retry-After of a refusal, randomly lengthened by up to the share `retryAfterSpread`. After a
    // failed attempt to move a stalled stream, the next one starts this much later.
    Duration retryAfter = std::chrono::milliseconds(250);
    double retryAfterSpread = 0.8;
    // The same for a request that a stopping daemon has no time for; other daemons have it.
    Duration retryAfterDraining {};
    // The same for a quarantined request. It stays quarantined until an operator releases it, or a
    // complete response of a server proves it harmless.
    Duration retryAfterQuarantine = std::chrono::minutes(1);
    CrashDetectorOptions crashDetector;
    LivenessCheckerOptions livenessChecker;
    std::size_t maxBufferedResponseBytes = 16 * 1024 * 1024;
};

// Not thread-safe: used on the event loop only.
class Dispatcher : public HttpHandler
{
public:
    Dispatcher(IoContext &io, const Clock &clock, DispatchOptions options,
               const RequestCodec &codec, UpstreamClient &upstreams, ServerProbe &probe,
               TrialGranter &trials, DispatchState &state, DecisionLog &log, Metrics &metrics);
    ~Dispatcher() override;

    void handle(HttpExchange &exchange, Yield yield) override;
    // A request without a valid key or a route holds no memory for its body.
    std::optional<HttpResponse> rejectByHead(const HttpRequest &head) override;
    HttpResponse refuse(HttpFault fault, const HttpRequest &head) override;

    // Handles requests that other daemons forward. They are served as those of callers, but not
    // forwarded again.
    HttpHandler &forwardHandler();

    // Ends all requests in progress with an error response, for a process that is about to stop.
    void endRequests();

    // To be called when the fleet view has changed.
    void serversChanged(const FleetView &fleet);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace ramphinge
