// Tests of what callers are told when the memory of all connections is used up.

#include <memory>
#include <sstream>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "ramphinge/net/http_server.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/run_coroutine.h"

using namespace ramphinge;

namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t kilobyte = 1024;
constexpr Duration moment = std::chrono::milliseconds(20);
constexpr std::size_t largeBytes = 16 * 1024 * kilobyte; // More than the kernel takes.
const std::string endOfChunks = "0\r\n\r\n";

// Answers with the size of the body, or with a large body of its own.
class Counting : public HttpHandler
{
public:
    void handle(HttpExchange &exchange, Yield yield) override
    {
        if (exchange.request().method == "GET") {
            static_cast<void>(exchange.respond({ 200, {}, std::string(largeBytes, 'x') }, yield));
            return;
        }
        const std::string size = std::to_string(exchange.request().body.size());
        static_cast<void>(exchange.respond({ 200, {}, "size " + size }, yield));
    }
};

// Rejects each request whose body doesn't come with its head.
class Rejecting : public Counting
{
public:
    std::optional<HttpResponse> rejectByHead(const HttpRequest &head) override
    {
        rejected = head.target;
        return HttpResponse { 401, {}, "" };
    }

    std::string rejected;
};

std::string head(const std::string &fields)
{
    return "POST / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n\r\n";
}

std::string chunkOf(std::size_t bytes)
{
    std::ostringstream text;
    text << std::hex << bytes << "\r\n" << std::string(bytes, 'x') << "\r\n";
    return text.str();
}

// A server with little memory, and callers of it.
class Bed
{
public:
    explicit Bed(std::size_t memoryBytes) : memory({ memoryBytes, moment })
    {
        HttpServerOptions options;
        options.memory = &memory;
        server = HttpServer::listen(io, { "127.0.0.1", 0 }, options, handler).value();
    }

    Tcp::socket connect()
    {
        Tcp::socket caller(io);
        caller.connect({ boost::asio::ip::make_address("127.0.0.1"), server->port() });
        return caller;
    }

    void send(Tcp::socket &caller, const std::string &bytes, Yield yield)
    {
        boost::asio::async_write(caller, boost::asio::buffer(bytes), yield);
        sleepFor(io, moment, yield);
    }

    // The first line of the next response with the fields after it.
    static std::string answer(Tcp::socket &caller, Yield yield)
    {
        std::string text;
        const std::size_t size = boost::asio::async_read_until(
            caller, boost::asio::dynamic_buffer(text), "\r\n\r\n", yield);
        return text.substr(0, size);
    }

