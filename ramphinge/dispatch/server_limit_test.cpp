// Tests of servers that state the request rate that they accept from all daemons together.

#include <algorithm>
#include <memory>
#include <vector>

#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

// The guarantee: in any window, daemons that have known the limit for `reactionTime` send a limited
// server at most `overshootFactor` times what its rate allows plus `slackRequests`.
constexpr Duration window = std::chrono::seconds(4);
constexpr Duration reactionTime = std::chrono::milliseconds(500);
constexpr double overshootFactor = 1.5;
constexpr double slackRequests = 5;

constexpr Duration simulatedTime = std::chrono::seconds(15);
constexpr double requestsPerSecond = 40;

// Simulates daemons that serve requests for one service whose preferred server is limited.
class LimitedServerSimulation
{
public:
    LimitedServerSimulation(int daemons, RequestRate rate, std::string path)
        : m_rate(rate), m_path(std::move(path)), m_limitKnownSince(daemons)
    {
        for (int number = 0; number < daemons; ++number)
            m_daemons.push_back(std::make_unique<DispatchHarness>());
        std::vector<RegisteredDaemon> registeredDaemons;
        for (int number = 0; number < daemons; ++number)
            registeredDaemons.push_back({ DaemonId("d" + std::to_string(number)), ZoneId("z") });
        for (int number = 0; number < daemons; ++number) {
            DispatchHarness &harness = *m_daemons[number];
            harness.state.gate.setDaemons(registeredDaemons[number], registeredDaemons,
                                          harness.clock.now());
        }
    }

    void simulate()
    {
        Random random(7);
        for (Duration at {}; at < simulatedTime;) {
            const Duration interval = random.exponential(std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(1 / requestsPerSecond)));
            at += interval;
            for (const auto &daemon : m_daemons)
                daemon->clock.advance(interval);
            serveOnDaemon(random.below(m_daemons.size()));
        }
    }

    // The largest number of counted arrivals in any window.
    int maxArrivalsInWindow() const
    {
        std::size_t maxArrivals = 0;
        for (std::size_t first = 0, last = 0; last < m_arrivals.size(); ++last) {
            while (m_arrivals[last] - m_arrivals[first] > window)
                ++first;
            maxArrivals = std::max(maxArrivals, last - first + 1);
        }
        return static_cast<int>(maxArrivals);
    }

    double allowedInWindow() const
    {
        return overshootFactor * m_rate.perSecond() * toMilliseconds(window) / 1000 + slackRequests;
    }

    int arrivals() const { return static_cast<int>(m_arrivals.size()); }
    int served() const { return m_served; }
    int requested() const { return m_requested; }

private:
    bool isStream() const { return m_path.rfind("/chat/", 0) == 0; }

    ScriptedAnswer successAnswer() const
    {
        return answer(200, { isStream() ? event(1) : "x" }, authenticHeaders());
    }

    void serveOnDaemon(std::size_t number)
    {
        DispatchHarness &harness = *m_daemons[number];
        ScriptedAnswer limited = successAnswer();
        limited.headers.add("limit", std::to_string(m_rate.perSecond()));
        limited.before = [this, number] { recordArrival(number); };
        if (!harness.client.expectsCall(firstServer))
            harness.client.expect(firstServer, limited);
        if (!harness.client.expectsCall(secondServer))
            harness.client.expect(secondServer, successAnswer());
        ++m_requested;
        m_served += harness.serve(m_path)->response.status == 200 ? 1 : 0;
    }

    void recordArrival(std::size_t number)
    {
        const MonotonicTime now = m_daemons[number]->clock.now();
        std::optional<MonotonicTime> &limitKnownSince = m_limitKnownSince[number];
        if (limitKnownSince && now - *limitKnownSince >= reactionTime)
            m_arrivals.push_back(now);
        if (!limitKnownSince)
            limitKnownSince = now;
    }

    RequestRate m_rate;
    std::string m_path;
    std::vector<std::unique_ptr<DispatchHarness>> m_daemons;
    std::vector<std::optional<MonotonicTime>> m_limitKnownSince; // First arrival, by daemon.
    std::vector<MonotonicTime> m_arrivals; // From daemons that know the limit for `reactionTime`.
    int m_requested = 0;
    int m_served = 0;
};

class ServerLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerLimitTest);
    CPPUNIT_TEST(limitedServiceGetsItsRateFromAllDaemonsTogether);
    CPPUNIT_TEST(limitedHeadGetsItsRateFromAllDaemonsTogether);
    CPPUNIT_TEST(callerIsRefusedAtOnceWhenNoServerAcceptsMore);
    CPPUNIT_TEST(retriesOfRefusedCallersAreSpread);
    CPPUNIT_TEST(retryDoesNotGoToALimitedServer);
    CPPUNIT_TEST(limitOfAnotherServerAtTheAddressIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitedServiceGetsItsRateFromAllDaemonsTogether() { expectLimitRespected("/safe/1"); }

    void limitedHeadGetsItsRateFromAllDaemonsTogether() { expectLimitRespected("/chat/1"); }

    void callerIsRefusedAtOnceWhenNoServerAcceptsMore()
    {
        DispatchHarness harness;
        limitAllServers(harness);
        const auto caller = harness.serve("/safe/1");
        CPPUNIT_ASSERT_EQUAL(429, caller->response.status);
        CPPUNIT_ASSERT(caller->response.body.find("rate_limited") != std::string::npos);
        CPPUNIT_ASSERT(caller->response.headers.find("Retry-After").has_value());
        CPPUNIT_ASSERT(harness.client.sent().empty());
        harness.client.expect(firstServer, answer(200, { event(1) }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/chat/1")->response.status);
    }

    void retriesOfRefusedCallersAreSpread()
    {
        DispatchHarness harness;
        limitAllServers(harness);
        double last = 0;
        for (int caller = 0; caller < 4; ++caller) {
            const auto refused = harness.serve("/safe/1");
            const std::string after(*refused->response.headers.find("Retry-After"));
            CPPUNIT_ASSERT(std::stod(after) > last);
            last = std::stod(after);
        }
    }

    void retryDoesNotGoToALimitedServer()
    {
        DispatchHarness harness;
        harness.state.gate.limits().noteAnswer({ HostId("a2"), ZoneId("z") }, RequestRate(0),
                                               harness.clock.now(), harness.clock.now());
        harness.client.expect(firstServer, answer(500, {}));
        harness.client.expect(secondServer, answer(200, { "x" }));
        CPPUNIT_ASSERT(harness.serve("/safe/1")->response.status != 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, harness.client.sent().size());
    }

    void limitOfAnotherServerAtTheAddressIsIgnored()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer,
                              answer(421, {}, { { "not-run", "1" }, { "limit", "0" } }));
        harness.client.expect(secondServer, answer(200, { "x" }));
        harness.serve("/safe/1");
        CPPUNIT_ASSERT(harness.state.gate.limits().empty());
    }

private:
    static void limitAllServers(DispatchHarness &harness)
    {
        for (const char *host : { "a1", "a2" })
            harness.state.gate.limits().noteAnswer({ HostId(host), ZoneId("z") }, RequestRate(1),
                                                   harness.clock.now(), harness.clock.now());
    }

    static void expectLimitRespected(const std::string &path)
    {
        for (const int daemons : { 1, 6, 71 }) {
            for (const double rate : { 0.2, 1.0, 1.6 }) {
                LimitedServerSimulation simulation(daemons, RequestRate(rate), path);
                simulation.simulate();
                const std::string label = std::to_string(daemons) + " daemons, "
                    + std::to_string(rate) + " a second: "
                    + std::to_string(simulation.maxArrivalsInWindow()) + " in a window";
                CPPUNIT_ASSERT_MESSAGE(
                    label, simulation.maxArrivalsInWindow() <= simulation.allowedInWindow());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(label, simulation.requested(), simulation.served());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitTest);

} // namespace
