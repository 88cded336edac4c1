// Tests of the daemon's view of the store: changes, damaged documents, outages, and how long
// servers are retained that the store can't confirm.

#include <stdexcept>

#include <boost/asio/post.hpp>

#include "ramphinge/fleet_control/internal/daemon_fixture.h"
#include "ramphinge/fleet_control/write_once_key.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

// A daemon that becomes the planner and writes the key requirement.
struct KeyRequirementWriter
{
    KeyRequirementWriter(IoContext &io, TestEnvironment &env, MemoryKeyValueStore &store)
        : parts(io, env.clock, store, "d1"),
          writer(io, env.clock, keyRequirementOptions(parts.dispatch), store, parts.fleet,
                 parts.role, parts.log)
    { }

    void round(Yield yield)
    {
        parts.sync.round(yield);
        parts.role.round(yield);
        writer.round(yield);
    }

    DaemonParts parts;
    WriteOnceKey writer;
};

} // namespace

class StoreSyncTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreSyncTest);
    CPPUNIT_TEST(viewFollowsTheStore);
    CPPUNIT_TEST(storeIsListedAgainAfterLostHistory);
    CPPUNIT_TEST(storeIsListedAgainAfterAnException);
    CPPUNIT_TEST(entryWhoseDecoderThrowsCostsOnlyItself);
    CPPUNIT_TEST(catalogWhoseDecoderThrowsProvesNoFreshness);
    CPPUNIT_TEST(droppedEntryIsCountedOnceARevision);
    CPPUNIT_TEST(evacuationLastsWhileItsKeyExists);
    CPPUNIT_TEST(olderCatalogIsIgnored);
    CPPUNIT_TEST(onlyNewestCatalogOfAnAnswerIsDecoded);
    CPPUNIT_TEST(viewChangesAtOnceAfterSlicedDecoding);
    CPPUNIT_TEST(damagedDocumentsChangeNothing);
    CPPUNIT_TEST(damagedEntryDropsOnlyItsServer);
    CPPUNIT_TEST(restartBetweenTwoWatchesIsDetected);
    CPPUNIT_TEST(restartDuringAStoreOutageIsDetected);
    CPPUNIT_TEST(watchProvesFreshnessOutageDoesNot);
    CPPUNIT_TEST(truncatedAnswersProveNoFreshness);
    CPPUNIT_TEST(truncatedAnswersAreFollowedWithoutDelay);
    CPPUNIT_TEST(serversWithLapsedEntriesAreRetainedBriefly);
    CPPUNIT_TEST(retainedServersExpireWithinTheConnectivityGrace);
    CPPUNIT_TEST(retainedServersHaveTimeToRegisterAgain);
    CPPUNIT_TEST(noServerIsRetainedAfterAShortOutage);
    CPPUNIT_TEST(stalledConnectionIsDetectedInTime);
    CPPUNIT_TEST(stalledConnectionDoesNotExtendRetention);
    CPPUNIT_TEST(rejectedCallsAfterAnOutageDoNotExtendRetention);
    CPPUNIT_TEST(outageOfOneCallBeginsAtTheLastAnswer);
    CPPUNIT_TEST(retentionEndsAfterTheReturnGrace);
    CPPUNIT_TEST(serversAreRetainedThroughASecondOutage);
    CPPUNIT_TEST(laterRejectedCallDoesNotExtendRetention);
    CPPUNIT_TEST(unreadableCatalogProvesNoFreshness);
    CPPUNIT_TEST(restartedDaemonKnowsThatKeysWereRequired);
    CPPUNIT_TEST(keyRequirementIsWrittenOnceByThePlanner);
    CPPUNIT_TEST(olderWatchAnswerDoesNotReplaceOwnWrite);
    CPPUNIT_TEST(listReplacesOlderOwnWritesOnly);
    CPPUNIT_TEST(batchingFitsTheBounds);
    CPPUNIT_TEST_SUITE_END();

