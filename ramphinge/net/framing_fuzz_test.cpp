// Random framings of many callers against the bound on the memory of all connections.

#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <rapidcheck.h>

#include "ramphinge/net/http_server.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/run_coroutine.h"

using namespace ramphinge;

namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t memoryBytes = 700 * 1024;
constexpr std::size_t bodyBytes = 128 * 1024;
constexpr Duration moment = std::chrono::milliseconds(3);
// Of an ordinary caller; only ends a server that hangs.
constexpr Duration patience = std::chrono::seconds(20);

class Sizes : public HttpHandler
{
public:
    void handle(HttpExchange &exchange, Yield yield) override
    {
        const std::string size = std::to_string(exchange.request().body.size());
        static_cast<void>(exchange.respond({ 200, {}, "size " + size }, yield));
    }
};

std::string chunkOf(std::size_t bytes, const std::string &extension)
{
    std::ostringstream text;
    text << std::hex << bytes << extension << "\r\n" << std::string(bytes, 'x') << "\r\n";
    return text.str();
}

// What one caller sends, in pieces: parts of requests, whole ones, and bytes that are none.
std::string drawBytes()
{
    std::string bytes;
    const int parts = *rc::gen::inRange(1, 5);
    for (int part = 0; part < parts; ++part) {
        const int kind = *rc::gen::inRange(0, 9);
        const auto size = static_cast<std::size_t>(*rc::gen::inRange(0, 200'000));
        const std::string start = "POST / HTTP/1.1\r\nHost: a\r\n";
        const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
        if (kind == 0)
            bytes += start + "Content-Length: " + std::to_string(size) + "\r\n\r\n"
                + std::string(*rc::gen::inRange<std::size_t>(0, size + 1), 'x');
        else if (kind == 1)
            bytes += chunked + chunkOf(size, "") + "0\r\n\r\n";
        else if (kind == 2)
            for (std::size_t i = 0; i < size / 100; ++i)
                bytes += (i == 0 ? chunked : "") + chunkOf(1 + i % 3, "");
        else if (kind == 3)
            bytes += chunked + chunkOf(10, ";" + std::string(size / 8, 'e'));
        else if (kind == 4)
            bytes += chunked + "0\r\nField: " + std::string(size / 8, 't');
        else if (kind == 5)
            bytes += start + "Filler: " + std::string(size / 8, 'h');
        else if (kind == 6)
            bytes += *rc::gen::container<std::string>(20, rc::gen::arbitrary<char>());
        else if (kind == 7)
            bytes += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        else
            bytes += chunked + std::to_string(size) + "0000000000000000\r\n";
    }
    return bytes;
}

// Sends in pieces, until the server closes.
void send(IoContext &io, Tcp::socket &socket, const std::string &bytes, std::size_t piece,
          Yield yield)
{
    ErrorCode ec;
    for (std::size_t begin = 0; begin < bytes.size() && !ec; begin += piece) {
        const std::size_t size = std::min(piece, bytes.size() - begin);
        boost::asio::async_write(socket, boost::asio::buffer(bytes.data() + begin, size),
                                 yield[ec]);
        yieldToLoop(io, yield);
    }
}

// As an ordinary caller: comes again after a refusal or a closed connection.
bool isServed(IoContext &io, std::uint16_t port, Yield yield)
{
    const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
    const MonotonicTime until = BootClock::now() + patience;
    while (BootClock::now() < until) {
        Tcp::socket socket(io);
        ErrorCode ec;
        socket.async_connect({ boost::asio::ip::make_address("127.0.0.1"), port }, yield[ec]);
        std::string text;
        if (!ec)
            boost::asio::async_write(socket, boost::asio::buffer(request), yield[ec]);
        if (!ec)
            boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(text), "size 5",
                                          yield[ec]);
        if (!ec)
            return true;
        sleepFor(io, moment, yield);
    }
    return false;
}

} // namespace

class FramingFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FramingFuzzTest);
    CPPUNIT_TEST(anyFramingStaysWithinTheBound);
    CPPUNIT_TEST_SUITE_END();

    void anyFramingStaysWithinTheBound()
    {
        const bool holds = rc::check("any framing stays within the bound", [] {
            std::vector<std::string> sent;
            const int callers = *rc::gen::inRange(1, 24);
            for (int i = 0; i < callers; ++i)
                sent.push_back(drawBytes());
            const auto piece = static_cast<std::size_t>(*rc::gen::inRange(200, 40'000));
            RC_ASSERT(play(sent, piece));
        });
        CPPUNIT_ASSERT(holds);
    }

    // Whether the bound held at all times, an ordinary request was served beside the others, and
    // all memory was returned when they had left.
    static bool play(const std::vector<std::string> &sent, std::size_t piece)
    {
        ConnectionMemory memory({ memoryBytes });
        IoContext io(1);
        Sizes handler;
        HttpServerOptions options;
        options.maxBodyBytes = bodyBytes;
        options.maxConnections = 16;
        options.memory = &memory;
        const auto server = HttpServer::listen(io, { "127.0.0.1", 0 }, options, handler).value();
        bool isBounded = true;
        bool isServedBeside = false;
        std::size_t left = 1;
        runCoroutine(io, [&](Yield yield) {
            std::vector<Tcp::socket> sockets;
            std::size_t done = 0;
            for (std::size_t i = 0; i < sent.size(); ++i)
                sockets.emplace_back(io);
            for (std::size_t i = 0; i < sent.size(); ++i) {
                sockets[i].connect({ boost::asio::ip::make_address("127.0.0.1"), server->port() });
                spawnCoroutine(io, [&, i](Yield inner) {
                    send(io, sockets[i], sent[i], piece, inner);
                    ++done;
                });
            }
            for (int turn = 0; turn < 20'000 && done < sent.size(); ++turn) {
                yieldToLoop(io, yield);
                isBounded = isBounded && memory.usedBytes() <= memory.capacity();
            }
            isServedBeside = isServed(io, server->port(), yield);
            for (Tcp::socket &socket : sockets)
                socket.close();
            const MonotonicTime until = BootClock::now() + patience;
            while ((left = memory.usedBytes()) > 0 && BootClock::now() < until)
                sleepFor(io, moment, yield);
        });
        return isBounded && isServedBeside && left == 0;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FramingFuzzTest);
