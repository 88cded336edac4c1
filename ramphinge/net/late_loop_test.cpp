// Tests of time limits whose timers run late: what the peer has sent by then counts, not when the
// event loop gets to it.

#include <array>
#include <functional>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "ramphinge/net/http_client.h"
#include "ramphinge/net/http_server.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/run_coroutine.h"

using namespace ramphinge;

namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr Duration shortLimit = std::chrono::milliseconds(60);

constexpr std::size_t moreThanKernelBuffers = 32 * 1024 * 1024;

// Answers with the request's path; to "/large" with more than the kernel's buffers hold.
class Echo : public HttpHandler
{
public:
    void handle(HttpExchange &exchange, Yield yield) override
    {
        const std::string &target = exchange.request().target;
        const std::string tail(target == "/large" ? moreThanKernelBuffers : 0, ' ');
        static_cast<void>(exchange.respond({ 200, {}, "echo of " + target + tail }, yield));
    }
};

class Caller
{
public:
    Caller(IoContext &io, std::uint16_t port) : m_socket(io)
    {
        m_socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    }

    void send(const std::string &target)
    {
        const std::string request = "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
        boost::asio::write(m_socket, boost::asio::buffer(request));
    }

    // Whether the next thing that comes is the answer to that request.
    bool isAnswered(const std::string &target, Yield yield)
    {
        ErrorCode ec;
        boost::asio::async_read_until(m_socket, boost::asio::dynamic_buffer(m_received),
                                      "echo of " + target, yield[ec]);
        m_received.clear();
        return !ec;
    }

private:
    Tcp::socket m_socket;
    std::string m_received;
};

// A server, and an event loop that can be made late.
class Bed
{
public:
    explicit Bed(const HttpServerOptions &options = {})
        : server(HttpServer::listen(io, { "127.0.0.1", 0 }, options, m_handler).value())
    {
        m_trigger.connect(m_acceptor.local_endpoint());
        m_acceptor.accept(m_triggered);
    }

    // The loop stands still until its timers are due. Then `act` runs, in a handler that the loop
    // runs before those of the timers.
    void actBeforeDueTimers(std::function<void()> act)
    {
        m_triggered.async_wait(Tcp::socket::wait_read,
                               [act = std::move(act)](const ErrorCode &) { act(); });
        boost::asio::write(m_trigger, boost::asio::buffer(std::string("x")));
        std::this_thread::sleep_for(2 * shortLimit);
    }

    IoContext io { 1 };

private:
    Echo m_handler;
    Tcp::acceptor m_acceptor { io, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    Tcp::socket m_trigger { io };
    Tcp::socket m_triggered { io };

public:
    std::shared_ptr<HttpServer> server;
};

HttpServerOptions withIdleTimeout()
{
    HttpServerOptions options;
    options.idleTimeout = shortLimit;
    return options;
}

HttpServerOptions withHeadTimeout()
{
    HttpServerOptions options;
    options.headTimeout = shortLimit;
    return options;
}

} // namespace

class LateLoopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LateLoopTest);
    CPPUNIT_TEST(requestBeforeALateIdleTimeoutIsAnswered);
    CPPUNIT_TEST(requestBeforeTheServerStopsIsAnswered);
    CPPUNIT_TEST(silentConnectionIsClosedAfterItsIdleTimeout);
    CPPUNIT_TEST(headBeforeALateTimeoutIsRead);
    CPPUNIT_TEST(callerWhoseHeadDoesNotArriveInTimeIsTold);
    CPPUNIT_TEST(trickledHeadEndsAtABoundedTime);
    CPPUNIT_TEST(callerThatSendsButDoesNotReadIsClosed);
    CPPUNIT_TEST(answerBeforeALateTimeoutIsRead);
    CPPUNIT_TEST(signalOfALateLoopIsNoTimeout);
    CPPUNIT_TEST(signalThatNeverComesTimesOut);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestBeforeALateIdleTimeoutIsAnswered()
    {
        Bed bed(withIdleTimeout());
        runCoroutine(bed.io, [&](Yield yield) {
            Caller caller(bed.io, bed.server->port());
            caller.send("/first");
            CPPUNIT_ASSERT(caller.isAnswered("/first", yield));
            bed.actBeforeDueTimers([&caller] { caller.send("/second"); });
            CPPUNIT_ASSERT(caller.isAnswered("/second", yield));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), bed.server->connectionsClosedWithUnreadData());
        });
    }

    void requestBeforeTheServerStopsIsAnswered()
    {
        Bed bed;
        runCoroutine(bed.io, [&](Yield yield) {
            Caller caller(bed.io, bed.server->port());
            caller.send("/first");
            CPPUNIT_ASSERT(caller.isAnswered("/first", yield));
            caller.send("/second");
            bed.server->stopAccepting();
            CPPUNIT_ASSERT(caller.isAnswered("/second", yield));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), bed.server->connectionsClosedWithUnreadData());
        });
    }

    void silentConnectionIsClosedAfterItsIdleTimeout()
    {
        Bed bed(withIdleTimeout());
        runCoroutine(bed.io, [&](Yield yield) {
            Caller caller(bed.io, bed.server->port());
            caller.send("/first");
            CPPUNIT_ASSERT(caller.isAnswered("/first", yield));
            const MonotonicTime since = BootClock::now();
            CPPUNIT_ASSERT(!caller.isAnswered("/second", yield));
            CPPUNIT_ASSERT(BootClock::now() - since >= shortLimit / 2);
        });
    }

    void headBeforeALateTimeoutIsRead()
    {
        Bed bed(withHeadTimeout());
        runCoroutine(bed.io, [&](Yield yield) {
            Tcp::socket slow(bed.io);
            slow.connect({ boost::asio::ip::make_address("127.0.0.1"), bed.server->port() });
            boost::asio::write(slow, boost::asio::buffer(std::string("GET /slow HTTP/1.1\r\n")));
            sleepFor(bed.io, shortLimit / 6, yield);
            bed.actBeforeDueTimers([&slow] {
                boost::asio::write(slow, boost::asio::buffer(std::string("Host: a\r\n\r\n")));
            });
            std::string answer;
            ErrorCode ec;
            boost::asio::async_read_until(slow, boost::asio::dynamic_buffer(answer),
                                          "echo of /slow", yield[ec]);
            CPPUNIT_ASSERT(!ec);
        });
    }

    void callerWhoseHeadDoesNotArriveInTimeIsTold()
    {
        Bed bed(withHeadTimeout());
        runCoroutine(bed.io, [&](Yield yield) {
            Tcp::socket slow(bed.io);
            slow.connect({ boost::asio::ip::make_address("127.0.0.1"), bed.server->port() });
            boost::asio::write(slow, boost::asio::buffer(std::string("GET /slow HTTP/1.1\r\n")));
            std::string answer;
            ErrorCode ec;
            boost::asio::async_read_until(slow, boost::asio::dynamic_buffer(answer), "\r\n\r\n",
                                          yield[ec]);
            CPPUNIT_ASSERT(answer.find("HTTP/1.1 408 ") == 0);
        });
    }

    void trickledHeadEndsAtABoundedTime()
    {
        Bed bed(withHeadTimeout());
        runCoroutine(bed.io, [&](Yield yield) {
            Tcp::socket slow(bed.io);
            slow.connect({ boost::asio::ip::make_address("127.0.0.1"), bed.server->port() });
            const MonotonicTime since = BootClock::now();
            const Duration longest = std::chrono::seconds(2);
            ErrorCode ec;
            while (!ec && slow.available() == 0 && BootClock::now() - since < longest) {
                boost::asio::write(slow, boost::asio::buffer(std::string("x")), ec);
                std::this_thread::sleep_for(std::chrono::milliseconds(2)); // The loop is late.
                sleepFor(bed.io, Duration(1), yield);
            }
            CPPUNIT_ASSERT(BootClock::now() - since < std::chrono::milliseconds(500));
        });
    }

    void callerThatSendsButDoesNotReadIsClosed()
    {
        HttpServerOptions options;
        options.writeTimeout = shortLimit;
        Bed bed(options);
        runCoroutine(bed.io, [&](Yield yield) {
            Caller caller(bed.io, bed.server->port());
            caller.send("/large");
            caller.send("/next");
            sleepFor(bed.io, 10 * shortLimit, yield);
            CPPUNIT_ASSERT_EQUAL(0, bed.server->openConnections());
        });
    }

    void answerBeforeALateTimeoutIsRead()
    {
        Bed bed;
        Tcp::acceptor upstream(bed.io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        Tcp::socket accepted(bed.io);
        const auto client = HttpClient::create(bed.io);
        bool isAnswered = false;
        spawnCoroutine(bed.io, [&](Yield yield) {
            HttpCallOptions options;
            options.headTimeout = shortLimit;
            const Endpoint endpoint { "127.0.0.1", upstream.local_endpoint().port() };
            isAnswered = client->exchange(endpoint, { "GET", "/", {}, {} }, options, yield).ok();
        });
        runCoroutine(bed.io, [&](Yield yield) {
            upstream.async_accept(accepted, yield);
            std::string request;
            boost::asio::async_read_until(accepted, boost::asio::dynamic_buffer(request),
                                          "\r\n\r\n", yield);
            bed.actBeforeDueTimers([&accepted] {
                const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                boost::asio::write(accepted, boost::asio::buffer(answer));
            });
            sleepFor(bed.io, shortLimit, yield);
            CPPUNIT_ASSERT(isAnswered);
        });
    }

    // Guards against verdicts that are given though their answers lie in the event loop.
    void signalOfALateLoopIsNoTimeout()
    {
        constexpr int turns = 5; // Of the loop, from an answer's arrival to its notification.
        Bed bed;
        Signal decided(bed.io);
        std::function<void(int)> goOn = [&](int left) {
            if (left == 0)
                decided.notify();
            else
                boost::asio::post(bed.io, [&goOn, left] { goOn(left - 1); });
        };
        runCoroutine(bed.io, [&](Yield yield) {
            boost::asio::post(bed.io, [&] { bed.actBeforeDueTimers([&] { goOn(turns); }); });
            CPPUNIT_ASSERT(decided.wait(shortLimit, yield));
        });
    }

    void signalThatNeverComesTimesOut()
    {
        Bed bed;
        Signal decided(bed.io);
        runCoroutine(bed.io, [&](Yield yield) {
            const MonotonicTime since = BootClock::now();
            spawnCoroutine(bed.io, [&](Yield) { bed.actBeforeDueTimers([] {}); });
            CPPUNIT_ASSERT(!decided.wait(shortLimit, yield));
            CPPUNIT_ASSERT(BootClock::now() - since < 4 * shortLimit);
        });
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LateLoopTest, "late_loop");
