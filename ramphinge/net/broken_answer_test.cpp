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

const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

std::string withBody(const std::string &statusLine, const std::string &body)
{
    return "HTTP/1.1 " + statusLine + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

// With a blank, a control byte, a separator or a byte that is no ASCII, or empty.
std::vector<std::string> invalidFieldNames()
{
    std::vector<std::string> names { "", "Content-Length ", "Transfer-Encoding ",
                                     "Content-Length\t" };
    for (const char byte : std::string(" \t\x01\x0b\x1f\x7f\x80\xff,;()/\"[]{}@?=<>\\"))
        names.push_back(std::string("Re") + byte + "quest");
    names.push_back(std::string("Re\0quest", 8));
    return names;
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

// Whether the client rejects the answer before its time limit passes.
bool isRejectedAtOnce(const std::string &answer, const HttpRequest &request = {})
{
    const MonotonicTime begun = BootClock::now();
    const auto result = ask(answer, RawUpstream::End::Keep, request);
    return !result.ok() && result.error().kind() == ErrorKind::Unknown
        && BootClock::now() - begun < timeLimit / 2;
}

} // namespace

class BrokenAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BrokenAnswerTest);
    CPPUNIT_TEST(answerWithoutLengthThatIsResetDuringTheUploadIsNotWhole);
    CPPUNIT_TEST(answerWithLengthThatIsResetDuringTheUploadIsNotWhole);
    CPPUNIT_TEST(wholeAnswerDuringTheUploadIsKept);
    CPPUNIT_TEST(bodyOfAnAnswerWithInvalidStatusIsNoAnswer);
    CPPUNIT_TEST(invalidStatusIsRejectedAtOnce);
    CPPUNIT_TEST(switchOfProtocolThatWasNotAskedForIsRejected);
    CPPUNIT_TEST(bodyOfAnInterimAnswerIsNoAnswer);
    CPPUNIT_TEST(interimAnswersAreSkipped);
    CPPUNIT_TEST(foldedLineOfAHeadIsRejectedAtOnce);
    CPPUNIT_TEST(invalidFieldNameIsRejectedAtOnce);
    CPPUNIT_TEST(invalidFieldNameInATrailerIsRejected);
    CPPUNIT_TEST(answerInAnUnknownTransferCodingIsRejectedAtOnce);
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
        // Close ends in a reset, too: the upstream has not read all of the upload.
        std::vector<std::pair<std::string, End>> answers { { untilClose, End::HalfClose } };
        for (const End end : { End::KeepReading, End::HalfClose, End::Close, End::Reset }) {
            answers.emplace_back(withLength, end);
            answers.emplace_back(inChunks, end);
        }
        for (const auto &[answer, end] : answers) {
            const auto result = ask(answer, end, upload());
            CPPUNIT_ASSERT(result.ok());
            CPPUNIT_ASSERT_EQUAL(413, result.value().status);
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), result.value().body);
        }
    }

    void bodyOfAnAnswerWithInvalidStatusIsNoAnswer()
    {
        for (const char *status : { "000 None", "001 None", "099 None" })
            CPPUNIT_ASSERT(isRejectedAtOnce(withBody(status, sound)));
    }

    void invalidStatusIsRejectedAtOnce()
    {
        for (const char *status : { "000", "099", "600", "999", "0", "00", "20", "2000", "0200",
                                    "+20", "-20", "20x", "abc", "" })
            CPPUNIT_ASSERT(isRejectedAtOnce(withBody(status + std::string(" Any"), "body")));
    }

    void switchOfProtocolThatWasNotAskedForIsRejected()
    {
        const std::string answer = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n";
        CPPUNIT_ASSERT(isRejectedAtOnce(answer + sound));
    }

    void bodyOfAnInterimAnswerIsNoAnswer()
    {
        CPPUNIT_ASSERT(isRejectedAtOnce(withBody("103 Early Hints", sound)));
        CPPUNIT_ASSERT(isRejectedAtOnce("HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n"
                                        "\r\n"
                                        + sound));
    }

    void interimAnswersAreSkipped()
    {
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n"
                                    "HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n";
        const auto result = ask(interim + sound, RawUpstream::End::Keep);
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(200, result.value().status);
        CPPUNIT_ASSERT_EQUAL(std::string("sound"), result.value().body);
    }

    void foldedLineOfAHeadIsRejectedAtOnce()
    {
        const std::vector<std::string> fields { "Seal: s\r\n", "Content-Length: 5\r\n" };
        for (const char *fold : { " more\r\n", "\tmore\r\n", " \r\n", "  Other: x\r\n" }) {
            for (std::size_t at = 0; at <= fields.size(); ++at) {
                std::string answer = "HTTP/1.1 200 OK\r\n";
                for (std::size_t i = 0; i < fields.size(); ++i)
                    answer += (i == at ? fold : "") + fields[i];
                answer += (at == fields.size() ? fold : "") + std::string("\r\nsound");
                CPPUNIT_ASSERT(isRejectedAtOnce(answer));
                std::string slow;
                for (const char byte : answer)
                    slow += std::string(1, byte) + pauseMark;
                CPPUNIT_ASSERT(isRejectedAtOnce(slow));
            }
        }
    }

    void invalidFieldNameIsRejectedAtOnce()
    {
        for (const std::string &name : invalidFieldNames()) {
            CPPUNIT_ASSERT(isRejectedAtOnce("HTTP/1.1 200 OK\r\n" + name
                                            + ": 5\r\nContent-Length: 5\r\n\r\nsound"));
            CPPUNIT_ASSERT(isRejectedAtOnce("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + name
                                            + ": 5\r\n\r\nsound"));
        }
    }

    void invalidFieldNameInATrailerIsRejected()
    {
        for (const std::string &name : invalidFieldNames())
            CPPUNIT_ASSERT(isRejectedAtOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            "5\r\nsound\r\n0\r\n"
                                            + name + ": x\r\n\r\n"));
    }

    void answerInAnUnknownTransferCodingIsRejectedAtOnce()
    {
        const std::string body = "\r\n5\r\nsound\r\n0\r\n\r\n";
        for (const char *coding : { "gzip", "identity", "xchunked", "chunked, gzip",
                                    "gzip, chunked", "chunked, chunked" })
            CPPUNIT_ASSERT(isRejectedAtOnce(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(coding) + "\r\n" + body));
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n";
        CPPUNIT_ASSERT(isRejectedAtOnce(chunked + "Transfer-Encoding: chunked\r\n" + body));
        CPPUNIT_ASSERT(ask(chunked + body, RawUpstream::End::Keep).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswerTest);
