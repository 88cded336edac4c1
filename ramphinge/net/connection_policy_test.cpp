// Tests of an HTTP server whose policy admits no new connections, against sockets on the loopback
// interface.

#include <array>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "ramphinge/net/http_server.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/run_coroutine.h"

using namespace ramphinge;

namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr const char *request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

class MaxInProgress : public ConnectionPolicy
{
public:
    explicit MaxInProgress(int initialMax) : max(initialMax) { }

    bool admits(int inProgress) const override { return inProgress < max; }

    int max;
};

class CountingHandler : public HttpHandler
{
public:
    void handle(HttpExchange &exchange, Yield yield) override
    {
        ++handled;
        static_cast<void>(exchange.respond({ 200, {}, "ok" }, yield));
    }

    int handled = 0;
};

struct Harness
{
    explicit Harness(int maxInProgress, int maxConnections = 100) : policy(maxInProgress)
    {
        HttpServerOptions options;
        options.connectionPolicy = &policy;
        options.maxConnections = maxConnections;
        server = HttpServer::listen(io, { "127.0.0.1", 0 }, options, handler).value();
    }

    Tcp::socket connect(Yield yield)
    {
        Tcp::socket socket(io);
        socket.async_connect({ boost::asio::ip::make_address("127.0.0.1"), server->port() }, yield);
        return socket;
    }

    MaxInProgress policy;
    CountingHandler handler;
    IoContext io { 1 };
    std::shared_ptr<HttpServer> server;
};

// Sends the request and reads what arrives first; empty if the connection is closed instead.
std::string ask(Tcp::socket &socket, Yield yield)
{
    ErrorCode ec;
    boost::asio::async_write(socket, boost::asio::buffer(std::string(request)), yield[ec]);
    std::array<char, 512> piece {};
    const std::size_t got = socket.async_read_some(boost::asio::buffer(piece), yield[ec]);
    return std::string(piece.data(), got);
}

bool contains(const std::string &text, const char *part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class ConnectionPolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionPolicyTest);
    CPPUNIT_TEST(connectionThatIsNotAdmittedIsClosedUnread);
    CPPUNIT_TEST(connectionsOfOneBurstCountBeforeTheirFirstByte);
    CPPUNIT_TEST(keptConnectionIsServedAndToldToCloseWhileNoneIsAdmitted);
    CPPUNIT_TEST(silentConnectionsDontKeepOthersOut);
    CPPUNIT_TEST(silentConnectionsAreNotInProgress);
    CPPUNIT_TEST(lastPlacesAreNotForKeptConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    void connectionThatIsNotAdmittedIsClosedUnread()
    {
        Harness harness(0);
        runCoroutine(harness.io, [&](Yield yield) {
            Tcp::socket caller = harness.connect(yield);
            CPPUNIT_ASSERT(ask(caller, yield).empty());
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1), harness.server->connectionsNotAdmitted());
            CPPUNIT_ASSERT_EQUAL(0, harness.server->openConnections());
            harness.policy.max = 1;
            Tcp::socket later = harness.connect(yield);
            CPPUNIT_ASSERT(contains(ask(later, yield), "200 OK"));
        });
        CPPUNIT_ASSERT_EQUAL(1, harness.handler.handled);
    }

    void connectionsOfOneBurstCountBeforeTheirFirstByte()
    {
        constexpr int admitted = 3;
        Harness harness(admitted);
        runCoroutine(harness.io, [&](Yield yield) {
            std::vector<Tcp::socket> callers;
            for (int i = 0; i < 10; ++i) { // All wait in the kernel's queue.
                callers.emplace_back(harness.io);
                callers.back().connect(
                    { boost::asio::ip::make_address("127.0.0.1"), harness.server->port() });
            }
            sleepFor(harness.io, std::chrono::milliseconds(20), yield);
            CPPUNIT_ASSERT_EQUAL(admitted, harness.server->inProgress());
            CPPUNIT_ASSERT_EQUAL(std::int64_t(7), harness.server->connectionsNotAdmitted());
            callers.clear();
            sleepFor(harness.io, std::chrono::milliseconds(20), yield);
            CPPUNIT_ASSERT_EQUAL(0, harness.server->inProgress());
        });
    }

    void keptConnectionIsServedAndToldToCloseWhileNoneIsAdmitted()
    {
        Harness harness(2);
        runCoroutine(harness.io, [&](Yield yield) {
            Tcp::socket caller = harness.connect(yield);
            CPPUNIT_ASSERT(!contains(ask(caller, yield), "Connection: close"));
            harness.policy.max = 0;
            const std::string last = ask(caller, yield);
            CPPUNIT_ASSERT(contains(last, "200 OK"));
            CPPUNIT_ASSERT(contains(last, "Connection: close"));
            CPPUNIT_ASSERT(ask(caller, yield).empty());
        });
        CPPUNIT_ASSERT_EQUAL(2, harness.handler.handled);
    }

    void silentConnectionsDontKeepOthersOut()
    {
        Harness harness(100, 2);
        runCoroutine(harness.io, [&](Yield yield) {
            const Tcp::socket first = harness.connect(yield);
            const Tcp::socket second = harness.connect(yield);
            sleepFor(harness.io, std::chrono::milliseconds(20), yield);
            Tcp::socket early = harness.connect(yield);
            CPPUNIT_ASSERT(ask(early, yield).empty()); // The others may still send.
            sleepFor(harness.io, ConnectionMemoryOptions().minSilence, yield);
            Tcp::socket caller = harness.connect(yield);
            CPPUNIT_ASSERT(contains(ask(caller, yield), "200 OK"));
        });
    }

    void silentConnectionsAreNotInProgress()
    {
        Harness harness(2);
        runCoroutine(harness.io, [&](Yield yield) {
            const Tcp::socket first = harness.connect(yield);
            const Tcp::socket second = harness.connect(yield);
            sleepFor(harness.io, std::chrono::milliseconds(400), yield);
            CPPUNIT_ASSERT_EQUAL(0, harness.server->inProgress());
            Tcp::socket caller = harness.connect(yield);
            CPPUNIT_ASSERT(contains(ask(caller, yield), "200 OK"));
        });
    }

    void lastPlacesAreNotForKeptConnections()
    {
        Harness harness(100, 2);
        runCoroutine(harness.io, [&](Yield yield) {
            Tcp::socket kept = harness.connect(yield);
            CPPUNIT_ASSERT(!contains(ask(kept, yield), "Connection: close"));
            Tcp::socket last = harness.connect(yield);
            CPPUNIT_ASSERT(contains(ask(last, yield), "Connection: close"));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPolicyTest);
