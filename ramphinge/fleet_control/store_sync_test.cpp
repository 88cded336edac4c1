// Tests of the daemon's picture of the store: changes, damaged documents, outages, and how long is
// believed what the store can't confirm.

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
            stage.clock.advance(std::chrono::seconds(3)); // The start counts as a return.
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

    // What users could have seen: requests to servers that left, for as long as the daemon runs.
    //
    // Cause: news are counted as taken in before they are. What was thrown by one of several
    // changes left out those after it for good, and the daemon still believed itself in touch with
    // the store. Evidence: the second server stayed unknown, and the store counted as reachable.
    void pictureIsListedAnewAfterAFailureInside()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts daemon(io, stage.clock, store, "d1");
            daemon.sync.round(yield);
            store.put(StoreKey("server/a"), "chat no-number"); // The tests' decoder throws.
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

    // By a watch and by a list; no grace keeps it, since it has not vanished. It is back as soon as
    // its entry is.
    void damagedEntryNamesNoServerAndTheOthersHold()
    {
        for (const bool byList : { false, true }) {
            Stage stage;
            stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
                store.put(StoreKey("server/a"), "chat");
                store.put(StoreKey("server/b"), "chat");
                DaemonParts daemon(io, stage.clock, store, "d1");
                daemon.sync.round(yield); // The start counts as a return of the store.
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
            store.put(StoreKey("server/a"), "chat 5"); // Of the earlier life; it comes late.
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
            store.erase(StoreKey("server/a")); // Lapsed meanwhile: kept for a moment.
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

    // What users saw: with 3,000 servers, requests handled by a configuration that had been
    // replaced four seconds before, and proper ones refused with 404, for 20 s from a start on.
    //
    // Cause: the store cuts the answer to a watch short after some 500 changes, and 9,000 come
    // while replicas form. Each daemon took the part for all there was: it counted its picture as
    // proved, and gathered for a second before it asked for the next part. Evidence: revisions that
    // grew by exactly 500 each 1.5 s on every daemon, with proofs renewed all the while.
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

    // What users saw: two requests reached a server 12.0 and 12.5 s after it had left, from one of
    // three daemons that the store had turned away for 12 s and served again 3.0 s before.
    //
    // Order of events: the server leaves without a notice while the daemon is turned away; back in
    // touch, the daemon hears that the entry is gone and keeps it, as it may have lapsed with the
    // store; the time to keep it for ends while the daemon gathers news, and the next watch waits
    // for more before anybody looks at that time again.
    //
    // Cause: a kept server was let go by the store's next news, not by time.
    //
    // Evidence: on the code of that time eight days of this shape broke, in all fifteen stories
    // with the entry kept and no notice seen; with a timer of its own for kept servers as the only
    // change none of the same eight did.
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

    // Live servers whose entries lapsed are back within two seconds of the store's return.
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

    // In a short silence no entry lapses: one that is gone was taken back by its server.
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

    // A connection that goes silent at the worst moment, as the daemon begins to gather, is noticed
    // in time for every change that came meanwhile.
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

    // What users would see: requests reach a server more than two seconds after it has left, from a
    // daemon whose ways to the store have been sound for long enough.
    //
    // Order of events: the daemon's connection to the store goes silent while it gathers news; a
    // server leaves without a notice; the daemon asks on that connection a second later, gives up
    // after another 1.6 s, and hears from the next call that the entry is gone. It takes the entry
    // for one that lapsed while the store was away, since 2.8 s without an answer are more than an
    // entry stands.
    //
    // Cause: the time that such an entry is kept for was counted from the beginning of the call
    // that failed. A kept connection may have broken at any moment since the last answer on it.
    //
    // Evidence: this test alone; found by looking for the cause of the fault above in other orders
    // of events. No run of real processes has shown it.
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

    // The store is back after seconds, and turns the first calls away as all daemons come at once:
    // an answer too, so the daemon's ways are sound from the first of them on.
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

    // The store is away, comes back for a moment, and is away again before the servers whose
    // entries lapsed can be back: nothing can be heard of them, so they are kept as if it had not
    // been back.
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

    // The connection can't have broken before the last answer on it.
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

    // A store that is back turns a later call away, as all daemons come at once: an answer too.
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

    // The store is away for six calls of the daemon; returns when the last of them was begun.
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

    // A newer catalog that can't be read may take keys away: the one in force is not the newest.
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
            daemon.sync.round(yield); // A list tells no more than a watch.
            CPPUNIT_ASSERT(daemon.fleet.synced);
            CPPUNIT_ASSERT(!daemon.dispatch.freshness.holds(stage.clock.now()));
            store.put(catalogKey, "3");
            daemon.sync.round(yield);
            CPPUNIT_ASSERT(daemon.dispatch.freshness.holds(stage.clock.now()));
        });
    }

    // A watch's answer that was long on its way tells what was before this daemon's own write.
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

    // However long changes are gathered, the proof of the catalog is renewed in time: while nothing
    // changes, it dates from the beginning of the watch before the one that waits.
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
        // Without a proof to renew, a watch still ends in time to notice a silent connection.
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
