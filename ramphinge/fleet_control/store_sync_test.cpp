// Tests of the daemon's view of the store: changes, damaged documents, outages, and how long
// servers are retained that the store can't confirm.

#include <stdexcept>

#include "ramphinge/fleet_control/internal/daemon_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

class StoreSyncTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreSyncTest);
    CPPUNIT_TEST(pictureFollowsTheStore);
    CPPUNIT_TEST(lostHistoryIsListedAnew);
    CPPUNIT_TEST(pictureIsListedAnewAfterAFailureInside);
    CPPUNIT_TEST(catalogNeverGoesBack);
    CPPUNIT_TEST(damagedDocumentsChangeNothing);
    CPPUNIT_TEST(damagedEntryNamesNoServerAndTheOthersHold);
    CPPUNIT_TEST(restartBetweenTwoWatchesIsSeen);
    CPPUNIT_TEST(restartWhileTheStoreIsAwayIsSeen);
    CPPUNIT_TEST(watchProvesFreshnessOutageDoesNot);
    CPPUNIT_TEST(answersThatAreCutShortProveNothing);
    CPPUNIT_TEST(manyChangesAreTakenInWithoutPauses);
    CPPUNIT_TEST(entriesThatLapsedInAnOutageAreKeptForAMoment);
    CPPUNIT_TEST(keptServersAreGoneOnceTheDaemonIsInTouch);
    CPPUNIT_TEST(keptServersGetTheTimeToComeBack);
    CPPUNIT_TEST(nobodyIsKeptAfterAShortSilence);
    CPPUNIT_TEST(silentConnectionIsNoticedInTime);
    CPPUNIT_TEST(nobodyIsKeptLongerAfterASilentConnection);
    CPPUNIT_TEST(nobodyIsKeptLongerByAStoreThatTurnsCallsAway);
    CPPUNIT_TEST(outageOfOneCallIsDatedByTheLastAnswer);
    CPPUNIT_TEST(nobodyIsKeptLongerThanServersTakeToComeBack);
    CPPUNIT_TEST(keptServersStayWhileTheStoreIsAwayAgain);
    CPPUNIT_TEST(keptServersAreNotKeptLongerByACallThatIsTurnedAway);
    CPPUNIT_TEST(unreadableCatalogProvesNothing);
    CPPUNIT_TEST(olderNewsDoesNotReplaceOwnWrites);
    CPPUNIT_TEST(listReplacesOlderOwnWritesOnly);
    CPPUNIT_TEST(gatheringFitsTheBounds);
    CPPUNIT_TEST_SUITE_END();

