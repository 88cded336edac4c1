// Tests of bytes that a caller sends beyond a request that is in progress: further requests, and
// empty lines.

#include <array>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "ramphinge/net/http_server.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/run_coroutine.h"

using namespace ramphinge;

namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr Duration served = std::chrono::milliseconds(60);
constexpr Duration moment = std::chrono::milliseconds(20); // Less than `served`.

// Takes `served` for each request. Then answers with its path, or closes the connection of "/abort"
// as the end of the process would.
class SlowHandler : public HttpHandler
{
public:
    explicit SlowHandler(IoContext &io) : m_io(io) { }

    void handle(HttpExchange &exchange, Yield yield) override
    {
        exchange.watchCaller([this] { ++callersGone; });
        sleepFor(m_io, served, yield);
        if (exchange.request().target == "/abort")
            exchange.abort();
        else
            static_cast<void>(
                exchange.respond({ 200, {}, "answer to " + exchange.request().target }, yield));
    }

    int callersGone = 0;

private:
    IoContext &m_io;
};

std::string get(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

// A server and one caller's connection to it.
class Bed
{
public:
    explicit Bed(const HttpServerOptions &options = {})
        : handler(io), server(HttpServer::listen(io, { "127.0.0.1", 0 }, options, handler).value())
    {
        caller.connect({ boost::asio::ip::make_address("127.0.0.1"), server->port() });
    }

    void send(const std::string &bytes) { boost::asio::write(caller, boost::asio::buffer(bytes)); }

    // Two requests, of which the second arrives while the first is served.
    void sendAhead(Yield yield)
    {
        send(get("/1"));
        sleepFor(io, moment, yield);
        send(get("/2"));
        sleepFor(io, moment / 2, yield);
    }

    // Whether that text is the next that arrives.
    bool receives(const std::string &text, Yield yield)
    {
        ErrorCode ec;
        const std::size_t end = boost::asio::async_read_until(
            caller, boost::asio::dynamic_buffer(m_received), text, yield[ec]);
        m_received.erase(0, ec ? 0 : end);
        return !ec;
    }

    // How the connection ends, once all that arrives before is read.
    ErrorCode endOfConnection(Yield yield)
    {
        ErrorCode ec;
        boost::asio::async_read(caller, boost::asio::dynamic_buffer(m_received), yield[ec]);
        return ec;
    }

    IoContext io { 1 };
    SlowHandler handler;
    std::shared_ptr<HttpServer> server;
    Tcp::socket caller { io };

private:
    std::string m_received;
};

} // namespace

class ReadAheadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReadAheadTest);
    CPPUNIT_TEST(requestInProgressDoesNotEndLikeAnUnreadOne);
    CPPUNIT_TEST(emptyLineBetweenRequestsIsIgnored);
    CPPUNIT_TEST(requestsSentAheadAreAnsweredInOrder);
    CPPUNIT_TEST(callerThatHasSentAheadMayEndItsSide);
    CPPUNIT_TEST(callerThatHasSentAheadAndLeavesIsNoticed);
    CPPUNIT_TEST(bytesSentAheadAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestInProgressDoesNotEndLikeAnUnreadOne()
    {
        for (const std::string &beyond : { std::string("\r\n"), get("/next"), std::string("x") }) {
            Bed bed;
            runCoroutine(bed.io, [&](Yield yield) {
                bed.send(get("/abort"));
                sleepFor(bed.io, moment, yield);
                bed.send(beyond);
                CPPUNIT_ASSERT(bed.endOfConnection(yield) == boost::asio::error::eof);
            });
        }
    }

    void emptyLineBetweenRequestsIsIgnored()
    {
        for (const Duration pause : { Duration::zero(), moment, 2 * served }) {
            Bed bed;
            runCoroutine(bed.io, [&](Yield yield) {
                bed.send(get("/first"));
                sleepFor(bed.io, pause, yield);
                bed.send("\r\n");
                CPPUNIT_ASSERT(bed.receives("answer to /first", yield));
                bed.send(get("/second"));
                CPPUNIT_ASSERT(bed.receives("answer to /second", yield));
            });
        }
    }

    void requestsSentAheadAreAnsweredInOrder()
    {
        Bed bed;
        runCoroutine(bed.io, [&](Yield yield) {
            bed.send(get("/1"));
            sleepFor(bed.io, moment, yield);
            bed.send(get("/2") + get("/3").substr(0, 10));
            sleepFor(bed.io, moment / 2, yield);
            bed.send(get("/3").substr(10));
            for (const char *target : { "/1", "/2", "/3" })
                CPPUNIT_ASSERT(bed.receives(std::string("answer to ") + target, yield));
        });
    }

    void callerThatHasSentAheadMayEndItsSide()
    {
        Bed bed;
        runCoroutine(bed.io, [&](Yield yield) {
            bed.sendAhead(yield);
            bed.caller.shutdown(Tcp::socket::shutdown_send);
            CPPUNIT_ASSERT(bed.receives("answer to /1", yield));
            CPPUNIT_ASSERT_EQUAL(0, bed.handler.callersGone);
        });
    }

    void callerThatHasSentAheadAndLeavesIsNoticed()
    {
        Bed bed;
        runCoroutine(bed.io, [&](Yield yield) {
            bed.sendAhead(yield);
            bed.caller.set_option(Tcp::socket::linger(true, 0));
            bed.caller.close(); // Resets the connection.
            sleepFor(bed.io, served / 2, yield);
            CPPUNIT_ASSERT_EQUAL(1, bed.handler.callersGone);
        });
    }

    void bytesSentAheadAreBounded()
    {
        constexpr std::size_t many = 32 * 1024 * 1024; // More than the kernel's buffers hold.
        Bed bed;
        runCoroutine(bed.io, [&](Yield yield) {
            bed.send(get("/1"));
            sleepFor(bed.io, moment, yield);
            bed.caller.non_blocking(true);
            const std::string piece(64 * 1024, 'x');
            ErrorCode ec;
            std::size_t sent = 0;
            while (!ec && sent < many) {
                sent += bed.caller.write_some(boost::asio::buffer(piece), ec);
                sleepFor(bed.io, Duration::zero(), yield);
            }
            CPPUNIT_ASSERT(ec == boost::asio::error::would_block);
            CPPUNIT_ASSERT(bed.receives("answer to /1", yield));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadAheadTest);
