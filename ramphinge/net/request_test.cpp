// Tests of what callers may send: hostile heads and framings, one by one and drawn at random. What
// the handler sees must be exactly the proper requests that came before the first improper one.

#include <array>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <rapidcheck.h>

#include "ramphinge/net/http_server.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/run_coroutine.h"

using namespace ramphinge;

namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Remembers what it was handed.
class Recorder : public HttpHandler
{
public:
    void handle(HttpExchange &exchange, Yield yield) override
    {
        const HttpRequest &request = exchange.request();
        seen.push_back(request.method + " " + request.target + " "
                       + std::string(request.headers.find("Host").value_or("")) + " "
                       + request.body.text());
        if (request.target != "/stream") {
            static_cast<void>(exchange.respond({ 200, {}, "fine" }, yield));
            return;
        }
        exchange.beginStream(200, {});
        for (int piece = 0; piece < 2; ++piece)
            static_cast<void>(exchange.write("fine", yield));
        static_cast<void>(exchange.finish(yield));
    }

    std::vector<std::string> seen;
};

struct Conversation
{
    std::vector<std::string> seen; // By the handler.
    std::string answers; // Until the server closed.
};

constexpr std::uint32_t usualHeadBytes = 2000;

// Sends the bytes on one connection, a part at a time, and reads until the server closes.
Conversation converse(const std::vector<std::string> &parts,
                      std::uint32_t maxHeadBytes = usualHeadBytes)
{
    Conversation result;
    IoContext io(1);
    Recorder recorder;
    HttpServerOptions options;
    options.maxHeadBytes = maxHeadBytes;
    options.idleTimeout = std::chrono::milliseconds(50);
    const auto server = HttpServer::listen(io, { "127.0.0.1", 0 }, options, recorder);
    CPPUNIT_ASSERT(server.ok());
    runCoroutine(io, [&](Yield yield) {
        Tcp::socket socket(io);
        socket.async_connect({ boost::asio::ip::make_address("127.0.0.1"), server.value()->port() },
                             yield);
        ErrorCode ec;
        for (const std::string &part : parts) {
            boost::asio::async_write(socket, boost::asio::buffer(part), yield[ec]);
            if (ec)
                break;
        }
        socket.shutdown(Tcp::socket::shutdown_send, ec);
        ErrorCode ended;
        while (!ended) {
            std::array<char, 512> piece {};
            const std::size_t got =
                socket.async_read_some(boost::asio::buffer(piece), yield[ended]);
            result.answers.append(piece.data(), got);
        }
        // A reset would have cost the caller its answer.
        CPPUNIT_ASSERT(ended == boost::asio::error::eof);
    });
    result.seen = recorder.seen;
    return result;
}

int countOf(const std::string &text, const std::string &part)
{
    int count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

// A request, and what the handler must see of it; nothing if it must be refused.
struct Sample
{
    std::string bytes;
    std::optional<std::string> seen;
};

std::string chunked(const std::string &body)
{
    if (body.empty())
        return "0\r\n\r\n";
    std::array<char, 16> size {};
    std::snprintf(size.data(), size.size(), "%zx", body.size());
    return std::string(size.data()) + "\r\n" + body + "\r\n0\r\n\r\n";
}

std::string post(const std::string &path, const std::string &fields, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\n" + fields + "\r\n" + body;
}

// One of the kinds of request that callers may send, or must not.
Sample drawSample()
{
    const auto path = "/p" + std::to_string(*rc::gen::inRange(0, 1000));
    // Bodies that look like a request, should their end be mistaken.
    const std::string body = *rc::gen::element<std::string>(
        "", "x", "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", "0\r\n\r\nGET /s HTTP/1.1\r\n\r\n");
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string proper = "POST " + path + " h " + body;
    switch (*rc::gen::inRange(0, 14)) {
    case 0:
    case 1:
        return { post(path, "Host: h\r\n" + length, body), proper };
    case 2:
        return { post(path, "Host: h\r\nTransfer-Encoding: chunked\r\n", chunked(body)), proper };
    case 3:
        return { post(path, "host: h\r\ntransfer-encoding: CHUNKED\r\n", chunked(body)), proper };
    case 4:
        return { post("http://h" + path, "Host: other\r\n" + length, body), proper };
    case 5:
        return { post(path, "Host: h\r\nTransfer-Encoding: gzip\r\n", body), std::nullopt };
    case 6:
        return { post(path, "Host: h\r\nTransfer-Encoding: gzip, chunked\r\n", chunked(body)),
                 std::nullopt };
    case 7:
        return { post(path, "Host: h\r\nTransfer-Encoding: chunked\r\n" + length, chunked(body)),
                 std::nullopt };
    case 8:
        return { post(path, "Host: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n",
                      chunked(body)),
                 std::nullopt };
    case 9:
        return { post(path, "Host: h\r\nHost: h\r\n" + length, body), std::nullopt };
    case 10:
        return { post(path, length, body), std::nullopt };
    case 11:
        return { post(path, "Host: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n", "xx"),
                 std::nullopt };
    case 12:
        return { post(path, "Host: a/b\r\n" + length, body), std::nullopt };
    default:
        return { post(path, "Host: h\r\nX: " + std::string(3000, 'x') + "\r\n", body),
                 std::nullopt };
    }
}

// The bytes in pieces, cut anywhere.
std::vector<std::string> cut(const std::string &bytes)
{
    std::vector<std::string> parts;
    for (std::size_t at = 0; at < bytes.size();) {
        const auto size = *rc::gen::inRange<std::size_t>(1, bytes.size() - at + 1);
        parts.push_back(bytes.substr(at, size));
        at += size;
    }
    return parts;
}

} // namespace

class RequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestTest);
    CPPUNIT_TEST(unknownCodingHidesNoRequest);
    CPPUNIT_TEST(twoHostsAreRefused);
    CPPUNIT_TEST(hostInTheTargetGoesFirst);
    CPPUNIT_TEST(refusalOfALargeHeadArrives);
    CPPUNIT_TEST(fieldThatNoMessageHoldsIsRefused);
    CPPUNIT_TEST(trailerIsBoundedAsAHeadIs);
    CPPUNIT_TEST(answersToHeadCarryNoBody);
    CPPUNIT_TEST(handlerSeesExactlyWhatWasSent);
    CPPUNIT_TEST(requestThatIsBeingReadIsAnsweredByAServerThatStops);
    CPPUNIT_TEST(copiesOfARequestShareItsBody);
    CPPUNIT_TEST_SUITE_END();

public:
    // Half a request has come when the server stops: its caller has sent it to a daemon that took
    // requests, and gets an answer.
    void requestThatIsBeingReadIsAnsweredByAServerThatStops()
    {
        const std::string request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
        for (const std::size_t cut : { std::size_t(1), request.size() / 2, request.size() - 2 }) {
            IoContext io(1);
            Recorder recorder;
            const auto server = HttpServer::listen(io, { "127.0.0.1", 0 }, {}, recorder);
            std::string answer;
            runCoroutine(io, [&](Yield yield) {
                Tcp::socket socket(io);
                socket.async_connect(
                    { boost::asio::ip::make_address("127.0.0.1"), server.value()->port() }, yield);
                boost::asio::async_write(socket, boost::asio::buffer(request, cut), yield);
                constexpr int patience = 10'000; // Turns of the loop; one or two are enough.
                for (int i = 0; i < patience && server.value()->openExchanges() == 0; ++i)
                    boost::asio::post(io, yield);
                server.value()->stopAccepting();
                ErrorCode ec;
                boost::asio::async_write(socket, boost::asio::buffer(request) + cut, yield[ec]);
                std::array<char, 512> piece {};
                while (!ec) {
                    const std::size_t got =
                        socket.async_read_some(boost::asio::buffer(piece), yield[ec]);
                    answer.append(piece.data(), got);
                }
            });
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), recorder.seen.size());
            CPPUNIT_ASSERT(answer.find("fine") != std::string::npos);
            CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(0, server.value()->openExchanges());
        }
    }

    void unknownCodingHidesNoRequest()
    {
        const Conversation result = converse({ post("/a", "Host: h\r\nTransfer-Encoding: gzip\r\n",
                                                    "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n") });
        CPPUNIT_ASSERT(result.seen.empty());
        CPPUNIT_ASSERT_EQUAL(1, countOf(result.answers, "HTTP/1.1 400"));
        CPPUNIT_ASSERT_EQUAL(1, countOf(result.answers, "HTTP/1.1 "));
        CPPUNIT_ASSERT(result.answers.find("Connection: close") != std::string::npos);
    }

    void twoHostsAreRefused()
    {
        const Conversation result =
            converse({ "GET /a HTTP/1.1\r\nHost: one\r\nHost: two\r\n\r\n" });
        CPPUNIT_ASSERT(result.seen.empty());
        CPPUNIT_ASSERT_EQUAL(1, countOf(result.answers, "HTTP/1.1 400"));
    }

    void hostInTheTargetGoesFirst()
    {
        const Conversation result = converse({ "GET http://h?q=1 HTTP/1.1\r\nHost: x\r\n\r\n" });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), result.seen.size());
        CPPUNIT_ASSERT_EQUAL(std::string("GET /?q=1 h "), result.seen.front());
    }

    void refusalOfALargeHeadArrives()
    {
        const Conversation result = converse(
            { "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(200'000, 'x') + "\r\n\r\n" });
        CPPUNIT_ASSERT(result.seen.empty());
        CPPUNIT_ASSERT_EQUAL(1, countOf(result.answers, "HTTP/1.1 400"));
    }

    // What users saw: a daemon ended, with status 2 and "field value too large" on standard error;
    // all requests that were open on it ended without an answer.
    //
    // Order of events: one caller, with or without a key, sends a field of more than 65,533 bytes:
    // in a head where the operators' limit permits that, or in the trailer of a body in chunks,
    // where no limit applied.
    //
    // Cause: the library's message can't hold such a field, and its parser throws in a handler of
    // the event loop; what leaves a handler ends the loop.
    //
    // Evidence: a daemon with four open streams ended at each such request (head's value, head's
    // name, trailer); without the mend this test ends by the same exception.
    void fieldThatNoMessageHoldsIsRefused()
    {
        const std::string large(70'000, 'x');
        const std::string chunks = "Host: h\r\nTransfer-Encoding: chunked\r\n";
        for (const std::string &request : { post("/a", "Host: h\r\nX: " + large + "\r\n", ""),
                                            post("/a", "Host: h\r\n" + large + ": x\r\n", ""),
                                            post("/a", chunks, "0\r\nX: " + large + "\r\n\r\n"),
                                            post("/a", chunks, "0\r\n" + large + ": x\r\n\r\n") }) {
            const Conversation result = converse({ request }, 400'000);
            CPPUNIT_ASSERT(result.seen.empty());
            CPPUNIT_ASSERT_EQUAL(1, countOf(result.answers, "HTTP/1.1 400"));
        }
    }

    // A caller reads the next answer right after the head: a body was taken for it. An improper
    // request after it is none of HEAD, and its refusal has its body.
    void answersToHeadCarryNoBody()
    {
        const Conversation result = converse({ "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\nHEAD /stream "
                                               "HTTP/1.1\r\nHost: h\r\n\r\nnonsense\r\n\r\n" });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), result.seen.size());
        CPPUNIT_ASSERT_EQUAL(0, countOf(result.answers, "fine"));
        CPPUNIT_ASSERT_EQUAL(2, countOf(result.answers, "HTTP/1.1 200 OK\r\n"));
        const std::size_t second = result.answers.find("HTTP/1.1 200", 1);
        CPPUNIT_ASSERT_EQUAL(std::string("\r\n\r\n"), result.answers.substr(second - 4, 4));
        const std::size_t refusal = result.answers.find("HTTP/1.1 400");
        CPPUNIT_ASSERT_EQUAL(std::string("\r\n\r\n"), result.answers.substr(refusal - 4, 4));
        CPPUNIT_ASSERT(result.answers.find("invalid_input") != std::string::npos);
    }

    // A trailer, and a chunk's extension, were read without a bound: one caller could fill the
    // daemon's memory for as long as a body may take.
    void trailerIsBoundedAsAHeadIs()
    {
        const std::string chunks = "Host: h\r\nTransfer-Encoding: chunked\r\n";
        std::string fields;
        while (fields.size() < 300'000)
            fields += "X: " + std::string(1000, 'x') + "\r\n";
        for (const std::string &body :
             { "0\r\n" + fields + "\r\n",
               "1;" + std::string(300'000, 'x') + "\r\n1\r\n0\r\n\r\n" }) {
            const Conversation result = converse({ post("/a", chunks, body) });
            CPPUNIT_ASSERT(result.seen.empty());
            CPPUNIT_ASSERT_EQUAL(1, countOf(result.answers, "HTTP/1.1 400"));
        }
        const Conversation small = converse({ post("/a", chunks, "1\r\nx\r\n0\r\nX: y\r\n\r\n") });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), small.seen.size());
    }

    // Each copy of a large body counted against the memory of the machine.
    void copiesOfARequestShareItsBody()
    {
        HttpRequest request;
        request.body = std::string(100, 'x');
        const HttpRequest copy = request;
        CPPUNIT_ASSERT_EQUAL(request.body.text().data(), copy.body.text().data());
        CPPUNIT_ASSERT(HttpBody(std::string()).empty());
    }

    void handlerSeesExactlyWhatWasSent()
    {
        const bool holds = rc::check("the handler sees what was sent", [] {
            std::string bytes;
            std::vector<std::string> expected;
            bool refused = false;
            const int requests = *rc::gen::inRange(1, 5);
            for (int i = 0; i < requests; ++i) {
                const Sample sample = drawSample();
                bytes += sample.bytes;
                refused = refused || !sample.seen;
                if (!refused)
                    expected.push_back(*sample.seen);
            }
            const Conversation result = converse(cut(bytes));
            RC_ASSERT(result.seen == expected);
            RC_ASSERT(countOf(result.answers, "HTTP/1.1 400") == (refused ? 1 : 0));
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTest);
