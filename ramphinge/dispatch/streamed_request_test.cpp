// Tests of streams that are resumed on another upstream: which events the caller receives, when the
// answer counts as complete, and that nothing outlives the request.

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "ramphinge/base/process_status.h"
#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

const Endpoint thirdServer { "10.0.0.3", 80 };
const Endpoint fourthServer { "10.0.0.4", 80 };

// A caller that accepts the end of its answer only after longer than any stall timeout.
class CallerSlowToFinish : public RecordedExchange
{
public:
    CallerSlowToFinish(IoContext &io, ManualClock &clock)
        : RecordedExchange({ "POST", "/chat/x", {}, "body" }), m_io(io), m_clock(clock)
    { }

    Status respond(const HttpResponse &answer, Yield yield) override
    {
        wait(yield);
        return RecordedExchange::respond(answer, yield);
    }

    std::function<void()> onFinish;

    Status finish(Yield yield) override
    {
        if (onFinish)
            onFinish();
        wait(yield);
        return RecordedExchange::finish(yield);
    }

private:
    // In small steps: a long one would count as a pause of the daemon's own process.
    void wait(Yield yield)
    {
        for (int i = 0; i < 60; ++i) {
            m_clock.advance(std::chrono::milliseconds(50));
            runReadyHandlers(m_io, yield);
        }
    }

    IoContext &m_io;
    ManualClock &m_clock;
};

// Forwards calls to a scripted client. The data that the first server sends after its first event
// arrives just as its call is cancelled, and is still read.
class LateDataClient : public HttpClient
{
public:
    LateDataClient(IoContext &io, ScriptedClient &inner) : m_io(io), m_inner(inner) { }

    std::unique_ptr<HttpCall> call(const Endpoint &endpoint, const HttpRequest &request,
                                   HttpCallOptions options) override
    {
        std::unique_ptr<HttpCall> inner = m_inner.call(endpoint, request, std::move(options));
        if (!(endpoint == firstServer))
            return inner;
        return std::make_unique<Call>(m_io, std::move(inner));
    }
    void forget(const Endpoint &) override { }
    std::int64_t connectionsMade() const override { return 0; }
    std::int64_t answersSkipped() const override { return 0; }

private:
    class Call : public HttpCall
    {
    public:
        Call(IoContext &io, std::unique_ptr<HttpCall> inner) : m_io(io), m_inner(std::move(inner))
        { }

        Status start(Yield yield) override { return m_inner->start(yield); }
        int status() const override { return m_inner->status(); }
        const HttpHeaders &headers() const override { return m_inner->headers(); }
        Result<std::size_t> read(std::string &into, Yield yield) override
        {
            if (m_cancelled)
                return Error(ErrorKind::Unknown, "cancelled");
            ++m_reads;
            while (m_reads == 2 && !m_cancelled)
                runReadyHandlers(m_io, yield);
            return m_inner->read(into, yield);
        }
        void setReadTimeout(Duration timeout) override { m_inner->setReadTimeout(timeout); }
        bool endsWithConnection() const override { return m_inner->endsWithConnection(); }
        bool sent() const override { return m_inner->sent(); }
        bool usesKeptConnection() const override { return m_inner->usesKeptConnection(); }
        bool refused() const override { return m_inner->refused(); }
        bool unreachable() const override { return m_inner->unreachable(); }
        bool endedByPeer() const override { return m_inner->endedByPeer(); }
        void cancel() override { m_cancelled = true; }

    private:
        IoContext &m_io;
        std::unique_ptr<HttpCall> m_inner;
        int m_reads = 0;
        bool m_cancelled = false;
    };

    IoContext &m_io;
    ScriptedClient &m_inner;
};

} // namespace

class StreamedRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamedRequestTest);
    CPPUNIT_TEST(streamWithNoEventsLeftIsCompleted);
    CPPUNIT_TEST(resumeAfterTheLastEventIsCompleted);
    CPPUNIT_TEST(answerWithoutAnyEventIsIncomplete);
    CPPUNIT_TEST(streamThatEndsWithItsServerIsResumed);
    CPPUNIT_TEST(streamThatEndsWithItsConnectionIsComplete);
    CPPUNIT_TEST(truncatedResumedAnswerIsIncomplete);
    CPPUNIT_TEST(resumedAnswerWithoutEventOrLengthIsIncomplete);
    CPPUNIT_TEST(stalledStreamIsKeptUntilAnotherUpstreamAcceptsIt);
    CPPUNIT_TEST(streamThatResumesStaysWithItsUpstream);
    CPPUNIT_TEST(stalledStreamMovesToTheAcceptingUpstream);
    CPPUNIT_TEST(callerThatLeavesCancelsBothUpstreams);
    CPPUNIT_TEST(pendingUpstreamContinuesABrokenStream);
    CPPUNIT_TEST(upstreamThatStallsAfterItsHeadIsReplaced);
    CPPUNIT_TEST(pendingUpstreamIsCancelledAsSoonAsThePresentOneResumes);
    CPPUNIT_TEST(callerThatLeavesEndsTheWaitForAPendingUpstream);
    CPPUNIT_TEST(deadlineCancelsThePendingUpstream);
    CPPUNIT_TEST(streamIsNotMovedAfterItsDeadline);
    CPPUNIT_TEST(everyAttemptUsesTheRetryBudget);
    CPPUNIT_TEST(retryThatIsNotSentIsNotCharged);
    CPPUNIT_TEST(chargeIsGivenBackIfNothingIsSent);
    CPPUNIT_TEST(everyUpstreamThatMayHaveRunTheRequestCounts);
    CPPUNIT_TEST(refusalByThePendingUpstreamRaisesASuspicion);
    CPPUNIT_TEST(pendingUpstreamThatStallsIsReplaced);
    CPPUNIT_TEST(routeWithOneAttemptUsesOneUpstream);
    CPPUNIT_TEST(nextUpstreamIsAskedOnlyAfterTheRetryDelay);
    CPPUNIT_TEST(pendingUpstreamIsCancelledWhenTheAnswerEnds);
    CPPUNIT_TEST(eventThatArrivesDuringTheMoveIsForwardedOnce);
    CPPUNIT_TEST(callerThatLeavesCancelsTheUpstreamThatAcceptedTheStream);
    CPPUNIT_TEST(completeStreamIsNotMovedWhileItsEndIsWritten);
    CPPUNIT_TEST(refusalIsNotRetriedWhileItIsWritten);
    CPPUNIT_TEST(nothingOutlivesAStreamThatThrowsAtItsHead);
    CPPUNIT_TEST(nothingOutlivesAStreamThatThrowsWhileItWaits);
    CPPUNIT_TEST(nothingOutlivesAStreamThatThrowsBetweenItsEvents);
    CPPUNIT_TEST(nothingOutlivesAStreamThatThrowsWhileItIsForwarded);
    CPPUNIT_TEST(nothingOutlivesAStreamThatThrowsWhileAnotherUpstreamIsPending);
    CPPUNIT_TEST(streamContinuesIfThePendingUpstreamThrows);
    CPPUNIT_TEST(slotOfAFailedPendingUpstreamIsFreedAtOnce);
    CPPUNIT_TEST(streamThatWaitsForAPendingUpstreamEndsIfThatThrows);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against aborting a stream whose caller has every event. The first upstream sent the
    // last event, but the end of its answer was late or missing. The second one, asked for the
    // events after that, ended its answer at once (after 20 ms), as there were none. The daemon
    // judged completeness by this last answer alone, took it for a truncated one, and with no
    // attempt left closed the connection 2 ms later.
    void streamWithNoEventsLeftIsCompleted()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, truncatedAnswer({ event(1), event(2) }));
        harness.client.expect(secondServer, answer(200, {}, { { "seal", "other" } }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(harness.client.sent()[1].request.headers.find("after") == "2");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT(!exchange->aborted);
        CPPUNIT_ASSERT(exchange->response.headers.find("seal") == "s");
    }

    void resumeAfterTheLastEventIsCompleted()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, {}));
        const auto exchange = harness.serve("/chat/x", { { "resume", "2" } });
        CPPUNIT_ASSERT_EQUAL(200, exchange->response.status);
        CPPUNIT_ASSERT(exchange->response.headers.find("seal") == "s");
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
    }

    void answerWithoutAnyEventIsIncomplete()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, {}));
        harness.client.expect(secondServer, answer(200, { event(1) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    // An upstream that crashes before it sends anything also closes its connection, so an answer
    // that ends with the connection proves nothing.
    void resumedAnswerWithoutEventOrLengthIsIncomplete()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, truncatedAnswer({ event(1), event(2) }));
        ScriptedAnswer resumed = answer(200, {});
        resumed.endsWithConnection = true;
        harness.client.expect(secondServer, resumed);
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(!exchange->finished);
        CPPUNIT_ASSERT(exchange->aborted);
    }

    // Guards against a stream without a length that is closed as complete although its server
    // crashed between two events.
    void streamThatEndsWithItsServerIsResumed()
    {
        DispatchHarness harness;
        ScriptedAnswer cut = answer(200, { event(1), event(2) });
        cut.endsWithConnection = true;
        harness.client.expect(firstServer, cut); // Nothing answers there afterwards.
        harness.client.expect(secondServer, answer(200, { event(3) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), exchange->response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, harness.client.sent().size());
    }

    void streamThatEndsWithItsConnectionIsComplete()
    {
        DispatchHarness harness;
        ScriptedAnswer whole = answer(200, { event(1), event(2) });
        whole.endsWithConnection = true;
        harness.client.expect(firstServer, whole);
        harness.client.expect(firstServer, answer(200, {})); // The server goes on.
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, harness.client.sent().size());
        CPPUNIT_ASSERT(harness.state.quarantine.empty());
    }

    void truncatedResumedAnswerIsIncomplete()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, truncatedAnswer({ event(1), event(2) }));
        harness.client.expect(secondServer, truncatedAnswer({}));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(!exchange->finished);
        CPPUNIT_ASSERT(exchange->aborted);
    }

    // Guards against aborting a stream whose upstream still works on it. The upstream paused for
    // longer than the stall timeout, and the daemon cancelled the stream there before another
    // upstream had accepted it. All others were full: three refusals within 20 ms, after which the
    // daemon closed the connection.
    void stalledStreamIsKeptUntilAnotherUpstreamAcceptsIt()
    {
        DispatchHarness harness;
        harness.addReplica("c3", thirdServer, 3);
        harness.addReplica("c4", fourthServer, 4);
        harness.rebuild();
        harness.client.expect(firstServer, pausesAfterFirstEvent(harness, 4));
        for (const Endpoint &full : { secondServer, thirdServer, fourthServer })
            harness.client.expect(full, notExecutedAnswer());
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), harness.client.sent().size());
    }

    void streamThatResumesStaysWithItsUpstream()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, pausesAfterFirstEvent(harness, 2));
        ScriptedAnswer slow = notExecutedAnswer();
        slow.startsWhen = [&harness] { return harness.client.cancelled() > 0; };
        harness.client.expect(secondServer, slow);
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
        CPPUNIT_ASSERT_EQUAL(1, harness.client.cancelled());
        assertNothingInFlight(harness);
    }

    void stalledStreamMovesToTheAcceptingUpstream()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, pausesAfterFirstEvent(harness, 9));
        harness.client.expect(secondServer, answer(200, { event(2), event(3) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(harness.client.sent()[1].request.headers.find("after") == "1");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(1, harness.client.cancelled());
        assertNothingInFlight(harness);
    }

    void callerThatLeavesCancelsBothUpstreams()
    {
        DispatchHarness harness;
        RecordedExchange exchange({ "POST", "/chat/x", {}, "" });
        harness.client.expect(firstServer, pausesAfterFirstEvent(harness, 9));
        ScriptedAnswer never = answer(200, { event(2) });
        never.before = [&exchange] { exchange.leave(); };
        never.startsWhen = [] { return false; };
        harness.client.expect(secondServer, never);
        harness.serve(exchange);
        CPPUNIT_ASSERT_EQUAL(2, harness.client.cancelled());
        assertNothingInFlight(harness);
    }

    // The first upstream breaks off while the second one has not answered yet. The pending attempt
    // continues the stream, so the two allowed attempts suffice.
    void pendingUpstreamContinuesABrokenStream()
    {
        DispatchHarness harness;
        changeRoute(harness, setLongTimeout);
        bool brokeOff = false;
        ScriptedAnswer first = pausesAfterFirstEvent(harness, 2);
        first.pieces.pop_back();
        first.breaksOff = true;
        first.goesOnWhen = [pause = first.goesOnWhen, &brokeOff] {
            brokeOff = pause();
            return brokeOff;
        };
        harness.client.expect(firstServer, first);
        ScriptedAnswer second = answer(200, { event(2) });
        second.startsWhen = [&brokeOff, iterations = 0]() mutable {
            return brokeOff && ++iterations > 10;
        };
        harness.client.expect(secondServer, second);
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
        assertNothingInFlight(harness);
    }

    // An upstream uses one of the two allowed attempts, whether its response head has arrived or
    // not.
    void upstreamThatStallsAfterItsHeadIsReplaced()
    {
        DispatchHarness harness;
        ScriptedAnswer onlyHead = pausesAfterFirstEvent(harness, 9);
        onlyHead.holdAfter = 0;
        onlyHead.goesOnWhen = [pause = onlyHead.goesOnWhen, iterations = 0]() mutable {
            // Ends the test if no other upstream is asked.
            constexpr int maxLoopIterations = 100'000;
            return pause() || ++iterations > maxLoopIterations;
        };
        harness.client.expect(firstServer, onlyHead);
        harness.client.expect(secondServer, answer(200, { event(1) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1), exchange->response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    void pendingUpstreamIsCancelledAsSoonAsThePresentOneResumes()
    {
        DispatchHarness harness;
        RecordedExchange exchange({ "POST", "/chat/x", {}, "" });
        std::vector<int> cancelled; // At each write.
        exchange.onWrite = [&] { cancelled.push_back(harness.client.cancelled()); };
        harness.client.expect(firstServer, pausesAfterFirstEvent(harness, 2));
        harness.client.expect(secondServer, neverAnswers());
        harness.serve(exchange);
        CPPUNIT_ASSERT(exchange.finished);
        CPPUNIT_ASSERT((cancelled == std::vector<int> { 0, 1 }));
    }

    // The present upstream resumes with the end of its answer. The other one must be cancelled
    // before that is written, as the caller may be slow to accept it.
    void pendingUpstreamIsCancelledWhenTheAnswerEnds()
    {
        DispatchHarness harness;
        ScriptedAnswer first = pausesAfterFirstEvent(harness, 2);
        first.pieces.pop_back();
        harness.client.expect(firstServer, first);
        harness.client.expect(secondServer, neverAnswers());
        int cancelled = 0;
        const auto caller =
            serveSlowCaller(harness, [&] { cancelled = harness.client.cancelled(); });
        CPPUNIT_ASSERT(caller->finished);
        CPPUNIT_ASSERT_EQUAL(1, cancelled);
        assertNothingInFlight(harness);
    }

    void callerThatLeavesEndsTheWaitForAPendingUpstream()
    {
        DispatchHarness harness;
        changeRoute(harness, setLongTimeout);
        RecordedExchange exchange({ "POST", "/chat/x", {}, "" });
        harness.client.expect(firstServer, pausesAndBreaksOff(harness, { event(1) }));
        ScriptedAnswer never = neverAnswers();
        never.startsWhen = [&exchange, iterations = 0]() mutable {
            constexpr int leavesAfter = 100; // The first upstream has broken off by then.
            if (++iterations == leavesAfter)
                exchange.leave();
            return false;
        };
        harness.client.expect(secondServer, never);
        harness.serve(exchange);
        CPPUNIT_ASSERT(exchange.gone);
        assertNothingInFlight(harness);
    }

    void deadlineCancelsThePendingUpstream()
    {
        DispatchHarness harness;
        ScriptedAnswer first = pausesAndBreaksOff(harness, { event(1) });
        first.goesOnWhen = [&harness, pause = first.goesOnWhen] {
            if (!pause())
                return false;
            harness.clock.advance(std::chrono::hours(1));
            return true;
        };
        harness.client.expect(firstServer, first);
        harness.client.expect(secondServer, neverAnswers());
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(exchange->aborted);
        CPPUNIT_ASSERT_EQUAL(2, harness.client.cancelled());
        assertNothingInFlight(harness);
    }

    void streamIsNotMovedAfterItsDeadline()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, pausesAfterFirstEvent(harness, 9));
        ScriptedAnswer late = answer(200, { event(2) });
        late.before = [&harness] { harness.clock.advance(std::chrono::hours(1)); };
        harness.client.expect(secondServer, late);
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1), exchange->response.body);
        CPPUNIT_ASSERT(exchange->aborted);
        assertNothingInFlight(harness);
    }

    // Each further upstream uses the retry budget, whatever the outcome at the one before.
    void everyAttemptUsesTheRetryBudget()
    {
        for (const ScriptedAnswer &second :
             { notExecutedAnswer(), truncatedAnswer({ event(2) }), neverAnswers() }) {
            DispatchHarness harness;
            changeRoute(harness, [](RouteEntry &chatRoute) { chatRoute.maxAttempts = 3; });
            harness.state.budgetOptions = { 0, 2, std::chrono::seconds(10) }; // Allows one retry.
            addLastReplica(harness);
            assertOnlyTwoAreAsked(harness, second);
        }
    }

    // A retry whose connection fails is not sent, so its charge pays for the next one, and for no
    // more.
    void retryThatIsNotSentIsNotCharged()
    {
        DispatchHarness harness;
        changeRoute(harness, [](RouteEntry &chatRoute) { chatRoute.maxAttempts = 4; });
        harness.state.budgetOptions = { 0, 2, std::chrono::seconds(10) }; // Allows one retry.
        addLastReplica(harness);
        harness.client.expect(firstServer, truncatedAnswer({ event(1) }));
        harness.client.expect(secondServer, failedCall(ScriptedAnswer::Start::NoConnection));
        harness.client.expect(thirdServer, truncatedAnswer({ event(2) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), harness.client.sent().size());
        CPPUNIT_ASSERT(exchange->aborted);
        CPPUNIT_ASSERT(!harness.state.budgetOf(chat).allows(harness.clock.now()));
    }

    // A retry that was charged and never sent is given back when the request ends.
    void chargeIsGivenBackIfNothingIsSent()
    {
        DispatchHarness harness;
        changeRoute(harness, [](RouteEntry &chatRoute) { chatRoute.maxAttempts = 4; });
        harness.state.budgetOptions = { 0, 2, std::chrono::seconds(10) };
        harness.client.expect(firstServer, truncatedAnswer({ event(1) }));
        harness.client.expect(secondServer, failedCall(ScriptedAnswer::Start::NoConnection));
        harness.serve("/chat/x");
        CPPUNIT_ASSERT(harness.state.budgetOf(chat).allows(harness.clock.now()));
    }

    // An upstream that may have run the request uses up the second of the two allowed attempts.
    void everyUpstreamThatMayHaveRunTheRequestCounts()
    {
        const ScriptedAnswer noAnswer = failedCall(ScriptedAnswer::Start::NoAnswer);
        for (const ScriptedAnswer &second : { noAnswer, answer(500, { "" }), neverAnswers() }) {
            DispatchHarness harness;
            addLastReplica(harness);
            assertOnlyTwoAreAsked(harness, second);
        }
    }

    void refusalByThePendingUpstreamRaisesASuspicion()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, pausesAfterFirstEvent(harness, 2));
        harness.client.expect(secondServer, answer(421, {}, { { "not-run", "1" } }));
        harness.serve("/chat/x");
        const std::vector<ReplicaId> suspected = harness.state.suspicions.take();
        CPPUNIT_ASSERT(std::count(suspected.begin(), suspected.end(), ReplicaId("c1")) == 1);
        CPPUNIT_ASSERT(std::count(suspected.begin(), suspected.end(), ReplicaId("c2")) == 1);
    }

    // Neither the present upstream nor the one that was asked sends anything: a third may take
    // over.
    void pendingUpstreamThatStallsIsReplaced()
    {
        DispatchHarness harness;
        changeRoute(harness, [](RouteEntry &chatRoute) { chatRoute.maxAttempts = 3; });
        addLastReplica(harness);
        ScriptedAnswer first = pausesAfterFirstEvent(harness, 9);
        first.goesOnWhen = [&harness, steps = 0]() mutable {
            constexpr int maxSteps = 1000; // Of 5 ms: longer than two stall timeouts.
            harness.clock.advance(std::chrono::milliseconds(5));
            return ++steps > maxSteps;
        };
        harness.client.expect(firstServer, first);
        harness.client.expect(secondServer, neverAnswers());
        harness.client.expect(thirdServer, answer(200, { event(2), event(3) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), exchange->response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), harness.client.sent().size());
        CPPUNIT_ASSERT_EQUAL(2, harness.client.cancelled());
        const std::vector<ReplicaId> suspected = harness.state.suspicions.take();
        CPPUNIT_ASSERT(std::count(suspected.begin(), suspected.end(), ReplicaId("c2")) == 1);
        assertNothingInFlight(harness);
    }

    // An upstream that has not answered yet uses the attempt too: it may have run the request.
    void routeWithOneAttemptUsesOneUpstream()
    {
        DispatchHarness harness;
        changeRoute(harness, [](RouteEntry &chatRoute) { chatRoute.maxAttempts = 1; });
        ScriptedAnswer slow = pausesAfterFirstEvent(harness, 2);
        slow.startsWhen = [pause = slow.goesOnWhen, iterations = 0]() mutable {
            constexpr int maxLoopIterations = 10'000;
            return pause() || ++iterations > maxLoopIterations;
        };
        slow.goesOnWhen = {};
        harness.client.expect(firstServer, slow);
        harness.client.expect(secondServer, answer(200, { event(1) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), exchange->response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
    }

    void nextUpstreamIsAskedOnlyAfterTheRetryDelay()
    {
        DispatchHarness harness;
        harness.addReplica("c3", thirdServer, 3);
        harness.rebuild();
        ScriptedAnswer first = pausesAfterFirstEvent(harness, 3);
        harness.dispatchOptions.retryAfter = std::chrono::hours(1);
        first.goesOnWhen = [pause = first.goesOnWhen, iterations = 0]() mutable {
            constexpr int maxLoopIterations = 10'000;
            return pause() || ++iterations > maxLoopIterations;
        };
        harness.client.expect(firstServer, first);
        for (const Endpoint &full : { secondServer, thirdServer })
            harness.client.expect(full, notExecutedAnswer());
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    // The first upstream resumes at the moment at which the second one accepts the stream.
    void eventThatArrivesDuringTheMoveIsForwardedOnce()
    {
        DispatchHarness harness;
        RecordedExchange exchange({ "POST", "/chat/x", {}, "" });
        serveWithLateData(harness, exchange, answer(200, { event(2), event(3) }));
        CPPUNIT_ASSERT(harness.client.sent()[1].request.headers.find("after") == "1");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), exchange.response.body);
        CPPUNIT_ASSERT(exchange.finished);
        assertNothingInFlight(harness);
    }

    // The caller leaves during the write of an event that arrived during the move.
    void callerThatLeavesCancelsTheUpstreamThatAcceptedTheStream()
    {
        DispatchHarness harness;
        RecordedExchange exchange({ "POST", "/chat/x", {}, "" });
        int cancelled = 0;
        exchange.onWrite = [&, writes = 0]() mutable {
            if (++writes < 2)
                return;
            exchange.leave();
            cancelled = harness.client.cancelled();
        };
        serveWithLateData(harness, exchange, answer(200, { event(2), event(3) }));
        CPPUNIT_ASSERT_EQUAL(1, cancelled); // At once, not after the write.
        assertNothingInFlight(harness);
    }

    // The upstream is done and only the caller is slow, which must not count as a stall.
    void completeStreamIsNotMovedWhileItsEndIsWritten()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, { event(1), event(2) }));
        harness.client.expect(secondServer, answer(200, {}));
        const auto caller = serveSlowCaller(harness);
        CPPUNIT_ASSERT(caller->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
        CPPUNIT_ASSERT(harness.state.suspicions.take().empty());
    }

    void refusalIsNotRetriedWhileItIsWritten()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(400, { "no" }));
        harness.client.expect(secondServer, answer(400, { "no" }));
        const auto caller = serveSlowCaller(harness);
        CPPUNIT_ASSERT_EQUAL(400, caller->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
        CPPUNIT_ASSERT(harness.state.suspicions.take().empty());
    }

    // Guards against a use after free that crashed a daemon with open streams. Each stream has
    // watchers, coroutines that refer to it and check a flag for its end. The flag was set only at
    // the regular end of an attempt. If an exception (a header that is too large, no memory) ended
    // the stream before that, the watchers used the freed stack of the connection's coroutine some
    // 60 ms later. Without a sanitizer, the upstream's in-flight count shows the fault, because it
    // is decreased where the watchers are stopped; nor may any coroutine be left.
    void nothingOutlivesAStreamThatThrowsAtItsHead()
    {
        DispatchHarness harness;
        harness.codec.onDecodeAnswer = fail;
        harness.client.expect(firstServer, answer(200, { event(1) }));
        const RequestRemains remains = serveAndCollectRemains(harness);
        assertNothingIsLeft(harness, remains);
        CPPUNIT_ASSERT_EQUAL(502, remains.caller->response.status); // The request was sent.
    }

    void nothingOutlivesAStreamThatThrowsWhileItWaits()
    {
        DispatchHarness harness;
        ScriptedAnswer waits = answer(200, { event(1) });
        waits.startsWhen = []() -> bool { throw std::length_error("a test's failure"); };
        harness.client.expect(firstServer, waits);
        const RequestRemains remains = serveAndCollectRemains(harness);
        assertNothingIsLeft(harness, remains);
        CPPUNIT_ASSERT_EQUAL(502, remains.caller->response.status);
    }

    void nothingOutlivesAStreamThatThrowsBetweenItsEvents()
    {
        DispatchHarness harness;
        ScriptedAnswer breaks = answer(200, { event(1), event(2) });
        breaks.holdAfter = 1;
        breaks.goesOnWhen = []() -> bool { throw std::length_error("a test's failure"); };
        harness.client.expect(firstServer, breaks);
        const RequestRemains remains = serveAndCollectRemains(harness);
        assertNothingIsLeft(harness, remains);
        // The caller has received a part, which must not look complete.
        CPPUNIT_ASSERT(remains.caller->aborted);
    }

    void nothingOutlivesAStreamThatThrowsWhileItIsForwarded()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, { event(1) }));
        const RequestRemains remains = serveAndCollectRemains(
            harness, [](RecordedExchange &caller) { caller.onWrite = fail; });
        assertNothingIsLeft(harness, remains);
        CPPUNIT_ASSERT(remains.caller->aborted);
    }

    // Reading from the present upstream throws while the other one has not answered.
    void nothingOutlivesAStreamThatThrowsWhileAnotherUpstreamIsPending()
    {
        DispatchHarness harness;
        ScriptedAnswer pauses = pausesAfterFirstEvent(harness, 2);
        pauses.goesOnWhen = [inner = pauses.goesOnWhen, &harness]() -> bool {
            inner();
            if (harness.client.sent().size() == 2)
                fail();
            return false;
        };
        harness.client.expect(firstServer, pauses);
        harness.client.expect(secondServer, neverAnswers());
        const RequestRemains remains = serveAndCollectRemains(harness);
        assertNothingIsLeft(harness, remains);
        CPPUNIT_ASSERT(remains.caller->aborted);
    }

    // Decoding the other upstream's response head throws: the present one keeps the stream, and its
    // end does not wait for the other.
    void streamContinuesIfThePendingUpstreamThrows()
    {
        DispatchHarness harness;
        harness.codec.onDecodeAnswer = [heads = std::make_shared<int>(0)] {
            if (++*heads == 2)
                fail();
        };
        harness.client.expect(firstServer, pausesAfterFirstEvent(harness, 2));
        harness.client.expect(secondServer, answer(200, { event(2) }));
        const RequestRemains remains = serveAndCollectRemains(harness);
        assertNothingIsLeft(harness, remains);
        CPPUNIT_ASSERT(remains.caller->finished);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), remains.caller->response.body);
    }

    // An upstream that was asked in vain must have its slot free again while the stream continues.
    void slotOfAFailedPendingUpstreamIsFreedAtOnce()
    {
        constexpr int iterationsUntilItResumes = 20;
        DispatchHarness harness;
        bool failed = false;
        harness.codec.onDecodeAnswer = [&failed, heads = 0]() mutable {
            failed = ++heads == 2;
            if (failed)
                fail();
        };
        ScriptedAnswer first = pausesAfterFirstEvent(harness, 2);
        first.goesOnWhen = [inner = first.goesOnWhen, &failed, iterations = 0]() mutable {
            inner();
            iterations += failed ? 1 : 0;
            return iterations > iterationsUntilItResumes;
        };
        harness.client.expect(firstServer, first);
        harness.client.expect(secondServer, answer(200, { event(2) }));
        int inFlightAtSecond = -1; // At the second upstream, as the last event is written.
        const RequestRemains remains =
            serveAndCollectRemains(harness, [&](RecordedExchange &caller) {
                caller.onWrite = [&] {
                    inFlightAtSecond = harness.state.targets.inFlight(HostId("c2"));
                };
            });
        CPPUNIT_ASSERT(remains.caller->finished);
        CPPUNIT_ASSERT_EQUAL(0, inFlightAtSecond);
    }

    // The present upstream has broken off and the request waits for the other one, whose response
    // head fails to decode. The request must end then, not at its deadline.
    void streamThatWaitsForAPendingUpstreamEndsIfThatThrows()
    {
        constexpr int maxLoopIterations = 20'000;
        DispatchHarness harness;
        bool brokenOff = false;
        ScriptedAnswer first = pausesAndBreaksOff(harness, { event(1) });
        first.goesOnWhen = [inner = first.goesOnWhen, &brokenOff] {
            brokenOff = inner();
            return brokenOff;
        };
        ScriptedAnswer second = answer(200, { event(2) });
        second.startsWhen = [&brokenOff] { return brokenOff; };
        harness.client.expect(firstServer, first);
        harness.client.expect(secondServer, second);
        harness.codec.onDecodeAnswer = [heads = std::make_shared<int>(0)] {
            if (++*heads == 2)
                fail();
        };
        RecordedExchange caller({ "POST", "/chat/x", {}, "body" });
        bool served = false;
        IoContext io(1);
        Dispatcher dispatcher(io, harness.clock, harness.dispatchOptions, harness.codec,
                              harness.upstreams, harness.probe, harness.trials, harness.state,
                              harness.log, harness.metrics);
        spawnCoroutine(io, [&](Yield yield) {
            dispatcher.handle(caller, yield);
            served = true;
        });
        for (int iteration = 0; iteration < maxLoopIterations && !served; ++iteration)
            io.poll_one();
        CPPUNIT_ASSERT(served);
        // The caller has received a part, which must not look complete.
        CPPUNIT_ASSERT(caller.aborted);
        CPPUNIT_ASSERT_EQUAL(event(1), caller.response.body);
    }

