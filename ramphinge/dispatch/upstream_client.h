// The one way to upstream servers: requests, reports and orders alike. Reads what each answer says
// of its server, and writes nothing to one that asked for nothing, and no request to one that
// leaves.
//
//   auto call = upstreams.call(target.address(), SendPurpose::Request, request, options);
//   if (Status sent = call->start(yield); !sent.ok()) ...

#pragma once

#include "ramphinge/dispatch/statement_decoder.h"
#include "ramphinge/fleet/upstream_server.h"
#include "ramphinge/limits/server_gate.h"
#include "ramphinge/net/http_client.h"
#include "ramphinge/observe/decision_log.h"
#include "ramphinge/observe/metrics.h"

namespace ramphinge {

class UpstreamCall : public HttpCall
{
public:
    // Whether the request was not written since its server asked for nothing, or leaves. It counts
    // for no failure of the server then.
    virtual bool withheld() const = 0;
};

// Not thread-safe: lives on the event loop.
class UpstreamClient
{
public:
    // The arguments must outlive this and its calls.
    UpstreamClient(HttpClient &client, const StatementDecoder &decoder, ServerGate &gate,
                   const Clock &clock, DecisionLog &log, Metrics &metrics)
        : m_client(client), m_decoder(decoder), m_gate(gate), m_clock(clock), m_log(log),
          m_metrics(metrics)
    { }

    std::unique_ptr<UpstreamCall> call(const ServerAddress &server, SendPurpose purpose,
                                       const HttpRequest &request, HttpCallOptions options);

    // Called when a server says that it leaves, which was not known; in the coroutine of whoever
    // was answered.
    void onLeaving(std::function<void()> leaving) { m_onLeaving = std::move(leaving); }

private:
    class Call;

    // Takes over what an answer to a request that was sent at `sentAt` says of its server.
    void noteAnswer(const ServerAddress &server, const HttpCall &call, MonotonicTime sentAt);
    void logChange(const char *event, const ServerAddress &server, const char *change,
                   nlohmann::json fields);

    HttpClient &m_client;
    const StatementDecoder &m_decoder;
    ServerGate &m_gate;
    const Clock &m_clock;
    DecisionLog &m_log;
    Metrics &m_metrics;
    std::function<void()> m_onLeaving; // Empty: nobody is told.
};

} // namespace ramphinge
