// Tests of the base library: lease arithmetic, hashes, random numbers.

#include <rapidcheck.h>

#include "ramphinge/base/delta.h"
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
    CPPUNIT_TEST(deltaReproducesItsTarget);
    CPPUNIT_TEST(deltaOfAFewEditsIsSmall);
    CPPUNIT_TEST(deltaForAnotherBaseIsAnError);
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

    void deltaReproducesItsTarget()
    {
        const bool holds = rc::check("a delta reproduces its target", [](std::uint64_t seed) {
            Random random(seed);
            const std::string base = text(random.below(5000), random);
            std::string target = base;
            for (std::uint64_t edits = random.below(4); edits > 0; --edits)
                target.replace(random.below(target.size() + 1), random.below(600),
                               text(random.below(600), random));
            RC_ASSERT(applyDelta(base, makeDelta(base, target), target.size()).value() == target);
        });
        CPPUNIT_ASSERT(holds);
    }

    void deltaOfAFewEditsIsSmall()
    {
        Random random(3);
        const std::string routes = text(200'000, random);
        const std::string more = text(10'000, random);
        const std::string base = "version 1 " + routes + " limit 15000";
        const std::string target = "version 12 " + routes + more + " limit 500";
        CPPUNIT_ASSERT(makeDelta(base, target).encodedBytes() < more.size() + 1000);
    }

    void deltaForAnotherBaseIsAnError()
    {
        Random random(4);
        const std::string base = text(2000, random);
        const Delta delta = makeDelta(base, base + "more");
        CPPUNIT_ASSERT(applyDelta(base, delta, 3000).ok());
        CPPUNIT_ASSERT(!applyDelta(text(2000, random), delta, 3000).ok());
        CPPUNIT_ASSERT(!applyDelta(base.substr(0, 1000), delta, 3000).ok());
        CPPUNIT_ASSERT(!applyDelta(base, delta, 2000).ok()); // Larger than accepted.
    }

private:
    static std::string text(std::uint64_t bytes, Random &random)
    {
        std::string text;
        while (text.size() < bytes)
            text += random.token();
        return text.substr(0, bytes);
    }

    static std::string winner(std::uint64_t key, const std::vector<std::string> &candidates)
    {
        return *std::max_element(candidates.begin(), candidates.end(),
                                 [key](const std::string &x, const std::string &y) {
                                     return rendezvousScore(key, x) < rendezvousScore(key, y);
                                 });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);
