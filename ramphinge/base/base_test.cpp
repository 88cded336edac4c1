// Tests of the base library: lease arithmetic, hashes, random numbers.

#include "ramphinge/base/hash.h"
#include "ramphinge/base/lease_term.h"
#include "ramphinge/base/random.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

class BaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BaseTest);
    CPPUNIT_TEST(leaseTermEndsMarginBeforeLengthAfterSending);
    CPPUNIT_TEST(removedCandidateReassignsOnlyItsKeys);
    CPPUNIT_TEST(digestsMatchPublishedVectors);
    CPPUNIT_TEST(sameSeedGivesSameSequence);
    CPPUNIT_TEST_SUITE_END();

public:
    void leaseTermEndsMarginBeforeLengthAfterSending()
    {
        ManualClock clock;
        const LeaseTerm term(clock.now(), std::chrono::seconds(5), std::chrono::seconds(1));
        clock.advance(std::chrono::milliseconds(3999));
        CPPUNIT_ASSERT(term.mayAct(clock.now()));
        CPPUNIT_ASSERT(!term.mayFinish(clock.now(), std::chrono::milliseconds(1)));
        clock.advance(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(!term.mayAct(clock.now()));
        CPPUNIT_ASSERT(!LeaseTerm().mayAct(clock.now()));
    }

    void removedCandidateReassignsOnlyItsKeys()
    {
        const std::vector<std::string> all { "a", "b", "c", "d" };
        const std::vector<std::string> fewer { "a", "b", "d" };
        for (std::uint64_t key = 0; key < 1000; ++key) {
            const std::string before = winner(key, all);
            if (before != "c")
                CPPUNIT_ASSERT_EQUAL(before, winner(key, fewer));
        }
    }

    void digestsMatchPublishedVectors()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
            sha256Hex("abc"));
        CPPUNIT_ASSERT(equalConstantTime("abc", "abc"));
        CPPUNIT_ASSERT(!equalConstantTime("abc", "abd"));
    }

    void sameSeedGivesSameSequence()
    {
        Random a(7);
        Random b(7);
        CPPUNIT_ASSERT_EQUAL(a.token(), b.token());
        CPPUNIT_ASSERT(Random(8).token() != Random(7).token());
    }

private:
    static std::string winner(std::uint64_t key, const std::vector<std::string> &candidates)
    {
        return *std::max_element(candidates.begin(), candidates.end(),
                                 [key](const std::string &x, const std::string &y) {
                                     return rendezvousScore(key, x) < rendezvousScore(key, y);
                                 });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);
