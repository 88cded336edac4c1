// Tests of the shared retry budget when daemons restart, judged over all daemons in sliding
// windows.

#include <deque>

#include "ramphinge/base/random.h"
#include "ramphinge/limits/shared_retry_budget.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

constexpr Duration step = std::chrono::milliseconds(5);
constexpr int retriesWanted = 2; // Of each request.

struct Scenario
{
    int daemons = 7;
    SharedRetryBudgetOptions options { 0.2, 132, std::chrono::seconds(10) };
    double requestsPerSecond = 30; // Of each daemon.
    Duration calm = std::chrono::seconds(12); // Before every request fails.
    Duration failing = std::chrono::seconds(12);
    std::vector<Duration> restarts; // After the begin of the failures.
    int restarted = 7; // Daemons at each of them.
};

// Retries and requests of one service, over all daemons.
class Ledger
{
public:
    void addRequest(MonotonicTime at) { m_requests.push_back(at); }
    void addRetry(MonotonicTime at) { m_retries.push_back(at); }

    // The highest number of retries beyond the allowed one in any window.
    double maxExcess(const SharedRetryBudgetOptions &options) const
    {
        double excess = -options.slack;
        for (const MonotonicTime start : m_retries) {
            const double allowed = options.ratio
                    * std::max(requestsFrom(start, options.window),
                               requestsFrom(start - options.window, options.window))
                + options.slack;
            excess = std::max(excess, count(m_retries, start, options.window) - allowed);
        }
        return excess;
    }

    std::size_t retries() const { return m_retries.size(); }

private:
    double requestsFrom(MonotonicTime start, Duration window) const
    {
        return count(m_requests, start, window);
    }

    static double count(const std::deque<MonotonicTime> &times, MonotonicTime start,
                        Duration window)
    {
        return static_cast<double>(std::upper_bound(times.begin(), times.end(), start + window)
                                   - std::lower_bound(times.begin(), times.end(), start));
    }

    std::deque<MonotonicTime> m_requests; // Ascending.
    std::deque<MonotonicTime> m_retries;
};

SharedRetryBudget startedBudget(const Scenario &scenario, MonotonicTime now)
{
    SharedRetryBudget budget(scenario.options, now);
    budget.setDaemons(scenario.daemons);
    return budget;
}

Ledger play(const Scenario &scenario, std::uint64_t seed)
{
    Random random(seed);
    ManualClock clock;
    clock.advance(std::chrono::seconds(100));
    std::vector<SharedRetryBudget> budgets(scenario.daemons, startedBudget(scenario, clock.now()));
    Ledger ledger;
    const MonotonicTime failsFrom = clock.now() + scenario.calm;
    auto restart = scenario.restarts.begin();
    for (; clock.now() < failsFrom + scenario.failing; clock.advance(step)) {
        if (restart != scenario.restarts.end() && clock.now() >= failsFrom + *restart) {
            for (int daemon = 0; daemon < scenario.restarted; ++daemon)
                budgets[daemon] = startedBudget(scenario, clock.now());
            ++restart;
        }
        for (SharedRetryBudget &budget : budgets) {
            if (random.fraction() >= scenario.requestsPerSecond * toMilliseconds(step) / 1000)
                continue;
            budget.onRequest(clock.now());
            ledger.addRequest(clock.now());
            for (int retry = 0; clock.now() >= failsFrom && retry < retriesWanted; ++retry) {
                if (budget.take(clock.now()))
                    ledger.addRetry(clock.now());
            }
        }
    }
    return ledger;
}

} // namespace

class RetryBudgetRestartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryBudgetRestartTest);
    CPPUNIT_TEST(retriesStayWithinBudgetWhenAllDaemonsRestart);
    CPPUNIT_TEST(retriesStayWithinBudgetWhenHalfOfTheDaemonsRestartTwice);
    CPPUNIT_TEST(retriesStayWithinBudgetOverManyShortLives);
    CPPUNIT_TEST_SUITE_END();

public:
    void retriesStayWithinBudgetWhenAllDaemonsRestart()
    {
        for (const int second : { 1, 2, 3, 5, 8 }) {
            Scenario scenario;
            scenario.restarts = { std::chrono::seconds(second) };
            assertWithinBudget(scenario);
        }
    }

    void retriesStayWithinBudgetWhenHalfOfTheDaemonsRestartTwice()
    {
        Scenario scenario;
        scenario.restarted = 4;
        scenario.restarts = { std::chrono::seconds(1), std::chrono::seconds(5) };
        assertWithinBudget(scenario);
    }

    void retriesStayWithinBudgetOverManyShortLives()
    {
        Scenario scenario;
        for (int life = 1; life < 12; ++life)
            scenario.restarts.push_back(std::chrono::seconds(life));
        assertWithinBudget(scenario);
    }

private:
    static void assertWithinBudget(const Scenario &scenario)
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            const Ledger ledger = play(scenario, seed);
            CPPUNIT_ASSERT(ledger.retries() > 0);
            CPPUNIT_ASSERT(ledger.maxExcess(scenario.options) <= 0);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RetryBudgetRestartTest, "retry_budget_restarts");
