// What the tests of the request path share: a daemon's request path over scripted upstreams, and
// the answers that these give.

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

// A wire of the tests' own: as plain as can be.
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
        if (const auto after = message.headers.find("resume"))
            request.resumeAfter = EventId(std::string(*after));
        request.message = message;
        return request;
    }

    // If set, called before each translation; may throw, as a part that fails would.
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

    AnswerHead decodeAnswer(int status, const HttpHeaders &headers) const override
    {
        if (onDecodeAnswer)
            onDecodeAnswer();
        AnswerHead head;
        head.status = status;
        head.notExecuted = headers.find("not-run").has_value();
        head.authentic = headers.find("seal").has_value();
        head.decoded = headers.find("encoded").has_value();
        head.headers = headers;
        return head;
    }

    bool answers(const HttpHeaders &, const RequestId &) const override { return true; }
};

// What servers say of themselves, on the tests' own wire.
class TestStatements : public StatementDecoder
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

inline HttpHeaders sealed()
{
    return { { "seal", "s" } };
}

inline ScriptedAnswer answer(int status, std::vector<std::string> pieces,
                             HttpHeaders headers = sealed())
{
    ScriptedAnswer script;
    script.status = status;
    script.headers = std::move(headers);
    script.pieces = std::move(pieces);
    return script;
}

inline ScriptedAnswer notRun()
{
    return answer(503, {}, { { "not-run", "1" } });
}

inline ScriptedAnswer fails(ScriptedAnswer::Start start)
{
    ScriptedAnswer script;
    script.start = start;
    return script;
}

inline ScriptedAnswer breaksOff(std::vector<std::string> pieces)
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

// Lets everything else on the loop run, timers that have expired too, several times over.
inline void giveTurns(IoContext &io, Yield yield)
{
    for (int i = 0; i < 20; ++i)
        sleepFor(io, {}, yield);
}

// A server that has a script left is there.
class ScriptedProbe : public ServerProbe
{
public:
    explicit ScriptedProbe(const ScriptedClient &client) : m_client(client) { }

    ProbeVerdict probe(const ServerAddress &server, Duration, Yield) override
    {
        if (canTell)
            return m_client.expectsCall(server.endpoint) ? ProbeVerdict::Lives
                                                         : ProbeVerdict::Ended;
        return ProbeVerdict::Unknown;
    }

    bool canTell = true;

private:
    const ScriptedClient &m_client;
};

// Grants as many trials as it is told to.
class ScriptedTrials : public TrialGranter
{
public:
    bool grantTrial(const RequestFingerprint &, Yield) override { return left > 0 && left-- > 0; }

    int left = 0;
};

// A daemon's request path over scripted upstreams: two of each service. The first has shown itself
// to be the faster one, so it is asked first.
class Bench
{
public:
    Bench()
        : state(Freshness(std::chrono::seconds(5), std::chrono::milliseconds(500)),
                TargetTable(options(), 1), { 0.2, 20, std::chrono::seconds(10) }),
          log(clock, {})
    {
        clock.advance(std::chrono::seconds(60)); // It has run for longer than the budget's window.
        state.catalog = std::make_shared<const ServiceCatalog>(content());
        state.freshness.prove(clock.now());
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
        return { http, statements, state.gate, clock, log, metrics };
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

    // Serves one request; the exchange holds what the caller got.
    std::shared_ptr<RecordedExchange> serve(const std::string &path, HttpHeaders headers = {})
    {
        auto exchange = std::make_shared<RecordedExchange>(
            HttpRequest { "POST", path, std::move(headers), "body" });
        serve(*exchange);
        return exchange;
    }

    void serve(RecordedExchange &exchange)
    {
        IoContext io(1);
        runCoroutine(io, [&](Yield yield) {
            Dispatcher dispatcher(io, clock, dispatchOptions, codec, upstreams, probe, trials,
                                  state, log, metrics);
            dispatcher.handle(exchange, yield);
        });
    }

    // Serves a request whose exchange takes turns on the loop. Stalls are looked for all the time.
    void serve(const std::function<std::shared_ptr<RecordedExchange>(IoContext &)> &callerOn,
               HttpClient &http)
    {
        lookForStallsAllTheTime();
        IoContext io(1);
        UpstreamClient others = upstreamsOver(http);
        runCoroutine(io, [&](Yield yield) {
            Dispatcher dispatcher(io, clock, dispatchOptions, codec, others, probe, trials, state,
                                  log, metrics);
            dispatcher.handle(*callerOn(io), yield);
        });
    }

    // A few turns of the loop outlast the time between two looks.
    void lookForStallsAllTheTime()
    {
        constexpr Duration look = std::chrono::nanoseconds(1);
        dispatchOptions.stallLook = look;
        dispatchOptions.retryAfter = look; // The next look after a refusal.
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
    ScriptedTrials trials;
    DispatchState state;
    FleetView fleet;
    ReplicaPlan plan;
    DecisionLog log;
    Metrics metrics;
    TestStatements statements;
    UpstreamClient upstreams = upstreamsOver(client);
};

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n";
}

} // namespace ramphinge::dispatch_fixture
