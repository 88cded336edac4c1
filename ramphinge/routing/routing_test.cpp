// Tests of routing: bounded cache affinity, zones, capped ejection of outliers, load between
// reports.

#include "ramphinge/routing/policies.h"
#include "ramphinge/routing/replica_table.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

Candidate candidate(const std::string &id, double load, bool local = true)
{
    Candidate made;
    made.replica = ReplicaId(id);
    made.localZone = local;
    made.zoneLatency = local ? Duration::zero() : std::chrono::microseconds(1500);
    made.load = load;
    made.slots = 32;
    return made;
}

ReplicaEntry entry(const std::string &id)
{
    return { ReplicaId(id), Epoch(1),           ModelId("m@1"),
             ZoneId("a"),   { "127.0.0.1", 1 }, { HostId(id + "-h0"), HostId(id + "-h1") } };
}

} // namespace

class RoutingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingTest);
    CPPUNIT_TEST(samePrefixGoesToTheSameReplica);
    CPPUNIT_TEST(affinityIsIgnoredWhenHomesExceedTheLoadBound);
    CPPUNIT_TEST(localZoneIsPreferredUntilItIsFull);
    CPPUNIT_TEST(triedReplicasAreNotTriedAgain);
    CPPUNIT_TEST(slowReplicaIsEjectedAndReturnsBySlowStart);
    CPPUNIT_TEST(neverEjectsMoreThanTheCap);
    CPPUNIT_TEST(requestsSentSinceTheReportCountAsLoad);
    CPPUNIT_TEST(replicaWithAnUnusableHostIsNoCandidate);
    CPPUNIT_TEST(daemonsSplitTheBatchAndBorrowUnusedSlots);
    CPPUNIT_TEST_SUITE_END();