private:
    static void fail() { throw std::length_error("a test's failure"); }

    // The state after a request, and after further iterations of the event loop.
    struct RequestRemains
    {
        std::shared_ptr<RecordedExchange> caller;
        bool leftByException = false;
        int inFlight = 0; // At both servers, at the end of the request.
        int coroutines = 0; // Left after the iterations, without the test's own.
    };

    static RequestRemains
    serveAndCollectRemains(DispatchHarness &harness,
                           const std::function<void(RecordedExchange &)> &prepare = {})
    {
        harness.checkForStallsContinuously();
        RequestRemains remains;
        remains.caller =
            std::make_shared<RecordedExchange>(HttpRequest { "POST", "/chat/x", {}, "body" });
        if (prepare)
            prepare(*remains.caller);
        const int before = processStatus().coroutines;
        IoContext io(1);
        Dispatcher dispatcher(io, harness.clock, harness.dispatchOptions, harness.codec,
                              harness.upstreams, harness.probe, harness.trials, harness.state,
                              harness.log, harness.metrics);
        // In its own coroutine, like a connection, so that its stack is freed with the request.
        spawnCoroutine(io, [&](Yield yield) {
            try {
                dispatcher.handle(*remains.caller, yield);
            } catch (const std::exception &) {
                remains.leftByException = true;
            }
            for (const char *host : { "c1", "c2" })
                remains.inFlight += harness.state.targets.inFlight(HostId(host));
            io.stop();
        });
        io.run();
        // Watchers of a request that wasn't closed would use freed memory.
        if (remains.inFlight > 0)
            return remains;
        io.restart();
        runCoroutine(io, [&io](Yield yield) { runReadyHandlers(io, yield); });
        remains.coroutines = processStatus().coroutines - before;
        return remains;
    }

    static void assertNothingIsLeft(const DispatchHarness &harness, const RequestRemains &remains)
    {
        CPPUNIT_ASSERT_EQUAL(0, remains.inFlight);
        CPPUNIT_ASSERT_EQUAL(0, remains.coroutines);
        CPPUNIT_ASSERT_EQUAL(0, harness.state.targets.activeStreams(HostId("c1")));
        CPPUNIT_ASSERT(!remains.leftByException);
    }

    // The first server sends two events; time passes between them until the second server is asked.
    static void serveWithLateData(DispatchHarness &harness, RecordedExchange &exchange,
                                  const ScriptedAnswer &acceptedAnswer)
    {
        harness.checkForStallsContinuously();
        harness.client.expect(firstServer, answer(200, { event(1), event(2) }));
        harness.client.expect(secondServer, acceptedAnswer);
        IoContext io(1);
        LateDataClient client(io, harness.client);
        bool served = false;
        spawnCoroutine(io, [&](Yield yield) {
            while (!served) {
                harness.clock.advance(std::chrono::milliseconds(5));
                runReadyHandlers(io, yield);
            }
        });
        UpstreamClient upstreams = harness.upstreamsOver(client);
        runCoroutine(io, [&](Yield yield) {
            Dispatcher dispatcher(io, harness.clock, harness.dispatchOptions, harness.codec,
                                  upstreams, harness.probe, harness.trials, harness.state,
                                  harness.log, harness.metrics);
            dispatcher.handle(exchange, yield);
            served = true;
        });
    }

    static std::shared_ptr<CallerSlowToFinish>
    serveSlowCaller(DispatchHarness &harness, const std::function<void()> &onFinish = {})
    {
        std::shared_ptr<CallerSlowToFinish> caller;
        harness.serve(
            [&](IoContext &io) {
                caller = std::make_shared<CallerSlowToFinish>(io, harness.clock);
                caller->onFinish = onFinish;
                return caller;
            },
            harness.client);
        return caller;
    }

    // Sends one event, then pauses until `sends` requests have been sent in total. Time advances in
    // small steps: a long one would count as a pause of the daemon's own process.
    static ScriptedAnswer pausesAfterFirstEvent(DispatchHarness &harness, std::size_t sends)
    {
        harness.checkForStallsContinuously();
        ScriptedAnswer script = answer(200, { event(1), event(2) });
        script.holdAfter = 1;
        script.goesOnWhen = [&harness, sends, steps = 0]() mutable {
            constexpr int stepsOfPause = 300; // Of 5 ms: longer than any stall timeout.
            if (++steps <= stepsOfPause)
                harness.clock.advance(std::chrono::milliseconds(5));
            return harness.client.sent().size() >= sends;
        };
        return script;
    }

    // Like pausesAfterFirstEvent, but the answer breaks off after `pieces`.
    static ScriptedAnswer pausesAndBreaksOff(DispatchHarness &harness,
                                             std::vector<std::string> pieces)
    {
        ScriptedAnswer script = pausesAfterFirstEvent(harness, 2);
        script.pieces = std::move(pieces);
        script.breaksOff = true;
        return script;
    }

    static ScriptedAnswer neverAnswers()
    {
        ScriptedAnswer script = answer(200, {});
        script.startsWhen = [] { return false; };
        return script;
    }

    static void changeRoute(DispatchHarness &harness,
                            const std::function<void(RouteEntry &)> &change)
    {
        CatalogContent changed = content();
        change(changed.routes[2]);
        harness.state.catalog = std::make_shared<const ServiceCatalog>(changed);
    }

    // A timeout longer than the test, so that only a notification can end a wait.
    static void setLongTimeout(RouteEntry &chatRoute)
    {
        chatRoute.timeout = std::chrono::hours(24);
    }

    // Adds a replica that is chosen after the two others.
    static void addLastReplica(DispatchHarness &harness)
    {
        harness.addReplica("c3", thirdServer, 3);
        harness.rebuild();
        for (int i = 0; i < 5; ++i)
            harness.state.targets.failed(HostId("c3"), harness.clock.now());
    }

    // Checks that the third upstream, which could complete the stream, is not asked after the first
    // one pauses and breaks off and the second one fails as scripted.
    static void assertOnlyTwoAreAsked(DispatchHarness &harness, const ScriptedAnswer &second)
    {
        harness.client.expect(firstServer, pausesAndBreaksOff(harness, { event(1), event(2) }));
        harness.client.expect(secondServer, second);
        harness.client.expect(thirdServer, answer(200, { event(3) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
        CPPUNIT_ASSERT(exchange->aborted);
        assertNothingInFlight(harness);
    }

    static void assertNothingInFlight(const DispatchHarness &harness)
    {
        for (const char *host : { "c1", "c2" })
            CPPUNIT_ASSERT_EQUAL(0, harness.state.targets.inFlight(HostId(host)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamedRequestTest);
