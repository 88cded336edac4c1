// Tests of request fingerprints, and of the quarantine of requests that crash servers.

#include <rapidcheck.h>

#include "ramphinge/quarantine/quarantine.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

class FingerprintTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FingerprintTest);
    CPPUNIT_TEST(isEqualForEqualIdentities);
    CPPUNIT_TEST(dependsOnEachPart);
    CPPUNIT_TEST(dependsOnTheKey);
    CPPUNIT_TEST(separatesNeighbouringParts);
    CPPUNIT_TEST(promptPartIsIdentifiedByItselfAndItsModel);
    CPPUNIT_TEST_SUITE_END();

public:
    void isEqualForEqualIdentities()
    {
        CPPUNIT_ASSERT_EQUAL(fingerprintOf("k", identity()), fingerprintOf("k", identity()));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 32 }, fingerprintOf("k", identity()).text().size());
    }

    void dependsOnEachPart()
    {
        const Fingerprint original = fingerprintOf("k", identity());
        RequestIdentity other = identity();
        other.method = "PUT";
        CPPUNIT_ASSERT(fingerprintOf("k", other) != original);
        other = identity();
        other.host = "other.example";
        CPPUNIT_ASSERT(fingerprintOf("k", other) != original);
        other = identity();
        other.target = "/a?b=2";
        CPPUNIT_ASSERT(fingerprintOf("k", other) != original);
        other = identity();
        other.body = "another body";
        CPPUNIT_ASSERT(fingerprintOf("k", other) != original);
        other = identity();
        other.account = AccountId("another school");
        CPPUNIT_ASSERT(fingerprintOf("k", other) != original);
    }

    void dependsOnTheKey()
    {
        CPPUNIT_ASSERT(fingerprintOf("k", identity()) != fingerprintOf("l", identity()));
    }

    void separatesNeighbouringParts()
    {
        CPPUNIT_ASSERT(fingerprintOf("k", { "GET", "ab", "c", "", {} })
                       != fingerprintOf("k", { "GET", "a", "bc", "", {} }));
    }

    void promptPartIsIdentifiedByItselfAndItsModel()
    {
        const PromptPartIdentity part { ModelId("m"), PromptPartId("5c1e") };
        const Fingerprint fingerprint = fingerprintOf("k", part);
        CPPUNIT_ASSERT_EQUAL(fingerprint, fingerprintOf("k", part));
        CPPUNIT_ASSERT(fingerprint != fingerprintOf("l", part));
        CPPUNIT_ASSERT(
            fingerprint
            != fingerprintOf("k", PromptPartIdentity { ModelId("n"), PromptPartId("5c1e") }));
        CPPUNIT_ASSERT(
            fingerprint
            != fingerprintOf("k", PromptPartIdentity { ModelId("m"), PromptPartId("5c1f") }));
        CPPUNIT_ASSERT(isOfPromptPart(fingerprint));
        CPPUNIT_ASSERT(!isOfPromptPart(fingerprintOf("k", identity())));
    }

private:
    static RequestIdentity identity()
    {
        return { "POST", "h.example", "/a?b=1", "a body", AccountId("school") };
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FingerprintTest);

const Fingerprint harmful("f1");
const Fingerprint other("f2");
const CrashReportSource peer("peer");
const CrashReportSource otherPeer("other peer");
const HostId first("s1");
const HostId second("s2");
const HostId third("s3");

SuspectRequest request(const Fingerprint &fingerprint, const std::string &account = "school")
{
    return { fingerprint, AccountId(account), "route" };
}

// A report that servers crashed while they ran `harmful`.
CrashReport crashReport(const std::set<HostId> &servers, const std::set<HostId> &excused = {})
{
    CrashRecord record;
    record.account = AccountId("school");
    record.ended = servers;
    record.excused = excused;
    return { { harmful, record } };
}

class QuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineTest);
    CPPUNIT_TEST(quarantinesAfterTwoCrashes);
    CPPUNIT_TEST(countsAnIncarnationOnce);
    CPPUNIT_TEST(mergesCrashesFromSeveralDaemons);
    CPPUNIT_TEST(completeAnswerExcusesAllKnownCrashes);
    CPPUNIT_TEST(crashesAfterACompleteAnswerCount);
    CPPUNIT_TEST(recentAnswerExcusesCrashesReportedLater);
    CPPUNIT_TEST(oldAnswerExcusesNothing);
    CPPUNIT_TEST(excusesOfOtherDaemonsCount);
    CPPUNIT_TEST(crashIsAttributedToTheRequestWithMostCrashes);
    CPPUNIT_TEST(requestThatRanAlongWithTwoHarmfulOnesIsReleased);
    CPPUNIT_TEST(allSuspectsWithEqualCrashesAreQuarantined);
    CPPUNIT_TEST(keepsReportsOfDaemonsThatAreGone);
    CPPUNIT_TEST(forgottenReportIsDropped);
    CPPUNIT_TEST(ownSuspicionExpires);
    CPPUNIT_TEST(oneAccountDoesNotEvictAnother);
    CPPUNIT_TEST(continuesFromItsPreviousReport);
    CPPUNIT_TEST(reportSurvivesARoundTrip);
    CPPUNIT_TEST(malformedReportsAreRejectedOrReadInPart);
    CPPUNIT_TEST(keepsTheNewestRequestsOfEachAccount);
    CPPUNIT_TEST(daemonsWithAllReportsAgree);
    CPPUNIT_TEST_SUITE_END();

