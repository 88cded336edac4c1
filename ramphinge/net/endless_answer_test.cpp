// The client against upstreams that send bytes until the connection is closed.

#include "ramphinge/net/http_client.h"
#include "ramphinge/net/internal/endless_upstream.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/run_coroutine.h"

using namespace ramphinge;

namespace {

constexpr Duration timeout = std::chrono::milliseconds(200);
constexpr Duration endOfTest = std::chrono::seconds(3);
constexpr const char *chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// How long a complete exchange takes to fail; `endOfTest` if it doesn't.
Duration timeToFail(IoContext &io, const EndlessUpstream &upstream, HttpCallOptions options)
{
    const auto client = HttpClient::create(io);
    options.headTimeout = timeout;
    options.readTimeout = timeout;
    Duration taken = endOfTest;
    const MonotonicTime begun = BootClock::now();
    spawnCoroutine(io, [&](Yield yield) {
        const HttpRequest request { "GET", "/", {}, {} };
        CPPUNIT_ASSERT(!client->exchange(upstream.endpoint(), request, options, yield).ok());
        taken = BootClock::now() - begun;
    });
    runCoroutine(io, [&](Yield yield) {
        while (taken == endOfTest && BootClock::now() - begun < endOfTest)
            sleepFor(io, timeout / 10, yield);
    });
    return taken;
}

HttpCallOptions optionsOfOtherRequest()
{
    HttpCallOptions options;
    options.belongs = [](const HttpHeaders &) { return false; };
    return options;
}

} // namespace

class EndlessAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessAnswerTest);
    CPPUNIT_TEST(endlessHeadIsClosed);
    CPPUNIT_TEST(endlessInterimAnswersAreClosed);
    CPPUNIT_TEST(endlessAnswerToAnotherRequestIsNotReadOn);
    CPPUNIT_TEST(slowAnswerToAnotherRequestDoesNotOutlastTheHeadTimeout);
    CPPUNIT_TEST(endlessBodyIsNotReadOn);
    CPPUNIT_TEST(slowChunkExtensionDoesNotOutlastTheReadTimeout);
    CPPUNIT_TEST_SUITE_END();

    void endlessHeadIsClosed()
    {
        const std::vector<std::pair<std::string, std::string>> heads {
            { "HTTP/1.1 200 OK\r\n", "Field: value\r\n" },
            { "HTTP/1.1 200 OK\r\nField: ", std::string(512, 'x') }
        };
        for (const auto &[head, piece] : heads) {
            IoContext io(1);
            EndlessUpstream upstream(io, head, piece);
            CPPUNIT_ASSERT(timeToFail(io, upstream, {}) < 5 * timeout);
        }
    }

    void endlessInterimAnswersAreClosed()
    {
        IoContext io(1);
        EndlessUpstream upstream(io, "", "HTTP/1.1 103 Early Hints\r\n\r\n");
        CPPUNIT_ASSERT(timeToFail(io, upstream, {}) < 5 * timeout);
    }

    void endlessAnswerToAnotherRequestIsNotReadOn()
    {
        IoContext io(1);
        EndlessUpstream upstream(io, "HTTP/1.1 200 OK\r\n\r\n", std::string(64 * 1024, 'x'));
        CPPUNIT_ASSERT(timeToFail(io, upstream, optionsOfOtherRequest()) < 5 * timeout);
        // Beyond what is read, the kernel buffers a few megabytes.
        CPPUNIT_ASSERT(upstream.sentBytes < 16 * 1024 * 1024);
    }

    void slowAnswerToAnotherRequestDoesNotOutlastTheHeadTimeout()
    {
        IoContext io(1);
        EndlessUpstream upstream(io, "HTTP/1.1 200 OK\r\n\r\n", "x", timeout / 10);
        CPPUNIT_ASSERT(timeToFail(io, upstream, optionsOfOtherRequest()) < 5 * timeout);
    }

    void endlessBodyIsNotReadOn()
    {
        const std::string chunk = "10000\r\n" + std::string(64 * 1024, 'x') + "\r\n";
        const std::vector<std::pair<std::string, std::string>> answers {
            { "HTTP/1.1 200 OK\r\n\r\n", chunk },
            { "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", chunk },
            { chunkedHead, chunk }
        };
        for (const auto &[head, piece] : answers) {
            IoContext io(1);
            EndlessUpstream upstream(io, head, piece);
            CPPUNIT_ASSERT(timeToFail(io, upstream, {}) < endOfTest);
            // The largest answer, and what the kernel buffers.
            CPPUNIT_ASSERT(upstream.sentBytes < 32 * 1024 * 1024);
        }
    }

    void slowChunkExtensionDoesNotOutlastTheReadTimeout()
    {
        IoContext io(1);
        EndlessUpstream upstream(io, std::string(chunkedHead) + "1;", "x", timeout / 10);
        CPPUNIT_ASSERT(timeToFail(io, upstream, {}) < 5 * timeout);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessAnswerTest);
