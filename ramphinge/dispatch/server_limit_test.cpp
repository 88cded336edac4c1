// Servers that state the rate that they accept from all daemons together.

#include <algorithm>
#include <memory>
#include <vector>

#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

// The promise: in any window a limited server gets no more than `overshoot` x what its rate allows
// and `slack`, from daemons that have heard of the limit for `notice`.
constexpr Duration window = std::chrono::seconds(4);
constexpr Duration notice = std::chrono::milliseconds(500);
constexpr double overshoot = 1.5;
constexpr double slack = 5;

constexpr Duration playedTime = std::chrono::seconds(15);
constexpr double requestsPerSecond = 40;

// Some daemons with requests for one service, of which the preferred server is limited.
class LimitedServer
{
public:
    LimitedServer(int daemons, RequestRate rate, std::string path)
        : m_rate(rate), m_path(std::move(path)), m_toldAt(daemons)
    {
        for (int number = 0; number < daemons; ++number)
            m_daemons.push_back(std::make_unique<DispatchHarness>());
        std::vector<LimitSharer> sharers;
        for (int number = 0; number < daemons; ++number)
            sharers.push_back({ DaemonId("d" + std::to_string(number)), ZoneId("z") });
        for (int number = 0; number < daemons; ++number) {
            DispatchHarness &harness = *m_daemons[number];
            harness.state.gate.setDaemons(sharers[number], sharers, harness.clock.now());
        }
    }

    void play()
    {
        Random random(7);
        for (Duration at {}; at < playedTime;) {
            const Duration pause = random.exponential(std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(1 / requestsPerSecond)));
            at += pause;
            for (const auto &daemon : m_daemons)
                daemon->clock.advance(pause);
            serveAt(random.below(m_daemons.size()));
        }
    }

    // The most that arrived in a window, of what counts.
    int mostInWindow() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < m_arrivals.size(); ++last) {
            while (m_arrivals[last] - m_arrivals[first] > window)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return static_cast<int>(most);
    }

    double allowed() const
    {
        return overshoot * m_rate.perSecond() * toMilliseconds(window) / 1000 + slack;
    }

    int arrivals() const { return static_cast<int>(m_arrivals.size()); }
    int served() const { return m_served; }
    int asked() const { return m_asked; }

private:
    bool isStream() const { return m_path.rfind("/chat/", 0) == 0; }

    ScriptedAnswer answerOf() const
    {
        return answer(200, { isStream() ? event(1) : "x" }, authenticHeaders());
    }

    void serveAt(std::size_t number)
    {
        DispatchHarness &harness = *m_daemons[number];
        ScriptedAnswer limited = answerOf();
        limited.headers.add("limit", std::to_string(m_rate.perSecond()));
        limited.before = [this, number] { noteArrival(number); };
        if (!harness.client.expectsCall(firstServer))
            harness.client.expect(firstServer, limited);
        if (!harness.client.expectsCall(secondServer))
            harness.client.expect(secondServer, answerOf());
        ++m_asked;
        m_served += harness.serve(m_path)->response.status == 200 ? 1 : 0;
    }

    void noteArrival(std::size_t number)
    {
        const MonotonicTime now = m_daemons[number]->clock.now();
        std::optional<MonotonicTime> &toldAt = m_toldAt[number];
        if (toldAt && now - *toldAt >= notice)
            m_arrivals.push_back(now);
        if (!toldAt)
            toldAt = now;
    }

    RequestRate m_rate;
    std::string m_path;
    std::vector<std::unique_ptr<DispatchHarness>> m_daemons;
    std::vector<std::optional<MonotonicTime>> m_toldAt; // By daemon.
    std::vector<MonotonicTime> m_arrivals; // From daemons that have been told for `notice`.
    int m_asked = 0;
    int m_served = 0;
};

class ServerLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerLimitTest);
    CPPUNIT_TEST(limitedServiceGetsItsRateFromAllDaemonsTogether);
    CPPUNIT_TEST(limitedHeadGetsItsRateFromAllDaemonsTogether);
    CPPUNIT_TEST(callerIsRefusedAtOnceWhenNoServerAcceptsMore);
    CPPUNIT_TEST(returnsOfRefusedCallersAreSpread);
    CPPUNIT_TEST(repeatDoesNotGoToALimitedServer);
    CPPUNIT_TEST(limitOfAnotherServerAtTheAddressCountsForNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitedServiceGetsItsRateFromAllDaemonsTogether() { expectLimitKept("/safe/1"); }

    void limitedHeadGetsItsRateFromAllDaemonsTogether() { expectLimitKept("/chat/1"); }

    void callerIsRefusedAtOnceWhenNoServerAcceptsMore()
    {
        DispatchHarness harness;
        limitAll(harness);
        const auto caller = harness.serve("/safe/1");
        CPPUNIT_ASSERT_EQUAL(429, caller->response.status);
        CPPUNIT_ASSERT(caller->response.body.find("rate_limited") != std::string::npos);
        CPPUNIT_ASSERT(caller->response.headers.find("Retry-After").has_value());
        CPPUNIT_ASSERT(harness.client.sent().empty());
        harness.client.expect(firstServer, answer(200, { event(1) }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/chat/1")->response.status);
    }

    void returnsOfRefusedCallersAreSpread()
    {
        DispatchHarness harness;
        limitAll(harness);
        double last = 0;
        for (int caller = 0; caller < 4; ++caller) {
            const auto refused = harness.serve("/safe/1");
            const std::string after(*refused->response.headers.find("Retry-After"));
            CPPUNIT_ASSERT(std::stod(after) > last);
            last = std::stod(after);
        }
    }

    void repeatDoesNotGoToALimitedServer()
    {
        DispatchHarness harness;
        harness.state.gate.limits().noteAnswer({ HostId("a2"), ZoneId("z") }, RequestRate(0),
                                               harness.clock.now(), harness.clock.now());
        harness.client.expect(firstServer, answer(500, {}));
        harness.client.expect(secondServer, answer(200, { "x" }));
        CPPUNIT_ASSERT(harness.serve("/safe/1")->response.status != 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, harness.client.sent().size());
    }

    void limitOfAnotherServerAtTheAddressCountsForNothing()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer,
                              answer(421, {}, { { "not-run", "1" }, { "limit", "0" } }));
        harness.client.expect(secondServer, answer(200, { "x" }));
        harness.serve("/safe/1");
        CPPUNIT_ASSERT(harness.state.gate.limits().empty());
    }

private:
    static void limitAll(DispatchHarness &harness)
    {
        for (const char *host : { "a1", "a2" })
            harness.state.gate.limits().noteAnswer({ HostId(host), ZoneId("z") }, RequestRate(1),
                                                   harness.clock.now(), harness.clock.now());
    }

    static void expectLimitKept(const std::string &path)
    {
        for (const int daemons : { 1, 6, 71 }) {
            for (const double rate : { 0.2, 1.0, 1.6 }) {
                LimitedServer played(daemons, RequestRate(rate), path);
                played.play();
                const std::string what = std::to_string(daemons) + " daemons, "
                    + std::to_string(rate) + " a second: " + std::to_string(played.mostInWindow())
                    + " in a window";
                CPPUNIT_ASSERT_MESSAGE(what, played.mostInWindow() <= played.allowed());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(what, played.asked(), played.served());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitTest);

} // namespace