    ConnectionMemory memory; // Outlives the connections, which the event loop keeps.
    IoContext io { 1 };
    Counting handler;
    std::shared_ptr<HttpServer> server;
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class BoundedMemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BoundedMemoryTest);
    CPPUNIT_TEST(stalledBodyIsRefusedForANewOne);
    CPPUNIT_TEST(announcedBodyWithoutRoomIsRefusedBeforeItIsSent);
    CPPUNIT_TEST(requestThatIsRejectedByItsHeadHoldsNoBody);
    CPPUNIT_TEST(bodyOfSmallChunksIsServed);
    CPPUNIT_TEST(responseThatIsNotReadGivesWayToARequest);
    CPPUNIT_TEST(memoryIsReturnedWithTheConnections);
    CPPUNIT_TEST_SUITE_END();

    void stalledBodyIsRefusedForANewOne()
    {
        Bed bed(512 * kilobyte);
        runCoroutine(bed.io, [&](Yield yield) {
            Tcp::socket stalled = bed.connect();
            bed.send(stalled, head("Transfer-Encoding: chunked") + chunkOf(150 * kilobyte), yield);
            Tcp::socket second = bed.connect();
            bed.send(second, head("Transfer-Encoding: chunked") + chunkOf(150 * kilobyte), yield);
            Tcp::socket third = bed.connect();
            bed.send(third, head("Content-Length: 100000") + std::string(100'000, 'x'), yield);
            CPPUNIT_ASSERT(contains(bed.answer(third, yield), "200 OK"));
            const std::string refusal = bed.answer(stalled, yield);
            CPPUNIT_ASSERT(contains(refusal, "HTTP/1.1 503"));
            CPPUNIT_ASSERT(contains(refusal, "Retry-After: "));
            CPPUNIT_ASSERT(contains(refusal, "Connection: close"));
        });
    }

    void announcedBodyWithoutRoomIsRefusedBeforeItIsSent()
    {
        Bed bed(512 * kilobyte);
        runCoroutine(bed.io, [&](Yield yield) {
            Tcp::socket caller = bed.connect();
            bed.send(caller, head("Content-Length: 400000\r\nExpect: 100-continue"), yield);
            CPPUNIT_ASSERT(contains(bed.answer(caller, yield), "HTTP/1.1 503"));
        });
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), bed.memory.refusals());
    }

    void requestThatIsRejectedByItsHeadHoldsNoBody()
    {
        Bed bed(512 * kilobyte);
        Rejecting handler;
        const auto server = HttpServer::listen(bed.io, { "127.0.0.1", 0 }, {}, handler).value();
        runCoroutine(bed.io, [&](Yield yield) {
            Tcp::socket whole(bed.io);
            whole.connect({ boost::asio::ip::make_address("127.0.0.1"), server->port() });
            bed.send(whole, head("Content-Length: 3") + "abc", yield);
            CPPUNIT_ASSERT(contains(bed.answer(whole, yield), "200 OK"));
            bed.send(whole, head("Content-Length: 300000\r\nExpect: 100-continue"), yield);
            CPPUNIT_ASSERT(contains(bed.answer(whole, yield), "HTTP/1.1 401"));
            CPPUNIT_ASSERT_EQUAL(std::string("/"), handler.rejected);
            // A target with its host names the same route.
            Tcp::socket absolute(bed.io);
            absolute.connect({ boost::asio::ip::make_address("127.0.0.1"), server->port() });
            bed.send(absolute,
                     "POST http://a/x HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n",
                     yield);
            CPPUNIT_ASSERT(contains(bed.answer(absolute, yield), "HTTP/1.1 401"));
            CPPUNIT_ASSERT_EQUAL(std::string("/x"), handler.rejected);
        });
    }

    void bodyOfSmallChunksIsServed()
    {
        Bed bed(2048 * kilobyte);
        runCoroutine(bed.io, [&](Yield yield) {
            Tcp::socket caller = bed.connect();
            std::string bytes = head("Transfer-Encoding: chunked");
            constexpr std::size_t size = 100'000;
            for (std::size_t i = 0; i < size; ++i)
                bytes += chunkOf(1);
            bed.send(caller, bytes + endOfChunks, yield);
            const std::string answer = bed.answer(caller, yield);
            CPPUNIT_ASSERT(contains(answer, "200 OK"));
            CPPUNIT_ASSERT(contains(answer, "Content-Length: 11")); // "size 100000"
        });
    }

    void responseThatIsNotReadGivesWayToARequest()
    {
        Bed bed(largeBytes + 100 * kilobyte);
        runCoroutine(bed.io, [&](Yield yield) {
            Tcp::socket silent = bed.connect();
            bed.send(silent, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", yield);
            sleepFor(bed.io, 2 * moment, yield);
            CPPUNIT_ASSERT(bed.memory.handledBytes() > largeBytes);
            Tcp::socket caller = bed.connect();
            bed.send(caller, head("Content-Length: 200000") + std::string(200'000, 'x'), yield);
            CPPUNIT_ASSERT(contains(bed.answer(caller, yield), "200 OK"));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1), bed.memory.evictions(ConnectionPhase::Sending));
            sleepFor(bed.io, moment, yield);
            CPPUNIT_ASSERT(bed.memory.handledBytes() < largeBytes);
        });
    }

    void memoryIsReturnedWithTheConnections()
    {
        Bed bed(2048 * kilobyte);
        runCoroutine(bed.io, [&](Yield yield) {
            {
                Tcp::socket stalled = bed.connect();
                bed.send(stalled, head("Content-Length: 300000") + std::string(200'000, 'x'),
                         yield);
                CPPUNIT_ASSERT(bed.memory.usedBytes() > 200'000);
            }
            sleepFor(bed.io, moment, yield);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), bed.memory.usedBytes());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedMemoryTest);
