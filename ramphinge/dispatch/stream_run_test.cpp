// Tests of streams that go on elsewhere: what their callers have, and when their answer is whole.

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "ramphinge/base/process_marks.h"
#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

const Endpoint thirdServer { "10.0.0.3", 80 };
const Endpoint fourthServer { "10.0.0.4", 80 };

// A caller who takes the end of its answer only after longer than any pause that is allowed.
class CallerSlowAtTheEnd : public RecordedExchange
{
public:
    CallerSlowAtTheEnd(IoContext &io, ManualClock &clock)
        : RecordedExchange({ "POST", "/chat/x", {}, "body" }), m_io(io), m_clock(clock)
    { }

    Status respond(const HttpResponse &answer, Yield yield) override
    {
        wait(yield);
        return RecordedExchange::respond(answer, yield);
    }

    std::function<void()> atTheEnd;

    Status finish(Yield yield) override
    {
        if (atTheEnd)
            atTheEnd();
        wait(yield);
        return RecordedExchange::finish(yield);
    }

private:
    // In small steps: a long one would be a pause of the daemon's own.
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

// Passes calls on to a scripted client. What the first server sends after its first event arrives
// as its call is cancelled, and is read all the same.
class CrossingClient : public HttpClient
{
public:
    CrossingClient(IoContext &io, ScriptedClient &inner) : m_io(io), m_inner(inner) { }

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
        bool refused() const override { return m_inner->refused(); }
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

class StreamRunTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamRunTest);
    CPPUNIT_TEST(streamWithNothingLeftEndsWell);
    CPPUNIT_TEST(callerWhoHasEveryEventGetsAnEnd);
    CPPUNIT_TEST(answerWithoutAnyEventIsNotWhole);
    CPPUNIT_TEST(restThatBreaksOffIsNotWhole);
    CPPUNIT_TEST(restWithoutEventOrLengthIsNotWhole);
    CPPUNIT_TEST(stillStreamIsKeptUntilAnotherUpstreamTakesIt);
    CPPUNIT_TEST(streamThatMovesAgainStaysWhereItIs);
    CPPUNIT_TEST(stillStreamGoesOnWhereItIsTaken);
    CPPUNIT_TEST(callerWhoLeavesCancelsBothUpstreams);
    CPPUNIT_TEST(upstreamThatIsAskedAlreadyGoesOnAfterABreak);
    CPPUNIT_TEST(upstreamThatOnlySentItsHeadIsLeftToo);
    CPPUNIT_TEST(askedUpstreamIsCancelledAsSoonAsThePresentOneGoesOn);
    CPPUNIT_TEST(callerWhoLeavesEndsTheWaitForAnotherUpstream);
    CPPUNIT_TEST(deadlineEndsTheAskingOfAnotherUpstream);
    CPPUNIT_TEST(streamIsNotMovedAfterItsDeadline);
    CPPUNIT_TEST(everyUpstreamThatIsAskedIsPaidFor);
    CPPUNIT_TEST(everyUpstreamThatMayHaveRunItCounts);
    CPPUNIT_TEST(refusalOfTheAskedUpstreamIsRemembered);
    CPPUNIT_TEST(askedUpstreamThatStandsStillIsLeftToo);
    CPPUNIT_TEST(oneAttemptIsOneUpstream);
    CPPUNIT_TEST(nextUpstreamIsAskedOnlyAfterAWhile);
    CPPUNIT_TEST(askedUpstreamIsCancelledWhenTheAnswerEnds);
    CPPUNIT_TEST(eventThatCrossesTheMoveIsPassedOnOnce);
    CPPUNIT_TEST(callerWhoLeavesCancelsTheUpstreamThatTookTheStream);
    CPPUNIT_TEST(wholeStreamIsNotLeftWhileItsEndIsWritten);
    CPPUNIT_TEST(refusalIsNotLeftWhileItIsWritten);
    CPPUNIT_TEST(nothingOutlivesAStreamThatFailsAtItsHead);
    CPPUNIT_TEST(nothingOutlivesAStreamThatFailsWhileItWaits);
    CPPUNIT_TEST(nothingOutlivesAStreamThatFailsBetweenItsEvents);
    CPPUNIT_TEST(nothingOutlivesAStreamThatFailsWhileItIsPassedOn);
    CPPUNIT_TEST(nothingOutlivesAStreamThatFailsWhileAnotherUpstreamIsAsked);
    CPPUNIT_TEST(streamGoesOnIfAskingAnotherUpstreamFails);
    CPPUNIT_TEST(upstreamThatWasAskedInVainIsReleasedAtOnce);
    CPPUNIT_TEST(streamThatWaitsForAnotherUpstreamIsToldOfItsFailure);
    CPPUNIT_TEST_SUITE_END();

public:
    // What users saw: a stream was closed in the middle of its answer though its caller had every
    // event.
    //
    // Order of events: the upstream sent the last event; the end of its answer did not come, or not
    // soon enough; the daemon asked a second upstream for what comes after that event; that one
    // ended its answer at once, as there was nothing left; the daemon took an answer without an
    // event for one that was cut short, had no attempt left, and closed the connection.
    //
    // Cause: whether a stream is whole was judged by the last answer alone, not by what the caller
    // has.
    //
    // Evidence: the record of such a request shows both upstreams' runs ended well, the second one
    // after 20 ms without an event, and the connection closed 2 ms later.
    void streamWithNothingLeftEndsWell()
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

