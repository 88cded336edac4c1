// Tests of streams that go on elsewhere: what their callers have, and when their answer is whole.

#include <utility>

#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

const Endpoint thirdServer { "10.0.0.3", 80 };
const Endpoint fourthServer { "10.0.0.4", 80 };

} // namespace

class StreamRunTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamRunTest);
    CPPUNIT_TEST(streamWithNothingLeftEndsWell);
    CPPUNIT_TEST(callerWhoHasEveryEventGetsAnEnd);
    CPPUNIT_TEST(answerWithoutAnyEventIsNotWhole);
    CPPUNIT_TEST(restThatBreaksOffIsNotWhole);
    CPPUNIT_TEST(stillStreamIsKeptUntilAnotherUpstreamTakesIt);
    CPPUNIT_TEST(streamThatMovesAgainStaysWhereItIs);
    CPPUNIT_TEST(stillStreamGoesOnWhereItIsTaken);
    CPPUNIT_TEST(callerWhoLeavesCancelsBothUpstreams);
    CPPUNIT_TEST(upstreamThatIsAskedAlreadyGoesOnAfterABreak);
    CPPUNIT_TEST(upstreamThatOnlySentItsHeadIsLeftToo);
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
        Bench bench;
        bench.client.expect(firstServer, breaksOff({ event(1), event(2) }));
        bench.client.expect(secondServer, answer(200, {}, { { "seal", "other" } }));
        const auto exchange = bench.serve("/chat/x");
        CPPUNIT_ASSERT(bench.client.sent()[1].request.headers.find("after") == "2");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT(!exchange->aborted);
        CPPUNIT_ASSERT(exchange->response.headers.find("seal") == "s");
    }

    void callerWhoHasEveryEventGetsAnEnd()
    {
        Bench bench;
        bench.client.expect(firstServer, answer(200, {}));
        const auto exchange = bench.serve("/chat/x", { { "resume", "2" } });
        CPPUNIT_ASSERT_EQUAL(200, exchange->response.status);
        CPPUNIT_ASSERT(exchange->response.headers.find("seal") == "s");
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), bench.client.sent().size());
    }

    void answerWithoutAnyEventIsNotWhole()
    {
        Bench bench;
        bench.client.expect(firstServer, answer(200, {}));
        bench.client.expect(secondServer, answer(200, { event(1) }));
        const auto exchange = bench.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), bench.client.sent().size());
    }

    void restThatBreaksOffIsNotWhole()
    {
        Bench bench;
        bench.client.expect(firstServer, breaksOff({ event(1), event(2) }));
        bench.client.expect(secondServer, breaksOff({}));
        const auto exchange = bench.serve("/chat/x");
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
        Bench bench;
        bench.addReplica("c3", thirdServer, 3);
        bench.addReplica("c4", fourthServer, 4);
        bench.rebuild();
        bench.client.expect(firstServer, pausesAfterFirstEvent(bench, 4));
        for (const Endpoint &full : { secondServer, thirdServer, fourthServer })
            bench.client.expect(full, notRun());
        const auto exchange = bench.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), bench.client.sent().size());
    }

    void streamThatMovesAgainStaysWhereItIs()
    {
        Bench bench;
        bench.client.expect(firstServer, pausesAfterFirstEvent(bench, 2));
        ScriptedAnswer slow = notRun();
        slow.startsWhen = [&bench] { return bench.client.cancelled() > 0; };
        bench.client.expect(secondServer, slow);
        const auto exchange = bench.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), bench.client.sent().size());
        CPPUNIT_ASSERT_EQUAL(1, bench.client.cancelled());
        assertNothingInFlight(bench);
    }

    void stillStreamGoesOnWhereItIsTaken()
    {
        Bench bench;
        bench.client.expect(firstServer, pausesAfterFirstEvent(bench, 9));
        bench.client.expect(secondServer, answer(200, { event(2), event(3) }));
        const auto exchange = bench.serve("/chat/x");
        CPPUNIT_ASSERT(bench.client.sent()[1].request.headers.find("after") == "1");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(1, bench.client.cancelled());
        assertNothingInFlight(bench);
    }

    void callerWhoLeavesCancelsBothUpstreams()
    {
        Bench bench;
        RecordedExchange exchange({ "POST", "/chat/x", {}, "" });
        bench.client.expect(firstServer, pausesAfterFirstEvent(bench, 9));
        ScriptedAnswer never = answer(200, { event(2) });
        never.before = [&exchange] { exchange.leave(); };
        never.startsWhen = [] { return false; };
        bench.client.expect(secondServer, never);
        bench.serve(exchange);
        CPPUNIT_ASSERT_EQUAL(2, bench.client.cancelled());
        assertNothingInFlight(bench);
    }

    // The first upstream breaks off while the second one has not answered yet: its answer counts,
    // so that the two attempts which are allowed are enough.
    void upstreamThatIsAskedAlreadyGoesOnAfterABreak()
    {
        Bench bench;
        bool brokeOff = false;
        ScriptedAnswer first = pausesAfterFirstEvent(bench, 2);
        first.pieces.pop_back();
        first.breaksOff = true;
        first.goesOnWhen = [pause = first.goesOnWhen, &brokeOff] {
            brokeOff = pause();
            return brokeOff;
        };
        bench.client.expect(firstServer, first);
        ScriptedAnswer second = answer(200, { event(2) });
        second.startsWhen = [&brokeOff, turns = 0]() mutable { return brokeOff && ++turns > 10; };
        bench.client.expect(secondServer, second);
        const auto exchange = bench.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), bench.client.sent().size());
        assertNothingInFlight(bench);
    }

    // Of two attempts that are allowed, an upstream uses one, whether its head has come or not.
    void upstreamThatOnlySentItsHeadIsLeftToo()
    {
        Bench bench;
        ScriptedAnswer onlyHead = pausesAfterFirstEvent(bench, 9);
        onlyHead.holdAfter = 0;
        onlyHead.goesOnWhen = [pause = onlyHead.goesOnWhen, turns = 0]() mutable {
            constexpr int patience =
                100'000; // Turns of the loop; ends the test if nobody is asked.
            return pause() || ++turns > patience;
        };
        bench.client.expect(firstServer, onlyHead);
        bench.client.expect(secondServer, answer(200, { event(1) }));
        const auto exchange = bench.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1), exchange->response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), bench.client.sent().size());
    }

private:
    // One event, then a pause until `sends` requests have been sent in all. Time goes by in small
    // steps: a long one would be a pause of the daemon's own.
    static ScriptedAnswer pausesAfterFirstEvent(Bench &bench, std::size_t sends)
    {
        bench.lookForStallsAllTheTime();
        ScriptedAnswer script = answer(200, { event(1), event(2) });
        script.holdAfter = 1;
        script.goesOnWhen = [&bench, sends, steps = 0]() mutable {
            constexpr int stepsOfPause = 300; // Of 5 ms: longer than any pause that is allowed.
            if (++steps <= stepsOfPause)
                bench.clock.advance(std::chrono::milliseconds(5));
            return bench.client.sent().size() >= sends;
        };
        return script;
    }

    static void assertNothingInFlight(const Bench &bench)
    {
        for (const char *host : { "c1", "c2" })
            CPPUNIT_ASSERT_EQUAL(0, bench.state.targets.inFlight(HostId(host)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamRunTest);
