// One request to a plain service, with retries on its other upstreams. Internal to the gateway
// library.

#pragma once

#include "ramphinge/gateway/internal/context.h"

namespace ramphinge::internal {

class ProxiedServiceCall
{
public:
    ProxiedServiceCall(GatewayContext &context, HttpExchange &exchange, CallerRequest request,
                       const ServiceSpec &service);

    void run(Yield yield);

private:
    // The untried upstream with the fewest requests in flight, of the own zone if possible; null if
    // there is none.
    ServiceUpstream *chooseUpstream();

    // attempt(), forwardAnswer() and failOrRetry() return true if the request is finished and false
    // if it is to be retried.
    bool attempt(ServiceUpstream &upstream, Yield yield);
    void failWithoutUpstream(Yield yield);
    HttpRequest upstreamRequest() const;
    Result<HttpResponse> exchange(HttpCall &call, Yield yield) const;
    bool forwardAnswer(const HostId &host, HttpResponse response, Yield yield);
    bool failOrRetry(const HostId &host, bool notSent, Yield yield);
    Outcome outcomeSoFar() const { return m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun; }
    Duration timeLeft() const { return m_request.deadline - m_context.clock.now(); }

    GatewayContext &m_context;
    HttpExchange &m_exchange;
    CallerRequest m_request;
    ServiceId m_service;
    KeyClaim m_claim;
    std::set<HostId> m_tried;
    HttpCall *m_call = nullptr;
    int m_attempts = 0;
    bool m_mayHaveRun = false;
    bool m_callerGone = false;
};

} // namespace ramphinge::internal
