// Tests of streams that go on elsewhere: what their callers have, and when their answer is whole.

#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

// What users saw: a stream was closed in the middle of its answer though its caller had every
// event. Order of events: the upstream sent the last event; the end of its answer did not come, or
// not soon enough; the daemon asked a second upstream for what comes after that event; that one
// ended its answer at once, as there was nothing left; the daemon took an answer without an event
// for one that was cut short, had no attempt left, and closed the connection. Cause: whether a
// stream is whole was judged by the last answer alone, not by what the caller has. Evidence: the
// record of such a request shows both upstreams' runs ended well, the second one after 20 ms
// without an event, and the connection closed 2 ms later.
class StreamRunTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamRunTest);
    CPPUNIT_TEST(streamWithNothingLeftEndsWell);
    CPPUNIT_TEST(callerWhoHasEveryEventGetsAnEnd);
    CPPUNIT_TEST(answerWithoutAnyEventIsNotWhole);
    CPPUNIT_TEST(restThatBreaksOffIsNotWhole);
    CPPUNIT_TEST_SUITE_END();

public:
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamRunTest);
