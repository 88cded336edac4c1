// What a suspension of the machine does to waits and connections: the clock goes on by hours while
// the kernel's timers stand still, as BootClock::skip plays it.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>

#include "ramphinge/net/http_client.h"
#include "ramphinge/net/internal/raw_upstream.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr Duration suspension = std::chrono::hours(1);
// Of real time, after which something waits that should not.
constexpr std::chrono::seconds stuckAfter { 30 };

class SuspensionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SuspensionTest);
    CPPUNIT_TEST(sleepEndsWhenItsTimeIsOver);
    CPPUNIT_TEST(signalsWaitEndsWhenItsTimeIsOver);
    CPPUNIT_TEST(callEndsAtItsDeadline);
    CPPUNIT_TEST(callInTheMiddleOfAnAnswerEndsAtItsDeadline);
    CPPUNIT_TEST(connectionThatWasIdleMeanwhileIsNotUsed);
    CPPUNIT_TEST(rightToSendEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    void sleepEndsWhenItsTimeIsOver()
    {
        run([](IoContext &io, Yield yield) {
            suspendSoon(io);
            sleepFor(io, suspension, yield);
        });
    }

    void signalsWaitEndsWhenItsTimeIsOver()
    {
        run([](IoContext &io, Yield yield) {
            Signal signal(io);
            suspendSoon(io);
            CPPUNIT_ASSERT(!signal.wait(suspension, yield));
        });
    }

    void callEndsAtItsDeadline()
    {
        run([](IoContext &io, Yield yield) {
            Tcp::acceptor acceptor(io, Tcp::endpoint(Tcp::v4(), 0));
            Tcp::socket connection(io);
            spawnCoroutine(io, [&](Yield other) {
                acceptor.async_accept(connection, other);
                boost::asio::streambuf head;
                boost::asio::async_read_until(connection, head, "\r\n\r\n", other);
                BootClock::skip(suspension); // It never answers.
            });
            const auto client = HttpClient::create(io);
            HttpCallOptions options;
            options.headTimeout = suspension;
            const auto call = client->call({ "127.0.0.1", acceptor.local_endpoint().port() },
                                           { "GET", "/", {}, {} }, options);
            const Status started = call->start(yield);
            CPPUNIT_ASSERT(!started.ok());
            CPPUNIT_ASSERT(started.error().message().find("timeout") != std::string::npos);
            CPPUNIT_ASSERT(!call->endedByPeer());
        });
    }

    void callInTheMiddleOfAnAnswerEndsAtItsDeadline()
    {
        run([](IoContext &io, Yield yield) {
            RawUpstream upstream(io);
            upstream.expect({ "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf" },
                            RawUpstream::End::Keep);
            const auto client = HttpClient::create(io);
            const auto call = client->call(upstream.endpoint(), { "GET", "/", {}, {} }, {});
            CPPUNIT_ASSERT(call->start(yield).ok());
            call->setReadTimeout(suspension);
            std::string body;
            CPPUNIT_ASSERT(call->read(body, yield).ok());
            suspendSoon(io);
            const Result<std::size_t> rest = call->read(body, yield);
            CPPUNIT_ASSERT(!rest.ok());
            CPPUNIT_ASSERT(!call->endedByPeer());
        });
    }

    // The other side has closed it by its own clock, or is about to.
    void connectionThatWasIdleMeanwhileIsNotUsed()
    {
        run([](IoContext &io, Yield yield) {
            const std::string answer =
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=60\r\n\r\n";
            RawUpstream upstream(io);
            upstream.expect({ answer, answer, answer }, RawUpstream::End::Keep);
            upstream.expect({ answer }, RawUpstream::End::Keep);
            const auto client = HttpClient::create(io);
            const auto ask = [&] {
                CPPUNIT_ASSERT(
                    client->exchange(upstream.endpoint(), { "GET", "/", {}, {} }, {}, yield).ok());
            };
            ask();
            ask();
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, client->connectionsMade());
            BootClock::skip(suspension);
            const auto call = client->call(upstream.endpoint(), { "GET", "/", {}, {} }, {});
            spawnCoroutine(io, [&](Yield other) { static_cast<void>(call->start(other)); });
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, client->connectionsMade());
            call->cancel();
        });
    }

    void rightToSendEnds()
    {
        run([](IoContext &io, Yield yield) {
            RawUpstream upstream(io);
            const auto client = HttpClient::create(io);
            HttpCallOptions options;
            options.sendBy = BootClock::now() + std::chrono::minutes(1);
            BootClock::skip(suspension);
            const auto call = client->call(upstream.endpoint(), { "GET", "/", {}, {} }, options);
            CPPUNIT_ASSERT(call->start(yield).error().kind() == ErrorKind::Unavailable);
            CPPUNIT_ASSERT(!call->sent());
        });
    }

private:
    // Once the coroutine that calls this waits.
    static void suspendSoon(IoContext &io)
    {
        boost::asio::post(io, [] { BootClock::skip(suspension); });
    }

    static void run(const std::function<void(IoContext &, Yield)> &body)
    {
        IoContext io(1);
        bool ended = false;
        spawnCoroutine(io, [&](Yield yield) {
            body(io, yield);
            ended = true;
            io.stop();
        });
        io.run_for(stuckAfter);
        CPPUNIT_ASSERT(ended);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspensionTest);

} // namespace
