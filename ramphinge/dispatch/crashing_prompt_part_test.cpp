// Tests of requests that crash every server that runs them for a part of their prompts, which they
// share with each other while their bodies differ.

#include <set>

#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

constexpr int serverCount = 80;
constexpr int soundRequestsPerHarmful = 6;
// The service's guarantee: sends of one part after it has crashed `freeCrashes` servers and all
// daemons had the time to learn of it.
constexpr int freeCrashes = 5;
constexpr int maxLateSends = 3;
constexpr Duration learningTime = std::chrono::seconds(3);
constexpr Duration requestInterval = std::chrono::milliseconds(100);

// Servers that crash under requests with a harmful part, and answer all others.
class CrashingClient : public ScriptedClient
{
public:
    std::set<std::string> harmfulParts;
    int crashes = 0;

    std::unique_ptr<HttpCall> call(const Endpoint &endpoint, const HttpRequest &request,
                                   HttpCallOptions options) override
    {
        if (m_crashed.count(endpoint) == 0 && isHarmful(request)) {
            m_crashed.insert(endpoint);
            ++crashes;
            expect(endpoint, truncatedAnswer({ event(1) }));
        } else if (m_crashed.count(endpoint) == 0) {
            expect(endpoint, answer(200, { event(1), event(2) }));
        }
        return ScriptedClient::call(endpoint, request, std::move(options));
    }

    bool isHarmful(const HttpRequest &request) const
    {
        const auto &fields = request.headers.fields();
        return std::any_of(fields.begin(), fields.end(), [this](const HttpHeader &field) {
            return field.name == "part" && harmfulParts.count(field.value) > 0;
        });
    }

private:
    std::set<Endpoint> m_crashed;
};

class CrashingPromptPartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashingPromptPartTest);
    CPPUNIT_TEST(partOfPromptIsSentNoFurther);
    CPPUNIT_TEST(twoPartsAtOnceAreSentNoFurther);
    CPPUNIT_TEST(partThatWasSoundBeforeIsSentNoFurther);
    CPPUNIT_TEST(firstPartIsSentNoFurther);
    CPPUNIT_TEST(partOfAnotherModelIsServed);
    CPPUNIT_TEST_SUITE_END();

public:
    void partOfPromptIsSentNoFurther()
    {
        m_client.harmfulParts = { "harmful" };
        play(60, { "harmful" });
        assertSendsEnd();
        assertSoundOnesAreServed();
    }

    void twoPartsAtOnceAreSentNoFurther()
    {
        m_client.harmfulParts = { "harmful", "also-harmful" };
        play(100, { "harmful", "also-harmful" });
        CPPUNIT_ASSERT(m_client.crashes <= 2 * (freeCrashes + maxLateSends));
        assertSoundOnesAreServed();
    }

    void partThatWasSoundBeforeIsSentNoFurther()
    {
        play(100, { "harmful" });
        CPPUNIT_ASSERT_EQUAL(0, m_client.crashes);
        m_client.harmfulParts = { "harmful" };
        play(100, { "harmful" });
        assertSendsEnd();
        assertSoundOnesAreServed();
    }

    void firstPartIsSentNoFurther()
    {
        play(20, { "other" });
        m_client.harmfulParts = { "first" };
        play(60, { "other" });
        assertSendsEnd();
    }

    void partOfAnotherModelIsServed()
    {
        m_client.harmfulParts = { "harmful" };
        play(60, { "harmful" });
        m_client.harmfulParts.clear();
        CPPUNIT_ASSERT_EQUAL(200, send("/safe/1", { "first", "harmful", "own" }));
    }

    void setUp() override
    {
        for (int number = 3; number <= serverCount; ++number) {
            const Endpoint endpoint { "10.0.1." + std::to_string(number), 80 };
            m_harness.addReplica("c" + std::to_string(number), endpoint, number);
        }
        m_harness.rebuild();
    }

private:
    // Sends requests with one of the parts in turn, each beside sound ones that share its first
    // part. No two have the same body or last part.
    void play(int count, const std::vector<std::string> &parts)
    {
        for (int number = 0; number < count; ++number) {
            const std::string &part = parts[static_cast<std::size_t>(number) % parts.size()];
            send("/chat/1", { "first", part, own() });
            for (int sound = 0; sound < soundRequestsPerHarmful; ++sound) {
                const std::string subject = "subject" + std::to_string(sound % 4);
                m_soundCount += 1;
                m_soundServed += send("/chat/1", { "first", subject, own() }) == 200 ? 1 : 0;
            }
            m_harness.clock.advance(requestInterval);
            m_harness.state.quarantine.advance(m_harness.clock.now());
        }
    }

    int send(const std::string &path, const std::vector<std::string> &parts)
    {
        HttpHeaders headers;
        for (const std::string &part : parts)
            headers.add("part", part);
        const auto caller = std::make_shared<RecordedExchange>(
            HttpRequest { "POST", path, headers, "body of " + parts.back() });
        const std::size_t sentBefore = m_client.sent().size();
        const bool isLate =
            m_fifthCrashAt && m_harness.clock.now() > *m_fifthCrashAt + learningTime;
        IoContext io(1);
        UpstreamClient upstreams = m_harness.upstreamsOver(m_client);
        runCoroutine(io, [&](Yield yield) {
            Dispatcher dispatcher(io, m_harness.clock, m_harness.dispatchOptions, m_harness.codec,
                                  upstreams, m_harness.probe, m_harness.trials, m_harness.state,
                                  m_harness.log, m_harness.metrics);
            dispatcher.handle(*caller, yield);
        });
        if (isLate && m_client.isHarmful(caller->request()))
            m_lateSends += static_cast<int>(m_client.sent().size() - sentBefore);
        if (!m_fifthCrashAt && m_client.crashes >= freeCrashes)
            m_fifthCrashAt = m_harness.clock.now();
        return caller->response.status;
    }

    std::string own() { return "own" + std::to_string(++m_lastOwn); }

    void assertSendsEnd() const { CPPUNIT_ASSERT(m_lateSends <= maxLateSends); }

    void assertSoundOnesAreServed() const
    {
        CPPUNIT_ASSERT(m_soundServed * 10 >= m_soundCount * 9);
    }

    DispatchHarness m_harness;
    CrashingClient m_client;
    std::optional<MonotonicTime> m_fifthCrashAt;
    int m_lateSends = 0; // Of harmful requests, after the fifth crash and `learningTime`.
    int m_soundCount = 0;
    int m_soundServed = 0;
    int m_lastOwn = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPromptPartTest);

} // namespace
