// Tests of at-most-once execution: grants, outcomes, changes of owner, and a random simulation
// which checks that no key is granted again after its request was sent.

#include <rapidcheck.h>

#include "ramphinge/base/random.h"
#include "ramphinge/claims/claim_table.h"
#include "ramphinge/claims/key_stamp.h"
#include "ramphinge/claims/slots.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

constexpr Duration longTerm = std::chrono::seconds(60);
const ZoneId zone("bkk-a");

ClaimAttempt keyNamed(const std::string &text, const std::string &claimant = "try1",
                      std::uint64_t fingerprint = 1)
{
    return { { AccountId("acme"), IdempotencyKey(text) }, fingerprint, RequestId(claimant) };
}

} // namespace

class ClaimsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimsTest);
    CPPUNIT_TEST(stampedKeyParsesToItsZoneAndTime);
    CPPUNIT_TEST(malformedStampsAreOpaque);
    CPPUNIT_TEST(secondAttemptIsNotGranted);
    CPPUNIT_TEST(unsentKeyCanBeGrantedAgain);
    CPPUNIT_TEST(lateOutcomeOfAnotherAttemptIsIgnored);
    CPPUNIT_TEST(keyThatRanReturnsItsAnswer);
    CPPUNIT_TEST(otherRequestUnderTheSameKeyIsRefused);
    CPPUNIT_TEST(ownerWithExpiredLeaseGrantsNothing);
    CPPUNIT_TEST(grantEndsWithTheOwnersTerm);
    CPPUNIT_TEST(newOwnerRefusesKeysThatMayPredateIt);
    CPPUNIT_TEST(keysFromTheFutureAreRefused);
    CPPUNIT_TEST(newOwnerRefusesOpaqueKeysForTheirHorizon);
    CPPUNIT_TEST(adoptedKeysAreNotGrantedAgain);
    CPPUNIT_TEST(removalOfAnEntryRefusesOlderKeys);
    CPPUNIT_TEST(keptAnswersAreBounded);
    CPPUNIT_TEST(keyIsSentAtMostOnceOverRandomOwners);
    CPPUNIT_TEST_SUITE_END();

