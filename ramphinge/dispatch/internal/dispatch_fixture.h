// Fixture shared by the tests of the request path: the request path of one daemon in front of
// scripted upstreams, and helpers that build catalogs, events and scripted answers.

#pragma once

#include "ramphinge/dispatch/dispatcher.h"
#include "testing/run_coroutine.h"
#include "testing/scripted_http.h"

namespace ramphinge::dispatch_fixture {

inline const ServiceId app("app");
inline const ServiceId chat("chat");
inline const ModelId model("m");
inline const Endpoint firstServer { "10.0.0.1", 80 };
inline const Endpoint secondServer { "10.0.0.2", 80 };

// A minimal wire format for the tests, in which plain headers stand for the fields of a request.
class TestCodec : public RequestCodec
{
public:
    Result<IncomingRequest> decode(const HttpRequest &message) const override
    {
        if (onDecode)
            onDecode();
        if (message.headers.find("bad"))
            return Error(ErrorKind::InvalidInput, "bad");
        IncomingRequest request;
        request.request = RequestId("r1");
        request.host = "h";
        request.path = std::string(message.path());
        if (const auto key = message.headers.find("key"))
            request.key = std::string(*key);
        if (message.path().rfind("/chat/", 0) == 0) {
            request.model = model;
            request.promptTokens = Tokens(100);
            request.maxAnswerTokens = Tokens(50);
        }
        for (const HttpHeader &field : message.headers.fields()) {
            if (field.name == "part")
                request.promptParts.emplace_back(field.value);
        }
        if (const auto after = message.headers.find("resume"))
            request.resumeAfter = EventId(std::string(*after));
        request.message = message;
        return request;
    }

    // If set, called before each conversion. They may throw, to simulate a component that fails.
    std::function<void()> onDecode;
    std::function<void()> onEncode;
    std::function<void()> onDecodeAnswer;

    HttpRequest encode(const OutgoingRequest &request) const override
    {
        if (onEncode)
            onEncode();
        HttpRequest message = request.incoming.message;
        message.headers.add("expect", request.expectedHost.text());
        message.headers.add("after", request.resumeAfter.text());
        return message;
    }

    HttpRequest encodeForwarded(const IncomingRequest &request, Duration timeLeft,
                                const EventId &resumeAfter) const override
    {
        HttpRequest message = request.message;
        message.headers.add("left", std::to_string(timeLeft.count()));
        message.headers.add("after", resumeAfter.text());
        return message;
    }

    ResponseHead decodeResponseHead(int status, const HttpHeaders &headers) const override
    {
        if (onDecodeAnswer)
            onDecodeAnswer();
        ResponseHead head;
        head.status = status;
        head.refused = headers.find("not-run").has_value();
        if (head.refused)
            head.notExecuted = RequestId("r1");
        head.authentic = headers.find("seal").has_value();
        head.decoded = headers.find("encoded").has_value();
        head.headers = headers;
        return head;
    }

