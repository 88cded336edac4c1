// Tests of the gateway's pure parts: the relay over breaks, reading of callers' requests.

#include <rapidcheck.h>

#include "ramphinge/base/hash.h"
#include "ramphinge/gateway/caller_request.h"
#include "ramphinge/gateway/gateway.h"
#include "ramphinge/gateway/sse_relay.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/run_coroutine.h"
#include "testing/scripted_http.h"

using namespace ramphinge;
using Json = nlohmann::json;

namespace {

std::string tokenEvent(int position)
{
    return "id: " + std::to_string(position) + "\ndata: t" + std::to_string(position) + "\n\n";
}

std::string wholeStream(int tokens)
{
    std::string stream;
    for (int i = 1; i <= tokens; ++i)
        stream += tokenEvent(i);
    return stream + "data: [DONE]\n\n";
}

Configuration configuration()
{
    return parseConfiguration(Json::parse(R"({
      "models": [{"name": "m", "version": "1", "hostsPerReplica": 1, "replicas": {"a": 1},
                  "tokensPerSecond": 100}],
      "templates": [{"name": "t", "body": {"models":
          [{"model": "m@1", "alias": "chat", "tokensPerSecond": 10, "priority": 3}]}}],
      "accounts": [{"name": "x", "team": "t", "template": "t",
          "apiKeysSha256": [")" + sha256Hex("secret")
                                          + R"("]}]
    })"))
        .value();
}

HttpRequest completion(const Json &body)
{
    return {
        "POST", "/v1/chat/completions", { { "Authorization", "Bearer secret" } }, body.dump()
    };
}

Json goodBody()
{
    return { { "model", "chat" },
             { "messages", Json::array({ { { "role", "user" }, { "content", "hello" } } }) } };
}

// Grants every claim, after what the test does meanwhile.
class SlowClaims : public ClaimService
{
public:
    Result<ClaimAnswer> claim(const ClaimAttempt &, Yield) override
    {
        if (meanwhile)
            meanwhile();
        ClaimAnswer granted;
        granted.verdict = ClaimVerdict::Granted;
        granted.sendWithin = std::chrono::seconds(5);
        return granted;
    }
    void settle(const ClaimAttempt &, ClaimOutcome, std::optional<KeptAnswer>) override { }
    IdempotencyKey makeKey() override { return IdempotencyKey("k"); }

    std::function<void()> meanwhile;
};

// A plain service that keeps the number of the attempt that each request was.
class AttemptKeeper : public HttpHandler
{
public:
    void handle(HttpExchange &exchange, Yield yield) override
    {
        attempts.emplace_back(exchange.request().headers.find("x-attempt").value_or(""));
        static_cast<void>(exchange.respond({ 200, {}, "done" }, yield));
    }

    std::vector<std::string> attempts;
};

Member memberAt(const char *host, const HttpServer &server)
{
    Member member;
    member.host = HostId(host);
    member.endpoint = { "127.0.0.1", server.port() };
    member.kind = UpstreamKind::Service;
    member.service = ServiceId("s");
    return member;
}

AcceptedConfigPtr configurationOfAService()
{
    AcceptedConfig config;
    config.configuration = parseConfiguration(Json::parse(R"({
      "services": [{"name": "s", "pathPrefix": "/s/"}],
      "templates": [{"name": "t", "body": {"services": ["s"]}}],
      "accounts": [{"name": "x", "team": "t", "template": "t",
          "apiKeysSha256": [")" + sha256Hex("secret") + R"("]}]
    })"))
                               .value();
    return std::make_shared<const AcceptedConfig>(std::move(config));
}

} // namespace

class GatewayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(relayPassesWholeStreamsOn);
    CPPUNIT_TEST(relayDropsRepeatsAndRefusesGaps);
    CPPUNIT_TEST(eachTokenOnceOverRandomBreaks);
    CPPUNIT_TEST(wrongCredentialsAreRefused);
    CPPUNIT_TEST(duplicatedHeadersAreRefused);
    CPPUNIT_TEST(wrongBodiesAreRefusedWithARemedy);
    CPPUNIT_TEST(tooDeepBodiesAreRefused);
    CPPUNIT_TEST(goodRequestIsRead);
    CPPUNIT_TEST(callersCantTakeTheMarkOff);
    CPPUNIT_TEST(upstreamThatLeftDuringTheClaimIsNotUsed);
    CPPUNIT_TEST_SUITE_END();