public:
    void viewFollowsTheStore()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(catalogKey, "3");
            store.put(StoreKey("server/a"), "chat");
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.synced);
            CPPUNIT_ASSERT(daemon.dispatch.catalog->version() == CatalogVersion(3));
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a")) != nullptr);
            // The start counts as the end of an outage.
            env.clock.advance(std::chrono::seconds(3));
            store.put(StoreKey("server/b"), "chat");
            store.erase(StoreKey("server/a"));
            store.put(catalogKey, "5");
            const int before = daemon.changes;
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.changes > before);
            CPPUNIT_ASSERT(daemon.dispatch.catalog->version() == CatalogVersion(5));
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a")) == nullptr);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("b")) != nullptr);
        });
    }

    void storeIsListedAgainAfterLostHistory()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(StoreKey("server/a"), "chat");
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            env.clock.advance(std::chrono::seconds(3));
            store.erase(StoreKey("server/a"));
            store.put(StoreKey("server/b"), "chat");
            store.forgetHistory();
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(!daemon.fleet.synced);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a")) == nullptr);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("b")) != nullptr);
        });
    }

    // Guards against requests to departed servers for as long as the daemon runs: after an
    // exception changes are missing from the view whose revision is already recorded as applied.
    void storeIsListedAgainAfterAnException()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            store.put(StoreKey("server/a"), "chat");
            store.put(StoreKey("server/b"), "chat");
            daemon.duringChange = [&daemon] {
                daemon.fleet.servers.removeAtOnce(ServerName("b"));
                throw std::invalid_argument("thrown by the test");
            };
            CPPUNIT_ASSERT_THROW(daemon.sync.round(yield), std::invalid_argument);
            CPPUNIT_ASSERT(!daemon.fleet.storeReachable);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.storeReachable);
            for (const char *host : { "a", "b" })
                CPPUNIT_ASSERT_MESSAGE(host, daemon.fleet.servers.find(HostId(host)) != nullptr);
        });
    }

    // Guards against a view that ends at one entry, for as long as the entry is there: other
    // servers' entries and the catalog's proof of freshness were lost with it.
    void entryWhoseDecoderThrowsCostsOnlyItself()
    {
        for (const bool byList : { false, true }) {
            TestEnvironment env;
            env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
                store.put(catalogKey, "1");
                DaemonParts daemon(io, env.clock, store, "d1");
                daemon.sync.round(yield);
                for (int i = 0; i < 6; ++i) { // Longer than a proof of freshness is valid.
                    store.put(StoreKey("server/a"), "chat no-number"); // TestDecoder throws.
                    store.put(StoreKey("server/b" + std::to_string(i)), "chat");
                    daemon.fleet.synced = !byList;
                    daemon.sync.round(yield);
                    env.clock.advance(std::chrono::seconds(1));
                    const HostId added("b" + std::to_string(i));
                    CPPUNIT_ASSERT(daemon.fleet.servers.find(added) != nullptr);
                }
                CPPUNIT_ASSERT(daemon.fleet.storeReachable);
                CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a")) == nullptr);
                CPPUNIT_ASSERT(daemon.dispatch.freshness.isWithinBound(env.clock.now()));
                CPPUNIT_ASSERT_EQUAL(std::int64_t(6), daemon.fleet.unreadableEntries);
            });
        }
    }

    // Guards against a catalog that counts as current although its newest revision has no effect.
    void catalogWhoseDecoderThrowsProvesNoFreshness()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(catalogKey, "1");
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            store.put(catalogKey, "no-number"); // TestDecoder throws.
            for (int i = 0; i < 6; ++i) {
                daemon.sync.round(yield);
                env.clock.advance(std::chrono::seconds(1));
            }
            CPPUNIT_ASSERT(daemon.dispatch.catalog->version() == CatalogVersion(1));
            CPPUNIT_ASSERT(daemon.fleet.synced);
            CPPUNIT_ASSERT(!daemon.dispatch.freshness.isWithinBound(env.clock.now()));
        });
    }

    // Lists repeat what was dropped before.
    void droppedEntryIsCountedOnceARevision()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts daemon(io, env.clock, store, "d1");
            for (const StoreKey &key : { StoreKey("server/a"), catalogKey, FleetKeys::plan() })
                store.put(key, "damaged");
            for (const std::int64_t expected : { 3, 3, 3, 4 }) {
                if (expected == 4)
                    store.put(StoreKey("server/a"), "damaged");
                daemon.fleet.synced = false;
                daemon.sync.round(yield);
                CPPUNIT_ASSERT_EQUAL(expected, daemon.fleet.unreadableEntries);
            }
        });
    }

    // An evacuation that ended while the daemon could not follow the changes must not leave the
    // zone's servers unused for as long as the daemon runs.
    void evacuationLastsWhileItsKeyExists()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(StoreKey("evacuated/z1"), "1");
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.evacuatedZones == std::set<ZoneId> { ZoneId("z1") });
            store.erase(StoreKey("evacuated/z1"));
            store.put(StoreKey("evacuated/z2"), "1");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.evacuatedZones == std::set<ZoneId> { ZoneId("z2") });
            store.erase(StoreKey("evacuated/z2"));
            store.forgetHistory();
            daemon.sync.round(yield);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.evacuatedZones.empty());
        });
    }

    void olderCatalogIsIgnored()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(catalogKey, "9");
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            store.put(catalogKey, "8");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.dispatch.catalog->version() == CatalogVersion(9));
        });
    }

    void onlyNewestCatalogOfAnAnswerIsDecoded()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            int steps = 0;
            daemon.decoder.onStep = [&] { ++steps; };
            for (const char *version : { "1", "damaged", "2", "3" })
                store.put(catalogKey, version);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT_EQUAL(1, steps);
            CPPUNIT_ASSERT(daemon.dispatch.catalog->version() == CatalogVersion(3));
        });
    }

    // Other handlers run between the steps. They see the view from before the answer, and what they
    // write meanwhile isn't replaced.
    void viewChangesAtOnceAfterSlicedDecoding()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            constexpr int steps = 5;
            const StoreKey ownKey("ramphinge/own");
            DaemonParts daemon(io, env.clock, store, "d1");
            store.put(catalogKey, "1");
            daemon.sync.round(yield);
            store.put(StoreKey("server/a"), "chat");
            store.put(ownKey, "old");
            store.put(catalogKey, "2");
            daemon.decoder.catalogSteps = steps;
            int handlers = 0;
            daemon.decoder.onStep = [&] {
                boost::asio::post(io, [&] {
                    ++handlers;
                    if (handlers == steps)
                        return; // The last one may run after the change.
                    CPPUNIT_ASSERT(daemon.dispatch.catalog->version() == CatalogVersion(1));
                    CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a")) == nullptr);
                    daemon.fleet.daemonKeys[ownKey] = { "new", Revision(1000) };
                });
            };
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(handlers >= steps - 1);
            CPPUNIT_ASSERT(daemon.dispatch.catalog->version() == CatalogVersion(2));
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a")) != nullptr);
            CPPUNIT_ASSERT_EQUAL(std::string("new"), daemon.fleet.daemonKeys.at(ownKey).value);
        });
    }

    void damagedDocumentsChangeNothing()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(catalogKey, "9");
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            store.put(catalogKey, "damaged");
            store.put(FleetKeys::plan(), "damaged");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.dispatch.catalog->version() == CatalogVersion(9));
            CPPUNIT_ASSERT(daemon.fleet.plan.replicas.empty());
        });
    }

    // By a watch and by a list. The server is not retained, since its entry is not missing, and is
    // used again once its entry is readable.
    void damagedEntryDropsOnlyItsServer()
    {
        for (const bool byList : { false, true }) {
            TestEnvironment env;
            env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
                store.put(StoreKey("server/a"), "chat");
                store.put(StoreKey("server/b"), "chat");
                DaemonParts daemon(io, env.clock, store, "d1");
                daemon.sync.round(yield); // The start counts as the end of an outage.
                store.put(StoreKey("server/a"), "damaged");
                daemon.fleet.synced = !byList;
                daemon.sync.round(yield);
                CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a")) == nullptr);
                CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("b"))->service == service);
                CPPUNIT_ASSERT_EQUAL(std::int64_t(1), daemon.fleet.unreadableEntries);
                store.put(StoreKey("server/a"), "chat");
                daemon.sync.round(yield);
                CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a")) != nullptr);
            });
        }
    }

    void restartBetweenTwoWatchesIsDetected()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(StoreKey("server/a"), "chat 5");
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a@5")) != nullptr);
            store.put(StoreKey("server/a"), "chat 9");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a@5")) == nullptr);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a@9")) != nullptr);
            store.put(StoreKey("server/a"), "chat 5"); // A late entry of the previous incarnation.
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a@9")) != nullptr);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), daemon.fleet.servers.servers().size());
        });
    }

    void restartDuringAStoreOutageIsDetected()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(StoreKey("server/a"), "chat 5");
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            store.setDown(true);
            env.clock.advance(std::chrono::seconds(5));
            daemon.sync.round(yield);
            store.setDown(false);
            store.erase(StoreKey("server/a")); // Lapsed in the outage: retained briefly.
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a@5")) != nullptr);
            store.put(StoreKey("server/a"), "chat 9");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a@5")) == nullptr);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a@9")) != nullptr);
        });
    }

    void watchProvesFreshnessOutageDoesNot()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(catalogKey, "1");
            DaemonParts daemon(io, env.clock, store, "d1");
            for (int i = 0; i < 20; ++i) {
                daemon.sync.round(yield);
                CPPUNIT_ASSERT(daemon.dispatch.freshness.isWithinBound(env.clock.now()));
            }
            store.setDown(true);
            env.clock.advance(std::chrono::seconds(4));
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(!daemon.fleet.storeReachable);
            CPPUNIT_ASSERT(!daemon.dispatch.freshness.isWithinBound(env.clock.now()));
            store.setDown(false);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.storeReachable);
            CPPUNIT_ASSERT(daemon.dispatch.freshness.isWithinBound(env.clock.now()));
        });
    }

    // Guards against truncated watch answers that count as complete. The store truncates an answer
    // after some 500 changes, and with 3,000 servers 9,000 changes come while replicas form.
    // Daemons renewed their freshness proof with each part and batched for a second before the next
    // one: for 20 s after the start they used a configuration that had been replaced 4 s before,
    // and answered valid requests with 404.
    void truncatedAnswersProveNoFreshness()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            const MonotonicTime freshAsOf = env.clock.now();
            for (const char *host : { "a", "b", "c", "d", "e" })
                store.put(StoreKey(std::string("server/") + host), "chat");
            store.put(catalogKey, "7");
            store.limitWatches(2);
            for (int i = 0; i < 2; ++i) {
                env.clock.advance(std::chrono::seconds(1));
                daemon.sync.round(yield);
                CPPUNIT_ASSERT(*daemon.dispatch.freshness.age(env.clock.now())
                               == env.clock.now() - freshAsOf);
            }
            while (daemon.fleet.servers.servers().size() < 5 || !daemon.dispatch.catalog)
                daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.dispatch.freshness.age(env.clock.now()) == Duration::zero());
        });
    }

    void truncatedAnswersAreFollowedWithoutDelay()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            constexpr int servers = 40;
            for (int i = 0; i < servers; ++i)
                store.put(StoreKey("server/s" + std::to_string(i)), "chat");
            store.limitWatches(5);
            const MonotonicTime start = env.clock.now();
            while (daemon.fleet.servers.servers().size() < servers) {
                daemon.sync.round(yield);
                CPPUNIT_ASSERT(daemon.fleet.servers.servers().size() == servers
                               || daemon.sync.pauseAfterRound() == Duration::zero());
            }
            CPPUNIT_ASSERT(env.clock.now() == start);
            daemon.sync.round(yield);
            store.put(StoreKey("server/late"), "chat");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.sync.pauseAfterRound() > Duration::zero());
        });
    }

    void serversWithLapsedEntriesAreRetainedBriefly()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(StoreKey("server/back"), "chat");
            store.put(StoreKey("server/lost"), "chat");
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            env.clock.advance(std::chrono::seconds(10));
            store.setDown(true);
            daemon.sync.round(yield);
            store.erase(StoreKey("server/back"));
            store.erase(StoreKey("server/lost"));
            store.setDown(false);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("back")) != nullptr);
            store.put(StoreKey("server/back"), "chat");
            daemon.sync.round(yield);
            env.clock.advance(std::chrono::seconds(2));
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("back")) != nullptr);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("lost")) == nullptr);
        });
    }

    // Guards against requests to a departed server: two reached one 12.0 and 12.5 s after its
    // departure, from a daemon that the store had rejected for 12 s and served again 3.0 s before.
    // The server departed without a notice in the meantime, and the daemon retained it, since its
    // entry might have lapsed in the outage. The grace period ended during a batching delay, but
    // was checked only with the next changes from the store; now a timer of its own checks it.
    void retainedServersExpireWithinTheConnectivityGrace()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            const StoreSyncOptions options = storeSyncOptions({});
            store.put(StoreKey("server/left"), "chat");
            store.put(StoreKey("server/stays"), "chat");
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            const MonotonicTime lastCallAt = simulateOutage(env, store, daemon, yield);
            store.erase(StoreKey("server/left"));
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("left")) != nullptr);
            const int changes = daemon.changes;
            env.clock.advance(lastCallAt + options.connectivityGrace - env.clock.now());
            daemon.sync.expireRetained();
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("left")) == nullptr);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("stays")) != nullptr);
            CPPUNIT_ASSERT(daemon.changes > changes);
        });
    }

    // Live servers whose entries lapsed register again within two seconds after the outage.
    void retainedServersHaveTimeToRegisterAgain()
    {
        const StoreSyncOptions options;
        const Duration answers = maxWatchLateness + 2 * options.retryDelay;
        CPPUNIT_ASSERT(options.returnGrace > std::chrono::seconds(2));
        StalenessBounds bounds;
        bounds.serverHeartbeat = std::chrono::milliseconds(500);
        CPPUNIT_ASSERT(storeSyncOptions(bounds).minLapseOutage == std::chrono::seconds(1));
        CPPUNIT_ASSERT(answers + std::chrono::seconds(2) < options.connectivityGrace);
    }

    // No entry lapses in a short outage: a missing one was removed by its server.
    void noServerIsRetainedAfterAShortOutage()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(StoreKey("server/left"), "chat");
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            store.silenceConnection();
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(!daemon.fleet.storeReachable);
            store.erase(StoreKey("server/left"));
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.storeReachable);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("left")) == nullptr);
        });
    }

    // A connection that stalls at the worst moment, at the beginning of a batching delay, must be
    // detected early enough to apply the changes made meanwhile within the bounds.
    void stalledConnectionIsDetectedInTime()
    {
        std::vector<StalenessBounds> allBounds;
        for (const int changeInForceMs : { 1000, 2000, 3000, 5000 }) {
            for (const int graceMs : { 2000, 3000, 4000, 6000 }) {
                allBounds.push_back(
                    { Milliseconds(changeInForceMs), Milliseconds(graceMs), std::nullopt });
                allBounds.push_back(
                    { Milliseconds(changeInForceMs), Milliseconds(graceMs), Milliseconds(4500) });
            }
        }
        for (const StalenessBounds &bounds : allBounds)
            checkStalledConnection(bounds);
    }

    // Guards against requests to a server more than two seconds after its departure, from a daemon
    // that is connected to the store again. The connection stalls at the beginning of a batching
    // delay and a server departs without a notice. A second later the daemon calls the store on
    // that connection, gives up after 1.6 s, and learns from the next call that the entry is
    // missing. After 2.8 s without an answer the entry may have lapsed, so the server is retained.
    // The grace period was counted from the beginning of the failed call, but the connection may
    // have stalled at any time since its last answer.
    void stalledConnectionDoesNotExtendRetention()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            const StoreSyncOptions options = storeSyncOptions({});
            store.put(StoreKey("server/left"), "chat");
            DaemonParts daemon(io, env.clock, store, "d1", options);
            daemon.sync.round(yield);
            const MonotonicTime stalledAt = env.clock.now();
            store.silenceConnection();
            env.clock.advance(options.batchDelay);
            store.erase(StoreKey("server/left"));
            daemon.sync.round(yield);
            env.clock.advance(2 * options.retryDelay);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.storeReachable);
            expectRemovedBy(env, daemon, stalledAt + options.connectivityGrace);
        });
    }

    // After an outage the store rejects the first calls, since all daemons call at once. A
    // rejection is an answer too, so the daemon counts as connected from the first one on.
    void rejectedCallsAfterAnOutageDoNotExtendRetention()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            const StoreSyncOptions options = storeSyncOptions({});
            store.put(StoreKey("server/left"), "chat");
            DaemonParts daemon(io, env.clock, store, "d1", options);
            daemon.sync.round(yield);
            simulateOutage(env, store, daemon, yield);
            store.erase(StoreKey("server/left"));
            const MonotonicTime backAt = env.clock.now();
            constexpr int rejectedCalls = 8;
            store.turnAwayNext(rejectedCalls);
            for (int i = 0; i < rejectedCalls; ++i) {
                daemon.sync.round(yield);
                env.clock.advance(2 * options.retryDelay);
            }
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.storeReachable);
            expectRemovedBy(env, daemon, backAt + options.connectivityGrace);
        });
    }

    // The store is back only briefly, then unreachable again before servers whose entries lapsed
    // can register. Nothing can be learned of them, so they are retained as in one outage.
    void serversAreRetainedThroughASecondOutage()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            const StoreSyncOptions options = storeSyncOptions({});
            store.put(StoreKey("server/left"), "chat");
            store.put(StoreKey("server/lives"), "chat");
            DaemonParts daemon(io, env.clock, store, "d1", options);
            daemon.sync.round(yield);
            simulateOutage(env, store, daemon, yield);
            store.erase(StoreKey("server/left"));
            store.erase(StoreKey("server/lives"));
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.storeReachable);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("lives")) != nullptr);
            simulateOutage(env, store, daemon, yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("lives")) != nullptr);
            const MonotonicTime backAt = env.clock.now();
            daemon.sync.round(yield);
            env.clock.advance(std::chrono::milliseconds(500));
            daemon.sync.expireRetained();
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("lives")) != nullptr);
            store.put(StoreKey("server/lives"), "chat");
            daemon.sync.round(yield);
            expectRemovedBy(env, daemon, backAt + options.connectivityGrace);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("lives")) != nullptr);
        });
    }

    // The connection can't have stalled before the last answer on it.
    void outageOfOneCallBeginsAtTheLastAnswer()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            StalenessBounds bounds;
            bounds.connectivityGrace = std::chrono::seconds(4);
            const StoreSyncOptions options = storeSyncOptions(bounds);
            store.put(StoreKey("server/lives"), "chat");
            DaemonParts daemon(io, env.clock, store, "d1", options);
            daemon.sync.round(yield);
            const MonotonicTime answeredAt = env.clock.now();
            store.silenceConnection();
            daemon.sync.round(yield);
            env.clock.advance(2 * options.retryDelay);
            CPPUNIT_ASSERT(env.clock.now() - answeredAt >= options.minLapseOutage);
            store.erase(StoreKey("server/lives"));
            daemon.sync.round(yield);
            env.clock.advance(options.batchDelay / 2);
            daemon.sync.expireRetained();
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("lives")) != nullptr);
        });
    }

    void retentionEndsAfterTheReturnGrace()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            StalenessBounds bounds;
            bounds.connectivityGrace = std::chrono::seconds(6);
            const StoreSyncOptions options = storeSyncOptions(bounds);
            store.put(StoreKey("server/left"), "chat");
            DaemonParts daemon(io, env.clock, store, "d1", options);
            daemon.sync.round(yield);
            simulateOutage(env, store, daemon, yield);
            store.erase(StoreKey("server/left"));
            const MonotonicTime backAt = env.clock.now();
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("left")) != nullptr);
            expectRemovedBy(env, daemon, backAt + options.returnGrace);
        });
    }

    // After the outage the store rejects a later call, since all daemons call at once. A rejection
    // is an answer too.
    void laterRejectedCallDoesNotExtendRetention()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            const StoreSyncOptions options = storeSyncOptions({});
            store.put(StoreKey("server/left"), "chat");
            DaemonParts daemon(io, env.clock, store, "d1", options);
            daemon.sync.round(yield);
            const MonotonicTime lastCallAt = simulateOutage(env, store, daemon, yield);
            store.erase(StoreKey("server/left"));
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("left")) != nullptr);
            store.turnAwayNext(1);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(!daemon.fleet.storeReachable);
            expectRemovedBy(env, daemon, lastCallAt + options.connectivityGrace);
        });
    }

    // The store is unreachable for six calls of the daemon. Returns when the last of them began.
    static MonotonicTime simulateOutage(TestEnvironment &env, MemoryKeyValueStore &store,
                                        DaemonParts &daemon, Yield yield)
    {
        MonotonicTime lastCallAt;
        store.setDown(true);
        for (int i = 0; i < 6; ++i) {
            lastCallAt = env.clock.now();
            daemon.sync.round(yield);
            env.clock.advance(maxWatchLateness + StoreSyncOptions().retryDelay);
            daemon.sync.expireRetained();
        }
        store.setDown(false);
        return lastCallAt;
    }

    // A newer catalog that can't be decoded may revoke keys: the one in use is out of date.
    void unreadableCatalogProvesNoFreshness()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(catalogKey, "1");
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            store.put(catalogKey, "damaged");
            for (int i = 0; i < 6; ++i) {
                daemon.sync.round(yield);
                env.clock.advance(std::chrono::seconds(1));
            }
            CPPUNIT_ASSERT(!daemon.dispatch.freshness.isWithinBound(env.clock.now()));
            store.put(StoreKey("server/a"), "chat");
            store.forgetHistory();
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(!daemon.fleet.synced);
            daemon.sync.round(yield); // A list proves no more than a watch.
            CPPUNIT_ASSERT(daemon.fleet.synced);
            CPPUNIT_ASSERT(!daemon.dispatch.freshness.isWithinBound(env.clock.now()));
            store.put(catalogKey, "3");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.dispatch.freshness.isWithinBound(env.clock.now()));
        });
    }

    // Guards against admitting every request if a daemon saw only the catalog without accounts.
    void restartedDaemonKnowsThatKeysWereRequired()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(catalogKey, "3 keys");
            KeyRequirementWriter planner(io, env, store);
            planner.round(yield);
            store.put(catalogKey, "5");
            planner.parts.sync.round(yield);
            CPPUNIT_ASSERT(planner.parts.dispatch.needsFreshCatalog());
            DaemonParts restarted(io, env.clock, store, "d2");
            restarted.sync.round(yield);
            CPPUNIT_ASSERT(!restarted.dispatch.catalog->requiresKeys());
            CPPUNIT_ASSERT(restarted.dispatch.needsFreshCatalog());
        });
    }

    void keyRequirementIsWrittenOnceByThePlanner()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(catalogKey, "1");
            KeyRequirementWriter planner(io, env, store);
            const auto &keys = planner.parts.fleet.daemonKeys;
            planner.round(yield);
            CPPUNIT_ASSERT(!store.value(FleetKeys::keyRequirement()));
            CPPUNIT_ASSERT(!planner.parts.dispatch.needsFreshCatalog());
            store.put(catalogKey, "3 keys");
            planner.round(yield);
            CPPUNIT_ASSERT(store.value(FleetKeys::keyRequirement()).has_value());
            const Revision written = keys.at(FleetKeys::keyRequirement()).revision;
            planner.writer.round(yield);
            planner.round(yield);
            CPPUNIT_ASSERT(keys.at(FleetKeys::keyRequirement()).revision == written);
        });
    }

    // The answer to a watch may be delivered after this daemon's own, newer write.
    void olderWatchAnswerDoesNotReplaceOwnWrite()
    {
        ManualClock clock;
        IoContext io(1);
        SlowWatchStore store(io, clock);
        runCoroutine(io, [&](Yield yield) {
            DaemonParts daemon(io, clock, store, "d1");
            daemon.sync.round(yield);
            store.put(FleetKeys::orders(), "of the last planner");
            const Revision before = store.list(FleetKeys::orders(), yield).value().upTo;
            store.duringWatch = [&](Yield inner) {
                const auto written =
                    store.commit({ { FleetKeys::orders(), "own", before } }, inner);
                daemon.fleet.daemonKeys[FleetKeys::orders()] = { "own", written.value() };
            };
            daemon.sync.round(yield);
            CPPUNIT_ASSERT_EQUAL(std::string("own"),
                                 daemon.fleet.daemonKeys[FleetKeys::orders()].value);
            daemon.sync.round(yield);
            store.put(FleetKeys::orders(), "of the next planner");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT_EQUAL(std::string("of the next planner"),
                                 daemon.fleet.daemonKeys[FleetKeys::orders()].value);
        });
    }

    void listReplacesOlderOwnWritesOnly()
    {
        ManualClock clock;
        IoContext io(1);
        SlowAnswerStore store(io, clock);
        runCoroutine(io, [&](Yield yield) {
            DaemonParts daemon(io, clock, store, "d1");
            store.put(FleetKeys::planner(), "d2");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                 daemon.fleet.daemonKeys.count(FleetKeys::planner()));
            store.erase(FleetKeys::planner());
            store.forgetHistory();
            daemon.sync.round(yield);
            store.duringList = [&](Yield inner) {
                const auto written =
                    store.commit({ { FleetKeys::orders(), "own", absentRevision } }, inner);
                daemon.fleet.recordWrite(FleetKeys::orders(), { "own", written.value() });
            };
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.synced);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                                 daemon.fleet.daemonKeys.count(FleetKeys::planner()));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                 daemon.fleet.daemonKeys.count(FleetKeys::orders()));
        });
    }

    // The catalog's freshness proof must be renewed in time: while nothing changes, it dates from
    // the beginning of the previous watch.
    void batchingFitsTheBounds()
    {
        const Duration proofLifetime = std::chrono::milliseconds(4500);
        for (const Duration bound : { std::chrono::seconds(1), std::chrono::seconds(2),
                                      std::chrono::seconds(3), std::chrono::seconds(10) }) {
            const StoreSyncOptions options =
                storeSyncOptions({ bound, std::chrono::seconds(3), proofLifetime });
            CPPUNIT_ASSERT(options.batchDelay < bound);
            CPPUNIT_ASSERT(options.batchDelay + 2 * options.watchWait < proofLifetime);
        }
        // Without a proof to renew, a watch must still end in time to detect a stalled connection.
        const StoreSyncOptions options = storeSyncOptions({});
        CPPUNIT_ASSERT(options.batchDelay + options.watchWait + maxWatchLateness
                       < options.connectivityGrace);
    }

private:
    void checkStalledConnection(const StalenessBounds &bounds)
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            const StoreSyncOptions options = storeSyncOptions(bounds);
            store.put(catalogKey, "1");
            DaemonParts daemon(io, env.clock, store, "d1", options);
            daemon.sync.round(yield);
            const MonotonicTime stalledAt = env.clock.now();
            store.silenceConnection();
            env.clock.advance(options.batchDelay);
            store.put(catalogKey, "2");
            daemon.sync.round(yield);
            env.clock.advance(2 * options.retryDelay);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.dispatch.catalog->version() == CatalogVersion(2));
            CPPUNIT_ASSERT(env.clock.now() - stalledAt < bounds.connectivityGrace);
        });
    }

    void expectRemovedBy(TestEnvironment &env, DaemonParts &daemon, MonotonicTime end)
    {
        CPPUNIT_ASSERT(env.clock.now() < end);
        env.clock.advance(end - env.clock.now());
        daemon.sync.expireRetained();
        CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("left")) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreSyncTest);