    void callerWhoHasEveryEventGetsAnEnd()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, {}));
        const auto exchange = harness.serve("/chat/x", { { "resume", "2" } });
        CPPUNIT_ASSERT_EQUAL(200, exchange->response.status);
        CPPUNIT_ASSERT(exchange->response.headers.find("seal") == "s");
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
    }

    void answerWithoutAnyEventIsNotWhole()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, {}));
        harness.client.expect(secondServer, answer(200, { event(1) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    // An upstream that ends before it sends anything closes its connection as well.
    void restWithoutEventOrLengthIsNotWhole()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, truncatedAnswer({ event(1), event(2) }));
        ScriptedAnswer rest = answer(200, {});
        rest.endsWithConnection = true;
        harness.client.expect(secondServer, rest);
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(!exchange->finished);
        CPPUNIT_ASSERT(exchange->aborted);
    }

    void restThatBreaksOffIsNotWhole()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, truncatedAnswer({ event(1), event(2) }));
        harness.client.expect(secondServer, truncatedAnswer({}));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(!exchange->finished);
        CPPUNIT_ASSERT(exchange->aborted);
    }

    // What users saw: a stream that had begun was closed in its middle, at a calm time, while its
    // upstream was at work.
    //
    // Order of events: the upstream paused for longer than it should; the daemon cancelled the
    // stream there to go on elsewhere; all other upstreams that it asked were full; it had nothing
    // left and closed the connection.
    //
    // Cause: a place was given up before another one was sure.
    //
    // Evidence: the record of such a request shows the first upstream's run cut, three refusals
    // within 20 ms after it, and the connection closed after the third.
    void stillStreamIsKeptUntilAnotherUpstreamTakesIt()
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

    void streamThatMovesAgainStaysWhereItIs()
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

    void stillStreamGoesOnWhereItIsTaken()
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

    void callerWhoLeavesCancelsBothUpstreams()
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

    // The first upstream breaks off while the second one has not answered yet: its answer counts,
    // so that the two attempts which are allowed are enough.
    void upstreamThatIsAskedAlreadyGoesOnAfterABreak()
    {
        DispatchHarness harness;
        changeRoute(harness, neverTimesOut);
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
        second.startsWhen = [&brokeOff, turns = 0]() mutable { return brokeOff && ++turns > 10; };
        harness.client.expect(secondServer, second);
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
        assertNothingInFlight(harness);
    }

    // Of two attempts that are allowed, an upstream uses one, whether its head has come or not.
    void upstreamThatOnlySentItsHeadIsLeftToo()
    {
        DispatchHarness harness;
        ScriptedAnswer onlyHead = pausesAfterFirstEvent(harness, 9);
        onlyHead.holdAfter = 0;
        onlyHead.goesOnWhen = [pause = onlyHead.goesOnWhen, turns = 0]() mutable {
            constexpr int patience =
                100'000; // Turns of the loop; ends the test if nobody is asked.
            return pause() || ++turns > patience;
        };
        harness.client.expect(firstServer, onlyHead);
        harness.client.expect(secondServer, answer(200, { event(1) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1), exchange->response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    void askedUpstreamIsCancelledAsSoonAsThePresentOneGoesOn()
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

    // ... also if it goes on with its end; the caller may be slow to take that.
    void askedUpstreamIsCancelledWhenTheAnswerEnds()
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

    void callerWhoLeavesEndsTheWaitForAnotherUpstream()
    {
        DispatchHarness harness;
        changeRoute(harness, neverTimesOut);
        RecordedExchange exchange({ "POST", "/chat/x", {}, "" });
        harness.client.expect(firstServer, pausesAndBreaksOff(harness, { event(1) }));
        ScriptedAnswer never = neverAnswers();
        never.startsWhen = [&exchange, turns = 0]() mutable {
            constexpr int leavesAfter = 100; // The first one has broken off by then.
            if (++turns == leavesAfter)
                exchange.leave();
            return false;
        };
        harness.client.expect(secondServer, never);
        harness.serve(exchange);
        CPPUNIT_ASSERT(exchange.gone);
        assertNothingInFlight(harness);
    }

    void deadlineEndsTheAskingOfAnotherUpstream()
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

    // Whatever becomes of the upstream that was asked, the next one is paid for anew.
    void everyUpstreamThatIsAskedIsPaidFor()
    {
        const ScriptedAnswer noConnection = failedCall(ScriptedAnswer::Start::NoConnection);
        for (const ScriptedAnswer &second :
             { notExecutedAnswer(), noConnection, truncatedAnswer({ event(2) }), neverAnswers() }) {
            DispatchHarness harness;
            changeRoute(harness, [](RouteEntry &chatRoute) { chatRoute.maxAttempts = 3; });
            harness.state.budgetOptions = { 0, 2, std::chrono::seconds(10) }; // One repeat.
            addLastReplica(harness);
            assertOnlyTwoAreAsked(harness, second);
        }
    }

    // Of two attempts that are allowed, the upstream that was asked has used the second.
    void everyUpstreamThatMayHaveRunItCounts()
    {
        const ScriptedAnswer noAnswer = failedCall(ScriptedAnswer::Start::NoAnswer);
        for (const ScriptedAnswer &second : { noAnswer, answer(500, { "" }), neverAnswers() }) {
            DispatchHarness harness;
            addLastReplica(harness);
            assertOnlyTwoAreAsked(harness, second);
        }
    }

    void refusalOfTheAskedUpstreamIsRemembered()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, pausesAfterFirstEvent(harness, 2));
        harness.client.expect(secondServer, answer(421, {}, { { "not-run", "1" } }));
        harness.serve("/chat/x");
        const std::vector<ReplicaId> suspected = harness.state.suspicions.take();
        CPPUNIT_ASSERT(std::count(suspected.begin(), suspected.end(), ReplicaId("c1")) == 1);
        CPPUNIT_ASSERT(std::count(suspected.begin(), suspected.end(), ReplicaId("c2")) == 1);
    }

    // Neither the present upstream nor the one that is asked says anything: a third may take it.
    void askedUpstreamThatStandsStillIsLeftToo()
    {
        DispatchHarness harness;
        changeRoute(harness, [](RouteEntry &chatRoute) { chatRoute.maxAttempts = 3; });
        addLastReplica(harness);
        ScriptedAnswer first = pausesAfterFirstEvent(harness, 9);
        first.goesOnWhen = [&harness, steps = 0]() mutable {
            constexpr int patience = 1000; // Of 5 ms: longer than two upstreams may stand still.
            harness.clock.advance(std::chrono::milliseconds(5));
            return ++steps > patience;
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

    // Also while nothing is known of it: it may have run the request.
    void oneAttemptIsOneUpstream()
    {
        DispatchHarness harness;
        changeRoute(harness, [](RouteEntry &chatRoute) { chatRoute.maxAttempts = 1; });
        ScriptedAnswer slow = pausesAfterFirstEvent(harness, 2);
        slow.startsWhen = [pause = slow.goesOnWhen, turns = 0]() mutable {
            constexpr int patience = 10'000; // Turns of the loop.
            return pause() || ++turns > patience;
        };
        slow.goesOnWhen = {};
        harness.client.expect(firstServer, slow);
        harness.client.expect(secondServer, answer(200, { event(1) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), exchange->response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
    }

    void nextUpstreamIsAskedOnlyAfterAWhile()
    {
        DispatchHarness harness;
        harness.addReplica("c3", thirdServer, 3);
        harness.rebuild();
        ScriptedAnswer first = pausesAfterFirstEvent(harness, 3);
        harness.dispatchOptions.retryAfter = std::chrono::hours(1);
        first.goesOnWhen = [pause = first.goesOnWhen, turns = 0]() mutable {
            constexpr int patience = 10'000; // Turns of the loop.
            return pause() || ++turns > patience;
        };
        harness.client.expect(firstServer, first);
        for (const Endpoint &full : { secondServer, thirdServer })
            harness.client.expect(full, notExecutedAnswer());
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    // The first upstream goes on in the same moment in which the second one takes the stream.
    void eventThatCrossesTheMoveIsPassedOnOnce()
    {
        DispatchHarness harness;
        RecordedExchange exchange({ "POST", "/chat/x", {}, "" });
        serveCrossing(harness, exchange, answer(200, { event(2), event(3) }));
        CPPUNIT_ASSERT(harness.client.sent()[1].request.headers.find("after") == "1");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), exchange.response.body);
        CPPUNIT_ASSERT(exchange.finished);
        assertNothingInFlight(harness);
    }

    // ... and the caller, who is slow to take that, leaves.
    void callerWhoLeavesCancelsTheUpstreamThatTookTheStream()
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
        serveCrossing(harness, exchange, answer(200, { event(2), event(3) }));
        CPPUNIT_ASSERT_EQUAL(1, cancelled); // At once, not when the write has ended.
        assertNothingInFlight(harness);
    }

    // The upstream has nothing more to do; only the caller is waited for.
    void wholeStreamIsNotLeftWhileItsEndIsWritten()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, { event(1), event(2) }));
        harness.client.expect(secondServer, answer(200, {}));
        const auto caller = serveSlowCaller(harness);
        CPPUNIT_ASSERT(caller->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
        CPPUNIT_ASSERT(harness.state.suspicions.take().empty());
    }

    void refusalIsNotLeftWhileItIsWritten()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(400, { "no" }));
        harness.client.expect(secondServer, answer(400, { "no" }));
        const auto caller = serveSlowCaller(harness);
        CPPUNIT_ASSERT_EQUAL(400, caller->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
        CPPUNIT_ASSERT(harness.state.suspicions.take().empty());
    }

    // Users saw a daemon end by a segmentation fault with streams open on it. One way there: each
    // stream has watchers, coroutines of their own that refer to it and ask a flag whether it is
    // over; the flag was set only at the regular end of an attempt. If anything was thrown before
    // that (a header that is too large, memory that ran out), the stream was gone, its connection
    // too, and the watchers went on with freed memory some 60 ms later. Evidence: the address
    // sanitizer's heap-use-after-free in a watcher's first look, in the stack of the connection's
    // coroutine, which had been freed. The upstream's place in the accounts shows it without a
    // sanitizer, as it is closed where the watchers are told; and no coroutine may be left.
    void nothingOutlivesAStreamThatFailsAtItsHead()
    {
        DispatchHarness harness;
        harness.codec.onDecodeAnswer = fail;
        harness.client.expect(firstServer, answer(200, { event(1) }));
        const Aftermath after = serveFailing(harness);
        assertNothingIsLeft(harness, after);
        CPPUNIT_ASSERT_EQUAL(502, after.caller->response.status); // It was sent.
    }

    void nothingOutlivesAStreamThatFailsWhileItWaits()
    {
        DispatchHarness harness;
        ScriptedAnswer waits = answer(200, { event(1) });
        waits.startsWhen = []() -> bool { throw std::length_error("a test's failure"); };
        harness.client.expect(firstServer, waits);
        const Aftermath after = serveFailing(harness);
        assertNothingIsLeft(harness, after);
        CPPUNIT_ASSERT_EQUAL(502, after.caller->response.status);
    }

    void nothingOutlivesAStreamThatFailsBetweenItsEvents()
    {
        DispatchHarness harness;
        ScriptedAnswer breaks = answer(200, { event(1), event(2) });
        breaks.holdAfter = 1;
        breaks.goesOnWhen = []() -> bool { throw std::length_error("a test's failure"); };
        harness.client.expect(firstServer, breaks);
        const Aftermath after = serveFailing(harness);
        assertNothingIsLeft(harness, after);
        CPPUNIT_ASSERT(after.caller->aborted); // It has a part: the answer must not look whole.
    }

    void nothingOutlivesAStreamThatFailsWhileItIsPassedOn()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, { event(1) }));
        const Aftermath after =
            serveFailing(harness, [](RecordedExchange &caller) { caller.onWrite = fail; });
        assertNothingIsLeft(harness, after);
        CPPUNIT_ASSERT(after.caller->aborted);
    }

    // The present upstream fails by an exception while the other one has not answered.
    void nothingOutlivesAStreamThatFailsWhileAnotherUpstreamIsAsked()
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
        const Aftermath after = serveFailing(harness);
        assertNothingIsLeft(harness, after);
        CPPUNIT_ASSERT(after.caller->aborted);
    }

    // The answer of the other upstream can't be taken in: the present one keeps the stream, and its
    // end isn't kept waiting by the one that was asked.
    void streamGoesOnIfAskingAnotherUpstreamFails()
    {
        DispatchHarness harness;
        harness.codec.onDecodeAnswer = [heads = std::make_shared<int>(0)] {
            if (++*heads == 2)
                fail();
        };
        harness.client.expect(firstServer, pausesAfterFirstEvent(harness, 2));
        harness.client.expect(secondServer, answer(200, { event(2) }));
        const Aftermath after = serveFailing(harness);
        assertNothingIsLeft(harness, after);
        CPPUNIT_ASSERT(after.caller->finished);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), after.caller->response.body);
    }

    // While the stream goes on, the upstream that was asked in vain has a place free for others.
    void upstreamThatWasAskedInVainIsReleasedAtOnce()
    {
        constexpr int turnsUntilItGoesOn = 20;
        DispatchHarness harness;
        bool failed = false;
        harness.codec.onDecodeAnswer = [&failed, heads = 0]() mutable {
            failed = ++heads == 2;
            if (failed)
                fail();
        };
        ScriptedAnswer first = pausesAfterFirstEvent(harness, 2);
        first.goesOnWhen = [inner = first.goesOnWhen, &failed, turns = 0]() mutable {
            inner();
            turns += failed ? 1 : 0;
            return turns > turnsUntilItGoesOn;
        };
        harness.client.expect(firstServer, first);
        harness.client.expect(secondServer, answer(200, { event(2) }));
        int underWay = -1; // At the second one, as the last event is written.
        const Aftermath after = serveFailing(harness, [&](RecordedExchange &caller) {
            caller.onWrite = [&] { underWay = harness.state.targets.inFlight(HostId("c2")); };
        });
        CPPUNIT_ASSERT(after.caller->finished);
        CPPUNIT_ASSERT_EQUAL(0, underWay);
    }

    // The present upstream has broken off, and the request waits for what the other one says. That
    // can't be taken in: the request ends then, not at its deadline.
    void streamThatWaitsForAnotherUpstreamIsToldOfItsFailure()
    {
        constexpr int manyTurns = 20'000;
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
        for (int turn = 0; turn < manyTurns && !served; ++turn)
            io.poll_one();
        CPPUNIT_ASSERT(served);
        CPPUNIT_ASSERT(caller.aborted); // It has a part: the answer must not look whole.
        CPPUNIT_ASSERT_EQUAL(event(1), caller.response.body);
    }

