// Tests of requests that are refused before their body was read.

#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

HttpRequest headOf(const std::string &path)
{
    return { "POST", path, {}, {} };
}

} // namespace

class UnreadBodyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnreadBodyTest);
    CPPUNIT_TEST(requestThatMayNotRunIsRejectedByItsHead);
    CPPUNIT_TEST(requestThatMayRunIsNotRejectedByItsHead);
    CPPUNIT_TEST(refusalForMemoryPromisesAndSaysWhen);
    CPPUNIT_TEST(refusalForMemoryProvesToAnotherDaemon);
    CPPUNIT_TEST_SUITE_END();

    DispatchHarness m_harness;
    IoContext m_io { 1 };
    Dispatcher m_dispatcher { m_io,
                              m_harness.clock,
                              m_harness.dispatchOptions,
                              m_harness.codec,
                              m_harness.upstreams,
                              m_harness.probe,
                              m_harness.trials,
                              m_harness.state,
                              m_harness.log,
                              m_harness.metrics };

    void requestThatMayNotRunIsRejectedByItsHead()
    {
        CPPUNIT_ASSERT_EQUAL(401, m_dispatcher.rejectByHead(headOf("/private/x"))->status);
        CPPUNIT_ASSERT_EQUAL(404, m_dispatcher.rejectByHead(headOf("/nowhere/x"))->status);
        m_harness.state.catalog = nullptr;
        const auto withoutCatalog = m_dispatcher.rejectByHead(headOf("/safe/x"));
        CPPUNIT_ASSERT_EQUAL(503, withoutCatalog->status);
        CPPUNIT_ASSERT(withoutCatalog->headers.find("Retry-After").has_value());
    }

    void requestThatMayRunIsNotRejectedByItsHead()
    {
        for (const char *path : { "/safe/x", "/once/x", "/chat/x" })
            CPPUNIT_ASSERT(!m_dispatcher.rejectByHead(headOf(path)));
    }

    void refusalForMemoryPromisesAndSaysWhen()
    {
        const HttpResponse response = m_dispatcher.refuse(HttpFault::Overloaded, headOf("/once/x"));
        CPPUNIT_ASSERT_EQUAL(429, response.status);
        CPPUNIT_ASSERT(response.headers.find("Retry-After").has_value());
    }

    void refusalForMemoryProvesToAnotherDaemon()
    {
        HttpHandler &forwards = m_dispatcher.forwardHandler();
        const HttpResponse response = forwards.refuse(HttpFault::Overloaded, headOf("/once/x"));
        CPPUNIT_ASSERT_EQUAL(429, response.status);
        CPPUNIT_ASSERT(response.headers.find("Ramphinge-Unexecuted") == "r1");
        CPPUNIT_ASSERT(response.headers.find("Retry-After").has_value());
        CPPUNIT_ASSERT_EQUAL(413, forwards.refuse(HttpFault::BodyTooLarge, {}).status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnreadBodyTest);
