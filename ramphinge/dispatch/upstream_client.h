// The client through which all calls to upstream servers go: requests, reports and orders.
// Evaluates what each response states about its server, and whether its server can be reached.
// Writes nothing to a server that asked for a pause, and no request to one that is leaving.
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
#include "ramphinge/reachability/reachability.h"
#include "ramphinge/reachability/server_contacts.h"

namespace ramphinge {

class UpstreamCall : public HttpCall
{
public:
    // Whether the request was not written because its server asked for a pause or is leaving, or no
    // connection is left for it. Such a call must not count as a failure of the server.
    virtual bool withheld() const = 0;
};

// Not thread-safe: used on the event loop only.
class UpstreamClient
{
public:
    // The arguments must outlive this and its calls.
    UpstreamClient(HttpClient &client, const StatementDecoder &decoder, ServerGate &gate,
                   Reachability &reachability, ServerContacts &contacts, const Clock &clock,
                   DecisionLog &log, Metrics &metrics)
        : m_client(client), m_decoder(decoder), m_gate(gate), m_reachability(reachability),
          m_contacts(contacts), m_clock(clock), m_log(log), m_metrics(metrics)
    { }

    std::unique_ptr<UpstreamCall> call(const ServerAddress &server, SendPurpose purpose,
                                       const HttpRequest &request, HttpCallOptions options);

    // A call to another daemon, whose answers state nothing about servers.
    std::unique_ptr<UpstreamCall> callDaemon(const Endpoint &daemon, const HttpRequest &request,
                                             HttpCallOptions options);

    // Makes a connection to the server and closes it; nothing is written. Whether the server can be
    // reached.
    bool probe(const ServerAddress &server, Duration timeout, Yield yield);

    // Sets the handler that is called when a server first states that it is leaving. It runs in the
    // coroutine that received the response.
    void onLeaving(std::function<void()> leaving) { m_onLeaving = std::move(leaving); }

private:
    class DaemonCall;
    class Call;

    // Applies what the response to a request that was sent at `sentAt` states about its server.
    void noteAnswer(const ServerAddress &server, const HttpCall &call, MonotonicTime sentAt);
    void logChange(const char *event, const ServerAddress &server, const char *change,
                   nlohmann::json fields);

    HttpClient &m_client;
    const StatementDecoder &m_decoder;
    ServerGate &m_gate;
    Reachability &m_reachability;
    ServerContacts &m_contacts;
    const Clock &m_clock;
    DecisionLog &m_log;
    Metrics &m_metrics;
    std::function<void()> m_onLeaving; // May be empty.
};

} // namespace ramphinge