public:
    void pictureFollowsTheStore()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(catalogKey, "3");
            store.put(StoreKey("server/a"), "chat");
            DaemonParts daemon(io, stage.clock, store, "d1");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.synced);
            CPPUNIT_ASSERT(daemon.dispatch.catalog->version() == CatalogVersion(3));
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("a")) != nullptr);
            // The start counts as the end of an outage.
            stage.clock.advance(std::chrono::seconds(3));
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

    void lostHistoryIsListedAnew()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(StoreKey("server/a"), "chat");
            DaemonParts daemon(io, stage.clock, store, "d1");
            daemon.sync.round(yield);
            stage.clock.advance(std::chrono::seconds(3));
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

    // Guards against requests to departed servers for as long as the daemon runs. The revision of a
    // batch is recorded before its changes are applied; an exception in one change lost all later
    // ones of the batch, and the store still counted as reachable.
    void pictureIsListedAnewAfterAFailureInside()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts daemon(io, stage.clock, store, "d1");
            daemon.sync.round(yield);
            store.put(StoreKey("server/a"), "chat no-number"); // TestDecoder throws.
            store.put(StoreKey("server/b"), "chat");
            CPPUNIT_ASSERT_THROW(daemon.sync.round(yield), std::invalid_argument);
            CPPUNIT_ASSERT(!daemon.fleet.storeReachable);
            store.put(StoreKey("server/a"), "chat");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.storeReachable);
            for (const char *host : { "a", "b" })
                CPPUNIT_ASSERT_MESSAGE(host, daemon.fleet.servers.find(HostId(host)) != nullptr);
        });
    }

    void catalogNeverGoesBack()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(catalogKey, "9");
            DaemonParts daemon(io, stage.clock, store, "d1");
            daemon.sync.round(yield);
            store.put(catalogKey, "8");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.dispatch.catalog->version() == CatalogVersion(9));
        });
    }

    void damagedDocumentsChangeNothing()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(catalogKey, "9");
            DaemonParts daemon(io, stage.clock, store, "d1");
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
    void damagedEntryNamesNoServerAndTheOthersHold()
    {
        for (const bool byList : { false, true }) {
            Stage stage;
            stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
                store.put(StoreKey("server/a"), "chat");
                store.put(StoreKey("server/b"), "chat");
                DaemonParts daemon(io, stage.clock, store, "d1");
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

    void restartBetweenTwoWatchesIsSeen()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(StoreKey("server/a"), "chat 5");
            DaemonParts daemon(io, stage.clock, store, "d1");
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

    void restartWhileTheStoreIsAwayIsSeen()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(StoreKey("server/a"), "chat 5");
            DaemonParts daemon(io, stage.clock, store, "d1");
            daemon.sync.round(yield);
            store.setDown(true);
            stage.clock.advance(std::chrono::seconds(5));
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
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(catalogKey, "1");
            DaemonParts daemon(io, stage.clock, store, "d1");
            for (int i = 0; i < 20; ++i) {
                daemon.sync.round(yield);
                CPPUNIT_ASSERT(daemon.dispatch.freshness.holds(stage.clock.now()));
            }
            store.setDown(true);
            stage.clock.advance(std::chrono::seconds(4));
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(!daemon.fleet.storeReachable);
            CPPUNIT_ASSERT(!daemon.dispatch.freshness.holds(stage.clock.now()));
            store.setDown(false);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.storeReachable);
            CPPUNIT_ASSERT(daemon.dispatch.freshness.holds(stage.clock.now()));
        });
    }

    // Guards against truncated watch answers that count as complete. The store truncates an answer
    // after some 500 changes, and with 3,000 servers 9,000 changes come while replicas form.
    // Daemons renewed their freshness proof with each part and batched for a second before the next
    // one: for 20 s after the start they used a configuration that had been replaced 4 s before,
    // and answered valid requests with 404.
    void answersThatAreCutShortProveNothing()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts daemon(io, stage.clock, store, "d1");
            daemon.sync.round(yield);
            const MonotonicTime proved = stage.clock.now();
            for (const char *host : { "a", "b", "c", "d", "e" })
                store.put(StoreKey(std::string("server/") + host), "chat");
            store.put(catalogKey, "7");
            store.limitWatches(2);
            for (int i = 0; i < 2; ++i) {
                stage.clock.advance(std::chrono::seconds(1));
                daemon.sync.round(yield);
                CPPUNIT_ASSERT(*daemon.dispatch.freshness.age(stage.clock.now())
                               == stage.clock.now() - proved);
            }
            while (daemon.fleet.servers.servers().size() < 5 || !daemon.dispatch.catalog)
                daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.dispatch.freshness.age(stage.clock.now()) == Duration::zero());
        });
    }

    void manyChangesAreTakenInWithoutPauses()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts daemon(io, stage.clock, store, "d1");
            daemon.sync.round(yield);
            constexpr int servers = 40;
            for (int i = 0; i < servers; ++i)
                store.put(StoreKey("server/s" + std::to_string(i)), "chat");
            store.limitWatches(5);
            const MonotonicTime start = stage.clock.now();
            while (daemon.fleet.servers.servers().size() < servers) {
                daemon.sync.round(yield);
                CPPUNIT_ASSERT(daemon.fleet.servers.servers().size() == servers
                               || daemon.sync.pauseAfterRound() == Duration::zero());
            }
            CPPUNIT_ASSERT(stage.clock.now() == start);
            daemon.sync.round(yield);
            store.put(StoreKey("server/late"), "chat");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.sync.pauseAfterRound() > Duration::zero());
        });
    }

    void entriesThatLapsedInAnOutageAreKeptForAMoment()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(StoreKey("server/back"), "chat");
            store.put(StoreKey("server/lost"), "chat");
            DaemonParts daemon(io, stage.clock, store, "d1");
            daemon.sync.round(yield);
            stage.clock.advance(std::chrono::seconds(10));
            store.setDown(true);
            daemon.sync.round(yield);
            store.erase(StoreKey("server/back"));
            store.erase(StoreKey("server/lost"));
            store.setDown(false);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("back")) != nullptr);
            store.put(StoreKey("server/back"), "chat");
            daemon.sync.round(yield);
            stage.clock.advance(std::chrono::seconds(2));
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
    void keptServersAreGoneOnceTheDaemonIsInTouch()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            const StoreSyncOptions options = storeSyncOptions({});
            store.put(StoreKey("server/left"), "chat");
            store.put(StoreKey("server/stays"), "chat");
            DaemonParts daemon(io, stage.clock, store, "d1");
            daemon.sync.round(yield);
            const MonotonicTime failedStart = playOutage(stage, store, daemon, yield);
            store.erase(StoreKey("server/left"));
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("left")) != nullptr);
            const int changes = daemon.changes;
            stage.clock.advance(failedStart + options.connectivityGrace - stage.clock.now());
            daemon.sync.expireKept();
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("left")) == nullptr);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("stays")) != nullptr);
            CPPUNIT_ASSERT(daemon.changes > changes);
        });
    }

    // Live servers whose entries lapsed register again within two seconds after the outage.
    void keptServersGetTheTimeToComeBack()
    {
        const StoreSyncOptions options;
        const Duration answers = watchLateness + 2 * options.retry;
        CPPUNIT_ASSERT(options.returnGrace > std::chrono::seconds(2));
        PictureBounds bounds;
        bounds.serverHeartbeat = std::chrono::milliseconds(500);
        CPPUNIT_ASSERT(storeSyncOptions(bounds).entriesStand == std::chrono::seconds(1));
        CPPUNIT_ASSERT(answers + std::chrono::seconds(2) < options.connectivityGrace);
    }

    // No entry lapses in a short outage: a missing one was removed by its server.
    void nobodyIsKeptAfterAShortSilence()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(StoreKey("server/left"), "chat");
            DaemonParts daemon(io, stage.clock, store, "d1");
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
    void silentConnectionIsNoticedInTime()
    {
        std::vector<PictureBounds> all;
        for (const int inForce : { 1000, 2000, 3000, 5000 }) {
            for (const int inTouch : { 2000, 3000, 4000, 6000 }) {
                all.push_back({ Milliseconds(inForce), Milliseconds(inTouch), std::nullopt });
                all.push_back({ Milliseconds(inForce), Milliseconds(inTouch), Milliseconds(4500) });
            }
        }
        for (const PictureBounds &bounds : all)
            playSilentConnection(bounds);
    }

    // Guards against requests to a server more than two seconds after its departure, from a daemon
    // that is connected to the store again. The connection stalls at the beginning of a batching
    // delay and a server departs without a notice. A second later the daemon calls the store on
    // that connection, gives up after 1.6 s, and learns from the next call that the entry is
    // missing. After 2.8 s without an answer the entry may have lapsed, so the server is retained.
    // The grace period was counted from the beginning of the failed call, but the connection may
    // have stalled at any time since its last answer.
    void nobodyIsKeptLongerAfterASilentConnection()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            const StoreSyncOptions options = storeSyncOptions({});
            store.put(StoreKey("server/left"), "chat");
            DaemonParts daemon(io, stage.clock, store, "d1", options);
            daemon.sync.round(yield);
            const MonotonicTime silentAt = stage.clock.now();
            store.silenceConnection();
            stage.clock.advance(options.gather);
            store.erase(StoreKey("server/left"));
            daemon.sync.round(yield);
            stage.clock.advance(2 * options.retry);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.storeReachable);
            expectGoneBy(stage, daemon, silentAt + options.connectivityGrace);
        });
    }

    // After an outage the store rejects the first calls, since all daemons call at once. A
    // rejection is an answer too, so the daemon counts as connected from the first one on.
    void nobodyIsKeptLongerByAStoreThatTurnsCallsAway()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            const StoreSyncOptions options = storeSyncOptions({});
            store.put(StoreKey("server/left"), "chat");
            DaemonParts daemon(io, stage.clock, store, "d1", options);
            daemon.sync.round(yield);
            playOutage(stage, store, daemon, yield);
            store.erase(StoreKey("server/left"));
            const MonotonicTime backAt = stage.clock.now();
            constexpr int turnedAway = 8;
            store.turnAwayNext(turnedAway);
            for (int i = 0; i < turnedAway; ++i) {
                daemon.sync.round(yield);
                stage.clock.advance(2 * options.retry);
            }
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.storeReachable);
            expectGoneBy(stage, daemon, backAt + options.connectivityGrace);
        });
    }

    // The store is back only briefly, then unreachable again before servers whose entries lapsed
    // can register. Nothing can be learned of them, so they are retained as in one outage.
    void keptServersStayWhileTheStoreIsAwayAgain()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            const StoreSyncOptions options = storeSyncOptions({});
            store.put(StoreKey("server/left"), "chat");
            store.put(StoreKey("server/lives"), "chat");
            DaemonParts daemon(io, stage.clock, store, "d1", options);
            daemon.sync.round(yield);
            playOutage(stage, store, daemon, yield);
            store.erase(StoreKey("server/left"));
            store.erase(StoreKey("server/lives"));
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.storeReachable);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("lives")) != nullptr);
            playOutage(stage, store, daemon, yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("lives")) != nullptr);
            const MonotonicTime backAt = stage.clock.now();
            daemon.sync.round(yield);
            stage.clock.advance(std::chrono::milliseconds(500));
            daemon.sync.expireKept();
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("lives")) != nullptr);
            store.put(StoreKey("server/lives"), "chat");
            daemon.sync.round(yield);
            expectGoneBy(stage, daemon, backAt + options.connectivityGrace);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("lives")) != nullptr);
        });
    }

    // The connection can't have stalled before the last answer on it.
    void outageOfOneCallIsDatedByTheLastAnswer()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            PictureBounds bounds;
            bounds.connectivityGrace = std::chrono::seconds(4);
            const StoreSyncOptions options = storeSyncOptions(bounds);
            store.put(StoreKey("server/lives"), "chat");
            DaemonParts daemon(io, stage.clock, store, "d1", options);
            daemon.sync.round(yield);
            const MonotonicTime answeredAt = stage.clock.now();
            store.silenceConnection();
            daemon.sync.round(yield);
            stage.clock.advance(2 * options.retry);
            CPPUNIT_ASSERT(stage.clock.now() - answeredAt >= options.entriesStand);
            store.erase(StoreKey("server/lives"));
            daemon.sync.round(yield);
            stage.clock.advance(options.gather / 2);
            daemon.sync.expireKept();
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("lives")) != nullptr);
        });
    }

    void nobodyIsKeptLongerThanServersTakeToComeBack()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            PictureBounds bounds;
            bounds.connectivityGrace = std::chrono::seconds(6);
            const StoreSyncOptions options = storeSyncOptions(bounds);
            store.put(StoreKey("server/left"), "chat");
            DaemonParts daemon(io, stage.clock, store, "d1", options);
            daemon.sync.round(yield);
            playOutage(stage, store, daemon, yield);
            store.erase(StoreKey("server/left"));
            const MonotonicTime backAt = stage.clock.now();
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("left")) != nullptr);
            expectGoneBy(stage, daemon, backAt + options.returnGrace);
        });
    }

    // After the outage the store rejects a later call, since all daemons call at once. A rejection
    // is an answer too.
    void keptServersAreNotKeptLongerByACallThatIsTurnedAway()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            const StoreSyncOptions options = storeSyncOptions({});
            store.put(StoreKey("server/left"), "chat");
            DaemonParts daemon(io, stage.clock, store, "d1", options);
            daemon.sync.round(yield);
            const MonotonicTime failedStart = playOutage(stage, store, daemon, yield);
            store.erase(StoreKey("server/left"));
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("left")) != nullptr);
            store.turnAwayNext(1);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(!daemon.fleet.storeReachable);
            expectGoneBy(stage, daemon, failedStart + options.connectivityGrace);
        });
    }

    // The store is unreachable for six calls of the daemon. Returns when the last of them began.
    static MonotonicTime playOutage(Stage &stage, MemoryKeyValueStore &store, DaemonParts &daemon,
                                    Yield yield)
    {
        MonotonicTime failedStart;
        store.setDown(true);
        for (int i = 0; i < 6; ++i) {
            failedStart = stage.clock.now();
            daemon.sync.round(yield);
            stage.clock.advance(watchLateness + StoreSyncOptions().retry);
            daemon.sync.expireKept();
        }
        store.setDown(false);
        return failedStart;
    }

    // A newer catalog that can't be decoded may revoke keys: the one in use is out of date.
    void unreadableCatalogProvesNothing()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(catalogKey, "1");
            DaemonParts daemon(io, stage.clock, store, "d1");
            daemon.sync.round(yield);
            store.put(catalogKey, "damaged");
            for (int i = 0; i < 6; ++i) {
                daemon.sync.round(yield);
                stage.clock.advance(std::chrono::seconds(1));
            }
            CPPUNIT_ASSERT(!daemon.dispatch.freshness.holds(stage.clock.now()));
            store.put(StoreKey("server/a"), "chat");
            store.forgetHistory();
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(!daemon.fleet.synced);
            daemon.sync.round(yield); // A list proves no more than a watch.
            CPPUNIT_ASSERT(daemon.fleet.synced);
            CPPUNIT_ASSERT(!daemon.dispatch.freshness.holds(stage.clock.now()));
            store.put(catalogKey, "3");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.dispatch.freshness.holds(stage.clock.now()));
        });
    }

    // The answer to a watch may be delivered after this daemon's own, newer write.
    void olderNewsDoesNotReplaceOwnWrites()
    {
        ManualClock clock;
        IoContext io(1);
        SlowWatchStore store(io, clock);
        runCoroutine(io, [&](Yield yield) {
            DaemonParts daemon(io, clock, store, "d1");
            daemon.sync.round(yield);
            store.put(FleetKeys::orders(), "of the last planner");
            const Revision before = store.list(FleetKeys::orders(), yield).value().upTo;
            store.meanwhile = [&](Yield inner) {
                const auto written =
                    store.commit({ { FleetKeys::orders(), "own", before } }, inner);
                daemon.fleet.ownKeys[FleetKeys::orders()] = { "own", written.value() };
            };
            daemon.sync.round(yield);
            CPPUNIT_ASSERT_EQUAL(std::string("own"),
                                 daemon.fleet.ownKeys[FleetKeys::orders()].value);
            daemon.sync.round(yield);
            store.put(FleetKeys::orders(), "of the next planner");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT_EQUAL(std::string("of the next planner"),
                                 daemon.fleet.ownKeys[FleetKeys::orders()].value);
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
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), daemon.fleet.ownKeys.count(FleetKeys::planner()));
            store.erase(FleetKeys::planner());
            store.forgetHistory();
            daemon.sync.round(yield);
            store.duringList = [&](Yield inner) {
                const auto written =
                    store.commit({ { FleetKeys::orders(), "own", absentRevision } }, inner);
                daemon.fleet.noteWritten(FleetKeys::orders(), { "own", written.value() });
            };
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.fleet.synced);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), daemon.fleet.ownKeys.count(FleetKeys::planner()));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), daemon.fleet.ownKeys.count(FleetKeys::orders()));
        });
    }

    // The catalog's freshness proof must be renewed in time: while nothing changes, it dates from
    // the beginning of the previous watch.
    void gatheringFitsTheBounds()
    {
        const Duration proofLasts = std::chrono::milliseconds(4500);
        for (const Duration bound : { std::chrono::seconds(1), std::chrono::seconds(2),
                                      std::chrono::seconds(3), std::chrono::seconds(10) }) {
            const StoreSyncOptions options =
                storeSyncOptions({ bound, std::chrono::seconds(3), proofLasts });
            CPPUNIT_ASSERT(options.gather < bound);
            CPPUNIT_ASSERT(options.gather + 2 * options.watchWait < proofLasts);
        }
        // Without a proof to renew, a watch must still end in time to detect a stalled connection.
        const StoreSyncOptions options = storeSyncOptions({});
        CPPUNIT_ASSERT(options.gather + options.watchWait + watchLateness
                       < options.connectivityGrace);
    }

private:
    void playSilentConnection(const PictureBounds &bounds)
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            const StoreSyncOptions options = storeSyncOptions(bounds);
            store.put(catalogKey, "1");
            DaemonParts daemon(io, stage.clock, store, "d1", options);
            daemon.sync.round(yield);
            const MonotonicTime silentAt = stage.clock.now();
            store.silenceConnection();
            stage.clock.advance(options.gather);
            store.put(catalogKey, "2");
            daemon.sync.round(yield);
            stage.clock.advance(2 * options.retry);
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.dispatch.catalog->version() == CatalogVersion(2));
            CPPUNIT_ASSERT(stage.clock.now() - silentAt < bounds.connectivityGrace);
        });
    }

    void expectGoneBy(Stage &stage, DaemonParts &daemon, MonotonicTime end)
    {
        CPPUNIT_ASSERT(stage.clock.now() < end);
        stage.clock.advance(end - stage.clock.now());
        daemon.sync.expireKept();
        CPPUNIT_ASSERT(daemon.fleet.servers.find(HostId("left")) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreSyncTest);