    bool answers(const HttpHeaders &, const RequestId &) const override { return true; }
};

// Decodes what a server states about itself (rate limit, backoff, leaving) in TestCodec's wire
// format.
class TestStatementDecoder : public StatementDecoder
{
public:
    ServerStatement decode(int status, const HttpHeaders &headers, WallTime) const override
    {
        ServerStatement statement;
        if (status == 421)
            return statement;
        statement.isAuthentic = headers.find("seal") || headers.find("not-run");
        statement.isLeaving = headers.find("leaving").has_value();
        if (const auto limit = headers.find("limit"))
            statement.rateLimit = RequestRate(std::stod(std::string(*limit)));
        if (const auto seconds = headers.find("backoff"))
            statement.backoff = scaled(std::chrono::seconds(1), std::stod(std::string(*seconds)));
        return statement;
    }
};

inline HttpHeaders authenticHeaders()
{
    return { { "seal", "s" } };
}

inline ScriptedAnswer answer(int status, std::vector<std::string> pieces,
                             HttpHeaders headers = authenticHeaders())
{
    ScriptedAnswer script;
    script.status = status;
    script.headers = std::move(headers);
    script.pieces = std::move(pieces);
    return script;
}

inline ScriptedAnswer notExecutedAnswer()
{
    return answer(503, {}, { { "not-run", "1" } });
}

inline ScriptedAnswer failedCall(ScriptedAnswer::Start start)
{
    ScriptedAnswer script;
    script.start = start;
    return script;
}

inline ScriptedAnswer truncatedAnswer(std::vector<std::string> pieces)
{
    ScriptedAnswer script = answer(200, std::move(pieces));
    script.breaksOff = true;
    return script;
}

inline RouteEntry route(const std::string &prefix, RequestKind kind, const ServiceId &service)
{
    RouteEntry entry;
    entry.route = RouteId(prefix);
    entry.host = "h";
    entry.pathPrefix = prefix;
    entry.kind = kind;
    entry.isPublic = true;
    entry.maxAttempts = 2;
    entry.targets = { { service, 1 } };
    return entry;
}

inline CatalogContent content()
{
    CatalogContent content;
    content.version = CatalogVersion(7);
    content.routes = { route("/safe/", RequestKind::Idempotent, app),
                       route("/once/", RequestKind::AtMostOnce, app),
                       route("/chat/", RequestKind::Stream, chat),
                       route("/private/", RequestKind::Idempotent, app) };
    content.routes[2].resumable = true;
    content.routes[3].isPublic = false;
    EngineProfile engine;
    engine.slots = 8;
    engine.models.push_back({ model, 1, 1, 1, {}, {} });
    content.services = { { app, "", 0, std::nullopt }, { chat, "", 0, engine } };
    content.accounts = { { AccountId("school"), std::nullopt, { "secret" } } };
    return content;
}

// The same with a second, more urgent streamed route.
inline CatalogContent contentWithRankedStreams()
{
    CatalogContent ranked = content();
    RouteEntry urgent = route("/urgent/", RequestKind::Stream, chat);
    urgent.priority = 0;
    ranked.routes.push_back(urgent);
    return ranked;
}

inline UpstreamServer server(const std::string &host, const ServiceId &service,
                             const Endpoint &endpoint)
{
    UpstreamServer entry;
    entry.host = HostId(host);
    entry.service = service;
    entry.endpoint = endpoint;
    entry.zone = ZoneId("z");
    entry.slots = 8;
    return entry;
}

// Yields to the event loop repeatedly, so that all other ready handlers and expired timers run.
inline void runReadyHandlers(IoContext &io, Yield yield)
{
    for (int i = 0; i < 20; ++i)
        sleepFor(io, {}, yield);
}

// Reports a server as alive while scripted answers for it are left.
class ScriptedProbe : public ServerProbe
{
public:
    explicit ScriptedProbe(const ScriptedClient &client) : m_client(client) { }

    ProbeVerdict probe(const ServerAddress &server, Duration, Yield) override
    {
        if (canProbe)
            return m_client.expectsCall(server.endpoint) ? ProbeVerdict::Alive
                                                         : ProbeVerdict::Ended;
        return ProbeVerdict::Unknown;
    }

    bool responds(const ServerAddress &server, Duration, Yield) override
    {
        return canProbe && m_client.expectsCall(server.endpoint);
    }

    bool canProbe = true;

private:
    const ScriptedClient &m_client;
};

// Grants the next `remaining` trials of quarantined requests.
class ScriptedTrialGranter : public TrialGranter
{
public:
    bool grantTrial(const Fingerprint &, Yield) override
    {
        return remaining > 0 && remaining-- > 0;
    }

    int remaining = 0;
};

// The request path of one daemon in front of scripted upstreams, two for each service. The second
// upstream of each has a recorded failure, so the first one is preferred.
class DispatchHarness
{
public:
    DispatchHarness()
        : state(CatalogFreshness(std::chrono::seconds(5), std::chrono::milliseconds(500)),
                TargetTable(options(), 1), { 0.2, 20, std::chrono::seconds(10) }),
          log(clock, {})
    {
        clock.advance(std::chrono::seconds(60)); // Start later than one window of the retry budget.
        state.setCatalog(std::make_shared<const ServiceCatalog>(content()));
        state.freshness.confirm(clock.now());
        addReplica("c1", firstServer, 1);
        addReplica("c2", secondServer, 2);
        fleet.put(server("a1", app, firstServer));
        fleet.put(server("a2", app, secondServer));
        rebuild();
        for (const char *slow : { "a2", "c2" })
            state.targets.failed(HostId(slow), clock.now());
    }

    UpstreamClient upstreamsOver(HttpClient &http)
    {
        return { http,           statements, state.gate, state.reachability,
                 state.contacts, clock,      log,        metrics };
    }

