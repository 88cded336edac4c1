// One call of a plain service. Internal to the gateway library.

#pragma once

#include "ramphinge/gateway/internal/context.h"

namespace ramphinge::internal {

class ServiceRun
{
public:
    ServiceRun(GatewayContext &context, HttpExchange &exchange, CallerRequest request,
               const ServiceSpec &service);

    void run(Yield yield);

private:
    // The least busy upstream, of the own zone if there is one; null if there is none.
    ServiceUpstream *choose();

    // True if the caller has been answered.
    bool attempt(ServiceUpstream &upstream, Yield yield);
    void refuse(Yield yield);
    HttpRequest upstreamRequest() const;
    Result<HttpResponse> exchange(HttpCall &call, Yield yield) const;
    bool answer(const HostId &host, HttpResponse response, Yield yield);
    bool giveUpOrRetry(const HostId &host, bool neverSent, Yield yield);
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