public:
    void samePrefixGoesToTheSameReplica()
    {
        const auto policy = makeAffinityPolicy({});
        const std::vector<Candidate> all { candidate("r1", 0.2), candidate("r2", 0.2),
                                           candidate("r3", 0.2) };
        const auto first = policy->choose({ 42, {} }, all);
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT(first == policy->choose({ 42, {} }, all));
    }

    void affinityIsIgnoredWhenHomesExceedTheLoadBound()
    {
        AffinityOptions options;
        options.homes = 1;
        const auto policy = makeAffinityPolicy(options);
        std::vector<Candidate> all { candidate("r1", 0.2), candidate("r2", 0.2),
                                     candidate("r3", 0.2) };
        const std::size_t home = *policy->choose({ 42, {} }, all);
        all[home].load = 0.9;
        CPPUNIT_ASSERT(*policy->choose({ 42, {} }, all) != home);
    }

    void localZoneIsPreferredUntilItIsFull()
    {
        const auto policy = makeAffinityPolicy({});
        std::vector<Candidate> all { candidate("far", 0.0, false), candidate("near", 0.9) };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, *policy->choose({ 0, {} }, all));
        all[1].load = 1.2;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, *policy->choose({ 0, {} }, all));
    }

    void triedReplicasAreNotTriedAgain()
    {
        const auto policy = makeAffinityPolicy({});
        const std::vector<Candidate> all { candidate("r1", 0.0) };
        CPPUNIT_ASSERT(!policy->choose({ 7, { ReplicaId("r1") } }, all));
    }

    void slowReplicaIsEjectedAndReturnsBySlowStart()
    {
        ManualClock clock;
        OutlierDetector outliers({});
        const std::vector<ReplicaId> alike { ReplicaId("a"), ReplicaId("b"), ReplicaId("c") };
        for (int i = 0; i < 10; ++i) {
            outliers.observe(alike[0], std::chrono::milliseconds(10), clock.now());
            outliers.observe(alike[1], std::chrono::milliseconds(11), clock.now());
            outliers.observe(alike[2], std::chrono::milliseconds(100), clock.now());
        }
        CPPUNIT_ASSERT_EQUAL(1.0, outliers.admission(alike[0], alike, clock.now()));
        CPPUNIT_ASSERT_EQUAL(0.0, outliers.admission(alike[2], alike, clock.now()));
        clock.advance(std::chrono::seconds(10));
        const double returning = outliers.admission(alike[2], alike, clock.now());
        CPPUNIT_ASSERT(returning > 0 && returning < 0.2);
        clock.advance(std::chrono::seconds(10));
        CPPUNIT_ASSERT_EQUAL(1.0, outliers.admission(alike[2], alike, clock.now()));
    }

    void neverEjectsMoreThanTheCap()
    {
        ManualClock clock;
        OutlierDetector outliers({});
        std::vector<ReplicaId> alike;
        for (int i = 0; i < 6; ++i)
            alike.emplace_back("r" + std::to_string(i));
        for (const ReplicaId &id : alike) {
            for (int i = 0; i < 3; ++i)
                outliers.observeFailure(id, clock.now());
        }
        int ejected = 0;
        for (const ReplicaId &id : alike)
            ejected += outliers.admission(id, alike, clock.now()) == 0 ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(2, ejected);
    }

    void requestsSentSinceTheReportCountAsLoad()
    {
        ManualClock clock;
        ReplicaTable table({ ZoneId("a"), {}, {}, {}, 1.0 });
        table.setReplicas({ entry("r1"), entry("r2") }, clock.now());
        table.report(ReplicaId("r1"), { 0, 0, 10 });
        table.report(ReplicaId("r2"), { 3, 0, 10 });
        const auto policy = makeLeastLoadedPolicy();
        std::map<ReplicaId, int> sent;
        for (int i = 0; i < 7; ++i) {
            const auto all = table.candidates(ModelId("m@1"), clock.now());
            const ReplicaId chosen = all[*policy->choose({ 0, {} }, all)].replica;
            table.began(chosen);
            ++sent[chosen];
        }
        CPPUNIT_ASSERT_EQUAL(5, sent[ReplicaId("r1")]);
        CPPUNIT_ASSERT_EQUAL(2, sent[ReplicaId("r2")]);
    }

    void replicaWithAnUnusableHostIsNoCandidate()
    {
        ManualClock clock;
        ReplicaTable table({ ZoneId("a"), {}, {}, {}, 1.0 });
        table.setReplicas({ entry("r1"), entry("r2") }, clock.now());
        table.setUnusableHosts({ HostId("r1-h1") });
        const auto all = table.candidates(ModelId("m@1"), clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, all.size());
        CPPUNIT_ASSERT_EQUAL(ReplicaId("r2"), all[0].replica);
        CPPUNIT_ASSERT(!table.find(ReplicaId("r1")));
    }

    void daemonsSplitTheBatchAndBorrowUnusedSlots()
    {
        ManualClock clock;
        ReplicaTable table({ ZoneId("a"), {}, {}, {}, 1.0 });
        table.setReplicas({ entry("r1") }, clock.now());
        table.setSharers(4);
        const auto slots = [&] { return table.slotCount(ModelId("m@1"), clock.now()).free; };
        // Idle engine: borrows the whole batch within three reports, never more.
        for (int i = 0; i < 3; ++i)
            table.report(ReplicaId("r1"), { 0, 0, 8 });
        CPPUNIT_ASSERT_EQUAL(8, slots());
        table.report(ReplicaId("r1"), { 0, 0, 8 });
        CPPUNIT_ASSERT_EQUAL(8, slots());
        // Requests wait at the engine: back to this daemon's quarter after a few reports.
        for (int i = 0; i < 4; ++i)
            table.report(ReplicaId("r1"), { 8, 3, 8 });
        CPPUNIT_ASSERT_EQUAL(2, slots());
        // Full without waiting requests: unchanged. One slot free: borrowing grows.
        table.report(ReplicaId("r1"), { 8, 0, 8 });
        CPPUNIT_ASSERT_EQUAL(2, slots());
        for (int i = 0; i < 2; ++i)
            table.report(ReplicaId("r1"), { 7, 0, 8 });
        CPPUNIT_ASSERT(slots() >= 3);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);