public:
    void stampedKeyParsesToItsZoneAndTime()
    {
        Random random(1);
        const IdempotencyKey key = makeStampedKey(zone, m_clock.wallNow(), random);
        const auto stamp = parseKeyStamp(key);
        CPPUNIT_ASSERT(stamp.has_value());
        CPPUNIT_ASSERT_EQUAL(zone, stamp->zone);
        CPPUNIT_ASSERT(stamp->createdAt == m_clock.wallNow());
    }

    void malformedStampsAreOpaque()
    {
        for (const char *text : { "", "rk1-", "rk1--", "rk1-a-zz-1", "rk1-a-1", "rk1---", "x" })
            CPPUNIT_ASSERT(!parseKeyStamp(IdempotencyKey(text)));
    }

    void secondAttemptIsNotGranted()
    {
        ClaimTable table({}, WallTime());
        CPPUNIT_ASSERT(ClaimVerdict::Granted == claim(table, "k"));
        CPPUNIT_ASSERT(ClaimVerdict::InProgress == claim(table, "k"));
        table.settle(keyNamed("k"), ClaimOutcome::MayHaveRun, {}, m_clock);
        CPPUNIT_ASSERT(ClaimVerdict::Indeterminate == claim(table, "k"));
    }

    void unsentKeyCanBeGrantedAgain()
    {
        ClaimTable table({}, WallTime());
        claim(table, "k");
        table.settle(keyNamed("k"), ClaimOutcome::NotSent, {}, m_clock);
        CPPUNIT_ASSERT(ClaimVerdict::Granted == claim(table, "k"));
        table.settle(keyNamed("k"), ClaimOutcome::Ran, {}, m_clock);
        // A late NotSent must not make a key that ran grantable again.
        table.settle(keyNamed("k"), ClaimOutcome::NotSent, {}, m_clock);
        CPPUNIT_ASSERT(ClaimVerdict::Ran == claim(table, "k"));
    }

    void lateOutcomeOfAnotherAttemptIsIgnored()
    {
        ClaimTable table({}, WallTime());
        // The first attempt's grant is lost on its way; its NotSent lets the second be granted. The
        // duplicate of that NotSent must not release the second attempt's grant.
        claim(table, "k");
        table.settle(keyNamed("k", "try1"), ClaimOutcome::NotSent, {}, m_clock);
        CPPUNIT_ASSERT(ClaimVerdict::Granted
                       == table.claim(keyNamed("k", "try2"), longTerm, m_clock).verdict);
        table.settle(keyNamed("k", "try1"), ClaimOutcome::NotSent, {}, m_clock);
        CPPUNIT_ASSERT(ClaimVerdict::InProgress
                       == table.claim(keyNamed("k", "try3"), longTerm, m_clock).verdict);
    }

    void keyThatRanReturnsItsAnswer()
    {
        ClaimTable table({}, WallTime());
        claim(table, "k");
        table.settle(keyNamed("k"), ClaimOutcome::Ran, KeptAnswer { 201, "text/plain", "done" },
                     m_clock);
        const ClaimAnswer again = table.claim(keyNamed("k"), longTerm, m_clock);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), again.kept->body);
        CPPUNIT_ASSERT_EQUAL(201, again.kept->status);
    }

    void otherRequestUnderTheSameKeyIsRefused()
    {
        ClaimTable table({}, WallTime());
        claim(table, "k");
        CPPUNIT_ASSERT(ClaimVerdict::KeyReused
                       == table.claim(keyNamed("k", "try2", 2), longTerm, m_clock).verdict);
    }

    void ownerWithExpiredLeaseGrantsNothing()
    {
        ClaimTable table({}, WallTime());
        CPPUNIT_ASSERT(ClaimVerdict::NotOwner
                       == table.claim(keyNamed("k"), Duration::zero(), m_clock).verdict);
    }

    void grantEndsWithTheOwnersTerm()
    {
        ClaimTable table({}, WallTime());
        const auto answer = table.claim(keyNamed("k"), std::chrono::milliseconds(300), m_clock);
        CPPUNIT_ASSERT(answer.sendWithin == Duration(std::chrono::milliseconds(300)));
    }

    void newOwnerRefusesKeysThatMayPredateIt()
    {
        Random random(1);
        const IdempotencyKey before = makeStampedKey(zone, m_clock.wallNow(), random);
        m_clock.advance(std::chrono::seconds(1));
        ClaimTable table({}, m_clock.wallNow());
        CPPUNIT_ASSERT(ClaimVerdict::CantVouch == claim(table, before.text()));
        m_clock.advance(std::chrono::milliseconds(900));
        const IdempotencyKey inSkew = makeStampedKey(zone, m_clock.wallNow(), random);
        CPPUNIT_ASSERT(ClaimVerdict::CantVouch == claim(table, inSkew.text()));
        m_clock.advance(std::chrono::milliseconds(101));
        const IdempotencyKey after = makeStampedKey(zone, m_clock.wallNow(), random);
        CPPUNIT_ASSERT(ClaimVerdict::Granted == claim(table, after.text()));
    }

    void keysFromTheFutureAreRefused()
    {
        // If it were granted, the next owner would take it for created after its own start.
        Random random(1);
        ClaimTable table({}, WallTime());
        const IdempotencyKey ahead =
            makeStampedKey(zone, m_clock.wallNow() + std::chrono::seconds(10), random);
        CPPUNIT_ASSERT(ClaimVerdict::CantVouch == claim(table, ahead.text()));
    }

    void newOwnerRefusesOpaqueKeysForTheirHorizon()
    {
        ClaimTable table({}, m_clock.wallNow());
        CPPUNIT_ASSERT(ClaimVerdict::CantVouch == claim(table, "opaque"));
        m_clock.advance(std::chrono::minutes(10));
        CPPUNIT_ASSERT(ClaimVerdict::Granted == claim(table, "opaque"));
    }

    void adoptedKeysAreNotGrantedAgain()
    {
        ClaimTable old({}, WallTime());
        claim(old, "k");
        ClaimTable next({}, old.soleOwnerSince());
        next.adopt(old.records());
        CPPUNIT_ASSERT(ClaimVerdict::InProgress == claim(next, "k"));
        CPPUNIT_ASSERT(ClaimVerdict::Granted == claim(next, "other"));
    }

    void removalOfAnEntryRefusesOlderKeys()
    {
        Random random(3);
        ClaimTableOptions options;
        options.maxEntries = 2;
        ClaimTable table(options, WallTime());
        std::vector<IdempotencyKey> keys;
        for (int i = 0; i < 3; ++i) {
            keys.push_back(makeStampedKey(zone, m_clock.wallNow(), random));
            CPPUNIT_ASSERT(ClaimVerdict::Granted == claim(table, keys.back().text()));
            m_clock.advance(std::chrono::seconds(5));
        }
        CPPUNIT_ASSERT(ClaimVerdict::CantVouch == claim(table, keys[0].text()));
        CPPUNIT_ASSERT(ClaimVerdict::InProgress == claim(table, keys[1].text()));
    }

    void keptAnswersAreBounded()
    {
        ClaimTableOptions options;
        options.maxKeptBytes = 100;
        ClaimTable table(options, WallTime());
        for (const char *name : { "a", "b" }) {
            claim(table, name);
            table.settle(keyNamed(name), ClaimOutcome::Ran,
                         KeptAnswer { 200, "t", std::string(60, 'x') }, m_clock);
        }
        CPPUNIT_ASSERT(!table.claim(keyNamed("a"), longTerm, m_clock).kept);
        CPPUNIT_ASSERT(table.claim(keyNamed("b"), longTerm, m_clock).kept);
    }

    void keyIsSentAtMostOnceOverRandomOwners()
    {
        const bool held = rc::check("a key runs at most once over changes of owner", [] {
            const auto seed = *rc::gen::arbitrary<std::uint32_t>();
            runOwners(seed);
        });
        CPPUNIT_ASSERT(held);
    }

