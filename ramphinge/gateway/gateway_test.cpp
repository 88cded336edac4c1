// Tests of the gateway: forwarding of streams across failovers, parsing of callers' requests, and
// claims of idempotency keys.

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

std::string completeStream(int tokens)
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

Json validBody()
{
    return { { "model", "chat" },
             { "messages", Json::array({ { { "role", "user" }, { "content", "hello" } } }) } };
}

// Grants every claim, after calling `duringClaim`.
class DelayedClaimService : public ClaimService
{
public:
    Result<ClaimAnswer> claim(const ClaimAttempt &, Yield) override
    {
        if (duringClaim)
            duringClaim();
        ClaimAnswer granted;
        granted.verdict = ClaimVerdict::Granted;
        granted.sendWithin = std::chrono::seconds(5);
        return granted;
    }
    void settle(const ClaimAttempt &, ClaimOutcome, std::optional<KeptAnswer>) override { }
    IdempotencyKey makeKey() override { return IdempotencyKey("k"); }

    std::function<void()> duringClaim;
};

// A plain service that records the attempt number of each request.
class AttemptRecorder : public HttpHandler
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

AcceptedConfigPtr serviceConfiguration()
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

// The JSON object with one field more at its beginning.
std::string withField(const HttpBody &object, const std::string &field)
{
    return "{" + field + object.text().substr(1);
}

} // namespace

class GatewayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(relayForwardsCompleteStreams);
    CPPUNIT_TEST(relayDropsDuplicatesAndRejectsGaps);
    CPPUNIT_TEST(eachTokenIsForwardedOnceAcrossFailovers);
    CPPUNIT_TEST(invalidCredentialsAreRejected);
    CPPUNIT_TEST(duplicateHeadersAreRejected);
    CPPUNIT_TEST(invalidBodiesAreRejected);
    CPPUNIT_TEST(deeplyNestedBodiesAreRejected);
    CPPUNIT_TEST(validRequestIsRead);
    CPPUNIT_TEST(callersCannotClearTheUnrepeatableMark);
    CPPUNIT_TEST(upstreamRemovedDuringTheClaimIsNotUsed);
    CPPUNIT_TEST_SUITE_END();

