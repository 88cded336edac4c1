// Tests of the client's limits of connections, over all endpoints.

#include <memory>

#include "ramphinge/net/http_client.h"
#include "ramphinge/net/internal/raw_upstream.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/run_coroutine.h"

using namespace ramphinge;

namespace {

constexpr const char *answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr Duration moment = std::chrono::milliseconds(20);

} // namespace

class ClientLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClientLimitTest);
    CPPUNIT_TEST(endpointThatAnswersNothingLeavesConnectionsForOthers);
    CPPUNIT_TEST(callWithoutAConnectionSaysNothingAboutItsPeer);
    CPPUNIT_TEST(idleConnectionsMakeRoom);
    CPPUNIT_TEST_SUITE_END();

    IoContext m_io { 1 };

    void endpointThatAnswersNothingLeavesConnectionsForOthers()
    {
        constexpr int maxInUse = 8;
        const auto client = HttpClient::create(m_io, 4, maxInUse);
        RawUpstream silent(m_io);
        RawUpstream sound(m_io);
        sound.expect({ answer }, RawUpstream::End::Keep);
        runCoroutine(m_io, [&](Yield yield) {
            int exhausted = 0;
            for (int i = 0; i < maxInUse; ++i) {
                spawnCoroutine(m_io, [&](Yield inner) {
                    const auto call = client->call(silent.endpoint(), HttpRequest(), {});
                    static_cast<void>(call->start(inner));
                    exhausted += call->exhausted() ? 1 : 0;
                });
            }
            sleepFor(m_io, moment, yield);
            CPPUNIT_ASSERT_EQUAL(maxInUse / 2, exhausted);
            CPPUNIT_ASSERT(client->exchange(sound.endpoint(), HttpRequest(), {}, yield).ok());
        });
    }

    void callWithoutAConnectionSaysNothingAboutItsPeer()
    {
        const auto client = HttpClient::create(m_io, 4, 0);
        RawUpstream upstream(m_io);
        runCoroutine(m_io, [&](Yield yield) {
            const auto call = client->call(upstream.endpoint(), HttpRequest(), {});
            const Status started = call->start(yield);
            CPPUNIT_ASSERT(started.error().kind() == ErrorKind::Unavailable);
            CPPUNIT_ASSERT(call->exhausted() && !call->sent() && !call->unreachable());
        });
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), client->connectionsMade());
    }

    void idleConnectionsMakeRoom()
    {
        const auto client = HttpClient::create(m_io);
        RawUpstream first(m_io);
        RawUpstream second(m_io);
        for (RawUpstream *upstream : { &first, &second })
            upstream->expect({ answer, answer }, RawUpstream::End::Keep);
        first.expect({ answer }, RawUpstream::End::Keep);
        runCoroutine(m_io, [&](Yield yield) {
            const auto ask = [&](const RawUpstream &upstream) {
                CPPUNIT_ASSERT(
                    client->exchange(upstream.endpoint(), HttpRequest(), {}, yield).ok());
            };
            ask(first);
            ask(second);
            client->limitOpen(1); // Closes the one to `first`, which has been idle for longer.
            ask(second);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(2), client->connectionsMade());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientLimitTest);
