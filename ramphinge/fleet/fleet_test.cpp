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
    CPPUNIT_TEST_SUITE_END();

public:
    void vanishedEntryIsGoneAtOnce()
    {
        ManualClock clock;
        FleetView fleet;
        fleet.put(server("a"));
        const std::uint64_t before = fleet.generation();
        CPPUNIT_ASSERT(fleet.remove(HostId("a"), clock.now()));
        CPPUNIT_ASSERT(fleet.find(HostId("a")) == nullptr);
        CPPUNIT_ASSERT(fleet.generation() != before);
        CPPUNIT_ASSERT(!fleet.remove(HostId("a"), clock.now()));
    }

    void entryThatLapsedWithTheStoreGetsTimeToComeBack()
    {
        ManualClock clock;
        FleetView fleet;
        fleet.put(server("back"));
        fleet.put(server("lost"));
        fleet.storeReturned(clock.now() + std::chrono::seconds(2));
        CPPUNIT_ASSERT(!fleet.remove(HostId("back"), clock.now()));
        CPPUNIT_ASSERT(!fleet.remove(HostId("lost"), clock.now()));
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);
