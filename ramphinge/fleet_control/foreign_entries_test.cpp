// Tests with entries that another writer put into the store: one that can't be used costs itself
// alone, whatever it holds.

#include "ramphinge/fleet_control/internal/daemon_fixture.h"
#include "ramphinge/fleet_control/quarantine_sync.h"
#include "ramphinge/fleet_control/relay_slot.h"
#include "ramphinge/fleet_control/suspicion_reporter.h"
#include "ramphinge/formation/pending_orders.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/foreign_values.h"

using namespace ramphinge;
using namespace std::chrono_literals;

namespace {

const DaemonRegistration otherDaemon {
    DaemonId("d2"), ZoneId("z"), { "10.0.0.1", 7 }, 0.5, { "10.0.0.1", 8 }
};

const char *const planText =
    R"({"epoch":9,"replicas":[{"replica":"r1","model":"m","domain":"d","epoch":4,"phase":"ready",)"
    R"("surplus":false,"hosts":["a","b"]}]})";
const char *const reportText =
    R"({"f1":{"lastSeen":1700000000000,"account":"school","route":"r","ended":["a","b"],)"
    R"("excused":["a"],"interrupted":3}})";
const char *const ordersText = R"({"loads":{"a":"m"},"unansweredJoins":{"b":"r1"}})";

// Keys that daemons write, each with a value that one could write.
std::vector<std::pair<StoreKey, std::string>> daemonEntries()
{
    return {
        { FleetKeys::plan(), planText },
        { FleetKeys::orders(), ordersText },
        { FleetKeys::linkKey(), "secret" },
        { FleetKeys::keyRequirement(), "1" },
        { FleetKeys::daemon(otherDaemon.daemon), serializeRegistration(otherDaemon) },
        { FleetKeys::contact(otherDaemon.daemon), R"(["chat","search"])" },
        { FleetKeys::suspicions(otherDaemon.daemon), R"(["r1","r2"])" },
        { FleetKeys::crashReport(otherDaemon.daemon), reportText },
        { FleetKeys::heldRequests(), reportText },
        { FleetKeys::triedRequests(), reportText },
        { FleetKeys::releasedRequests(), reportText },
        { relaySlotKey(ZoneId("z"), 3), serializeRelay(otherDaemon) },
        { StoreKey("ramphinge/unknown"), R"({"a":[1,2]})" },
    };
}

// One daemon's components that read the store's entries.
struct Reader
{
    Reader(IoContext &io, ManualClock &clock, KeyValueStore &store)
        : parts(io, clock, store, "d1"),
          quarantineSync(io, {}, store, parts.fleet, parts.dispatch.quarantine, parts.role, clock,
                         parts.log)
    { }

    // As a daemon does after each change of its view.
    void round(Yield yield)
    {
        parts.sync.round(yield);
        quarantineSync.applyStoredReports();
        parseRelayDirectory(parts.fleet.daemonKeys);
        for (const DaemonRegistration &daemon : parts.fleet.daemons())
            parts.fleet.lostServices(daemon.daemon);
    }

