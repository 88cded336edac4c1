// Tests of the check whether a server is alive: what a probe proves, and for whom.

#include <deque>

#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

constexpr Duration maxWait = std::chrono::seconds(5);

// Each probe takes a few iterations of the event loop and yields the next verdict.
class SlowProbe : public ServerProbe
{
public:
    explicit SlowProbe(IoContext &io) : m_io(io) { }

    ProbeVerdict probe(const ServerAddress &, Duration, Yield yield) override
    {
        ++probes;
        runReadyHandlers(m_io, yield);
        if (throws)
            throw std::runtime_error("no memory");
        const ProbeVerdict verdict = verdicts.empty() ? ProbeVerdict::Unknown : verdicts.front();
        if (!verdicts.empty())
            verdicts.pop_front();
        return verdict;
    }

    bool responds(const ServerAddress &, Duration, Yield) override { return false; }

    std::deque<ProbeVerdict> verdicts;
    int probes = 0;
    bool throws = false;

private:
    IoContext &m_io;
};

class LivenessCheckerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LivenessCheckerTest);
    CPPUNIT_TEST(probeSentBeforeTheQuestionProvesNothing);
    CPPUNIT_TEST(questionsDuringAProbeShareTheNextOne);
    CPPUNIT_TEST(probeWithoutVerdictIsRepeated);
    CPPUNIT_TEST(serverThatCannotBeProbedIsNotKnownToBeAlive);
    CPPUNIT_TEST(exceptionOfAProbeLeavesNoServerUnchecked);
    CPPUNIT_TEST_SUITE_END();

public:
    void probeSentBeforeTheQuestionProvesNothing()
    {
        m_probe.verdicts = { ProbeVerdict::Alive, ProbeVerdict::Ended };
        const std::vector<bool> alive = askTogether(2);
        CPPUNIT_ASSERT(alive[0]);
        CPPUNIT_ASSERT(!alive[1]);
    }

    void questionsDuringAProbeShareTheNextOne()
    {
        m_probe.verdicts = { ProbeVerdict::Alive, ProbeVerdict::Alive };
        for (const bool isAlive : askTogether(10))
            CPPUNIT_ASSERT(isAlive);
        CPPUNIT_ASSERT_EQUAL(2, m_probe.probes);
    }

    void probeWithoutVerdictIsRepeated()
    {
        m_probe.verdicts = { ProbeVerdict::Unknown, ProbeVerdict::Alive };
        CPPUNIT_ASSERT(askTogether(1)[0]);
    }

    void serverThatCannotBeProbedIsNotKnownToBeAlive()
    {
        CPPUNIT_ASSERT(!askTogether(1)[0]);
        CPPUNIT_ASSERT_EQUAL(LivenessCheckerOptions().maxProbes, m_probe.probes);
    }

    void exceptionOfAProbeLeavesNoServerUnchecked()
    {
        m_probe.throws = true;
        CPPUNIT_ASSERT(!askTogether(1)[0]);
        m_probe.throws = false;
        m_probe.verdicts = { ProbeVerdict::Alive };
        CPPUNIT_ASSERT(askTogether(1)[0]);
    }

private:
    // The first question starts a probe; the others are asked while that is in progress.
    std::vector<bool> askTogether(std::size_t count)
    {
        std::vector<bool> alive(count);
        std::size_t answered = 0;
        const auto ask = [&](std::size_t question, Yield yield) {
            alive[question] = m_checker.isAlive(m_target, maxWait, yield);
            ++answered;
        };
        m_io.restart();
        runCoroutine(m_io, [&](Yield yield) {
            for (std::size_t question = 1; question < count; ++question)
                spawnCoroutine(m_io, [&ask, question, &io = m_io](Yield inner) {
                    sleepFor(io, {}, inner); // After the first question.
                    ask(question, inner);
                });
            ask(0, yield);
            while (answered < count)
                sleepFor(m_io, std::chrono::milliseconds(1), yield);
        });
        return alive;
    }

    IoContext m_io { 1 };
    DispatchHarness m_harness;
    SlowProbe m_probe { m_io };
    LivenessChecker m_checker {
        m_io, m_harness.clock, {}, m_probe, m_harness.log, m_harness.metrics
    };
    Target m_target;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LivenessCheckerTest);

} // namespace