public:
    void relayForwardsCompleteStreams()
    {
        SseRelay relay;
        std::string out;
        CPPUNIT_ASSERT(relay.feed(completeStream(5), out));
        CPPUNIT_ASSERT_EQUAL(completeStream(5), out);
        CPPUNIT_ASSERT(relay.done());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 5 }, relay.position());
    }

    void relayDropsDuplicatesAndRejectsGaps()
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

    void eachTokenIsForwardedOnceAcrossFailovers()
    {
        const bool held = rc::check("the caller gets each token once", [] {
            Random random(*rc::gen::arbitrary<std::uint32_t>());
            const int tokens = 1 + static_cast<int>(random.below(40));
            const std::string whole = completeStream(tokens);
            SseRelay relay;
            std::string received;
            while (!relay.done()) {
                // Another replica continues, possibly from before the requested position.
                relay.restart();
                const auto from = static_cast<std::int64_t>(
                    random.below(static_cast<std::uint64_t>(relay.position()) + 1));
                std::string rest = whole.substr(completeStream(static_cast<int>(from)).size()
                                                - std::string("data: [DONE]\n\n").size());
                const std::size_t failsAt = random.below(rest.size() * 2);
                rest.resize(std::min(rest.size(), failsAt));
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

    void invalidCredentialsAreRejected()
    {
        HttpRequest request = completion(validBody());
        request.headers = {};
        CPPUNIT_ASSERT_EQUAL(401, failureOf(m_reader.authenticate(request)).status);
        request.headers = { { "authorization", "Bearer wrong" } };
        CPPUNIT_ASSERT_EQUAL(401, failureOf(m_reader.authenticate(request)).status);
    }

    void duplicateHeadersAreRejected()
    {
        HttpRequest request = completion(validBody());
        request.headers.add("idempotency-key", "a");
        request.headers.add("Idempotency-Key", "b");
        CPPUNIT_ASSERT_EQUAL(400, failureOf(m_reader.authenticate(request)).status);
    }

    void invalidBodiesAreRejected()
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
        Json other = validBody();
        other["model"] = "else";
        CPPUNIT_ASSERT_EQUAL(404, failureOf(read(completion(other))).status);
        HttpRequest late = completion(validBody());
        late.headers.add("x-deadline-ms", "-1");
        CPPUNIT_ASSERT_EQUAL(400, failureOf(read(late)).status);
    }

    // A caller could crash the daemon with one request: its body is serialized again for the
    // upstream, which recurses into nested lists, and 700 levels overflowed a coroutine's stack of
    // 64 KB.
    void deeplyNestedBodiesAreRejected()
    {
        HttpRequest request = completion(validBody());
        const auto withDepth = [&request](std::size_t levels) {
            HttpRequest deep = request;
            deep.body =
                withField(deep.body,
                          R"("more":)" + std::string(levels, '[') + std::string(levels, ']') + ",");
            return deep;
        };
        for (const std::size_t levels : { 64, 700, 100'000 })
            CPPUNIT_ASSERT_EQUAL(400, failureOf(read(withDepth(levels))).status);
        CPPUNIT_ASSERT(std::holds_alternative<CompletionRequest>(read(withDepth(63))));
        request.body = withField(request.body, R"("stop":"[[{\"]",)" + std::string(200, ' '));
        CPPUNIT_ASSERT(std::holds_alternative<CompletionRequest>(read(request)));
    }

    void validRequestIsRead()
    {
        HttpRequest request = completion(validBody());
        request.headers.add("x-deadline-ms", "500");
        const auto result = read(request);
        const auto &read = std::get<CompletionRequest>(result);
        CPPUNIT_ASSERT_EQUAL(ModelId("m@1"), read.model);
        CPPUNIT_ASSERT_EQUAL(3, read.priority);
        CPPUNIT_ASSERT(read.common.deadline == m_clock.now() + Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::string("m@1"),
                             Json::parse(read.upstreamBody)["model"].get<std::string>());
    }

    void callersCannotClearTheUnrepeatableMark()
    {
        HttpRequest request { "POST", "/x", { { "x-unrepeatable", "false" } }, "" };
        const auto common =
            m_reader.readCommon(request, account(), true, m_clock.now(), RequestId("r"));
        CPPUNIT_ASSERT(std::get<CallerRequest>(common).unrepeatable);
    }

    // Guards against a use after free, which could crash the daemon with a segmentation fault: an
    // upstream was chosen for a request with a key and kept as a pointer while the key's owner was
    // asked, and a new membership list replaced the upstreams meanwhile. The first attempt then
    // used freed memory, and the remaining upstream got only the second.
    void upstreamRemovedDuringTheClaimIsNotUsed()
    {
        IoContext io(1);
        AttemptRecorder left;
        AttemptRecorder present;
        const auto first = HttpServer::listen(io, { "127.0.0.1", 0 }, {}, left);
        const auto second = HttpServer::listen(io, { "127.0.0.1", 0 }, {}, present);
        CPPUNIT_ASSERT(first.ok() && second.ok());
        DelayedClaimService claims;
        const SystemClock clock; // The client checks the claim's expiry against it.
        Timeline timeline(DaemonId("d"), clock, "");
        Metrics metrics;
        Gateway gateway(io, clock, {}, claims, timeline, metrics);
        gateway.setConfig(serviceConfiguration());
        gateway.setServingCheck([](MonotonicTime) {
            return ServingDecision { ServingMode::Confirmed, {}, false };
        });
        gateway.setServices({ memberAt("h1", *first.value()) });
        claims.duringClaim = [&] { gateway.setServices({ memberAt("h2", *second.value()) }); };
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
