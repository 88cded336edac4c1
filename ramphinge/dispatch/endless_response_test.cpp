// The request path against upstreams whose responses have no end.

#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

constexpr std::size_t kilobyte = 1024;

ScriptedAnswer largeAnswer(int status, HttpHeaders headers)
{
    return answer(status, std::vector<std::string>(256, std::string(8 * kilobyte, 'x')),
                  std::move(headers));
}

} // namespace

class EndlessResponseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessResponseTest);
    CPPUNIT_TEST(bodyBeyondTheMemoryIsGivenUpAndTheRequestRetried);
    CPPUNIT_TEST(incompleteEventBeyondTheMemoryIsGivenUp);
    CPPUNIT_TEST(commentsDoNotBeginAStream);
    CPPUNIT_TEST(requestIsNotHeldByTheBodyOfItsRejection);
    CPPUNIT_TEST_SUITE_END();

    void bodyBeyondTheMemoryIsGivenUpAndTheRequestRetried()
    {
        DispatchHarness harness;
        harness.state.answerMemory.setCapacity(kilobyte * kilobyte);
        harness.client.expect(firstServer, largeAnswer(200, authenticHeaders()));
        harness.client.expect(secondServer, answer(200, { "ok" }));
        CPPUNIT_ASSERT(harness.serve("/safe/x")->response.body == "ok");
        CPPUNIT_ASSERT_EQUAL(1, harness.client.cancelled());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, harness.state.answerMemory.usedBytes());
    }

    void incompleteEventBeyondTheMemoryIsGivenUp()
    {
        DispatchHarness harness;
        harness.state.answerMemory.setCapacity(kilobyte * kilobyte);
        harness.client.expect(firstServer, largeAnswer(200, authenticHeaders()));
        harness.client.expect(secondServer, answer(200, { event(1) }));
        CPPUNIT_ASSERT_EQUAL(event(1), harness.serve("/chat/x")->response.body);
        CPPUNIT_ASSERT_EQUAL(1, harness.client.cancelled());
    }

    void commentsDoNotBeginAStream()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, { ": x\n\n", ":\n: y\r\n\r\n", "\n\n" }));
        harness.client.expect(secondServer, answer(200, { event(1), ": x\n\n", event(2) }));
        CPPUNIT_ASSERT_EQUAL(event(1) + ": x\n\n" + event(2),
                             harness.serve("/chat/x")->response.body);
    }

    void requestIsNotHeldByTheBodyOfItsRejection()
    {
        for (const std::string path : { "/safe/x", "/chat/x" }) {
            DispatchHarness harness;
            harness.client.expect(firstServer, largeAnswer(503, { { "not-run", "1" } }));
            harness.client.expect(secondServer, answer(200, { event(1) }));
            CPPUNIT_ASSERT_EQUAL(event(1), harness.serve(path)->response.body);
            CPPUNIT_ASSERT_EQUAL(1, harness.client.cancelled());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponseTest);
