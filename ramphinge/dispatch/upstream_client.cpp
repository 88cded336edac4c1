// Calls to upstream servers: see upstream_client.h.

#include "ramphinge/dispatch/upstream_client.h"

#include <utility>

namespace ramphinge {

namespace {

// A connection between zones takes 3 ms; one that was given less than this proves nothing.
constexpr Duration minConclusiveTimeout = std::chrono::milliseconds(100);
// A timeout that is noticed later than this was delayed by the event loop, as the connection may
// have been.
constexpr Duration maxTimerDelay = std::chrono::milliseconds(50);

} // namespace

class UpstreamClient::DaemonCall : public UpstreamCall
{
public:
    DaemonCall() = default;
    explicit DaemonCall(std::unique_ptr<HttpCall> call) : m_call(std::move(call)) { }

    Status start(Yield yield) override { return m_call->start(yield); }
    int status() const override { return m_call->status(); }
    const HttpHeaders &headers() const override { return m_call->headers(); }
    Result<std::size_t> read(std::string &into, Yield yield) override
    {
        return m_call->read(into, yield);
    }
    void setReadTimeout(Duration timeout) override { m_call->setReadTimeout(timeout); }
    bool endsWithConnection() const override { return m_call->endsWithConnection(); }
    bool sent() const override { return m_call->sent(); }
    bool usesKeptConnection() const override { return m_call->usesKeptConnection(); }
    bool endedByPeer() const override { return m_call->endedByPeer(); }
    bool refused() const override { return m_call->refused(); }
    bool unreachable() const override { return m_call->unreachable(); }
    void cancel() override { m_call->cancel(); }
    bool exhausted() const override { return m_call->exhausted(); }
    bool withheld() const override { return exhausted(); }

protected:
    std::unique_ptr<HttpCall> m_call;
};

class UpstreamClient::Call : public UpstreamClient::DaemonCall
{
public:
    Call(UpstreamClient &client, ServerAddress server, SendPurpose purpose,
         const HttpRequest &request, HttpCallOptions options)
        : m_client(client), m_server(std::move(server)), m_purpose(purpose),
          m_contact(client.m_contacts.of(m_server.service)),
          m_connectTimeout(options.connectTimeout), m_isFresh(options.freshConnection)
    {
        options.mayWrite = [this] { return mayWrite(); };
        m_call = client.m_client.call(m_server.endpoint, request, std::move(options));
    }

    ~Call() override
    {
        if (m_isWaiting)
            m_contact.noteEnded();
    }

    Status start(Yield yield) override
    {
        const MonotonicTime sentAt = m_client.m_clock.now();
        Status started = m_call->start(yield);
        if (started.ok())
            m_client.noteAnswer(m_server, *m_call, sentAt);
        noteReachability(started.ok(), sentAt);
        noteContact(started.ok(), sentAt);
        return started;
    }

    Result<std::size_t> read(std::string &into, Yield yield) override
    {
        Result<std::size_t> got = m_call->read(into, yield);
        noteReachability(got.ok() && got.value() > 0, {});
        if (got.ok() && got.value() > 0)
            m_contact.noteArrival(m_client.m_clock.now());
        return got;
    }
    bool withheld() const override { return m_withheld || exhausted(); }

private:
    bool mayWrite()
    {
        const MonotonicTime now = m_client.m_clock.now();
        if (m_isFresh) // A kept connection proves nothing.
            m_client.m_reachability.noteReached(m_server.host, now);
        m_withheld = !m_client.m_gate.mayWrite(m_server.host, m_purpose, now);
        if (!m_withheld && !std::exchange(m_isWaiting, true))
            m_contact.noteSent(now);
        return !m_withheld;
    }

    // Whether a connection that was not made by now proves that the host is unreachable.
    bool isTimeoutConclusive(MonotonicTime startedAt, MonotonicTime now) const
    {
        return m_connectTimeout >= minConclusiveTimeout
            && now - startedAt <= m_connectTimeout + maxTimerDelay;
    }

    // `startedAt` is when the call was started.
    void noteContact(bool hasArrived, MonotonicTime startedAt)
    {
        const MonotonicTime now = m_client.m_clock.now();
        if (hasArrived)
            m_contact.noteArrival(now);
        else if (m_call->refused() || m_call->endedByPeer()
                 || (m_call->unreachable() && isTimeoutConclusive(startedAt, now)))
            m_contact.noteFailure(m_server.host, now);
    }

    // `startedAt` is when the call was started.
    void noteReachability(bool hasArrived, MonotonicTime startedAt)
    {
        Reachability &reachability = m_client.m_reachability;
        const MonotonicTime now = m_client.m_clock.now();
        if (hasArrived || m_call->refused())
            reachability.noteReached(m_server.host, now);
        else if (m_withheld)
            return;
        else if (m_call->unreachable() && isTimeoutConclusive(startedAt, now))
            reachability.noteTimedOut(m_server.host, startedAt, now);
        else if (m_call->endedByPeer())
            reachability.noteReset(m_server.host, now);
    }

    UpstreamClient &m_client;
    ServerAddress m_server;
    SendPurpose m_purpose;
    ServerContact &m_contact;
    Duration m_connectTimeout;
    bool m_isFresh; // The connection is made for this call.
    bool m_withheld = false;
    bool m_isWaiting = false; // The request was written, which m_contact counts.
};

std::unique_ptr<UpstreamCall> UpstreamClient::call(const ServerAddress &server, SendPurpose purpose,
                                                   const HttpRequest &request,
                                                   HttpCallOptions options)
{
    return std::make_unique<Call>(*this, server, purpose, request, std::move(options));
}

std::unique_ptr<UpstreamCall> UpstreamClient::callDaemon(const Endpoint &daemon,
                                                         const HttpRequest &request,
                                                         HttpCallOptions options)
{
    return std::make_unique<DaemonCall>(m_client.call(daemon, request, std::move(options)));
}

bool UpstreamClient::probe(const ServerAddress &server, Duration timeout, Yield yield)
{
    HttpCallOptions options;
    options.connectTimeout = timeout;
    options.freshConnection = true;
    bool isConnected = false;
    options.mayWrite = [&isConnected] {
        isConnected = true;
        return false;
    };
    const MonotonicTime startedAt = m_clock.now();
    const std::unique_ptr<HttpCall> call = m_client.call(server.endpoint, HttpRequest(), options);
    static_cast<void>(call->start(yield)); // Always fails, since nothing may be written.
    const bool isReachable = isConnected || call->refused();
    if (isReachable)
        m_reachability.noteReached(server.host, m_clock.now());
    else if (call->unreachable())
        m_reachability.noteTimedOut(server.host, startedAt, m_clock.now());
    return isReachable;
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
    const StatementChanges changes =
        m_gate.noteAnswer({ server.host, server.zone }, statement, sentAt, m_clock.now());
    if (changes.limit != LimitChange::None) {
        nlohmann::json fields = nlohmann::json::object();
        if (statement.rateLimit)
            fields["per_second"] = statement.rateLimit->perSecond();
        logChange("server_limit", server, toString(changes.limit), std::move(fields));
    }
    if (changes.backoff != BackoffChange::None) {
        nlohmann::json fields = nlohmann::json::object();
        if (statement.backoff)
            fields["backoff_ms"] = toMilliseconds(*statement.backoff);
        logChange("server_backoff", server, toString(changes.backoff), std::move(fields));
    }
    if (!changes.isLeaving)
        return;
    logChange("server_leaving", server, "stated", { { "status", call.status() } });
    if (m_onLeaving)
        m_onLeaving();
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
