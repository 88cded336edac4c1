// Tests of the turns in which large requests are read.

#include <vector>

#include "ramphinge/net/http_server.h"
#include "ramphinge/net/internal/read_turns.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/run_coroutine.h"

using namespace ramphinge;

class ReadTurnsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReadTurnsTest);
    CPPUNIT_TEST(crowdOfReadersLetsOthersRunBetweenTwoReads);
    CPPUNIT_TEST(readersGoOnInTheOrderOfTheirCalls);
    CPPUNIT_TEST(singleReaderDoesNotWait);
    CPPUNIT_TEST(turnsAreSpacedOutWhileTheLoopIsLate);
    CPPUNIT_TEST_SUITE_END();

    IoContext m_io { 1 };
    ReadTurns m_turns { m_io };

    void crowdOfReadersLetsOthersRunBetweenTwoReads()
    {
        constexpr int readers = 50;
        constexpr int readsOfOne = 20;
        int reads = 0;
        int readsAtLastPass = 0;
        int mostReadsInAPass = 0;
        for (int reader = 0; reader < readers; ++reader) {
            spawnCoroutine(m_io, [&](Yield yield) {
                for (int read = 0; read < readsOfOne; ++read) {
                    m_turns.await(yield);
                    ++reads;
                }
            });
        }
        runCoroutine(m_io, [&](Yield yield) {
            while (reads < readers * readsOfOne) {
                yieldToLoop(m_io, yield);
                mostReadsInAPass = std::max(mostReadsInAPass, reads - readsAtLastPass);
                readsAtLastPass = reads;
            }
        });
        CPPUNIT_ASSERT(mostReadsInAPass <= 2);
    }

    void readersGoOnInTheOrderOfTheirCalls()
    {
        std::vector<int> order;
        for (int reader = 0; reader < 3; ++reader) {
            spawnCoroutine(m_io, [&, reader](Yield yield) {
                for (int read = 0; read < 2; ++read) {
                    m_turns.await(yield);
                    order.push_back(reader);
                }
            });
        }
        m_io.run();
        // The first one calls again before the others have begun.
        CPPUNIT_ASSERT((order == std::vector<int> { 0, 0, 1, 2, 1, 2 }));
    }

    void singleReaderDoesNotWait()
    {
        int reads = 0;
        runCoroutine(m_io, [&](Yield yield) {
            for (; reads < 5; ++reads) {
                m_turns.await(yield);
                yieldToLoop(m_io, yield); // As a read does that finds its data.
            }
        });
        CPPUNIT_ASSERT_EQUAL(5, reads);
    }

    void turnsAreSpacedOutWhileTheLoopIsLate()
    {
        CPPUNIT_ASSERT(m_turns.pause() == Duration::zero());
        for (int i = 0; i < 100; ++i)
            m_turns.noteLoopDelay(std::chrono::milliseconds(90));
        CPPUNIT_ASSERT(m_turns.pause() == std::chrono::milliseconds(100));
        for (int i = 0; i < 100; ++i)
            m_turns.noteLoopDelay(Duration::zero());
        CPPUNIT_ASSERT(m_turns.pause() == Duration::zero());
        m_turns.noteLoopDelay(std::chrono::milliseconds(20));
        const MonotonicTime start = BootClock::now();
        runCoroutine(m_io, [&](Yield yield) {
            for (int read = 0; read < 10; ++read)
                m_turns.await(yield);
        });
        CPPUNIT_ASSERT(BootClock::now() - start >= 9 * m_turns.pause());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadTurnsTest);
