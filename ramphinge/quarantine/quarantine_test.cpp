// Tests of request identities, and of holding back requests that crash servers.

#include <rapidcheck.h>

#include "ramphinge/quarantine/quarantine.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

class FingerprintTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FingerprintTest);
    CPPUNIT_TEST(isTheSameForTheSameIdentity);
    CPPUNIT_TEST(differsInEachPart);
    CPPUNIT_TEST(differsByKey);
    CPPUNIT_TEST(doesNotMixNeighbouringParts);
    CPPUNIT_TEST_SUITE_END();

public:
    void isTheSameForTheSameIdentity()
    {
        CPPUNIT_ASSERT_EQUAL(fingerprintOf("k", identity()), fingerprintOf("k", identity()));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 32 }, fingerprintOf("k", identity()).text().size());
    }

    void differsInEachPart()
    {
        const RequestFingerprint original = fingerprintOf("k", identity());
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

    void differsByKey()
    {
        CPPUNIT_ASSERT(fingerprintOf("k", identity()) != fingerprintOf("l", identity()));
    }

    void doesNotMixNeighbouringParts()
    {
        CPPUNIT_ASSERT(fingerprintOf("k", { "GET", "ab", "c", "", {} })
                       != fingerprintOf("k", { "GET", "a", "bc", "", {} }));
    }

private:
    static RequestIdentity identity()
    {
        return { "POST", "h.example", "/a?b=1", "a body", AccountId("school") };
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FingerprintTest);

const RequestFingerprint harmful("f1");
const RequestFingerprint other("f2");
const CrashReportSource peer("peer");
const CrashReportSource otherPeer("other peer");
const HostId first("s1");
const HostId second("s2");
const HostId third("s3");

SuspectRequest request(const RequestFingerprint &fingerprint, const std::string &account = "school")
{
    return { fingerprint, AccountId(account), "route" };
}

// A report that tells of these ends under `harmful`.
CrashReport ends(const std::set<HostId> &hosts, const std::set<HostId> &excused = {})
{
    CrashRecord record;
    record.account = AccountId("school");
    record.ended = hosts;
    record.excused = excused;
    return { { harmful, record } };
}

class QuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineTest);
    CPPUNIT_TEST(holdsBackAfterTwoEnds);
    CPPUNIT_TEST(countsALifeOnceWhoeverSawItEnd);
    CPPUNIT_TEST(addsUpWhatSeveralDaemonsSaw);
    CPPUNIT_TEST(wholeAnswerExcusesAllEndsThatAreKnown);
    CPPUNIT_TEST(endsAfterAWholeAnswerCountAnew);
    CPPUNIT_TEST(answerProvesAlsoForNewsThatComeLater);
    CPPUNIT_TEST(answerOfLongAgoProvesNothing);
    CPPUNIT_TEST(excuseOfOthersCounts);
    CPPUNIT_TEST(endIsPutDownToTheRequestThatExplainsMost);
    CPPUNIT_TEST(requestThatMetTwoHarmfulOnesIsLetGo);
    CPPUNIT_TEST(allAreHeldWhileNothingTellsThemApart);
    CPPUNIT_TEST(keepsWhatADaemonToldThatIsGone);
    CPPUNIT_TEST(reportThatVanishesIsForgotten);
    CPPUNIT_TEST(suspicionEndsInTimeAndHoldingDoesNotByOthersReports);
    CPPUNIT_TEST(oneAccountDoesNotPushOutAnother);
    CPPUNIT_TEST(goesOnFromItsEarlierLife);
    CPPUNIT_TEST(reportIsReadAsItWasWritten);
    CPPUNIT_TEST(damagedReportsAreRefusedOrReadInPart);
    CPPUNIT_TEST(keepsTheNewestOfEachAccount);
    CPPUNIT_TEST(daemonsThatHeardAllAgree);
    CPPUNIT_TEST_SUITE_END();

