// Tests of the limit of requests in progress, alone and in a simulated process with a processor
// quota.

#include <deque>

#include "ramphinge/limits/concurrency_limit.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

constexpr Duration measured = std::chrono::milliseconds(20);
constexpr Duration late = std::chrono::milliseconds(90);

// A limit after its warm-up, with measurements that are passed by hand.
struct Harness
{
    Harness() { run(std::chrono::seconds(60), Duration::zero(), 10); }

    // Measures the same for so long.
    void run(Duration span, Duration delay, int inProgress)
    {
        for (Duration passed {}; passed < span; passed += measured + delay)
            step(delay, inProgress);
    }

    ConcurrencyLimitChange step(Duration delay, int inProgress)
    {
        clock.advance(measured + delay);
        return limit.noteDelay(delay, inProgress, clock.now());
    }

    ManualClock clock;
    ConcurrencyLimit limit { {}, clock.now() };
};

// One event loop with a processor quota for each tenth of a second, and a queue of requests: those
// that have waited too long have lost their callers, which costs as much to find out.
class SimulatedLoop
{
public:
    // Time to serve a request, and processor time of each tenth of a second.
    SimulatedLoop(Duration cost, Duration quota) : m_cost(cost), m_quota(quota) { }

    // Plays the arrival of requests at regular times.
    void run(Duration span, double requestsPerSecond)
    {
        const MonotonicTime end = m_clock.now() + span;
        double due = 0;
        for (; m_clock.now() < end; m_clock.advance(tick)) {
            if (++m_ticks % ticksOfPeriod == 0)
                m_quotaLeft = std::min(m_quotaLeft, Duration::zero()) + m_quota;
            due += requestsPerSecond * toMilliseconds(tick) / 1000;
            for (; due >= 1; --due)
                arrive();
            work();
        }
    }

    int served = 0; // In time.
    int late = 0;
    int closed = 0; // Unread.
    const ConcurrencyLimit &limit() const { return m_limit; }

private:
    static constexpr Duration tick = std::chrono::milliseconds(1);
    static constexpr int ticksOfPeriod = 100;
    static constexpr Duration patience = std::chrono::seconds(2);

    void arrive()
    {
        if (m_limit.admits(static_cast<int>(m_queue.size()), m_clock.now()))
            m_queue.push_back(m_clock.now());
        else
            ++closed;
    }

    // A timer that is due waits for its turn behind all requests that were there.
    void work()
    {
        Duration left = std::min<Duration>(tick, m_quotaLeft);
        while (left > Duration::zero()) {
            if (m_timerBehind == 0 && m_clock.now() >= m_timerDue) {
                m_limit.noteDelay(m_clock.now() - m_timerDue, static_cast<int>(m_queue.size()),
                                  m_clock.now());
                m_timerDue = m_clock.now() + measured;
                m_timerBehind = m_queue.size();
            }
            if (m_queue.empty())
                return;
            left -= m_cost;
            m_quotaLeft -= m_cost;
            const bool isInTime = m_clock.now() - m_queue.front() <= patience;
            ++(isInTime ? served : late);
            m_queue.pop_front();
            m_timerBehind -= m_timerBehind > 0 ? 1 : 0;
        }
    }

    Duration m_cost;
    Duration m_quota;
    Duration m_quotaLeft {};
    ManualClock m_clock;
    ConcurrencyLimit m_limit { {}, m_clock.now() };
    std::deque<MonotonicTime> m_queue;
    MonotonicTime m_timerDue = m_clock.now() + measured;
    std::size_t m_timerBehind = 0; // Requests before the timer's turn.
    int m_ticks = 0;
};

} // namespace

class ConcurrencyLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConcurrencyLimitTest);
    CPPUNIT_TEST(overloadedLoopServesWhatItReads);
    CPPUNIT_TEST(loopWithinItsQuotaIsNotLimited);
    CPPUNIT_TEST(limitIsLiftedAfterTheOverload);
    CPPUNIT_TEST(singlePauseImposesNoLimit);
    CPPUNIT_TEST(limitStaysAboveTheUsualNumberInProgress);
    CPPUNIT_TEST(noLimitDuringWarmUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void overloadedLoopServesWhatItReads()
    {
        for (const double factor : { 1.5, 3.0, 8.0 }) {
            SimulatedLoop loop(std::chrono::milliseconds(1), std::chrono::milliseconds(5));
            loop.run(std::chrono::seconds(20), 25);
            loop.run(std::chrono::seconds(3), 50 * factor);
            loop.served = loop.late = loop.closed = 0;
            loop.run(std::chrono::seconds(20), 50 * factor);
            CPPUNIT_ASSERT(loop.served >= 0.95 * (loop.served + loop.late));
            CPPUNIT_ASSERT(loop.served >= 0.9 * 50 * 20); // Of what its quota allows.
        }
    }

    void loopWithinItsQuotaIsNotLimited()
    {
        SimulatedLoop loop(std::chrono::milliseconds(1), std::chrono::milliseconds(5));
        loop.run(std::chrono::seconds(60), 40);
        CPPUNIT_ASSERT_EQUAL(0, loop.closed);
        CPPUNIT_ASSERT_EQUAL(0, loop.late);
    }

    void limitIsLiftedAfterTheOverload()
    {
        SimulatedLoop loop(std::chrono::milliseconds(1), std::chrono::milliseconds(5));
        loop.run(std::chrono::seconds(20), 25);
        loop.run(std::chrono::seconds(10), 200);
        CPPUNIT_ASSERT(loop.limit().limit().has_value());
        loop.run(std::chrono::seconds(10), 25);
        CPPUNIT_ASSERT(!loop.limit().limit().has_value());
    }

    // A process that was stopped, or that computed for long, is not overloaded.
    void singlePauseImposesNoLimit()
    {
        Harness harness;
        for (int pause = 0; pause < 20; ++pause) {
            harness.run(std::chrono::milliseconds(100), Duration::zero(), 10);
            harness.step(std::chrono::seconds(4), 100);
            CPPUNIT_ASSERT(!harness.limit.limit().has_value());
        }
    }

    void limitStaysAboveTheUsualNumberInProgress()
    {
        Harness harness;
        harness.run(std::chrono::seconds(60), Duration::zero(), 80);
        harness.run(std::chrono::seconds(10), late, 90);
        CPPUNIT_ASSERT(harness.limit.limit().has_value());
        CPPUNIT_ASSERT(harness.limit.admits(90, harness.clock.now()));
        harness.run(std::chrono::seconds(10), late, 300);
        CPPUNIT_ASSERT(!harness.limit.admits(200, harness.clock.now()));
    }

    void noLimitDuringWarmUp()
    {
        ManualClock clock;
        ConcurrencyLimit limit({}, clock.now());
        for (int i = 0; i < 20; ++i) {
            clock.advance(measured + late);
            limit.noteDelay(late, 200, clock.now());
        }
        CPPUNIT_ASSERT(limit.admits(1000, clock.now()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConcurrencyLimitTest);