private:
    ClaimVerdict claim(ClaimTable &table, const std::string &key)
    {
        return table.claim(keyNamed(key), longTerm, m_clock).verdict;
    }

    // Owners change by crash (their table is lost) or handover; callers with skewed clocks create
    // keys and use each several times. Counts how often a request was sent for each key.
    static void runOwners(std::uint32_t seed)
    {
        Random random(seed);
        ManualClock clock;
        ClaimTableOptions options;
        options.maxEntries = 20;
        ClaimTable owner(options, WallTime());
        std::vector<ClaimAttempt> keys;
        std::unordered_map<std::string, int> sendCount;
        for (int step = 0; step < 300; ++step) {
            clock.advance(std::chrono::milliseconds(random.below(400)));
            if (random.below(20) == 0) {
                ClaimTable next(options,
                                random.below(2) == 0 ? clock.wallNow() : owner.soleOwnerSince());
                if (next.soleOwnerSince() == owner.soleOwnerSince())
                    next.adopt(owner.records());
                owner = std::move(next);
            }
            if (keys.empty() || random.below(3) == 0) {
                // Mostly within the allowed skew, sometimes far beyond it.
                const int limit = random.below(10) == 0 ? 20'000 : 500;
                const int skew = static_cast<int>(random.below(2 * limit + 1)) - limit;
                const WallTime skewed = clock.wallNow() + std::chrono::milliseconds(skew);
                keys.push_back(keyNamed(makeStampedKey(zone, skewed, random).text()));
            }
            const ClaimAttempt &key = keys[random.below(keys.size())];
            if (owner.claim(key, longTerm, clock).verdict != ClaimVerdict::Granted)
                continue;
            const std::uint64_t outcome = random.below(4);
            if (outcome == 0) {
                owner.settle(key, ClaimOutcome::NotSent, {}, clock);
                continue;
            }
            RC_ASSERT(++sendCount[key.key.key.text()] == 1);
            if (outcome == 1)
                owner.settle(key, ClaimOutcome::Ran, {}, clock);
        }
    }

    ManualClock m_clock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimsTest);