public:
    void holdsBackAfterTwoEnds()
    {
        CPPUNIT_ASSERT(m_quarantine.empty());
        CPPUNIT_ASSERT(!end(harmful, first));
        CPPUNIT_ASSERT(!m_quarantine.holds(harmful));
        CPPUNIT_ASSERT(end(harmful, second));
        CPPUNIT_ASSERT(m_quarantine.holds(harmful));
        CPPUNIT_ASSERT(!m_quarantine.holds(other));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_quarantine.held().size());
    }

    void countsALifeOnceWhoeverSawItEnd()
    {
        end(harmful, first);
        end(harmful, first);
        m_quarantine.hear(peer, ends({ first }), m_now);
        CPPUNIT_ASSERT(!m_quarantine.holds(harmful));
    }

    void addsUpWhatSeveralDaemonsSaw()
    {
        m_quarantine.hear(peer, ends({ first }), m_now);
        CPPUNIT_ASSERT(!m_quarantine.holds(harmful));
        m_quarantine.hear(otherPeer, ends({ second }), m_now);
        CPPUNIT_ASSERT(m_quarantine.holds(harmful));
    }

    void wholeAnswerExcusesAllEndsThatAreKnown()
    {
        m_quarantine.hear(peer, ends({ first }), m_now);
        end(harmful, second);
        CPPUNIT_ASSERT(m_quarantine.holds(harmful));
        CPPUNIT_ASSERT(m_quarantine.noteAnswered(harmful, m_now));
        CPPUNIT_ASSERT(!m_quarantine.holds(harmful));
        // A third daemon that hears both holds nothing back either.
        Quarantine third { QuarantineOptions() };
        third.hear(peer, ends({ first, second }), m_now);
        third.hear(otherPeer, m_quarantine.own(), m_now);
        CPPUNIT_ASSERT(!third.holds(harmful));
        CPPUNIT_ASSERT(third.empty());
    }

    void endsAfterAWholeAnswerCountAnew()
    {
        end(harmful, first);
        m_quarantine.noteAnswered(harmful, m_now);
        m_now += std::chrono::seconds(11);
        end(harmful, second);
        CPPUNIT_ASSERT(!m_quarantine.holds(harmful));
        end(harmful, third);
        CPPUNIT_ASSERT(m_quarantine.holds(harmful));
    }

    // Two servers that run a request which many ask die together; the answers of the others come
    // before the news of it.
    void answerProvesAlsoForNewsThatComeLater()
    {
        CPPUNIT_ASSERT(!m_quarantine.noteAnswered(harmful, m_now));
        m_now += std::chrono::seconds(2);
        m_quarantine.hear(peer, ends({ first, second }), m_now);
        CPPUNIT_ASSERT(!m_quarantine.holds(harmful));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_quarantine.own().at(harmful).excused.size());
    }

    void answerOfLongAgoProvesNothing()
    {
        m_quarantine.noteAnswered(harmful, m_now);
        m_now += std::chrono::seconds(10);
        m_quarantine.hear(peer, ends({ first, second }), m_now);
        CPPUNIT_ASSERT(m_quarantine.holds(harmful));
    }

    void excuseOfOthersCounts()
    {
        end(harmful, first);
        end(harmful, second);
        m_quarantine.hear(peer, ends({}, { first }), m_now);
        CPPUNIT_ASSERT(!m_quarantine.holds(harmful));
    }

    void endIsPutDownToTheRequestThatExplainsMost()
    {
        for (const HostId &server : { first, second }) {
            end(harmful, server);
            end(other, server); // Was there both times.
        }
        end(harmful, third);
        CPPUNIT_ASSERT(m_quarantine.holds(harmful));
        CPPUNIT_ASSERT(!m_quarantine.holds(other));
    }

    // As one that many callers ask does before long.
    void requestThatMetTwoHarmfulOnesIsLetGo()
    {
        const RequestFingerprint alsoHarmful("f3");
        end(other, first);
        end(other, third);
        CPPUNIT_ASSERT(m_quarantine.holds(other)); // As far as is known.
        for (const char *server : { "s1", "a", "b" })
            end(harmful, HostId(server));
        for (const char *server : { "s3", "c", "d" })
            end(alsoHarmful, HostId(server));
        CPPUNIT_ASSERT(m_quarantine.holds(harmful));
        CPPUNIT_ASSERT(m_quarantine.holds(alsoHarmful));
        CPPUNIT_ASSERT(!m_quarantine.holds(other));
    }

    void allAreHeldWhileNothingTellsThemApart()
    {
        for (const HostId &server : { first, second }) {
            end(harmful, server);
            end(other, server);
        }
        CPPUNIT_ASSERT(m_quarantine.holds(harmful));
        CPPUNIT_ASSERT(m_quarantine.holds(other));
    }

    void keepsWhatADaemonToldThatIsGone()
    {
        m_quarantine.hear(peer, ends({ first, second }), m_now);
        m_now += std::chrono::hours(1);
        m_quarantine.expire(m_now);
        CPPUNIT_ASSERT(m_quarantine.holds(harmful)); // For as long as the store keeps the report.
    }

    void reportThatVanishesIsForgotten()
    {
        m_quarantine.hear(peer, ends({ first, second }), m_now);
        m_quarantine.forget(peer);
        m_quarantine.forget(otherPeer);
        CPPUNIT_ASSERT(m_quarantine.empty());
    }

    void suspicionEndsInTimeAndHoldingDoesNotByOthersReports()
    {
        end(harmful, first);
        const std::uint64_t before = m_quarantine.ownVersion();
        m_now += std::chrono::minutes(5);
        m_quarantine.expire(m_now);
        CPPUNIT_ASSERT(m_quarantine.empty());
        CPPUNIT_ASSERT(m_quarantine.ownVersion() != before);
    }

    void oneAccountDoesNotPushOutAnother()
    {
        end(harmful, first, "modest");
        for (int i = 0; i < 1000; ++i) {
            m_now += std::chrono::milliseconds(1);
            end(RequestFingerprint("many" + std::to_string(i)), first, "greedy");
        }
        CPPUNIT_ASSERT_EQUAL(QuarantineOptions().maxRequestsPerAccount + 1,
                             m_quarantine.own().size());
        CPPUNIT_ASSERT(end(harmful, second, "modest"));
    }

    void goesOnFromItsEarlierLife()
    {
        m_quarantine.adopt(ends({ first }), m_now);
        CPPUNIT_ASSERT(end(harmful, second));
        CPPUNIT_ASSERT_EQUAL(2, m_quarantine.own().at(harmful).ends());
    }

    void reportIsReadAsItWasWritten()
    {
        CrashReport report = ends({ first, second }, { second });
        report[harmful].route = "a \"route\"";
        report[harmful].lastSeen = fromUnixMilliseconds(17);
        const Result<CrashReport> read = parseCrashReport(serializeCrashReport(report), 10);
        CPPUNIT_ASSERT(read.ok());
        const CrashRecord &record = read.value().at(harmful);
        CPPUNIT_ASSERT_EQUAL(1, record.ends());
        CPPUNIT_ASSERT_EQUAL(std::string("a \"route\""), record.route);
        CPPUNIT_ASSERT_EQUAL(std::string("school"), record.account.text());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 17 }, toUnixMilliseconds(record.lastSeen));
    }

    void damagedReportsAreRefusedOrReadInPart()
    {
        for (const char *text : { "", "[", "[]", "3", R"({"f":3})" })
            CPPUNIT_ASSERT(!parseCrashReport(text, 10).ok());
        CPPUNIT_ASSERT(!parseCrashReport(std::string(2 << 20, '['), 10).ok());
        const Result<CrashReport> odd =
            parseCrashReport(R"({"f":{"ended":[1,"s",[]],"excused":7,"lastSeen":"x"}})", 10);
        CPPUNIT_ASSERT(odd.ok());
        CPPUNIT_ASSERT_EQUAL(1, odd.value().begin()->second.ends());
        const Result<CrashReport> many = parseCrashReport(R"({"a":{},"b":{},"c":{}})", 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, many.value().size());
    }

    void keepsTheNewestOfEachAccount()
    {
        CrashReport report;
        for (int i = 0; i < 5; ++i) {
            CrashRecord &record = report[RequestFingerprint("g" + std::to_string(i))];
            record.account = AccountId("greedy");
            record.lastSeen = fromUnixMilliseconds(100 + i);
        }
        report[RequestFingerprint("m")].account = AccountId("modest");
        const CrashReport kept = newestOf(report, 3, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, kept.size());
        CPPUNIT_ASSERT(kept.count(RequestFingerprint("g4")) == 1);
        CPPUNIT_ASSERT(kept.count(RequestFingerprint("m")) == 1);
    }

    // Whatever daemons see and in whatever order their reports arrive: once all have heard the last
    // report of everybody, they hold back the same.
    void daemonsThatHeardAllAgree()
    {
        const bool agreed = rc::check("daemons that heard all agree", [] {
            constexpr int count = 3;
            std::vector<Quarantine> daemons(count, Quarantine { QuarantineOptions() });
            MonotonicTime at;
            const auto tell = [&](int from, int to) {
                daemons[to].hear(CrashReportSource(std::to_string(from)), daemons[from].own(), at);
            };
            const int steps = *rc::gen::inRange(0, 30);
            for (int step = 0; step < steps; ++step) {
                at += std::chrono::seconds(*rc::gen::inRange(0, 8));
                const int daemon = *rc::gen::inRange(0, count);
                const RequestFingerprint fingerprint("f" + std::to_string(*rc::gen::inRange(0, 2)));
                const HostId host("s" + std::to_string(*rc::gen::inRange(0, 4)));
                switch (*rc::gen::inRange(0, 4)) {
                case 0:
                    daemons[daemon].noteAnswered(fingerprint, at);
                    break;
                case 1:
                    tell(daemon, (daemon + 1) % count);
                    break;
                default:
                    daemons[daemon].noteEnd(request(fingerprint), host, at, WallTime());
                }
            }
            // Twice: an answer that proves may excuse what is heard only now.
            for (int round = 0; round < 2; ++round) {
                for (int from = 0; from < count; ++from) {
                    for (int to = 0; to < count; ++to) {
                        if (from != to)
                            tell(from, to);
                    }
                }
            }
            for (const char *name : { "f0", "f1" }) {
                const RequestFingerprint fingerprint(name);
                RC_ASSERT(daemons[0].holds(fingerprint) == daemons[1].holds(fingerprint));
                RC_ASSERT(daemons[0].holds(fingerprint) == daemons[2].holds(fingerprint));
            }
        });
        CPPUNIT_ASSERT(agreed);
    }

private:
    bool end(const RequestFingerprint &fingerprint, const HostId &host,
             const std::string &account = "school")
    {
        return m_quarantine.noteEnd(request(fingerprint, account), host, m_now, WallTime());
    }

    Quarantine m_quarantine { QuarantineOptions() };
    MonotonicTime m_now { std::chrono::seconds(100) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

} // namespace
