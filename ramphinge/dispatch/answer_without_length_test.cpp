// Tests of answers without a length, which end with their connection.
//
// Guards against half of an answer that is passed on as whole: its server crashes in the middle of
// it, and the daemon can't tell for sure that it has, such as when no other server of the service
// is in reach.

#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

ScriptedAnswer answerWithoutLength(std::vector<std::string> pieces, int status = 200)
{
    ScriptedAnswer script = answer(status, std::move(pieces));
    script.endsWithConnection = true;
    return script;
}

class AnswerWithoutLengthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerWithoutLengthTest);
    CPPUNIT_TEST(wholeAnswerOfALiveServerIsPassedOn);
    CPPUNIT_TEST(serverThatAskedForAPauseIsProbedAfterIt);
    CPPUNIT_TEST(answerOfAServerThatCannotBeProbedIsRetried);
    CPPUNIT_TEST(answerOfAServerThatCannotBeProbedFailsIfItMustNotRunTwice);
    CPPUNIT_TEST(errorAnswerOfAServerThatCannotBeProbedIsNotPassedOn);
    CPPUNIT_TEST(answerOfACrashedServerIsNotPassedOnAndCountsAgainstItsRequest);
    CPPUNIT_TEST(streamOfAServerThatCannotBeProbedIsResumed);
    CPPUNIT_TEST(streamWithNoEventsLeftIsCompletedByALiveServer);
    CPPUNIT_TEST(streamOfTheOnlyServerIsAbortedIfThatCannotBeProbed);
    CPPUNIT_TEST(errorAnswerToAStreamIsNotPassedOnIfItsServerCannotBeProbed);
    CPPUNIT_TEST(wholeAnswerReleasesAQuarantinedRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    void wholeAnswerOfALiveServerIsPassedOn()
    {
        m_harness.client.expect(firstServer, answerWithoutLength({ "whole" }));
        m_harness.client.expect(firstServer, answer(200, {})); // The server goes on.
        const auto caller = m_harness.serve("/once/x");
        CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), caller->response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_harness.client.sent().size());
        CPPUNIT_ASSERT(m_harness.state.quarantine.empty());
    }

    void serverThatAskedForAPauseIsProbedAfterIt()
    {
        ScriptedAnswer whole = answerWithoutLength({ "whole" }, 404);
        whole.headers.add("backoff", "0.05");
        m_harness.client.expect(firstServer, whole);
        m_harness.client.expect(firstServer, answer(200, {})); // The server goes on.
        const MonotonicTime begin = BootClock::now();
        CPPUNIT_ASSERT_EQUAL(404, m_harness.serve("/once/x")->response.status);
        CPPUNIT_ASSERT(BootClock::now() - begin >= std::chrono::milliseconds(50));
    }

    void answerOfAServerThatCannotBeProbedIsRetried()
    {
        m_harness.probe.canProbe = false;
        m_harness.client.expect(firstServer, answerWithoutLength({ "ha" }));
        m_harness.client.expect(secondServer, answer(200, { "whole" }));
        const auto caller = m_harness.serve("/safe/x");
        CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), caller->response.body);
    }

    void answerOfAServerThatCannotBeProbedFailsIfItMustNotRunTwice()
    {
        m_harness.probe.canProbe = false;
        m_harness.client.expect(firstServer, answerWithoutLength({ "ha" }));
        CPPUNIT_ASSERT_EQUAL(502, m_harness.serve("/once/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_harness.client.sent().size());
        CPPUNIT_ASSERT(m_harness.state.quarantine.empty());
    }

    void errorAnswerOfAServerThatCannotBeProbedIsNotPassedOn()
    {
        m_harness.probe.canProbe = false;
        m_harness.client.expect(firstServer, answerWithoutLength({ "ha" }, 404));
        CPPUNIT_ASSERT_EQUAL(502, m_harness.serve("/once/x")->response.status);
    }

    void answerOfACrashedServerIsNotPassedOnAndCountsAgainstItsRequest()
    {
        m_harness.client.expect(firstServer, answerWithoutLength({ "ha" }));
        CPPUNIT_ASSERT_EQUAL(502, m_harness.serve("/once/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_harness.state.quarantine.suspectCount());
    }

    void streamOfAServerThatCannotBeProbedIsResumed()
    {
        m_harness.probe.canProbe = false;
        m_harness.client.expect(firstServer, answerWithoutLength({ event(1), event(2) }));
        m_harness.client.expect(secondServer, answer(200, { event(3) }));
        const auto caller = m_harness.serve("/chat/x");
        CPPUNIT_ASSERT(caller->finished);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), caller->response.body);
    }

    // Guards against aborting a stream whose caller has every event: the server it was resumed at
    // had none left, and its answer had no length either.
    void streamWithNoEventsLeftIsCompletedByALiveServer()
    {
        m_harness.client.expect(firstServer, answerWithoutLength({ event(1) })); // It ends then.
        m_harness.client.expect(secondServer, answerWithoutLength({}));
        m_harness.client.expect(secondServer, answer(200, {})); // The server goes on.
        const auto caller = m_harness.serve("/chat/x");
        CPPUNIT_ASSERT(caller->finished);
        CPPUNIT_ASSERT_EQUAL(event(1), caller->response.body);
    }

    void streamOfTheOnlyServerIsAbortedIfThatCannotBeProbed()
    {
        m_harness.probe.canProbe = false;
        m_harness.client.expect(firstServer, answerWithoutLength({ event(1) }));
        const auto caller = m_harness.serve("/chat/x");
        CPPUNIT_ASSERT(!caller->finished);
        CPPUNIT_ASSERT(caller->aborted);
    }

    void errorAnswerToAStreamIsNotPassedOnIfItsServerCannotBeProbed()
    {
        m_harness.probe.canProbe = false;
        m_harness.client.expect(firstServer, answerWithoutLength({ "ha" }, 400));
        CPPUNIT_ASSERT_EQUAL(502, m_harness.serve("/chat/x")->response.status);
    }

    // Guards against sound requests that stay quarantined after two servers crashed beside them,
    // since no answer of a service whose answers have no length clears them.
    void wholeAnswerReleasesAQuarantinedRequest()
    {
        const Fingerprint fingerprint = fingerprintOf("", { "POST", "h", "/safe/x", "body", {} });
        CrashRecord record;
        record.ended = { HostId("x"), HostId("y") };
        m_harness.state.quarantine.applyReport(CrashReportSource("another daemon"),
                                               { { fingerprint, record } }, m_harness.clock.now(),
                                               m_harness.clock.wallNow());
        CPPUNIT_ASSERT_EQUAL(429, m_harness.serve("/safe/x")->response.status);
        m_harness.trials.remaining = 1;
        for (int call = 0; call < 4; ++call)
            m_harness.client.expect(firstServer, answerWithoutLength({ "whole" }));
        CPPUNIT_ASSERT_EQUAL(200, m_harness.serve("/safe/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(200, m_harness.serve("/safe/x")->response.status);
    }

private:
    DispatchHarness m_harness;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerWithoutLengthTest);

} // namespace