    // Without a value, requests need no keys.
    void setAccounts(const std::optional<std::vector<AccountEntry>> &accounts)
    {
        CatalogContent changed = content();
        changed.accounts = accounts;
        state.setCatalog(std::make_shared<const ServiceCatalog>(changed));
    }

    void rebuild() { state.targets.rebuild(fleet, plan, *state.catalog); }

    void addReplica(const std::string &host, const Endpoint &endpoint, int epoch)
    {
        UpstreamServer head = server(host, chat, endpoint);
        head.model = model;
        head.membership = { ReplicaId(host), Epoch(epoch), 0, MembershipState::Open };
        fleet.put(head);
        plan.replicas.push_back({ ReplicaId(host),
                                  model,
                                  DomainId("d"),
                                  Epoch(epoch),
                                  ReplicaPhase::Ready,
                                  false,
                                  { HostId(host) } });
    }

    // Serves one request; the exchange records what the caller received.
    std::shared_ptr<RecordedExchange> serve(const std::string &path, HttpHeaders headers = {})
    {
        auto exchange = std::make_shared<RecordedExchange>(
            HttpRequest { "POST", path, std::move(headers), "body" });
        serve(*exchange);
        return exchange;
    }

    void serve(RecordedExchange &exchange) { serve(exchange, codec); }

    void serve(RecordedExchange &exchange, const RequestCodec &wireFormat)
    {
        IoContext io(1);
        runCoroutine(io, [&](Yield yield) {
            Dispatcher dispatcher(io, clock, dispatchOptions, wireFormat, upstreams, probe, trials,
                                  state, log, metrics);
            dispatcher.handle(exchange, yield);
        });
    }

    // Serves a request whose exchange yields to the event loop, with continuous stall checks.
    void serve(const std::function<std::shared_ptr<RecordedExchange>(IoContext &)> &makeCaller,
               HttpClient &http)
    {
        checkForStallsContinuously();
        IoContext io(1);
        UpstreamClient clientUpstreams = upstreamsOver(http);
        runCoroutine(io, [&](Yield yield) {
            Dispatcher dispatcher(io, clock, dispatchOptions, codec, clientUpstreams, probe, trials,
                                  state, log, metrics);
            dispatcher.handle(*makeCaller(io), yield);
        });
    }

    // Makes the interval between stall checks shorter than a few iterations of the event loop.
    void checkForStallsContinuously()
    {
        constexpr Duration checkInterval = std::chrono::nanoseconds(1);
        dispatchOptions.stallCheckInterval = checkInterval;
        dispatchOptions.retryAfter = checkInterval; // Until the next attempt after a refusal.
    }

    static TargetTableOptions options()
    {
        TargetTableOptions options;
        options.ownZone = ZoneId("z");
        return options;
    }

    ManualClock clock;
    DispatchOptions dispatchOptions;
    TestCodec codec;
    ScriptedClient client;
    ScriptedProbe probe { client };
    ScriptedTrialGranter trials;
    DispatchState state;
    FleetView fleet;
    ReplicaPlan plan;
    DecisionLog log;
    Metrics metrics;
    TestStatementDecoder statements;
    UpstreamClient upstreams = upstreamsOver(client);
};

// The daemon has lost its paths to all servers.
inline void loseContact(DispatchHarness &harness)
{
    const MonotonicTime now = harness.clock.now();
    for (const ServiceId &service : { app, chat }) {
        ServerContact &contact = harness.state.contacts.of(service);
        contact.setHosts({ HostId("1"), HostId("2") });
        for (const char *host : { "1", "2" })
            contact.noteFailure(HostId(host), now);
        while (!contact.isLost()) {
            for (const HostId &host : contact.takeProbes(now))
                contact.noteProbe(host, ContactProbeResult::Failed, now);
        }
    }
}

// The daemons that requests can be forwarded to.
inline void setPeers(DispatchHarness &harness, const std::vector<Endpoint> &endpoints)
{
    std::vector<ForwardPeer> peers;
    for (const Endpoint &endpoint : endpoints)
        peers.push_back({ DaemonId("d" + endpoint.address), ZoneId("z"), endpoint, {} });
    harness.state.forwards.setPeers(peers, ZoneId("z"));
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n";
}

} // namespace ramphinge::dispatch_fixture
