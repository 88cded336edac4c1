// Tests of the view of upstream servers: whom to believe gone.

#include "ramphinge/fleet/fleet_view.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

UpstreamServer server(const std::string &host)
{
    UpstreamServer entry;
    entry.host = HostId(host);
    return entry;
}

} // namespace

class FleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetTest);
    CPPUNIT_TEST(vanishedEntryIsGoneAtOnce);
    CPPUNIT_TEST(entryThatLapsedWithTheStoreGetsTimeToComeBack);
    CPPUNIT_TEST(freshListReplacesAll);
    CPPUNIT_TEST(lastModelOutlivesTheReplica);
    CPPUNIT_TEST(incarnationsSurviveTheirHostId);
    CPPUNIT_TEST(laterLifeEndsTheEarlierOne);
    CPPUNIT_TEST(earlierLifeThatComesLateChangesNothing);
    CPPUNIT_TEST(restartBehindAnOutageIsNoServerThatIsBack);
    CPPUNIT_TEST(listWithALaterLifeReplacesTheEarlierOne);
    CPPUNIT_TEST(markedServerDrainsUntilItsNextEntry);
    CPPUNIT_TEST_SUITE_END();

public:
    void vanishedEntryIsGoneAtOnce()
    {
        ManualClock clock;
        FleetView fleet;
        fleet.put(server("a"));
        const std::uint64_t before = fleet.generation();
        CPPUNIT_ASSERT(fleet.remove(ServerName("a"), clock.now()));
        CPPUNIT_ASSERT(fleet.find(HostId("a")) == nullptr);
        CPPUNIT_ASSERT(fleet.generation() != before);
        CPPUNIT_ASSERT(!fleet.remove(ServerName("a"), clock.now()));
    }

    void markedServerDrainsUntilItsNextEntry()
    {
        FleetView fleet;
        fleet.put(server("a"));
        const std::uint64_t before = fleet.generation();
        CPPUNIT_ASSERT(fleet.markDraining(HostId("a")));
        CPPUNIT_ASSERT(fleet.find(HostId("a"))->draining);
        CPPUNIT_ASSERT(fleet.generation() != before);
        CPPUNIT_ASSERT(!fleet.markDraining(HostId("a")));
        CPPUNIT_ASSERT(!fleet.markDraining(HostId("unknown")));
        fleet.put(server("a"));
        CPPUNIT_ASSERT(!fleet.find(HostId("a"))->draining);
    }

    void entryThatLapsedWithTheStoreGetsTimeToComeBack()
    {
        ManualClock clock;
        FleetView fleet;
        fleet.put(server("back"));
        fleet.put(server("lost"));
        fleet.storeReturned(clock.now() + std::chrono::seconds(2));
        CPPUNIT_ASSERT(!fleet.remove(ServerName("back"), clock.now()));
        CPPUNIT_ASSERT(!fleet.remove(ServerName("lost"), clock.now()));
        CPPUNIT_ASSERT(fleet.find(HostId("lost")) != nullptr);
        clock.advance(std::chrono::seconds(1));
        fleet.put(server("back"));
        CPPUNIT_ASSERT(fleet.expire(clock.now()).empty());
        clock.advance(std::chrono::seconds(1));
        const std::vector<HostId> gone = fleet.expire(clock.now());
        CPPUNIT_ASSERT(gone == std::vector<HostId> { HostId("lost") });
        CPPUNIT_ASSERT(fleet.find(HostId("back")) != nullptr);
        CPPUNIT_ASSERT(fleet.find(HostId("lost")) == nullptr);
    }

    void lastModelOutlivesTheReplica()
    {
        FleetView fleet;
        UpstreamServer entry = server("a");
        entry.model = ModelId("m");
        fleet.put(entry);
        entry.model = ModelId(); // It has left its replica.
        entry.stagedModels = { ModelId("n") };
        fleet.put(entry);
        const UpstreamServer *seen = fleet.find(HostId("a"));
        CPPUNIT_ASSERT(seen->isWarmFor(ModelId("m")));
        CPPUNIT_ASSERT(seen->isWarmFor(ModelId("n")));
        CPPUNIT_ASSERT(!seen->isWarmFor(ModelId("o")));
    }

    void freshListReplacesAll()
    {
        ManualClock clock;
        FleetView fleet;
        fleet.put(server("a"));
        fleet.put(server("b"));
        fleet.replaceAll({ server("b"), server("c") }, clock.now());
        CPPUNIT_ASSERT(fleet.find(HostId("a")) == nullptr);
        CPPUNIT_ASSERT(fleet.find(HostId("b")) != nullptr);
        CPPUNIT_ASSERT(fleet.find(HostId("c")) != nullptr);
    }

    void incarnationsSurviveTheirHostId()
    {
        for (const char *name : { "i-7", "a@b", "a@12", "@", "x@" }) {
            for (const int start : { 0, 5 }) {
                const Incarnation before { ServerName(name), StartTime(start) };
                const Incarnation after = incarnationOf(hostIdOf(before));
                CPPUNIT_ASSERT_EQUAL(before.name, after.name);
                CPPUNIT_ASSERT_EQUAL(before.startedAt, after.startedAt);
            }
        }
        CPPUNIT_ASSERT_EQUAL(HostId("i-7"), hostIdOf({ ServerName("i-7"), {} }));
    }

    // What was known of the earlier life, such as its last model, is not the later one's.
    void laterLifeEndsTheEarlierOne()
    {
        FleetView fleet;
        UpstreamServer entry = server("a@5");
        entry.model = ModelId("m");
        CPPUNIT_ASSERT(fleet.put(entry) == PutOutcome::Taken);
        CPPUNIT_ASSERT(fleet.put(server("a@9")) == PutOutcome::Restarted);
        CPPUNIT_ASSERT(fleet.find(HostId("a@5")) == nullptr);
        CPPUNIT_ASSERT(!fleet.find(HostId("a@9"))->isWarmFor(ModelId("m")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.servers().size());
        ManualClock clock;
        CPPUNIT_ASSERT(fleet.remove(ServerName("a"), clock.now()));
        CPPUNIT_ASSERT(fleet.servers().empty());
    }

    void earlierLifeThatComesLateChangesNothing()
    {
        ManualClock clock;
        FleetView fleet;
        fleet.put(server("a@9"));
        const std::uint64_t before = fleet.generation();
        CPPUNIT_ASSERT(fleet.put(server("a@5")) == PutOutcome::Outdated);
        CPPUNIT_ASSERT(fleet.put(server("a")) == PutOutcome::Outdated); // It doesn't say any more.
        CPPUNIT_ASSERT_EQUAL(before, fleet.generation());
        fleet.remove(ServerName("a"), clock.now());
        CPPUNIT_ASSERT(fleet.put(server("a@5")) == PutOutcome::Outdated);
        CPPUNIT_ASSERT(fleet.servers().empty());
        CPPUNIT_ASSERT(fleet.put(server("a@9")) == PutOutcome::Taken);
    }

    void restartBehindAnOutageIsNoServerThatIsBack()
    {
        ManualClock clock;
        FleetView fleet;
        fleet.put(server("a@5"));
        fleet.storeReturned(clock.now() + std::chrono::seconds(2));
        CPPUNIT_ASSERT(!fleet.remove(ServerName("a"), clock.now())); // Kept: it may be back.
        CPPUNIT_ASSERT(fleet.put(server("a@9")) == PutOutcome::Restarted);
        clock.advance(std::chrono::seconds(3));
        CPPUNIT_ASSERT(fleet.expire(clock.now()).empty());
        CPPUNIT_ASSERT(fleet.find(HostId("a@5")) == nullptr);
        CPPUNIT_ASSERT(fleet.find(HostId("a@9")) != nullptr);
    }

    void listWithALaterLifeReplacesTheEarlierOne()
    {
        ManualClock clock;
        FleetView fleet;
        fleet.put(server("a@5"));
        fleet.storeReturned(clock.now() + std::chrono::seconds(2));
        fleet.replaceAll({ server("a@9") }, clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.servers().size());
        CPPUNIT_ASSERT(fleet.find(HostId("a@9")) != nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);
