// Tests of the request path: admission, events, choice of a place, and whole requests against
// scripted upstreams.

#include <stdexcept>

#include <rapidcheck.h>

#include "ramphinge/dispatch/event_stream.h"
#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

// Passes calls on; `beforeRead` is called before each piece of an answer is read.
class WatchedClient : public HttpClient
{
public:
    explicit WatchedClient(HttpClient &inner) : m_inner(inner) { }

    std::unique_ptr<HttpCall> call(const Endpoint &endpoint, const HttpRequest &request,
                                   HttpCallOptions options) override
    {
        return std::make_unique<Call>(*this, m_inner.call(endpoint, request, std::move(options)));
    }
    void forget(const Endpoint &endpoint) override { m_inner.forget(endpoint); }
    std::int64_t connectionsMade() const override { return m_inner.connectionsMade(); }
    std::int64_t answersSkipped() const override { return m_inner.answersSkipped(); }

    std::function<void(Yield)> beforeRead;

private:
    class Call : public HttpCall
    {
    public:
        Call(WatchedClient &client, std::unique_ptr<HttpCall> inner)
            : m_client(client), m_inner(std::move(inner))
        { }

        Status start(Yield yield) override { return m_inner->start(yield); }
        int status() const override { return m_inner->status(); }
        const HttpHeaders &headers() const override { return m_inner->headers(); }
        Result<std::size_t> read(std::string &into, Yield yield) override
        {
            m_client.beforeRead(yield);
            return m_inner->read(into, yield);
        }
        void setReadTimeout(Duration timeout) override { m_inner->setReadTimeout(timeout); }
        bool endsWithConnection() const override { return m_inner->endsWithConnection(); }
        bool sent() const override { return m_inner->sent(); }
        bool refused() const override { return m_inner->refused(); }
        bool endedByPeer() const override { return m_inner->endedByPeer(); }
        void cancel() override { m_inner->cancel(); }

    private:
        WatchedClient &m_client;
        std::unique_ptr<HttpCall> m_inner;
    };

    HttpClient &m_inner;
};

// A caller who reads nothing for longer than any pause that is allowed, and then everything.
class SlowCaller : public RecordedExchange
{
public:
    SlowCaller(IoContext &io, ManualClock &clock)
        : RecordedExchange({ "POST", "/chat/x", {}, "body" }), m_io(io), m_clock(clock)
    { }

    Status write(std::string_view piece, Yield yield) override
    {
        for (int i = 0; i < 60;
             ++i) { // In small steps: a long one would be the daemon's own pause.
            m_clock.advance(std::chrono::milliseconds(50));
            runReadyHandlers(m_io, yield);
        }
        return RecordedExchange::write(piece, yield);
    }

private:
    IoContext &m_io;
    ManualClock &m_clock;
};

bool hasRetryAfter(const RecordedExchange &exchange)
{
    return exchange.response.headers.find("Retry-After").has_value();
}

} // namespace

class DispatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchTest);
    CPPUNIT_TEST(answerGoesThroughUnchanged);
    CPPUNIT_TEST(unknownRoutesAndKeysAreRefused);
    CPPUNIT_TEST(daemonWithoutCatalogSaysNotRunOnly);
    CPPUNIT_TEST(staleDaemonRefusesEveryKey);
    CPPUNIT_TEST(unreadableRequestIsRefused);
    CPPUNIT_TEST(refusedRequestGoesToAnotherServer);
    CPPUNIT_TEST(idleConnectionsOfAllDaemonsFitTheServersLimit);
    CPPUNIT_TEST(refusedEverywhereIsNotRunWithATimeToComeBack);
    CPPUNIT_TEST(atMostOnceIsNotRepeatedAfterItMayHaveRun);
    CPPUNIT_TEST(atMostOnceIsRepeatedIfItWasNeverSent);
    CPPUNIT_TEST(idempotentIsRepeatedAfterAServerError);
    CPPUNIT_TEST(lastServerErrorIsTheAnswer);
    CPPUNIT_TEST(answerThatIsNotTheServersOwnIsNoSuccess);
    CPPUNIT_TEST(attemptsAreBounded);
    CPPUNIT_TEST(repeatsStayWithinTheBudget);
    CPPUNIT_TEST(streamIsPassedOnEventByEvent);
    CPPUNIT_TEST(brokenStreamGoesOnAfterItsLastWholeEvent);
    CPPUNIT_TEST(streamThatCantGoOnNeverLooksWhole);
    CPPUNIT_TEST(streamEndingInsideAnEventIsNotWhole);
    CPPUNIT_TEST(missingEventIsNotPassedOver);
    CPPUNIT_TEST(streamThatMayNotBeResumedIsNot);
    CPPUNIT_TEST(callerWhoLeavesCancelsTheWork);
    CPPUNIT_TEST(eventsAreCutAtAnyPlace);
    CPPUNIT_TEST(placeThatStandsStillIsLeftOut);
    CPPUNIT_TEST(usualPausesTellWhenAPlaceStandsStill);
    CPPUNIT_TEST(avoidedPlaceIsStillBetterThanNone);
    CPPUNIT_TEST(replicaOutsideThePlanGetsNothing);
    CPPUNIT_TEST(demandFollowsWhatIsAsked);
    CPPUNIT_TEST(demandOfAllDaemonsIsKnownSoon);
    CPPUNIT_TEST(busyServersFollowTheWork);
    CPPUNIT_TEST(busyReplicaIsNotLeftStillOneIs);
    CPPUNIT_TEST(streamIsNotLeftWhileItsCallerIsSlow);
    CPPUNIT_TEST(ownPauseIsNoSilenceOfTheUpstream);
    CPPUNIT_TEST(silenceIsNoticedAfterAPauseToo);
    CPPUNIT_TEST(placesThatAllSeemStillShareTheRequests);
    CPPUNIT_TEST(newReplicaIsNotJudgedByItsHeadsLastOne);
    CPPUNIT_TEST(changedBudgetHoldsForServicesInUse);
    CPPUNIT_TEST(newBudgetCountsTheDaemonsWhoseRegistrationsLapsed);
    CPPUNIT_TEST(connectionsToServersThatLeftInTwoStepsAreDropped);
    CPPUNIT_TEST(placeThatLeftIsNotRememberedAnew);
    CPPUNIT_TEST(requestThatCannotBeSentIsAnswered);
    CPPUNIT_TEST(requestThatCannotBeReadInIsAnswered);
    CPPUNIT_TEST(failureBeforeTheSendingPromisesThatNothingHasRun);
    CPPUNIT_TEST(failureOfTheSendingClosesTheAccountsOfItsUpstream);
    CPPUNIT_TEST(failureAfterTheSendingSaysThatItMayHaveRun);
    CPPUNIT_TEST_SUITE_END();

