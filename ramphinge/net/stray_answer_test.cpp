// The client against upstreams that send answers which nobody asked for: before, between and after
// a request's own, in every framing, in packets that end anywhere.

#include <memory>
#include <sstream>

#include <rapidcheck.h>

#include "ramphinge/net/http_client.h"
#include "ramphinge/net/internal/raw_upstream.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/run_coroutine.h"

using namespace ramphinge;

namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

enum class Framing { Length, Empty, Chunks, Trailer, NoContent, NotModified, UntilClose };
constexpr int framings = 6; // Without the one that ends its connection.

// How an upstream answers one request.
struct Reply
{
    std::string bytes;
    bool closes = false; // The connection, after the bytes.
    bool resets = false;
};

// An upstream that answers the request for "/N" with the N-th reply, on whatever connection it
// comes.
class ScriptedUpstream
{
public:
    ScriptedUpstream(IoContext &io, std::vector<Reply> replies)
        : m_io(io), m_replies(std::move(replies)),
          m_acceptor(io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        spawnCoroutine(m_io, [this](Yield yield) {
            while (true) {
                auto socket = std::make_shared<Tcp::socket>(m_io);
                m_acceptor.async_accept(*socket, yield);
                spawnCoroutine(m_io, [this, socket](Yield inner) { serve(*socket, inner); });
            }
        });
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

private:
    void serve(Tcp::socket &socket, Yield yield)
    {
        socket.set_option(Tcp::no_delay(true));
        std::string received;
        while (true) {
            ErrorCode ec;
            const std::size_t head = boost::asio::async_read_until(
                socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", yield[ec]);
            if (ec)
                return;
            const std::size_t slash = received.find('/');
            const Reply &reply = m_replies.at(std::stoul(received.substr(slash + 1)));
            received.erase(0, head);
            sendInParts(m_io, socket, reply.bytes, yield);
            if (reply.resets)
                socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
            if (reply.closes || reply.resets) {
                socket.close(ec);
                return;
            }
        }
    }

    IoContext &m_io;
    std::vector<Reply> m_replies;
    Tcp::acceptor m_acceptor;
};

std::string answer(const std::string &id, Framing framing, const std::string &body)
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: " + id + "\r\n";
    std::ostringstream chunk;
    chunk << std::hex << body.size() << "\r\n" << body << "\r\n";
    switch (framing) {
    case Framing::Length:
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    case Framing::Empty:
        return head + "Content-Length: 0\r\n\r\n";
    case Framing::Chunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk.str() + "0\r\n\r\n";
    case Framing::Trailer:
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk.str()
            + "0\r\nAfter: all\r\nId: other\r\n\r\n";
    case Framing::NoContent:
        return "HTTP/1.1 204 No Content\r\nId: " + id + "\r\n\r\n";
    case Framing::NotModified:
        return "HTTP/1.1 304 Not Modified\r\nId: " + id + "\r\n\r\n";
    case Framing::UntilClose:
        break;
    }
    return head + "\r\n" + body;
}

bool hasBody(Framing framing)
{
    return framing == Framing::Length || framing == Framing::Chunks || framing == Framing::Trailer
        || framing == Framing::UntilClose;
}

std::string bodyOf(std::size_t request)
{
    return "the answer to " + std::to_string(request) + "\r\n\r\n0\r\n\r\n";
}

Framing drawFraming()
{
    return static_cast<Framing>(*rc::gen::inRange(0, framings));
}

std::string drawStray()
{
    const int kind = *rc::gen::inRange(0, framings + 2);
    if (kind == framings)
        return "HTTP/1.1 100 Continue\r\n\r\n";
    if (kind == framings + 1)
        return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    return answer("stray", static_cast<Framing>(kind), "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n");
}

// The bytes with pauses between some of them, or between all.
std::string drawPauses(const std::string &bytes)
{
    const bool everywhere = *rc::gen::inRange(0, 20) == 0;
    const int sparseness = *rc::gen::element(3, 15, 60);
    std::string result;
    for (const char byte : bytes) {
        if (everywhere || *rc::gen::inRange(0, sparseness) == 0)
            result += pauseMark;
        result += byte;
    }
    return result;
}

HttpCallOptions belongingTo(std::size_t request)
{
    HttpCallOptions options;
    options.headTimeout = std::chrono::seconds(5);
    options.readTimeout = std::chrono::seconds(5);
    options.belongs = [id = std::to_string(request)](const HttpHeaders &headers) {
        return headers.find("Id") == id;
    };
    return options;
}

// What the client makes of the replies to requests that are sent one after the other.
std::vector<Result<HttpResponse>> ask(const std::vector<Reply> &replies)
{
    std::vector<Result<HttpResponse>> results;
    IoContext io(1);
    ScriptedUpstream upstream(io, replies);
    const auto client = HttpClient::create(io);
    runCoroutine(io, [&](Yield yield) {
        for (std::size_t i = 0; i < replies.size(); ++i) {
            const HttpRequest request { "GET", "/" + std::to_string(i), {}, {} };
            results.push_back(
                client->exchange(upstream.endpoint(), request, belongingTo(i), yield));
        }
    });
    return results;
}

} // namespace

class StrayAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StrayAnswerTest);
    CPPUNIT_TEST(callGetsItsOwnAnswerOrAnError);
    CPPUNIT_TEST(strayAnswerCutAtEveryByteIsSkipped);
    CPPUNIT_TEST(answerThatEndsAtAnyByteIsNoOther);
    CPPUNIT_TEST_SUITE_END();

public:
    // Up to three answers to others are skipped; then, and after what follows an answer, the next
    // request is served too.
    void callGetsItsOwnAnswerOrAnError()
    {
        const bool held = rc::check("a call gets its own answer's bytes, or an error", [] {
            std::vector<Reply> replies;
            std::vector<std::string> expected;
            std::vector<bool> mustSucceed;
            bool soundBefore = true; // Nothing that the last reply sent is still to come.
            const int requests = *rc::gen::inRange(1, 5);
            for (int i = 0; i < requests; ++i) {
                const int before = *rc::gen::inRange(0, 5);
                const int after = *rc::gen::inRange(0, 2);
                const bool untilClose = *rc::gen::inRange(0, 8) == 0;
                const Framing framing = untilClose ? Framing::UntilClose : drawFraming();
                const auto number = static_cast<std::size_t>(i);
                std::string bytes;
                for (int stray = 0; stray < before; ++stray)
                    bytes += drawStray();
                bytes += answer(std::to_string(number), framing, bodyOf(number));
                for (int stray = 0; stray < after && !untilClose; ++stray)
                    bytes += drawStray();
                replies.push_back({ drawPauses(bytes), untilClose, false });
                expected.push_back(hasBody(framing) ? bodyOf(number) : "");
                mustSucceed.push_back(soundBefore && before <= 3);
                soundBefore = after == 0 && before <= 3;
            }
            const std::vector<Result<HttpResponse>> results = ask(replies);
            for (std::size_t i = 0; i < results.size(); ++i) {
                RC_ASSERT(results[i].ok() || !mustSucceed[i]);
                if (results[i].ok())
                    RC_ASSERT(results[i].value().body == expected[i]);
            }
        });
        CPPUNIT_ASSERT(held);
    }

    void strayAnswerCutAtEveryByteIsSkipped()
    {
        for (int framing = 0; framing < framings; ++framing) {
            const std::string stray = answer("stray", static_cast<Framing>(framing), "late");
            const std::string own = answer("0", Framing::Chunks, "mine");
            for (std::size_t at = 0; at <= stray.size() + own.size(); ++at) {
                const std::string bytes = (stray + own).insert(at, 1, pauseMark);
                const std::vector<Result<HttpResponse>> results = ask({ { bytes } });
                CPPUNIT_ASSERT(results[0].ok());
                CPPUNIT_ASSERT_EQUAL(std::string("mine"), results[0].value().body);
            }
        }
    }

    void answerThatEndsAtAnyByteIsNoOther()
    {
        for (int framing = 0; framing < framings; ++framing) {
            const std::string whole = answer("stray", Framing::Chunks, "late")
                + answer("0", static_cast<Framing>(framing), "mine");
            for (std::size_t end = 0; end < whole.size(); ++end) {
                for (const bool resets : { false, true }) {
                    const std::vector<Result<HttpResponse>> results =
                        ask({ { whole.substr(0, end), true, resets } });
                    CPPUNIT_ASSERT(!results[0].ok());
                    CPPUNIT_ASSERT(results[0].error().kind() == ErrorKind::Unknown);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StrayAnswerTest);