    DaemonParts parts;
    QuarantineSync quarantineSync;
};

class ForeignEntriesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForeignEntriesTest);
    CPPUNIT_TEST(foreignValuesAreDecodedOrErrors);
    CPPUNIT_TEST(deepEntriesAreErrors);
    CPPUNIT_TEST(foreignEntriesCostOnlyThemselves);
    CPPUNIT_TEST(unusableRegistrationsAreNoDaemons);
    CPPUNIT_TEST(relayEntryUnderAnotherKeyIsNoSlot);
    CPPUNIT_TEST(extremeTimesOfCrashesAreLimited);
    CPPUNIT_TEST(epochsThatCannotGrowAreErrors);
    CPPUNIT_TEST(unusableDaemonKeysAreCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    void foreignValuesAreDecodedOrErrors()
    {
        CPPUNIT_ASSERT(rc::check("foreign values are decoded, or errors", [] {
            for (const auto &[key, valid] : daemonEntries()) {
                const std::string value = drawForeignValue(valid);
                static_cast<void>(parsePlan(value).ok());
                static_cast<void>(parsePendingOrders(value).ok());
                static_cast<void>(parseSuspicions(value).ok());
                static_cast<void>(parseCrashReport(value, 10).ok());
                static_cast<void>(parseLostServices(value).ok());
                parseRegistration(otherDaemon.daemon, value);
                parseRelayEntry(key, { value, Revision(1) });
            }
        }));
    }

    // Guards against copies of nested entries, which take some 70 times their size in memory.
    void deepEntriesAreErrors()
    {
        constexpr std::size_t depth = 100'000;
        const std::string nested = std::string(depth, '[') + std::string(depth, ']');
        const auto withNested = [&nested](const std::string &valid) {
            return valid.substr(0, valid.size() - 1) + (valid.back() == '}' ? ",\"x\":" : ",")
                + nested + valid.back();
        };
        CPPUNIT_ASSERT(!parsePlan(withNested(planText)).ok());
        CPPUNIT_ASSERT(!parsePendingOrders(withNested(ordersText)).ok());
        CPPUNIT_ASSERT(!parseCrashReport(withNested(reportText), 10).ok());
        CPPUNIT_ASSERT(!parseSuspicions(withNested(R"(["r1"])")).ok());
        CPPUNIT_ASSERT(!parseLostServices(withNested(R"(["chat"])")).ok());
    }

    // In watches, in lists and at the start of a daemon.
    void foreignEntriesCostOnlyThemselves()
    {
        CPPUNIT_ASSERT(rc::check("foreign entries cost only themselves", [] {
            TestEnvironment env;
            env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
                store.put(catalogKey, "1");
                Reader running(io, env.clock, store);
                running.round(yield);
                for (int i = 0; i < 6; ++i) { // Longer than a proof of freshness is valid.
                    const auto &[key, valid] = *rc::gen::elementOf(daemonEntries());
                    store.put(key, drawForeignValue(valid));
                    store.put(StoreKey("server/foreign"), drawForeignValue("chat 5"));
                    const std::string added = "s" + std::to_string(i);
                    store.put(StoreKey("server/" + added), "chat");
                    running.parts.fleet.synced = *rc::gen::arbitrary<bool>();
                    Reader starting(io, env.clock, store);
                    for (Reader *reader : { &running, &starting }) {
                        reader->round(yield);
                        RC_ASSERT(reader->parts.fleet.synced);
                        RC_ASSERT(reader->parts.fleet.storeReachable);
                        RC_ASSERT(reader->parts.fleet.servers.find(HostId(added)) != nullptr);
                        RC_ASSERT(reader->parts.dispatch.freshness.isWithinBound(env.clock.now()));
                    }
                    env.clock.advance(std::chrono::seconds(1));
                }
            });
        }));
    }

    // Guards against shares of servers' capacity that are left unused, since daemons share by
    // count.
    void unusableRegistrationsAreNoDaemons()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts daemon(io, env.clock, store, "d1");
            store.put(FleetKeys::daemon(DaemonId("d1")), "z");
            store.put(FleetKeys::daemon(otherDaemon.daemon), serializeRegistration(otherDaemon));
            int number = 0;
            for (const std::string &value :
                 { std::string(), std::string(" "), std::string("\xff\xfe"), std::string("\x01"),
                   std::string(300, 'z') + " 10.0.0.1:7 1" })
                store.put(FleetKeys::daemon(DaemonId("foreign-" + std::to_string(++number))),
                          value);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT_EQUAL(2, daemon.fleet.daemonCount());
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), daemon.fleet.daemons().size());
        });
    }

    // Guards against a daemon that can't claim a slot, since it writes under the slot's own key.
    void relayEntryUnderAnotherKeyIsNoSlot()
    {
        const StoredValue stored { serializeRelay(otherDaemon), Revision(9) };
        CPPUNIT_ASSERT(parseRelayEntry(relaySlotKey(ZoneId("z"), 3), stored));
        for (const char *name : { "z/03", "z/-3", "y/3" })
            CPPUNIT_ASSERT_MESSAGE(
                name,
                !parseRelayEntry(StoreKey(std::string("ramphinge/link-relays/") + name), stored));
    }

    // Guards against overflow where ages are computed.
    void extremeTimesOfCrashesAreLimited()
    {
        for (const char *time :
             { "-9223372036854775808", "9223372036854775807", "18446744073709551615", "-1" }) {
            const Result<CrashReport> report =
                parseCrashReport(std::string(R"({"f":{"lastSeen":)") + time + "}}", 10);
            const WallTime lastSeen = report.value().begin()->second.lastSeen;
            CPPUNIT_ASSERT_MESSAGE(time, toUnixMilliseconds(lastSeen) >= 0);
            const WallTime now = ManualClock().wallNow();
            CPPUNIT_ASSERT_MESSAGE(time, Duration(now - lastSeen) < 100 * 365 * 24h);
            CPPUNIT_ASSERT_MESSAGE(time, Duration(now - lastSeen) > -200 * 365 * 24h);
        }
    }

    // Guards against overflow: each new plan has a greater epoch.
    void epochsThatCannotGrowAreErrors()
    {
        for (const char *epoch : { "9223372036854775807", "18446744073709551615", "1e300", "-1" })
            CPPUNIT_ASSERT_MESSAGE(
                epoch, !parsePlan(std::string(R"({"replicas":[],"epoch":)") + epoch + "}").ok());
        CPPUNIT_ASSERT(parsePlan(planText).ok());
    }

    void unusableDaemonKeysAreCounted()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            Reader reader(io, env.clock, store);
            std::int64_t expected = 0;
            for (const auto &[key, valid] : daemonEntries()) {
                store.put(key, valid);
                reader.round(yield);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(key.text(), expected,
                                             reader.parts.fleet.unreadableEntries);
                // The planner alone reads the orders and suspicions; nobody reads the value of the
                // key requirement, of which the presence counts.
                const bool isRead = key != FleetKeys::linkKey()
                    && key != FleetKeys::keyRequirement() && key != StoreKey("ramphinge/unknown")
                    && key != FleetKeys::orders()
                    && key != FleetKeys::suspicions(otherDaemon.daemon);
                store.put(key, "\xff{");
                reader.round(yield);
                reader.parts.fleet.synced = false;
                reader.round(yield); // Listed again.
                expected += isRead ? 1 : 0;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(key.text(), expected,
                                             reader.parts.fleet.unreadableEntries);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignEntriesTest);

} // namespace