public:
    void answerGoesThroughUnchanged()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, { "he", "llo" }));
        const auto exchange = harness.serve("/safe/x?q=1");
        CPPUNIT_ASSERT_EQUAL(200, exchange->response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), exchange->response.body);
        CPPUNIT_ASSERT(exchange->response.headers.find("seal") == "s");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
        const HttpRequest &sent = harness.client.sent()[0].request;
        CPPUNIT_ASSERT_EQUAL(std::string("/safe/x?q=1"), sent.target);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), sent.body);
        CPPUNIT_ASSERT(sent.headers.find("expect") == "a1");
    }

    void unknownRoutesAndKeysAreRefused()
    {
        DispatchHarness harness;
        CPPUNIT_ASSERT_EQUAL(404, harness.serve("/nowhere")->response.status);
        CPPUNIT_ASSERT_EQUAL(401, harness.serve("/private/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(401,
                             harness.serve("/private/x", { { "key", "no" } })->response.status);
        harness.client.expect(firstServer, answer(200, { "ok" }));
        CPPUNIT_ASSERT_EQUAL(200,
                             harness.serve("/private/x", { { "key", "secret" } })->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
    }

    void daemonWithoutCatalogSaysNotRunOnly()
    {
        DispatchHarness harness;
        harness.state.catalog = nullptr;
        const auto exchange = harness.serve("/safe/x");
        CPPUNIT_ASSERT_EQUAL(503, exchange->response.status);
        CPPUNIT_ASSERT(hasRetryAfter(*exchange));
    }

    void staleDaemonRefusesEveryKey()
    {
        DispatchHarness harness;
        harness.clock.advance(std::chrono::seconds(5));
        // A known key may have been taken away, an unknown one may be new.
        for (const char *key : { "secret", "unknown" }) {
            const auto exchange = harness.serve("/private/x", { { "key", key } });
            CPPUNIT_ASSERT_EQUAL(503, exchange->response.status);
            CPPUNIT_ASSERT(hasRetryAfter(*exchange));
        }
        CPPUNIT_ASSERT(harness.client.sent().empty());
        harness.client.expect(firstServer, answer(200, { "ok" }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/safe/x")->response.status);
    }

    void unreadableRequestIsRefused()
    {
        DispatchHarness harness;
        CPPUNIT_ASSERT_EQUAL(400, harness.serve("/safe/x", { { "bad", "1" } })->response.status);
    }

    void idleConnectionsOfAllDaemonsFitTheServersLimit()
    {
        DispatchHarness harness;
        CatalogContent limited = content();
        limited.services[0].connectionLimit = 600;
        harness.state.catalog = std::make_shared<const ServiceCatalog>(limited);
        harness.state.noteDaemons(300);
        harness.client.expect(firstServer, answer(200, { "x" }));
        harness.serve("/safe/1");
        CPPUNIT_ASSERT_EQUAL(2, harness.client.sent().at(0).options.maxIdleConnections);
    }

    void refusedRequestGoesToAnotherServer()
    {
        for (const char *path : { "/once/x", "/safe/x" }) {
            DispatchHarness harness;
            harness.client.expect(firstServer, notExecutedAnswer());
            harness.client.expect(secondServer, answer(200, { "ok" }));
            CPPUNIT_ASSERT_EQUAL(200, harness.serve(path)->response.status);
        }
    }

    void refusedEverywhereIsNotRunWithATimeToComeBack()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, notExecutedAnswer());
        harness.client.expect(secondServer, notExecutedAnswer());
        const auto exchange = harness.serve("/once/x");
        CPPUNIT_ASSERT_EQUAL(429, exchange->response.status);
        CPPUNIT_ASSERT(hasRetryAfter(*exchange));
    }

    void atMostOnceIsNotRepeatedAfterItMayHaveRun()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, failedCall(ScriptedAnswer::Start::NoAnswer));
        const auto exchange = harness.serve("/once/x");
        CPPUNIT_ASSERT_EQUAL(502, exchange->response.status);
        CPPUNIT_ASSERT(!hasRetryAfter(*exchange));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
        harness.client.expect(firstServer, truncatedAnswer({ "hal" }));
        harness.state.targets.succeeded(HostId("a1"), harness.clock.now());
        CPPUNIT_ASSERT_EQUAL(502, harness.serve("/once/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    void atMostOnceIsRepeatedIfItWasNeverSent()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, failedCall(ScriptedAnswer::Start::NoConnection));
        harness.client.expect(secondServer, answer(200, { "ok" }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/once/x")->response.status);
    }

    void idempotentIsRepeatedAfterAServerError()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(500, { "oops" }));
        harness.client.expect(secondServer, answer(200, { "ok" }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/safe/x")->response.status);
        harness.client.expect(firstServer, answer(500, { "oops" }));
        harness.state.targets.succeeded(HostId("a1"), harness.clock.now());
        CPPUNIT_ASSERT_EQUAL(500, harness.serve("/once/x")->response.status);
    }

    void lastServerErrorIsTheAnswer()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(500, { "one" }));
        harness.client.expect(secondServer, answer(500, { "two" }));
        const auto exchange = harness.serve("/safe/x");
        CPPUNIT_ASSERT_EQUAL(500, exchange->response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), exchange->response.body);
    }

    void answerThatIsNotTheServersOwnIsNoSuccess()
    {
        const HttpHeaders encoded { { "seal", "s" }, { "encoded", "gzip" } };
        for (const HttpHeaders &headers : { HttpHeaders(), encoded }) {
            DispatchHarness harness;
            harness.client.expect(firstServer, answer(200, { "??" }, headers));
            harness.client.expect(secondServer, answer(200, { "ok" }));
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), harness.serve("/safe/x")->response.body);
            DispatchHarness once;
            once.client.expect(firstServer, answer(200, { "??" }, headers));
            CPPUNIT_ASSERT_EQUAL(502, once.serve("/once/x")->response.status);
        }
    }

    void attemptsAreBounded()
    {
        DispatchHarness harness;
        harness.fleet.put(server("a3", app, { "10.0.0.3", 80 }));
        harness.rebuild();
        for (const Endpoint &endpoint : { firstServer, secondServer, Endpoint { "10.0.0.3", 80 } })
            harness.client.expect(endpoint, failedCall(ScriptedAnswer::Start::NoAnswer));
        CPPUNIT_ASSERT_EQUAL(502, harness.serve("/safe/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    void repeatsStayWithinTheBudget()
    {
        DispatchHarness harness;
        harness.state.budgetOptions.slack = 0;
        harness.client.expect(firstServer, failedCall(ScriptedAnswer::Start::NoAnswer));
        CPPUNIT_ASSERT_EQUAL(502, harness.serve("/safe/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
    }

    void streamIsPassedOnEventByEvent()
    {
        DispatchHarness harness;
        const std::string second = event(2);
        harness.client.expect(
            firstServer,
            answer(200, { event(1) + second.substr(0, 5), second.substr(5), event(3) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT(exchange->response.headers.find("seal") == "s");
    }

    void brokenStreamGoesOnAfterItsLastWholeEvent()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, truncatedAnswer({ event(1), event(2).substr(0, 7) }));
        ScriptedAnswer rest = answer(200, { event(2), event(3) }, { { "seal", "other" } });
        harness.client.expect(secondServer, rest);
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT(exchange->response.headers.find("seal") == "s");
        CPPUNIT_ASSERT(harness.client.sent()[1].request.headers.find("after") == "1");
    }

    void streamThatCantGoOnNeverLooksWhole()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, truncatedAnswer({ event(1) }));
        harness.client.expect(secondServer, truncatedAnswer({ event(2) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(!exchange->finished);
        CPPUNIT_ASSERT(exchange->aborted);
    }

    void streamEndingInsideAnEventIsNotWhole()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, { event(1), "id: 2\nda" }));
        harness.client.expect(secondServer, answer(200, { event(2) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), exchange->response.body);
    }

    void missingEventIsNotPassedOver()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, { event(1), event(3) }));
        harness.client.expect(secondServer, answer(200, { event(1), event(2), event(3) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
    }

    void streamThatMayNotBeResumedIsNot()
    {
        DispatchHarness harness;
        CatalogContent changed = content();
        changed.routes[2].resumable = false;
        harness.state.catalog = std::make_shared<const ServiceCatalog>(changed);
        harness.client.expect(firstServer, truncatedAnswer({ event(1) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(exchange->aborted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
    }

    void callerWhoLeavesCancelsTheWork()
    {
        DispatchHarness harness;
        RecordedExchange exchange({ "POST", "/chat/x", {}, "" });
        exchange.onWrite = [&exchange] { exchange.leave(); };
        harness.client.expect(firstServer, answer(200, { event(1), event(2) }));
        harness.serve(exchange);
        CPPUNIT_ASSERT_EQUAL(1, harness.client.cancelled());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
        CPPUNIT_ASSERT_EQUAL(0, harness.state.targets.inFlight(HostId("c1")));
    }

    void eventsAreCutAtAnyPlace()
    {
        const bool sound = rc::check("any cut of a stream gives the same events", [] {
            std::string stream;
            for (int id = 1; id <= 5; ++id)
                stream += event(id);
            const auto ending = *rc::gen::element<std::string>("\n", "\r\n");
            if (ending == "\r\n")
                stream = withCarriageReturns(stream);
            EventStreamReader reader;
            std::vector<std::string> ids;
            std::size_t at = 0;
            while (at < stream.size()) {
                const auto length = *rc::gen::inRange<std::size_t>(1, 12);
                reader.feed(std::string_view(stream).substr(at, length));
                at += length;
                while (const auto next = reader.next())
                    ids.push_back(next->id.text());
            }
            RC_ASSERT(ids == (std::vector<std::string> { "1", "2", "3", "4", "5" }));
            RC_ASSERT(reader.rest() == 0U);
        });
        CPPUNIT_ASSERT(sound);
    }

    void placeThatStandsStillIsLeftOut()
    {
        DispatchHarness harness;
        TargetTable &targets = harness.state.targets;
        const HostId first("c1");
        targets.sent(first, Tokens(1));
        targets.began(first, Tokens(1), Milliseconds(50), Milliseconds(50), harness.clock.now());
        CPPUNIT_ASSERT(targets.choose({ chat, model, Tokens(1), {} }, harness.clock.now())->host
                       == first);
        harness.clock.advance(std::chrono::milliseconds(500));
        CPPUNIT_ASSERT(targets.choose({ chat, model, Tokens(1), {} }, harness.clock.now())->host
                       == HostId("c2"));
        targets.progressed(first, harness.clock.now());
        CPPUNIT_ASSERT(targets.choose({ chat, model, Tokens(1), {} }, harness.clock.now())->host
                       == first);
    }

    // A small model's streams bring something every 40 ms, a large one's that reads prompts every
    // 290 ms: silence means more at the first. Events of one pass come close together.
    void usualPausesTellWhenAPlaceStandsStill()
    {
        DispatchHarness harness;
        TargetTable &targets = harness.state.targets;
        const HostId small("c1");
        const HostId large("c2");
        CPPUNIT_ASSERT(targets.standstillOf(small) == Milliseconds(450)); // Nothing is known yet.
        for (const HostId &host : { small, large }) {
            targets.sent(host, Tokens(1));
            targets.began(host, Tokens(1), Milliseconds(50), Milliseconds(50), harness.clock.now());
        }
        for (int at = 1; at <= 2900; ++at) {
            harness.clock.advance(Milliseconds(1));
            if (at % 40 <= 2)
                targets.progressed(small, harness.clock.now());
            if (at % 290 <= 2)
                targets.progressed(large, harness.clock.now());
        }
        CPPUNIT_ASSERT(targets.standstillOf(small) == Milliseconds(200));
        CPPUNIT_ASSERT(targets.standstillOf(large) == Milliseconds(450));
        harness.clock.advance(Milliseconds(250));
        CPPUNIT_ASSERT(targets.choose({ chat, model, Tokens(1), {} }, harness.clock.now())->host
                       == large);
    }

    void avoidedPlaceIsStillBetterThanNone()
    {
        DispatchHarness harness;
        TargetTable &targets = harness.state.targets;
        targets.avoid(HostId("a1"), harness.clock.now());
        CPPUNIT_ASSERT(targets.choose({ app, {}, {}, {} }, harness.clock.now())->host
                       == HostId("a2"));
        targets.avoid(HostId("a2"), harness.clock.now());
        CPPUNIT_ASSERT(targets.choose({ app, {}, {}, {} }, harness.clock.now()) != nullptr);
        CPPUNIT_ASSERT(
            targets.choose({ app, {}, {}, { HostId("a1"), HostId("a2") } }, harness.clock.now())
            == nullptr);
    }

    void replicaOutsideThePlanGetsNothing()
    {
        DispatchHarness harness;
        harness.plan.replicas[0].phase = ReplicaPhase::Broken;
        harness.plan.replicas[1].epoch = Epoch(9); // The head is still of an older forming.
        harness.rebuild();
        CPPUNIT_ASSERT(harness.state.targets.choose({ chat, model, {}, {} }, harness.clock.now())
                       == nullptr);
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(503, exchange->response.status);
        CPPUNIT_ASSERT(hasRetryAfter(*exchange));
    }

    void demandFollowsWhatIsAsked()
    {
        ManualClock clock;
        EngineProfile engine;
        engine.models.push_back({ ModelId("a"), 4, 0.5, 1, {}, {} });
        engine.models.push_back({ ModelId("b"), 1, 0.5, 1, {}, {} });
        DemandMeter meter(std::chrono::seconds(6));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, meter.shareOf(engine, ModelId("a"), clock.now()), 1e-9);
        for (int i = 0; i < 2000; ++i)
            meter.add(engine, ModelId(i % 2 == 0 ? "a" : "b"), Tokens(100), Tokens(10),
                      clock.now());
        // As many requests, each of four servers' time.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, meter.shareOf(engine, ModelId("a"), clock.now()), 0.02);
        clock.advance(std::chrono::minutes(5));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, meter.shareOf(engine, ModelId("a"), clock.now()), 0.01);
    }

    // Seventy daemons, the mix of whose requests turns at once. One of them alone gets the smaller
    // kind every third second; before it knew what the others get, it had hardly noticed after the
    // time of a load.
    void demandOfAllDaemonsIsKnownSoon()
    {
        ManualClock clock;
        EngineProfile engine;
        const ModelId large("large");
        const ModelId small("small");
        engine.models.push_back({ large, 16, 0.5, 1, {}, {} });
        engine.models.push_back({ small, 4, 0.5, 1, {}, {} });
        const auto play = [&](int largePerSecond, int smallPerSecond, DemandMeter &meter) {
            for (int i = 0; i < largePerSecond + smallPerSecond; ++i)
                meter.add(engine, i < largePerSecond ? large : small, Tokens(1000), Tokens(200),
                          clock.now());
        };
        DemandMeter planner(std::chrono::seconds(6));
        DemandMeter rest(std::chrono::seconds(6)); // The sum over the others.
        const auto turnFor = [&](int seconds, int largePerSecond, int smallPerSecond) {
            for (int i = 0; i < seconds; ++i) {
                clock.advance(std::chrono::seconds(1));
                play(largePerSecond, smallPerSecond, rest);
                planner.setOthers(rest.own(clock.now()), clock.now());
            }
            return planner.shareOf(engine, large, clock.now());
        };
        // Of all servers' time: 40 requests of 16 servers against 420 of 4.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.276, turnFor(20, 40, 420), 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.656, turnFor(16, 100, 210), 0.09);
        planner.setOthers({}, clock.now()); // Their word is gone.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, planner.shareOf(engine, large, clock.now()), 1e-9);
    }

    void busyServersFollowTheWork()
    {
        ManualClock clock;
        EngineProfile engine;
        const ModelId model("m");
        engine.models.push_back({ model, 4, 1, 1, {}, {} });
        engine.slots = 16;
        engine.stepMilliseconds = 8;
        engine.perSequenceMilliseconds = 0.1;
        engine.prefillTokensPerSecond = 50'000;
        constexpr int servers = 30;
        const auto busyAfter = [&](DemandMeter &meter, int perSecond, int daemons) {
            for (int second = 0; second < 60; ++second) {
                clock.advance(std::chrono::seconds(1));
                for (int i = 0; i < perSecond; ++i)
                    meter.add(engine, model, Tokens(100), Tokens(10), clock.now());
            }
            return meter.busyServers(engine, servers, daemons, clock.now());
        };
        DemandMeter idle(std::chrono::seconds(6));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(servers, idle.busyServers(engine, servers, 9, clock.now()),
                                     1e-9);
        DemandMeter light(std::chrono::seconds(6));
        const double once = busyAfter(light, 200, 1);
        DemandMeter heavier(std::chrono::seconds(6));
        const double twice = busyAfter(heavier, 400, 1);
        CPPUNIT_ASSERT(once < twice && twice < servers);
        // One of two daemons, as long as nothing is known of the other; then the other counts.
        DemandMeter half(std::chrono::seconds(6));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(twice, busyAfter(half, 200, 2), 0.1 * twice);
        half.setOthers(half.own(clock.now()), clock.now());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(twice, half.busyServers(engine, servers, 2, clock.now()),
                                     0.1 * twice);
        // 200 requests a second keep `once` servers busy, of which a replica has four.
        const double rate = light.rateOfReplica(engine, model, clock.now())->perSecond();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200 * 4 / once, rate, 0.15 * rate);
        CPPUNIT_ASSERT(!idle.rateOfReplica(engine, model, clock.now()));
        DemandMeter flooded(std::chrono::seconds(6));
        CPPUNIT_ASSERT(busyAfter(flooded, 5000, 1) <= servers);
    }

    void busyReplicaIsNotLeftStillOneIs()
    {
        const StallOptions options;
        StreamObservation stream;
        stream.expected = std::chrono::milliseconds(100);
        stream.objective = std::chrono::milliseconds(300);
        stream.pauseObjective = std::chrono::milliseconds(200);
        stream.standstill = std::chrono::milliseconds(450);
        // Not begun: others of the replica tell.
        stream.othersUnderWay = true;
        stream.waited = std::chrono::seconds(3);
        stream.quiet = std::chrono::milliseconds(80);
        CPPUNIT_ASSERT(!standsStill(stream, options));
        stream.quiet = std::chrono::milliseconds(500);
        CPPUNIT_ASSERT(standsStill(stream, options));
        // Nobody to tell: the prediction and the objective do.
        stream.othersUnderWay = false;
        stream.waited = std::chrono::milliseconds(299);
        CPPUNIT_ASSERT(!standsStill(stream, options));
        stream.waited = std::chrono::milliseconds(301);
        CPPUNIT_ASSERT(standsStill(stream, options));
        stream.expected = std::chrono::milliseconds(400);
        CPPUNIT_ASSERT(!standsStill(stream, options));
        // Begun: a pause of its own, longer if the replica serves others.
        stream.begun = true;
        // Not for a short silence: it might find no other place.
        stream.waited = std::chrono::milliseconds(599);
        CPPUNIT_ASSERT(!standsStill(stream, options));
        stream.waited = std::chrono::milliseconds(601);
        CPPUNIT_ASSERT(standsStill(stream, options));
        stream.othersUnderWay = true;
        stream.quiet = std::chrono::milliseconds(50);
        CPPUNIT_ASSERT(!standsStill(stream, options));
        stream.waited = std::chrono::milliseconds(1700);
        CPPUNIT_ASSERT(standsStill(stream, options));
    }

    // What the upstream sent waits until the caller has read: that is not the upstream's silence.
    void streamIsNotLeftWhileItsCallerIsSlow()
    {
        DispatchHarness harness;
        ScriptedAnswer first = answer(200, { event(1), event(2) });
        first.holdAfter = 1; // The look comes after the caller has read, and before the next event.
        first.goesOnWhen = [turns = 0]() mutable { return ++turns > 100; };
        harness.client.expect(firstServer, first);
        harness.client.expect(secondServer, answer(200, { event(2) }));
        std::shared_ptr<SlowCaller> caller;
        harness.serve(
            [&](IoContext &io) { return caller = std::make_shared<SlowCaller>(io, harness.clock); },
            harness.client);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), caller->response.body);
        CPPUNIT_ASSERT(caller->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
        CPPUNIT_ASSERT(harness.state.suspicions.take().empty());
    }

    // After a pause of the whole process its timers may come before the bytes that arrived
    // meanwhile.
    void ownPauseIsNoSilenceOfTheUpstream()
    {
        for (const int pausedRead : { 1, 2 }) {
            DispatchHarness harness;
            harness.client.expect(firstServer, answer(200, { event(1), event(2) }));
            harness.client.expect(secondServer, answer(200, { event(2) }));
            const auto caller = serveWithTurns(harness, [&](IoContext &io, int read, Yield yield) {
                runReadyHandlers(io, yield);
                if (read == pausedRead)
                    harness.clock.advance(std::chrono::seconds(3));
                runReadyHandlers(io, yield);
            });
            CPPUNIT_ASSERT_EQUAL(event(1) + event(2), caller->response.body);
            CPPUNIT_ASSERT(caller->finished);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
            CPPUNIT_ASSERT(harness.state.suspicions.take().empty());
        }
    }

    // Time that goes by while the daemon looks on is the upstream's own.
    void silenceIsNoticedAfterAPauseToo()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, { event(1), event(2) }));
        harness.client.expect(secondServer, answer(200, { event(2) }));
        const auto caller = serveWithTurns(harness, [&](IoContext &io, int read, Yield yield) {
            runReadyHandlers(io, yield);
            if (read != 2)
                return;
            harness.clock.advance(std::chrono::seconds(3));
            runReadyHandlers(io, yield);
            for (int i = 0; i < 40; ++i) {
                harness.clock.advance(std::chrono::milliseconds(50));
                runReadyHandlers(io, yield);
            }
        });
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), caller->response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    // After a pause of the daemon's own all places seem to stand still, as long as their bytes are
    // not read: what was asked meanwhile must not all go to one.
    void placesThatAllSeemStillShareTheRequests()
    {
        DispatchHarness harness;
        TargetTable &targets = harness.state.targets;
        const Tokens prompt(1);
        for (const char *host : { "c1", "c2" }) {
            targets.succeeded(HostId(host), harness.clock.now());
            targets.sent(HostId(host), prompt);
            targets.began(HostId(host), prompt, Milliseconds(50), Milliseconds(50),
                          harness.clock.now());
        }
        harness.clock.advance(std::chrono::seconds(3));
        std::map<HostId, int> chosen;
        for (int i = 0; i < 40; ++i) {
            const HostId host =
                targets.choose({ chat, model, prompt, {} }, harness.clock.now())->host;
            targets.sent(host, prompt);
            ++chosen[host];
        }
        CPPUNIT_ASSERT(chosen[HostId("c1")] >= 10);
        CPPUNIT_ASSERT(chosen[HostId("c2")] >= 10);
        // One that was not reachable comes after one that only seems still.
        targets.avoid(HostId("c1"), harness.clock.now());
        CPPUNIT_ASSERT(targets.choose({ chat, model, prompt, {} }, harness.clock.now())->host
                       == HostId("c2"));
    }

    // Servers take no requests for a while before they are gone: they say that they leave, or their
    // replica breaks. Their addresses may be another's next.
    // The last request to a server that left may fail after it has ended there. What was noted of
    // it then stayed for good, some hundred bytes for each server that ever left so.
    void placeThatLeftIsNotRememberedAnew()
    {
        DispatchHarness harness;
        const HostId host("a1");
        TargetTable &targets = harness.state.targets;
        targets.sent(host, Tokens(0));
        harness.fleet.remove(incarnationOf(host).name, harness.clock.now());
        harness.rebuild();
        targets.ended(host, Tokens(0), false);
        targets.failed(host, harness.clock.now());
        targets.avoid(host, harness.clock.now());
        targets.succeeded(host, harness.clock.now());
        targets.progressed(host, harness.clock.now());
        CPPUNIT_ASSERT(!targets.remembers(host));
    }

    void connectionsToServersThatLeftInTwoStepsAreDropped()
    {
        DispatchHarness harness;
        const HostId plain("a3");
        const HostId head("c3");
        const Endpoint plainServer { "10.0.0.3", 80 };
        const Endpoint headServer { "10.0.0.4", 80 };
        harness.fleet.put(server(plain.text(), app, plainServer));
        harness.addReplica(head.text(), headServer, 3);
        harness.rebuild();
        UpstreamServer leaving = server(plain.text(), app, plainServer);
        leaving.draining = true;
        harness.fleet.put(leaving);
        harness.plan.replicas.back().phase = ReplicaPhase::Broken;
        harness.rebuild();
        CPPUNIT_ASSERT(harness.state.targets.takeDropped().empty()); // They may be at work.
        for (const HostId &host : { plain, head })
            harness.fleet.remove(incarnationOf(host).name, harness.clock.now());
        harness.rebuild();
        const std::vector<Endpoint> dropped = harness.state.targets.takeDropped();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), dropped.size());
        CPPUNIT_ASSERT(std::count(dropped.begin(), dropped.end(), plainServer) == 1);
        CPPUNIT_ASSERT(std::count(dropped.begin(), dropped.end(), headServer) == 1);
        harness.rebuild();
        CPPUNIT_ASSERT(harness.state.targets.takeDropped().empty());
    }

    // Registrations lapse while the store is away, and the daemons are still there: also for the
    // budget of a service that is asked for the first time then.
    void newBudgetCountsTheDaemonsWhoseRegistrationsLapsed()
    {
        DispatchHarness harness;
        harness.state.noteDaemons(9);
        harness.state.noteDaemons(1);
        SharedRetryBudget &budget = harness.state.budgetOf(chat);
        int repeats = 0;
        while (repeats < 20 && budget.take(harness.clock.now()))
            ++repeats;
        // Half of an even share of the slack of 20.
        CPPUNIT_ASSERT_EQUAL(1, repeats);
    }

    // The operators may change the budget's settings while the daemon runs.
    void changedBudgetHoldsForServicesInUse()
    {
        DispatchHarness harness;
        CPPUNIT_ASSERT(harness.state.budgetOf(chat).take(harness.clock.now()));
        harness.state.budgetOptions = { 0, 0, std::chrono::seconds(10) };
        CPPUNIT_ASSERT(!harness.state.budgetOf(chat).allows(harness.clock.now()));
        // What was used before counts against the new bound.
        harness.state.budgetOptions = { 0, 4, std::chrono::seconds(10) };
        CPPUNIT_ASSERT(harness.state.budgetOf(chat).take(harness.clock.now()));
        CPPUNIT_ASSERT(!harness.state.budgetOf(chat).allows(harness.clock.now()));
    }

    // A daemon that was cut off from the store may find a server as the head of another replica
    // than it was before, without having seen it between the two.
    void newReplicaIsNotJudgedByItsHeadsLastOne()
    {
        DispatchHarness harness;
        TargetTable &targets = harness.state.targets;
        const HostId head("c1");
        targets.sent(head, Tokens(1));
        targets.began(head, Tokens(1), Milliseconds(50), Milliseconds(50), harness.clock.now());
        for (int i = 0; i < 50; ++i) {
            harness.clock.advance(Milliseconds(40));
            targets.progressed(head, harness.clock.now());
        }
        CPPUNIT_ASSERT(targets.standstillOf(head) == Milliseconds(200));
        targets.ended(head, Tokens(1), true);
        for (int i = 0; i < 5; ++i) {
            targets.sent(head, Tokens(1));
            targets.began(head, Tokens(1), Milliseconds(900), Milliseconds(50),
                          harness.clock.now());
            targets.ended(head, Tokens(1), true);
            targets.failed(head, harness.clock.now());
        }
        const auto expected = [&](const HostId &host) {
            return targets.expectedTime(host, Tokens(1), harness.clock.now());
        };
        CPPUNIT_ASSERT(expected(head) > 2 * expected(HostId("c2")));
        targets.avoid(head, harness.clock.now());
        UpstreamServer server = *harness.fleet.find(head);
        server.membership->replica = ReplicaId("next");
        server.membership->epoch = Epoch(9);
        harness.fleet.put(server);
        harness.plan.replicas[0].replica = ReplicaId("next");
        harness.plan.replicas[0].epoch = Epoch(9);
        harness.rebuild();
        CPPUNIT_ASSERT(targets.standstillOf(head) == Milliseconds(450));
        CPPUNIT_ASSERT(expected(head) == expected(HostId("c2")));
        CPPUNIT_ASSERT(
            targets.choose({ chat, model, Tokens(1), { HostId("c2") } }, harness.clock.now())->host
            == head);
        targets.failed(HostId("c2"), harness.clock.now());
        targets.failed(HostId("c2"), harness.clock.now());
        CPPUNIT_ASSERT(targets.choose({ chat, model, Tokens(1), {} }, harness.clock.now())->host
                       == head);
    }

    // What users saw: requests ended without an answer, their connections closed.
    //
    // Cause: whatever was thrown on a request's way ended the coroutine of its connection. A
    // message that the HTTP library does not build is one such case: a field that it can't hold.
    //
    // Evidence: a line "ended_by_exception", and no answer.
    void requestThatCannotBeSentIsAnswered()
    {
        DispatchHarness harness;
        constexpr std::size_t tooLong = 70'000;
        RecordedExchange caller(
            { "GET", "/safe/x", { { "Long", std::string(tooLong, 'x') } }, {} });
        IoContext io(1);
        runCoroutine(io, [&](Yield yield) {
            const auto client = HttpClient::create(io);
            UpstreamClient upstreams = harness.upstreamsOver(*client);
            Dispatcher dispatcher(io, harness.clock, {}, harness.codec, upstreams, harness.probe,
                                  harness.trials, harness.state, harness.log, harness.metrics);
            dispatcher.handle(caller, yield);
        });
        CPPUNIT_ASSERT_EQUAL(503, caller.response.status);
        assertNothingInFlight(harness);
    }

    void requestThatCannotBeReadInIsAnswered()
    {
        DispatchHarness harness;
        harness.codec.onDecode = fail;
        const auto caller = harness.serve("/once/x");
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
        CPPUNIT_ASSERT(caller->response.headers.find("Retry-After"));
    }

    void failureBeforeTheSendingPromisesThatNothingHasRun()
    {
        for (const char *path : { "/safe/x", "/once/x", "/chat/x" }) {
            DispatchHarness harness;
            harness.codec.onEncode = fail;
            const auto caller = harness.serve(path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 503, caller->response.status);
            CPPUNIT_ASSERT_MESSAGE(path, caller->response.headers.find("Retry-After"));
            assertNothingInFlight(harness);
        }
    }

    // Thrown by the call itself, before its first byte and after it.
    void failureOfTheSendingClosesTheAccountsOfItsUpstream()
    {
        for (const char *path : { "/safe/x", "/once/x", "/chat/x" }) {
            for (const bool isSent : { false, true }) {
                DispatchHarness harness;
                ScriptedAnswer script = answer(200, { event(1) });
                if (isSent)
                    script.startsWhen = throwFailure;
                else
                    script.before = fail;
                harness.client.expect(firstServer, script);
                const auto caller = harness.serve(path);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(path, isSent ? 502 : 503, caller->response.status);
                assertNothingInFlight(harness);
            }
        }
    }

    void failureAfterTheSendingSaysThatItMayHaveRun()
    {
        for (const char *path : { "/safe/x", "/once/x", "/chat/x" }) {
            DispatchHarness harness;
            harness.codec.onDecodeAnswer = fail;
            harness.client.expect(firstServer, answer(200, { event(1) }));
            const auto caller = harness.serve(path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 502, caller->response.status);
            CPPUNIT_ASSERT_MESSAGE(path, !caller->response.headers.find("Retry-After"));
            assertNothingInFlight(harness);
        }
    }

private:
    static void fail() { throw std::length_error("a test's failure"); }
    static bool throwFailure()
    {
        fail();
        return false;
    }

    static void assertNothingInFlight(const DispatchHarness &harness)
    {
        for (const char *host : { "a1", "a2", "c1", "c2" })
            CPPUNIT_ASSERT_EQUAL(0, harness.state.targets.inFlight(HostId(host)));
    }

    // Serves a stream; `beforeRead` gets the number of the read that follows, from 1.
    static std::shared_ptr<RecordedExchange>
    serveWithTurns(DispatchHarness &harness,
                   const std::function<void(IoContext &, int, Yield)> &beforeRead)
    {
        WatchedClient client(harness.client);
        int reads = 0;
        auto caller =
            std::make_shared<RecordedExchange>(HttpRequest { "POST", "/chat/x", {}, "body" });
        harness.serve(
            [&](IoContext &io) {
                client.beforeRead = [&](Yield yield) { beforeRead(io, ++reads, yield); };
                return caller;
            },
            client);
        return caller;
    }

    static std::string withCarriageReturns(const std::string &text)
    {
        std::string converted;
        for (const char c : text)
            converted += c == '\n' ? std::string("\r\n") : std::string(1, c);
        return converted;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchTest);
