// The client against upstreams whose answers break off or are no valid HTTP.

#include "ramphinge/net/http_client.h"
#include "ramphinge/net/internal/raw_upstream.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/run_coroutine.h"

using namespace ramphinge;

namespace {

constexpr std::size_t uploadBytes = 8 * 1024 * 1024;
// Well below what the kernel buffers of an upload.
constexpr int smallReceiveBuffer = 4 * 1024;
constexpr Duration timeLimit = std::chrono::seconds(5);

HttpRequest upload()
{
    return { "POST", "/", {}, std::string(uploadBytes, 'x') };
}

// What the client makes of one answer.
Result<HttpResponse> ask(const std::string &answer, RawUpstream::End end,
                         const HttpRequest &request = {})
{
    IoContext io(1);
    RawUpstream upstream(io);
    upstream.setReceiveBuffer(smallReceiveBuffer);
    upstream.expect({ answer }, end);
    const auto client = HttpClient::create(io);
    Result<HttpResponse> result = Error(ErrorKind::Unavailable, "not asked");
    runCoroutine(io, [&](Yield yield) {
        HttpCallOptions options;
        options.headTimeout = timeLimit;
        options.readTimeout = timeLimit;
        result = client->exchange(upstream.endpoint(), request, options, yield);
    });
    return result;
}

} // namespace

class BrokenAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BrokenAnswerTest);
    CPPUNIT_TEST(answerWithoutLengthThatIsResetDuringTheUploadIsNotWhole);
    CPPUNIT_TEST(answerWithLengthThatIsResetDuringTheUploadIsNotWhole);
    CPPUNIT_TEST(wholeAnswerDuringTheUploadIsKept);
    CPPUNIT_TEST_SUITE_END();

    void answerWithoutLengthThatIsResetDuringTheUploadIsNotWhole()
    {
        for (const char *field : { "", "Connection: close\r\n" }) {
            for (const std::size_t part : { 1, 7, 64, 320, 5000 }) {
                for (const char *pause : { "", "\x1e" }) {
                    const std::string answer = std::string("HTTP/1.1 200 OK\r\n") + field + "\r\n"
                        + std::string(part, 'a') + pause;
                    const auto result = ask(answer, RawUpstream::End::Reset, upload());
                    CPPUNIT_ASSERT(!result.ok());
                    CPPUNIT_ASSERT(result.error().kind() == ErrorKind::Unknown);
                }
            }
        }
    }

    void answerWithLengthThatIsResetDuringTheUploadIsNotWhole()
    {
        for (const char *framing :
             { "Content-Length: 100\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n64\r\n" }) {
            const std::string answer = std::string("HTTP/1.1 200 OK\r\n") + framing + "part";
            for (const auto end : { RawUpstream::End::Reset, RawUpstream::End::HalfClose })
                CPPUNIT_ASSERT(!ask(answer, end, upload()).ok());
        }
    }

    void wholeAnswerDuringTheUploadIsKept()
    {
        const std::string head = "HTTP/1.1 413 Content Too Large\r\n";
        const std::string withLength = head + "Content-Length: 5\r\n\r\nwhole";
        const std::string inChunks =
            head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
        const std::string untilClose = head + "\r\nwhole";
        using End = RawUpstream::End;
        const std::vector<std::pair<std::string, End>> answers { { withLength, End::KeepReading },
                                                                 { withLength, End::HalfClose },
                                                                 { inChunks, End::KeepReading },
                                                                 { inChunks, End::HalfClose },
                                                                 { untilClose, End::HalfClose } };
        for (const auto &[answer, end] : answers) {
            const auto result = ask(answer, end, upload());
            CPPUNIT_ASSERT(result.ok());
            CPPUNIT_ASSERT_EQUAL(413, result.value().status);
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), result.value().body);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswerTest);
