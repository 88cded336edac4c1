// Tests of the memory that buffered responses share.

#include "ramphinge/limits/answer_memory.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

constexpr std::size_t megabyte = 1024 * 1024;
const ServiceId service("app");
const ServiceId largeService("large");

void doNothing() { }

} // namespace

class AnswerMemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerMemoryTest);
    CPPUNIT_TEST(answerOfTheWholeCapacityIsNotEvicted);
    CPPUNIT_TEST(endlessAnswerIsEvictedAndNotSmallOnesAfterIt);
    CPPUNIT_TEST(answerOfUsualSizeIsNotEvictedForAnEndlessOne);
    CPPUNIT_TEST(completeAnswerIsNotEvicted);
    CPPUNIT_TEST(releasedMemoryCanBeUsedAgain);
    CPPUNIT_TEST_SUITE_END();

    AnswerMemory m_memory { 16 * megabyte };

    void answerOfTheWholeCapacityIsNotEvicted()
    {
        AnswerMemory::Reservation only(m_memory, service, doNothing);
        for (std::size_t bytes = megabyte; bytes <= m_memory.capacity(); bytes += megabyte)
            CPPUNIT_ASSERT(only.resize(bytes));
    }

    void endlessAnswerIsEvictedAndNotSmallOnesAfterIt()
    {
        bool isCancelled = false;
        AnswerMemory::Reservation endless(m_memory, service, [&] { isCancelled = true; });
        CPPUNIT_ASSERT(endless.resize(m_memory.capacity()));
        AnswerMemory::Reservation small(m_memory, service, doNothing);
        CPPUNIT_ASSERT(small.resize(1000));
        CPPUNIT_ASSERT(isCancelled);
        CPPUNIT_ASSERT(!endless.resize(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1000 }, m_memory.usedBytes());
    }

    void answerOfUsualSizeIsNotEvictedForAnEndlessOne()
    {
        {
            AnswerMemory::Reservation earlier(m_memory, largeService, doNothing);
            earlier.resize(10 * megabyte);
            earlier.complete();
        }
        AnswerMemory::Reservation usual(m_memory, largeService, doNothing);
        CPPUNIT_ASSERT(usual.resize(10 * megabyte));
        AnswerMemory::Reservation endless(m_memory, service, doNothing);
        CPPUNIT_ASSERT(!endless.resize(7 * megabyte));
        CPPUNIT_ASSERT(usual.resize(10 * megabyte));
    }

    void completeAnswerIsNotEvicted()
    {
        AnswerMemory::Reservation complete(m_memory, service, doNothing);
        CPPUNIT_ASSERT(complete.resize(m_memory.capacity()));
        complete.complete();
        AnswerMemory::Reservation small(m_memory, service, doNothing);
        CPPUNIT_ASSERT(small.resize(1000));
        AnswerMemory::Reservation endless(m_memory, service, doNothing);
        CPPUNIT_ASSERT(!endless.resize(megabyte));
        CPPUNIT_ASSERT(!complete.isEvicted());
    }

    void releasedMemoryCanBeUsedAgain()
    {
        for (int i = 0; i < 3; ++i) {
            AnswerMemory::Reservation answer(m_memory, service, doNothing);
            CPPUNIT_ASSERT(answer.resize(m_memory.capacity()));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_memory.usedBytes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerMemoryTest);