private:
    static void fail() { throw std::length_error("a test's failure"); }

    // What is there after a request, and some turns of the loop later.
    struct Aftermath
    {
        std::shared_ptr<RecordedExchange> caller;
        bool leftByException = false;
        int inFlight = 0; // At the end of the request.
        int coroutines = 0; // After the turns, the test's own left out.
    };

    static Aftermath serveFailing(DispatchHarness &harness,
                                  const std::function<void(RecordedExchange &)> &prepare = {})
    {
        harness.checkForStallsContinuously();
        Aftermath after;
        after.caller =
            std::make_shared<RecordedExchange>(HttpRequest { "POST", "/chat/x", {}, "body" });
        if (prepare)
            prepare(*after.caller);
        const int before = processMarks().coroutines;
        IoContext io(1);
        Dispatcher dispatcher(io, harness.clock, harness.dispatchOptions, harness.codec,
                              harness.upstreams, harness.probe, harness.trials, harness.state,
                              harness.log, harness.metrics);
        // In a coroutine of its own, as of a connection: its stack is freed with the request.
        spawnCoroutine(io, [&](Yield yield) {
            try {
                dispatcher.handle(*after.caller, yield);
            } catch (const std::exception &) {
                after.leftByException = true;
            }
            for (const char *host : { "c1", "c2" })
                after.inFlight += harness.state.targets.inFlight(HostId(host));
            io.stop();
        });
        io.run();
        // A watcher of a request that isn't over would go on with what is gone.
        if (after.inFlight > 0)
            return after;
        io.restart();
        runCoroutine(io, [&io](Yield yield) { runReadyHandlers(io, yield); });
        after.coroutines = processMarks().coroutines - before;
        return after;
    }

    static void assertNothingIsLeft(const DispatchHarness &harness, const Aftermath &after)
    {
        CPPUNIT_ASSERT_EQUAL(0, after.inFlight);
        CPPUNIT_ASSERT_EQUAL(0, after.coroutines);
        CPPUNIT_ASSERT_EQUAL(0, harness.state.targets.streamsUnderWay(HostId("c1")));
        CPPUNIT_ASSERT(!after.leftByException);
    }

    // Two events of the first server; time goes by between them until the second one is asked.
    static void serveCrossing(DispatchHarness &harness, RecordedExchange &exchange,
                              const ScriptedAnswer &taken)
    {
        harness.checkForStallsContinuously();
        harness.client.expect(firstServer, answer(200, { event(1), event(2) }));
        harness.client.expect(secondServer, taken);
        IoContext io(1);
        CrossingClient client(io, harness.client);
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

    static std::shared_ptr<CallerSlowAtTheEnd>
    serveSlowCaller(DispatchHarness &harness, const std::function<void()> &atTheEnd = {})
    {
        std::shared_ptr<CallerSlowAtTheEnd> caller;
        harness.serve(
            [&](IoContext &io) {
                caller = std::make_shared<CallerSlowAtTheEnd>(io, harness.clock);
                caller->atTheEnd = atTheEnd;
                return caller;
            },
            harness.client);
        return caller;
    }

    // One event, then a pause until `sends` requests have been sent in all. Time goes by in small
    // steps: a long one would be a pause of the daemon's own.
    static ScriptedAnswer pausesAfterFirstEvent(DispatchHarness &harness, std::size_t sends)
    {
        harness.checkForStallsContinuously();
        ScriptedAnswer script = answer(200, { event(1), event(2) });
        script.holdAfter = 1;
        script.goesOnWhen = [&harness, sends, steps = 0]() mutable {
            constexpr int stepsOfPause = 300; // Of 5 ms: longer than any pause that is allowed.
            if (++steps <= stepsOfPause)
                harness.clock.advance(std::chrono::milliseconds(5));
            return harness.client.sent().size() >= sends;
        };
        return script;
    }

    // The same, but what follows the pause breaks off.
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

    // So that only a wake-up ends a wait before the test is given up.
    static void neverTimesOut(RouteEntry &chatRoute) { chatRoute.timeout = std::chrono::hours(24); }

    // One that is asked after the two others.
    static void addLastReplica(DispatchHarness &harness)
    {
        harness.addReplica("c3", thirdServer, 3);
        harness.rebuild();
        for (int i = 0; i < 5; ++i)
            harness.state.targets.failed(HostId("c3"), harness.clock.now());
    }

    // The first upstream pauses and breaks off, and the second one is of no use: the third one,
    // which could end the stream, is not asked.
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

CPPUNIT_TEST_SUITE_REGISTRATION(StreamRunTest);
