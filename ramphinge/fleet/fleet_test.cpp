// Tests of the view of upstream servers: which servers are retained, and which incarnation counts.

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
    CPPUNIT_TEST(removedServerIsGoneAtOnce);
    CPPUNIT_TEST(serverIsRetainedAfterAStoreOutage);
    CPPUNIT_TEST(listReplacesAllServers);
    CPPUNIT_TEST(lastModelIsKeptAfterLeavingTheReplica);
    CPPUNIT_TEST(hostIdsRoundTrip);
    CPPUNIT_TEST(laterIncarnationReplacesTheEarlierOne);
    CPPUNIT_TEST(outdatedIncarnationIsIgnored);
    CPPUNIT_TEST(serverRestartedDuringAnOutageReplacesTheRetainedOne);
    CPPUNIT_TEST(listedLaterIncarnationReplacesTheRetainedOne);
    CPPUNIT_TEST(markedServerDrainsUntilNextEntry);
    CPPUNIT_TEST_SUITE_END();

public:
    void removedServerIsGoneAtOnce()
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

    void markedServerDrainsUntilNextEntry()
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

    void serverIsRetainedAfterAStoreOutage()
    {
        ManualClock clock;
        FleetView fleet;
        fleet.put(server("back"));
        fleet.put(server("lost"));
        fleet.startGracePeriod(clock.now() + std::chrono::seconds(2));
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

    void lastModelIsKeptAfterLeavingTheReplica()
    {
        FleetView fleet;
        UpstreamServer entry = server("a");
        entry.model = ModelId("m");
        fleet.put(entry);
        entry.model = ModelId(); // It left its replica.
        entry.stagedModels = { ModelId("n") };
        fleet.put(entry);
        const UpstreamServer *seen = fleet.find(HostId("a"));
        CPPUNIT_ASSERT(seen->isWarmFor(ModelId("m")));
        CPPUNIT_ASSERT(seen->isWarmFor(ModelId("n")));
        CPPUNIT_ASSERT(!seen->isWarmFor(ModelId("o")));
    }

    void listReplacesAllServers()
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

    void hostIdsRoundTrip()
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

    // Guards against data of the earlier incarnation, such as its last model, that is taken for the
    // later one's.
    void laterIncarnationReplacesTheEarlierOne()
    {
        FleetView fleet;
        UpstreamServer entry = server("a@5");
        entry.model = ModelId("m");
        CPPUNIT_ASSERT(fleet.put(entry) == PutOutcome::Stored);
        CPPUNIT_ASSERT(fleet.put(server("a@9")) == PutOutcome::Restarted);
        CPPUNIT_ASSERT(fleet.find(HostId("a@5")) == nullptr);
        CPPUNIT_ASSERT(!fleet.find(HostId("a@9"))->isWarmFor(ModelId("m")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.servers().size());
        ManualClock clock;
        CPPUNIT_ASSERT(fleet.remove(ServerName("a"), clock.now()));
        CPPUNIT_ASSERT(fleet.servers().empty());
    }

    void outdatedIncarnationIsIgnored()
    {
        ManualClock clock;
        FleetView fleet;
        fleet.put(server("a@9"));
        const std::uint64_t before = fleet.generation();
        CPPUNIT_ASSERT(fleet.put(server("a@5")) == PutOutcome::Outdated);
        CPPUNIT_ASSERT(fleet.put(server("a")) == PutOutcome::Outdated); // No start time.
        CPPUNIT_ASSERT_EQUAL(before, fleet.generation());
        fleet.remove(ServerName("a"), clock.now());
        CPPUNIT_ASSERT(fleet.put(server("a@5")) == PutOutcome::Outdated);
        CPPUNIT_ASSERT(fleet.servers().empty());
        CPPUNIT_ASSERT(fleet.put(server("a@9")) == PutOutcome::Stored);
    }

    void serverRestartedDuringAnOutageReplacesTheRetainedOne()
    {
        ManualClock clock;
        FleetView fleet;
        fleet.put(server("a@5"));
        fleet.startGracePeriod(clock.now() + std::chrono::seconds(2));
        CPPUNIT_ASSERT(!fleet.remove(ServerName("a"), clock.now())); // Retained: it may come back.
        CPPUNIT_ASSERT(fleet.put(server("a@9")) == PutOutcome::Restarted);
        clock.advance(std::chrono::seconds(3));
        CPPUNIT_ASSERT(fleet.expire(clock.now()).empty());
        CPPUNIT_ASSERT(fleet.find(HostId("a@5")) == nullptr);
        CPPUNIT_ASSERT(fleet.find(HostId("a@9")) != nullptr);
    }

    void listedLaterIncarnationReplacesTheRetainedOne()
    {
        ManualClock clock;
        FleetView fleet;
        fleet.put(server("a@5"));
        fleet.startGracePeriod(clock.now() + std::chrono::seconds(2));
        fleet.replaceAll({ server("a@9") }, clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.servers().size());
        CPPUNIT_ASSERT(fleet.find(HostId("a@9")) != nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);