public:
    void quarantinesAfterTwoCrashes()
    {
        CPPUNIT_ASSERT(m_quarantine.empty());
        CPPUNIT_ASSERT(!crash(harmful, first));
        CPPUNIT_ASSERT(!m_quarantine.contains(harmful));
        CPPUNIT_ASSERT(crash(harmful, second));
        CPPUNIT_ASSERT(m_quarantine.contains(harmful));
        CPPUNIT_ASSERT(!m_quarantine.contains(other));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_quarantine.quarantined().size());
    }

    void countsAnIncarnationOnce()
    {
        crash(harmful, first);
        crash(harmful, first);
        m_quarantine.applyReport(peer, crashReport({ first }), m_now, WallTime());
        CPPUNIT_ASSERT(!m_quarantine.contains(harmful));
    }

    void mergesCrashesFromSeveralDaemons()
    {
        m_quarantine.applyReport(peer, crashReport({ first }), m_now, WallTime());
        CPPUNIT_ASSERT(!m_quarantine.contains(harmful));
        m_quarantine.applyReport(otherPeer, crashReport({ second }), m_now, WallTime());
        CPPUNIT_ASSERT(m_quarantine.contains(harmful));
    }

    void completeAnswerExcusesAllKnownCrashes()
    {
        m_quarantine.applyReport(peer, crashReport({ first }), m_now, WallTime());
        crash(harmful, second);
        CPPUNIT_ASSERT(m_quarantine.contains(harmful));
        CPPUNIT_ASSERT(m_quarantine.noteCompleteAnswer(harmful, m_now));
        CPPUNIT_ASSERT(!m_quarantine.contains(harmful));
        // A third daemon that gets both reports doesn't quarantine the request either.
        Quarantine third { QuarantineOptions() };
        third.applyReport(peer, crashReport({ first, second }), m_now, WallTime());
        third.applyReport(otherPeer, m_quarantine.own(), m_now, WallTime());
        CPPUNIT_ASSERT(!third.contains(harmful));
        CPPUNIT_ASSERT(third.empty());
    }

    void crashesAfterACompleteAnswerCount()
    {
        crash(harmful, first);
        m_quarantine.noteCompleteAnswer(harmful, m_now);
        m_now += std::chrono::seconds(11);
        crash(harmful, second);
        CPPUNIT_ASSERT(!m_quarantine.contains(harmful));
        crash(harmful, third);
        CPPUNIT_ASSERT(m_quarantine.contains(harmful));
    }

    // Guards against the quarantine of a popular request: two servers that run it crash at the same
    // time, and other servers answer it before the report of the crashes arrives.
    void recentAnswerExcusesCrashesReportedLater()
    {
        CPPUNIT_ASSERT(!m_quarantine.noteCompleteAnswer(harmful, m_now));
        m_now += std::chrono::seconds(2);
        m_quarantine.applyReport(peer, crashReport({ first, second }), m_now, WallTime());
        CPPUNIT_ASSERT(!m_quarantine.contains(harmful));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_quarantine.own().at(harmful).excused.size());
    }

    void oldAnswerExcusesNothing()
    {
        m_quarantine.noteCompleteAnswer(harmful, m_now);
        m_now += std::chrono::seconds(10);
        m_quarantine.applyReport(peer, crashReport({ first, second }), m_now, WallTime());
        CPPUNIT_ASSERT(m_quarantine.contains(harmful));
    }

    void excusesOfOtherDaemonsCount()
    {
        crash(harmful, first);
        crash(harmful, second);
        m_quarantine.applyReport(peer, crashReport({}, { first }), m_now, WallTime());
        CPPUNIT_ASSERT(!m_quarantine.contains(harmful));
    }

    void crashIsAttributedToTheRequestWithMostCrashes()
    {
        for (const HostId &server : { first, second }) {
            crash(harmful, server);
            crash(other, server); // Ran on both servers.
        }
        crash(harmful, third);
        CPPUNIT_ASSERT(m_quarantine.contains(harmful));
        CPPUNIT_ASSERT(!m_quarantine.contains(other));
    }

    // Guards against a lasting quarantine of a popular request, which sooner or later runs along
    // with two different harmful ones.
    void requestThatRanAlongWithTwoHarmfulOnesIsReleased()
    {
        const Fingerprint alsoHarmful("f3");
        crash(other, first);
        crash(other, third);
        CPPUNIT_ASSERT(m_quarantine.contains(other)); // Nothing else explains the crashes yet.
        for (const char *server : { "s1", "a", "b" })
            crash(harmful, HostId(server));
        for (const char *server : { "s3", "c", "d" })
            crash(alsoHarmful, HostId(server));
        CPPUNIT_ASSERT(m_quarantine.contains(harmful));
        CPPUNIT_ASSERT(m_quarantine.contains(alsoHarmful));
        CPPUNIT_ASSERT(!m_quarantine.contains(other));
    }

    void allSuspectsWithEqualCrashesAreQuarantined()
    {
        for (const HostId &server : { first, second }) {
            crash(harmful, server);
            crash(other, server);
        }
        CPPUNIT_ASSERT(m_quarantine.contains(harmful));
        CPPUNIT_ASSERT(m_quarantine.contains(other));
    }

    void keepsReportsOfDaemonsThatAreGone()
    {
        m_quarantine.applyReport(peer, crashReport({ first, second }), m_now, WallTime());
        m_now += std::chrono::hours(1);
        m_quarantine.expire(m_now);
        CPPUNIT_ASSERT(m_quarantine.contains(harmful)); // Until the store drops the report.
    }

    void forgottenReportIsDropped()
    {
        m_quarantine.applyReport(peer, crashReport({ first, second }), m_now, WallTime());
        m_quarantine.removeReport(peer);
        m_quarantine.removeReport(otherPeer);
        CPPUNIT_ASSERT(m_quarantine.empty());
    }

    void ownSuspicionExpires()
    {
        crash(harmful, first);
        const std::uint64_t before = m_quarantine.ownVersion();
        m_now += std::chrono::minutes(5);
        m_quarantine.expire(m_now);
        CPPUNIT_ASSERT(m_quarantine.empty());
        CPPUNIT_ASSERT(m_quarantine.ownVersion() != before);
    }

    void oneAccountDoesNotEvictAnother()
    {
        crash(harmful, first, "modest");
        for (int i = 0; i < 1000; ++i) {
            m_now += std::chrono::milliseconds(1);
            crash(Fingerprint("many" + std::to_string(i)), first, "greedy");
        }
        CPPUNIT_ASSERT_EQUAL(QuarantineOptions().maxRequestsPerAccount + 1,
                             m_quarantine.own().size());
        CPPUNIT_ASSERT(crash(harmful, second, "modest"));
    }

    void continuesFromItsPreviousReport()
    {
        m_quarantine.adopt(crashReport({ first }), m_now);
        CPPUNIT_ASSERT(crash(harmful, second));
        CPPUNIT_ASSERT_EQUAL(2, m_quarantine.own().at(harmful).crashCount());
    }

    void reportSurvivesARoundTrip()
    {
        CrashReport report = crashReport({ first, second }, { second });
        report[harmful].route = "a \"route\"";
        report[harmful].lastSeen = fromUnixMilliseconds(17);
        const Result<CrashReport> read = parseCrashReport(serializeCrashReport(report), 10);
        CPPUNIT_ASSERT(read.ok());
        const CrashRecord &record = read.value().at(harmful);
        CPPUNIT_ASSERT_EQUAL(1, record.crashCount());
        CPPUNIT_ASSERT_EQUAL(std::string("a \"route\""), record.route);
        CPPUNIT_ASSERT_EQUAL(std::string("school"), record.account.text());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 17 }, toUnixMilliseconds(record.lastSeen));
    }

    void malformedReportsAreRejectedOrReadInPart()
    {
        for (const char *text : { "", "[", "[]", "3", R"({"f":3})" })
            CPPUNIT_ASSERT(!parseCrashReport(text, 10).ok());
        CPPUNIT_ASSERT(!parseCrashReport(std::string(2 << 20, '['), 10).ok());
        const Result<CrashReport> partial =
            parseCrashReport(R"({"f":{"ended":[1,"s",[]],"excused":7,"lastSeen":"x"}})", 10);
        CPPUNIT_ASSERT(partial.ok());
        CPPUNIT_ASSERT_EQUAL(1, partial.value().begin()->second.crashCount());
        const Result<CrashReport> many = parseCrashReport(R"({"a":{},"b":{},"c":{}})", 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, many.value().size());
    }

    void keepsTheNewestRequestsOfEachAccount()
    {
        CrashReport report;
        for (int i = 0; i < 5; ++i) {
            CrashRecord &record = report[Fingerprint("g" + std::to_string(i))];
            record.account = AccountId("greedy");
            record.lastSeen = fromUnixMilliseconds(100 + i);
        }
        report[Fingerprint("m")].account = AccountId("modest");
        const CrashReport kept = newestOf(report, 3, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, kept.size());
        CPPUNIT_ASSERT(kept.count(Fingerprint("g4")) == 1);
        CPPUNIT_ASSERT(kept.count(Fingerprint("m")) == 1);
    }

    // Guards against daemons that disagree on what is quarantined. Whatever crashes and answers
    // they see, and in whatever order reports arrive, they agree once each has all latest reports.
    void daemonsWithAllReportsAgree()
    {
        const bool agreed = rc::check("daemons with all reports agree", [] {
            constexpr int count = 3;
            std::vector<Quarantine> daemons(count, Quarantine { QuarantineOptions() });
            MonotonicTime at;
            const auto sendReport = [&](int from, int to) {
                daemons[to].applyReport(CrashReportSource(std::to_string(from)),
                                        daemons[from].own(), at, WallTime());
            };
            const int steps = *rc::gen::inRange(0, 30);
            for (int step = 0; step < steps; ++step) {
                at += std::chrono::seconds(*rc::gen::inRange(0, 8));
                const int daemon = *rc::gen::inRange(0, count);
                const Fingerprint fingerprint("f" + std::to_string(*rc::gen::inRange(0, 2)));
                const HostId host("s" + std::to_string(*rc::gen::inRange(0, 4)));
                switch (*rc::gen::inRange(0, 4)) {
                case 0:
                    daemons[daemon].noteCompleteAnswer(fingerprint, at);
                    break;
                case 1:
                    sendReport(daemon, (daemon + 1) % count);
                    break;
                default:
                    daemons[daemon].noteCrash(request(fingerprint), host, at, WallTime());
                }
            }
            // Two rounds: a recent answer may excuse crashes that arrive in the first one.
            for (int round = 0; round < 2; ++round) {
                for (int from = 0; from < count; ++from) {
                    for (int to = 0; to < count; ++to) {
                        if (from != to)
                            sendReport(from, to);
                    }
                }
            }
            for (const char *name : { "f0", "f1" }) {
                const Fingerprint fingerprint(name);
                RC_ASSERT(daemons[0].contains(fingerprint) == daemons[1].contains(fingerprint));
                RC_ASSERT(daemons[0].contains(fingerprint) == daemons[2].contains(fingerprint));
            }
        });
        CPPUNIT_ASSERT(agreed);
    }

private:
    bool crash(const Fingerprint &fingerprint, const HostId &host,
               const std::string &account = "school")
    {
        return m_quarantine.noteCrash(request(fingerprint, account), host, m_now, WallTime());
    }

    Quarantine m_quarantine { QuarantineOptions() };
    MonotonicTime m_now { std::chrono::seconds(100) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

} // namespace
