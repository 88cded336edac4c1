// Calls of upstream servers: see upstream_client.h.

#include "ramphinge/dispatch/upstream_client.h"

#include <utility>

namespace ramphinge {

class UpstreamClient::Call : public HttpCall
{
public:
    Call(UpstreamClient &client, ServerAddress server, std::unique_ptr<HttpCall> call)
        : m_client(client), m_server(std::move(server)), m_call(std::move(call))
    { }

    Status start(Yield yield) override
    {
        const MonotonicTime sentAt = m_client.m_clock.now();
        Status started = m_call->start(yield);
        if (started.ok())
            m_client.noteAnswer(m_server, *m_call, sentAt);
        return started;
    }

    int status() const override { return m_call->status(); }
    const HttpHeaders &headers() const override { return m_call->headers(); }
    Result<std::size_t> read(std::string &into, Yield yield) override
    {
        return m_call->read(into, yield);
    }
    void setReadTimeout(Duration timeout) override { m_call->setReadTimeout(timeout); }
    bool endsWithConnection() const override { return m_call->endsWithConnection(); }
    bool sent() const override { return m_call->sent(); }
    bool endedByPeer() const override { return m_call->endedByPeer(); }
    bool refused() const override { return m_call->refused(); }
    void cancel() override { m_call->cancel(); }

private:
    UpstreamClient &m_client;
    ServerAddress m_server;
    std::unique_ptr<HttpCall> m_call;
};

std::unique_ptr<HttpCall> UpstreamClient::call(const ServerAddress &server,
                                               const HttpRequest &request, HttpCallOptions options)
{
    return std::make_unique<Call>(*this, server,
                                  m_client.call(server.endpoint, request, std::move(options)));
}

void UpstreamClient::noteAnswer(const ServerAddress &server, const HttpCall &call,
                                MonotonicTime sentAt)
{
    const ServerStatement statement =
        m_decoder.decode(call.status(), call.headers(), m_clock.wallNow());
    for (const StatementField field : statement.unreadable) {
        m_metrics.count(
            MetricName("server_statements_unreadable_total").with("field", toString(field)));
        m_log.write("server_statement_unreadable", LogWeight::Failure,
                    { { "host", server.host.text() }, { "field", toString(field) } });
    }
    noteRateLimit(server, statement, sentAt);
    if (statement.backoff)
        logChange(
            "server_backoff", server, "asked",
            { { "status", call.status() }, { "backoff_ms", toMilliseconds(*statement.backoff) } });
    if (statement.isLeaving)
        logChange("server_leaving", server, "stated", { { "status", call.status() } });
}

void UpstreamClient::noteRateLimit(const ServerAddress &server, const ServerStatement &statement,
                                   MonotonicTime sentAt)
{
    const bool saysNothing = !statement.rateLimit
        && (!statement.isAuthentic || statement.unreadable.count(StatementField::RateLimit) > 0);
    if (saysNothing)
        return;
    const LimitChange change = m_limits.noteAnswer({ server.host, server.zone },
                                                   statement.rateLimit, sentAt, m_clock.now());
    if (change == LimitChange::None)
        return;
    nlohmann::json fields = nlohmann::json::object();
    if (statement.rateLimit)
        fields["per_second"] = statement.rateLimit->perSecond();
    logChange("server_limit", server, toString(change), std::move(fields));
}

void UpstreamClient::logChange(const char *event, const ServerAddress &server, const char *change,
                               nlohmann::json fields)
{
    m_metrics.count(MetricName(std::string(event) + "_changes_total")
                        .with("change", change)
                        .with("service", server.service.text()));
    fields["host"] = server.host.text();
    fields["service"] = server.service.text();
    fields["change"] = change;
    m_log.write(event, LogWeight::Belief, std::move(fields));
}

} // namespace ramphinge