public:
    void relayPassesWholeStreamsOn()
    {
        SseRelay relay;
        std::string out;
        CPPUNIT_ASSERT(relay.feed(wholeStream(5), out));
        CPPUNIT_ASSERT_EQUAL(wholeStream(5), out);
        CPPUNIT_ASSERT(relay.done());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 5 }, relay.position());
    }

    void relayDropsRepeatsAndRefusesGaps()
    {
        SseRelay relay;
        std::string out;
        CPPUNIT_ASSERT(relay.feed(tokenEvent(1) + tokenEvent(2), out));
        relay.restart();
        out.clear();
        CPPUNIT_ASSERT(relay.feed(tokenEvent(2) + tokenEvent(3), out));
        CPPUNIT_ASSERT_EQUAL(tokenEvent(3), out);
        CPPUNIT_ASSERT(!relay.feed(tokenEvent(5), out));
        SseRelay other;
        CPPUNIT_ASSERT(!other.feed("id: x\n\n", out));
    }

    void eachTokenOnceOverRandomBreaks()
    {
        const bool held = rc::check("the caller gets each token once", [] {
            Random random(*rc::gen::arbitrary<std::uint32_t>());
            const int tokens = 1 + static_cast<int>(random.below(40));
            const std::string whole = wholeStream(tokens);
            SseRelay relay;
            std::string received;
            while (!relay.done()) {
                // Another replica continues, perhaps a little before where it was asked to.
                relay.restart();
                const auto from = static_cast<std::int64_t>(
                    random.below(static_cast<std::uint64_t>(relay.position()) + 1));
                std::string rest = whole.substr(wholeStream(static_cast<int>(from)).size()
                                                - std::string("data: [DONE]\n\n").size());
                const std::size_t breaksAt = random.below(rest.size() * 2);
                rest.resize(std::min(rest.size(), breaksAt));
                while (!rest.empty()) {
                    const std::size_t size = 1 + random.below(rest.size());
                    RC_ASSERT(relay.feed(rest.substr(0, size), received));
                    rest.erase(0, size);
                }
            }
            RC_ASSERT(received == whole);
        });
        CPPUNIT_ASSERT(held);
    }

    void wrongCredentialsAreRefused()
    {
        HttpRequest request = completion(goodBody());
        request.headers = {};
        CPPUNIT_ASSERT_EQUAL(401, failureOf(m_reader.authenticate(request)).status);
        request.headers = { { "authorization", "Bearer wrong" } };
        CPPUNIT_ASSERT_EQUAL(401, failureOf(m_reader.authenticate(request)).status);
    }

    void duplicatedHeadersAreRefused()
    {
        HttpRequest request = completion(goodBody());
        request.headers.add("idempotency-key", "a");
        request.headers.add("Idempotency-Key", "b");
        CPPUNIT_ASSERT_EQUAL(400, failureOf(m_reader.authenticate(request)).status);
    }

    void wrongBodiesAreRefusedWithARemedy()
    {
        for (const char *text :
             { R"([])", R"({"model": 3})", R"({"model": "chat"})",
               R"({"model": "chat", "messages": [{"role": "user"}]})",
               R"({"model": "chat", "messages": [{"role": "u", "content": "x"}], "max_tokens": 0})",
               R"({"model": "chat", "messages": [{"role": "u", "content": "x"}], "stream": 1})" }) {
            const Failure failure = failureOf(read(completion(Json::parse(text))));
            CPPUNIT_ASSERT_EQUAL(400, failure.status);
            CPPUNIT_ASSERT(failure.outcome == Outcome::NotRun);
        }
        Json other = goodBody();
        other["model"] = "else";
        CPPUNIT_ASSERT_EQUAL(404, failureOf(read(completion(other))).status);
        HttpRequest late = completion(goodBody());
        late.headers.add("x-deadline-ms", "-1");
        CPPUNIT_ASSERT_EQUAL(400, failureOf(read(late)).status);
    }

    // Any caller could end a daemon by one request: its body is written anew for the upstream,
    // which is recursive in the depth, and 700 lists in each other took more than a coroutine's 64
    // KB.
    void tooDeepBodiesAreRefused()
    {
        HttpRequest request = completion(goodBody());
        const auto withDepth = [&request](std::size_t levels) {
            HttpRequest deep = request;
            deep.body.insert(
                1, R"("more":)" + std::string(levels, '[') + std::string(levels, ']') + ",");
            return deep;
        };
        for (const std::size_t levels : { 64, 700, 100'000 })
            CPPUNIT_ASSERT_EQUAL(400, failureOf(read(withDepth(levels))).status);
        CPPUNIT_ASSERT(std::holds_alternative<CompletionRequest>(read(withDepth(63))));
        request.body.insert(1, R"("stop":"[[{\"]",)" + std::string(200, ' '));
        CPPUNIT_ASSERT(std::holds_alternative<CompletionRequest>(read(request)));
    }

    void goodRequestIsRead()
    {
        HttpRequest request = completion(goodBody());
        request.headers.add("x-deadline-ms", "500");
        const auto result = read(request);
        const auto &read = std::get<CompletionRequest>(result);
        CPPUNIT_ASSERT_EQUAL(ModelId("m@1"), read.model);
        CPPUNIT_ASSERT_EQUAL(3, read.priority);
        CPPUNIT_ASSERT(read.common.deadline == m_clock.now() + Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::string("m@1"),
                             Json::parse(read.upstreamBody)["model"].get<std::string>());
    }

    void callersCantTakeTheMarkOff()
    {
        HttpRequest request { "POST", "/x", { { "x-unrepeatable", "false" } }, "" };
        const auto common =
            m_reader.readCommon(request, account(), true, m_clock.now(), RequestId("r"));
        CPPUNIT_ASSERT(std::get<CallerRequest>(common).unrepeatable);
    }

    // What users could have seen: a daemon that ends by a segmentation fault as the members change.
    //
    // Order of events: an upstream is chosen for a request with a key, the key's owner is asked,
    // and meanwhile the platform tells another list of members. Cause: the chosen upstream was kept
    // as a pointer into the list, which the new one takes the place of. Evidence: the first attempt
    // went wherever the freed memory said; what was left for the other upstream was the second.
    void upstreamThatLeftDuringTheClaimIsNotUsed()
    {
        IoContext io(1);
        AttemptKeeper left;
        AttemptKeeper present;
        const auto first = HttpServer::listen(io, { "127.0.0.1", 0 }, {}, left);
        const auto second = HttpServer::listen(io, { "127.0.0.1", 0 }, {}, present);
        CPPUNIT_ASSERT(first.ok() && second.ok());
        SlowClaims claims;
        const SystemClock clock; // The client judges by it whether the claim still holds.
        Timeline timeline(DaemonId("d"), clock, "");
        Metrics metrics;
        Gateway gateway(io, clock, {}, claims, timeline, metrics);
        gateway.setConfig(configurationOfAService());
        gateway.setServingCheck([](MonotonicTime) {
            return ServingDecision { ServingMode::Confirmed, {}, false };
        });
        gateway.setServices({ memberAt("h1", *first.value()) });
        claims.meanwhile = [&] { gateway.setServices({ memberAt("h2", *second.value()) }); };
        RecordedExchange caller(
            { "POST",
              "/s/x",
              { { "authorization", "Bearer secret" }, { "idempotency-key", "k1" } },
              "body" });
        runCoroutine(io, [&](Yield yield) { gateway.handle(caller, yield); });
        CPPUNIT_ASSERT_EQUAL(200, caller.response.status);
        CPPUNIT_ASSERT(left.attempts.empty());
        CPPUNIT_ASSERT(present.attempts == std::vector<std::string> { "1" });
    }

private:
    template <typename Variant> static Failure failureOf(const Variant &result)
    {
        return std::get<Failure>(result);
    }

    const Account &account() const { return m_configuration.accounts().front(); }

    std::variant<CompletionRequest, Failure> read(const HttpRequest &request) const
    {
        return m_reader.readCompletion(request, account(), m_clock.now(), RequestId("r"));
    }

    ManualClock m_clock;
    Configuration m_configuration = configuration();
    RequestReader m_reader { m_configuration, {} };
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);
