// The request path of a daemon that is about to stop.

#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

constexpr Duration usualTime = std::chrono::milliseconds(20);
constexpr Duration shortTime = std::chrono::milliseconds(5);

void beginDraining(DispatchHarness &harness, Duration timeLeft)
{
    harness.state.draining = true;
    harness.state.answersUntil = harness.clock.now() + timeLeft;
}

// One that takes `usualTime`.
ScriptedAnswer slowAnswer(DispatchHarness &harness)
{
    ScriptedAnswer script = answer(200, { event(1) });
    script.before = [&harness] { harness.clock.advance(usualTime); };
    return script;
}

ScriptedAnswer heldAnswer()
{
    ScriptedAnswer script = answer(200, { event(1) });
    script.startsWhen = [] { return false; };
    return script;
}

// What the caller gets of a request that is in progress when all are ended.
RecordedExchange endedInProgress(DispatchHarness &harness, const std::string &path)
{
    RecordedExchange exchange({ "POST", path, {}, "body" });
    IoContext io(1);
    Dispatcher dispatcher(io, harness.clock, harness.dispatchOptions, harness.codec,
                          harness.upstreams, harness.probe, harness.trials, harness.state,
                          harness.log, harness.metrics);
    spawnCoroutine(io, [&](Yield yield) {
        runReadyHandlers(io, yield);
        dispatcher.endRequests();
    });
    runCoroutine(io, [&](Yield yield) { dispatcher.handle(exchange, yield); });
    return exchange;
}

} // namespace

class DrainingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DrainingTest);
    CPPUNIT_TEST(requestThatWouldBeCutByTheStopIsRefused);
    CPPUNIT_TEST(requestWithUnknownDurationIsRefusedUnlessItsTimeoutFits);
    CPPUNIT_TEST(requestThatUsuallyTakesLessIsServedWhileDraining);
    CPPUNIT_TEST(forwardedRequestThatWouldBeCutIsRefusedWithProof);
    CPPUNIT_TEST(requestInProgressAtTheStopIsAnswered);
    CPPUNIT_TEST(streamInProgressAtTheStopDoesNotLookComplete);
    CPPUNIT_TEST(requestThatWasNotSentByTheStopIsCalledNotExecuted);
    CPPUNIT_TEST(usualDurationFollowsWhatRequestsTake);
    CPPUNIT_TEST_SUITE_END();

    void requestThatWouldBeCutByTheStopIsRefused()
    {
        for (const std::string path : { "/safe/x", "/once/x", "/chat/x" }) {
            DispatchHarness harness;
            harness.client.expect(firstServer, slowAnswer(harness));
            CPPUNIT_ASSERT_EQUAL(200, harness.serve(path)->response.status);
            harness.client.expect(firstServer, slowAnswer(harness));
            beginDraining(harness, shortTime);
            const auto exchange = harness.serve(path);
            CPPUNIT_ASSERT_EQUAL(503, exchange->response.status);
            CPPUNIT_ASSERT(exchange->response.body.find("has not run") != std::string::npos);
            CPPUNIT_ASSERT(exchange->response.headers.find("Retry-After") == "0.000");
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, harness.client.sent().size());
        }
    }

    void requestWithUnknownDurationIsRefusedUnlessItsTimeoutFits()
    {
        DispatchHarness harness;
        const Duration timeout = harness.state.catalog->findRoute("h", "/once/x")->timeout;
        harness.client.expect(firstServer, answer(200, { "ok" }));
        beginDraining(harness, timeout - shortTime);
        CPPUNIT_ASSERT_EQUAL(503, harness.serve("/once/x")->response.status);
        beginDraining(harness, timeout);
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/once/x")->response.status);
    }

    void requestThatUsuallyTakesLessIsServedWhileDraining()
    {
        for (const std::string path : { "/safe/x", "/once/x", "/chat/x" }) {
            DispatchHarness harness;
            for (int i = 0; i < 2; ++i)
                harness.client.expect(firstServer, slowAnswer(harness));
            harness.serve(path);
            beginDraining(harness, 10 * usualTime);
            CPPUNIT_ASSERT_EQUAL(200, harness.serve(path)->response.status);
        }
    }

    void forwardedRequestThatWouldBeCutIsRefusedWithProof()
    {
        DispatchHarness harness;
        beginDraining(harness, shortTime);
        IoContext io(1);
        RecordedExchange exchange({ "POST", "/once/x", {}, "body" });
        runCoroutine(io, [&](Yield yield) {
            Dispatcher dispatcher(io, harness.clock, harness.dispatchOptions, harness.codec,
                                  harness.upstreams, harness.probe, harness.trials, harness.state,
                                  harness.log, harness.metrics);
            dispatcher.forwardHandler().handle(exchange, yield);
        });
        CPPUNIT_ASSERT_EQUAL(503, exchange.response.status);
        CPPUNIT_ASSERT(exchange.response.headers.find("Ramphinge-Refusal") == "draining");
        CPPUNIT_ASSERT(exchange.response.headers.find("Ramphinge-Unexecuted") == "r1");
    }

    void requestInProgressAtTheStopIsAnswered()
    {
        for (const std::string path : { "/safe/x", "/once/x", "/chat/x" }) {
            DispatchHarness harness;
            harness.client.expect(firstServer, heldAnswer());
            harness.client.expect(secondServer, answer(200, { event(1) }));
            const RecordedExchange exchange = endedInProgress(harness, path);
            CPPUNIT_ASSERT_EQUAL(502, exchange.response.status);
            CPPUNIT_ASSERT(!exchange.response.headers.find("Retry-After"));
            CPPUNIT_ASSERT(!exchange.aborted);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, harness.client.sent().size());
            CPPUNIT_ASSERT_EQUAL(1, harness.client.cancelled());
        }
    }

    void streamInProgressAtTheStopDoesNotLookComplete()
    {
        DispatchHarness harness;
        ScriptedAnswer script = answer(200, { event(1), event(2) });
        script.goesOnWhen = [] { return false; };
        script.holdAfter = 1;
        harness.client.expect(firstServer, script);
        harness.client.expect(secondServer, answer(200, { event(2) }));
        const RecordedExchange exchange = endedInProgress(harness, "/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1), exchange.response.body);
        CPPUNIT_ASSERT(exchange.aborted);
        CPPUNIT_ASSERT(!exchange.finished);
    }

    void requestThatWasNotSentByTheStopIsCalledNotExecuted()
    {
        DispatchHarness harness;
        ScriptedAnswer script = failedCall(ScriptedAnswer::Start::Unreachable);
        int polls = 0;
        script.connectsWhen = [&polls] { return ++polls > 1000; };
        harness.client.expect(firstServer, script);
        const RecordedExchange exchange = endedInProgress(harness, "/once/x");
        CPPUNIT_ASSERT_EQUAL(503, exchange.response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, harness.client.sent().size());
    }

    void usualDurationFollowsWhatRequestsTake()
    {
        RequestDurations durations;
        CPPUNIT_ASSERT(!durations.usual(app));
        for (int i = 0; i < 100; ++i)
            durations.note(app, std::chrono::milliseconds(i % 2 == 0 ? 10 : 30));
        CPPUNIT_ASSERT(*durations.usual(app) > std::chrono::milliseconds(30));
        CPPUNIT_ASSERT(*durations.usual(app) < std::chrono::milliseconds(60));
        CPPUNIT_ASSERT(!durations.usual(chat));
        for (int i = 0; i < 100; ++i)
            durations.note(app, std::chrono::milliseconds(2));
        CPPUNIT_ASSERT(*durations.usual(app) < std::chrono::milliseconds(4));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainingTest);
