// Tests of a view that follows a relay: which changes are applied, how fresh the view counts, and
// when the store itself is called.

#include <deque>

#include "ramphinge/fleet_control/internal/daemon_fixture.h"
#include "ramphinge/fleet_control/write_once_key.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

// Returns scripted answers and records the requests. Without an answer left, no relay can be asked.
class ScriptedUpdateSource : public UpdateSource
{
public:
    explicit ScriptedUpdateSource(ManualClock &clock) : m_clock(clock) { }

    bool canAsk(bool) const override { return !answers.empty(); }

    void setDeltaBase(const StoredEntry &) override { }
    Result<RelayedUpdate> next(Revision after, Duration wait, bool storeLost, Yield) override
    {
        requests.push_back({ after, wait, storeLost });
        m_clock.advance(answerDelay);
        Result<RelayedUpdate> answer = std::move(answers.front());
        answers.pop_front();
        return answer;
    }

    Result<RelayedSnapshot> snapshot(Yield) override
    {
        ++snapshotRequests;
        if (snapshots.empty())
            return Error(ErrorKind::Unavailable, "no snapshot");
        Result<RelayedSnapshot> answer = std::move(snapshots.front());
        snapshots.pop_front();
        return answer;
    }

    // Adds an answer that was complete `ago` before now.
    void addAnswer(Revision upTo, std::vector<StoreChange> changes, Duration ago = {})
    {
        RelayedUpdate updates;
        updates.batch.upTo = upTo;
        updates.batch.changes = std::move(changes);
        updates.freshAsOf = m_clock.now() - ago;
        answers.push_back(std::move(updates));
    }

    struct Request
    {
        Revision after;
        Duration wait;
        bool storeLost;
    };

    Duration answerDelay {};
    std::deque<Result<RelayedUpdate>> answers;
    std::vector<Request> requests;
    std::deque<Result<RelayedSnapshot>> snapshots;
    int snapshotRequests = 0;

private:
    ManualClock &m_clock;
};

class CountingListener : public ViewListener
{
public:
    void viewListed(const StoreSnapshot &, MonotonicTime) override { ++listed; }
    bool wantsListing() const override { return false; }
    void viewAdvanced(const WatchBatch &, MonotonicTime) override { ++advanced; }
    void viewStopped() override { ++stopped; }

    int listed = 0;
    int advanced = 0;
    int stopped = 0;
};

StoreSyncOptions largeFleetOptions()
{
    StalenessBounds bounds;
    bounds.changeInForce = std::chrono::seconds(4);
    bounds.connectivityGrace = std::chrono::seconds(5);
    bounds.proofLifetime = std::chrono::milliseconds(4500);
    return storeSyncOptions(bounds);
}

StoreChange serverChange(const char *name, int revision)
{
    return { StoreKey(std::string("server/") + name), StoredValue { "chat", Revision(revision) } };
}

// A daemon that has listed a store with server a, and can ask a relay.
class RelayedDaemon
{
public:
    RelayedDaemon(IoContext &io, ManualClock &clock, MemoryKeyValueStore &store, Yield yield)
        : store(store), updates(clock), daemon(io, clock, store, "d1", largeFleetOptions())
    {
        store.put(catalogKey, "1");
        store.put(StoreKey("server/a"), "chat");
        daemon.sync.useRelays(updates, listener, [this] { return isRelay; });
        daemon.sync.round(yield);
        calls = store.calls();
    }

    bool knowsServer(const char *name) const
    {
        return daemon.fleet.servers.find(HostId(name)) != nullptr;
    }

    int takeCallCount() { return store.calls() - std::exchange(calls, store.calls()); }

    MemoryKeyValueStore &store;
    ScriptedUpdateSource updates;
    CountingListener listener;
    DaemonParts daemon;
    bool isRelay = false;
    int calls = 0;
};

class TestPermit : public BulkReadPermit
{
public:
    bool isGranted() const override { return granted; }
    void request() override { ++requests; }

    bool granted = false;
    int requests = 0;
};

// A daemon without a view, in a zone with relays.
class StartingDaemon
{
public:
    StartingDaemon(IoContext &io, ManualClock &clock, MemoryKeyValueStore &store)
        : updates(clock), daemon(io, clock, store, "d1", largeFleetOptions())
    {
        store.put(catalogKey, "1");
        store.put(StoreKey("server/a"), "chat");
        daemon.sync.useRelays(updates, listener, [] { return false; });
        daemon.sync.limitBulkReads(permit);
    }

    ScriptedUpdateSource updates;
    CountingListener listener;
    TestPermit permit;
    DaemonParts daemon;
};

void withRelayedDaemon(const std::function<void(RelayedDaemon &, ManualClock &, Yield)> &body)
{
    TestEnvironment env;
    env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
        RelayedDaemon daemon(io, env.clock, store, yield);
        body(daemon, env.clock, yield);
    });
}

} // namespace

class RelayedSyncTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayedSyncTest);
    CPPUNIT_TEST(relayedChangesNeedNoStoreCall);
    CPPUNIT_TEST(proofIsAsOldAsTheRelaysOwn);
    CPPUNIT_TEST(storeIsCalledIfTheRelayFails);
    CPPUNIT_TEST(nextRelayIsAskedBeforeTheStore);
    CPPUNIT_TEST(staleViewIsUpdatedFromTheStore);
    CPPUNIT_TEST(relayIsAskedAgainAfterATruncatedAnswer);
    CPPUNIT_TEST(storeIsCalledInTimeIfTheRelayStalls);
    CPPUNIT_TEST(relayWithAnOlderViewRevertsNothing);
    CPPUNIT_TEST(daemonWithoutTheStoreFollowsTheRelay);
    CPPUNIT_TEST(storeIsCalledRarelyIfTheRelayHasLostItToo);
    CPPUNIT_TEST(relaysAndDaemonsWithoutOneAskTheStore);
    CPPUNIT_TEST(tightBoundsLeaveNoTimeForRelaying);
    CPPUNIT_TEST(relayTimesFitTheBounds);
    CPPUNIT_TEST(firstViewComesFromARelay);
    CPPUNIT_TEST(storeIsListedOnlyWithThePermit);
    CPPUNIT_TEST(viewThatFellBehindAwaitsThePermit);
    CPPUNIT_TEST(snapshotReplacesChangesThatTheRelayNoLongerHas);
    CPPUNIT_TEST(olderSnapshotIsRejected);
    CPPUNIT_TEST(plannerWritesTheLinkKeyOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void relayedChangesNeedNoStoreCall()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            clock.advance(std::chrono::seconds(3)); // The start counts as the end of an outage.
            relayed.daemon.sync.round(yield);
            relayed.takeCallCount();
            relayed.updates.addAnswer(Revision(3), { serverChange("b", 3) });
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT_EQUAL(0, relayed.takeCallCount());
            CPPUNIT_ASSERT(relayed.knowsServer("b"));
            CPPUNIT_ASSERT(relayed.daemon.dispatch.freshness.age(clock.now()) == Duration::zero());
            relayed.updates.addAnswer(Revision(4), { { StoreKey("server/a"), std::nullopt } });
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.updates.requests.back().after == Revision(3));
            CPPUNIT_ASSERT(!relayed.knowsServer("a"));
            CPPUNIT_ASSERT_EQUAL(0, relayed.takeCallCount());
        });
    }

    void proofIsAsOldAsTheRelaysOwn()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            clock.advance(std::chrono::milliseconds(1000));
            relayed.updates.addAnswer(Revision(2), {}, std::chrono::milliseconds(700));
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(*relayed.daemon.dispatch.freshness.age(clock.now())
                           == std::chrono::milliseconds(700));
            relayed.updates.addAnswer(Revision(2), {}, std::chrono::milliseconds(900));
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(*relayed.daemon.dispatch.freshness.age(clock.now())
                           == std::chrono::milliseconds(700)); // An older proof changes nothing.
        });
    }

    void storeIsCalledIfTheRelayFails()
    {
        for (const ErrorKind kind : { ErrorKind::Unavailable, ErrorKind::NotFound,
                                      ErrorKind::Overloaded, ErrorKind::Unknown }) {
            withRelayedDaemon([kind](RelayedDaemon &relayed, ManualClock &, Yield yield) {
                relayed.store.put(StoreKey("server/b"), "chat");
                relayed.updates.answers.push_back(Error(kind, "of no use"));
                relayed.daemon.sync.round(yield);
                CPPUNIT_ASSERT(relayed.knowsServer("b"));
                CPPUNIT_ASSERT_EQUAL(1, relayed.takeCallCount());
                CPPUNIT_ASSERT(relayed.daemon.fleet.storeReachable);
            });
        }
    }

    void nextRelayIsAskedBeforeTheStore()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &, Yield yield) {
            relayed.updates.answers.push_back(Error(ErrorKind::Unavailable, "store lost"));
            relayed.updates.addAnswer(Revision(3), { serverChange("b", 3) });
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.knowsServer("b"));
            CPPUNIT_ASSERT_EQUAL(0, relayed.takeCallCount());
            relayed.updates.answers.push_back(Error(ErrorKind::Unknown, "no answer"));
            relayed.updates.addAnswer(Revision(4), { serverChange("c", 4) });
            relayed.daemon.sync.round(yield); // The failure was slow: no other relay is asked.
            CPPUNIT_ASSERT_EQUAL(1, relayed.takeCallCount());
        });
    }

    // The relay is partitioned from the store and has not detected it: its proof is not renewed.
    void staleViewIsUpdatedFromTheStore()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            const MonotonicTime start = clock.now();
            const StoreSyncOptions options = largeFleetOptions();
            relayed.store.put(StoreKey("server/b"), "chat");
            relayed.updates.answerDelay = options.relayRequestWait;
            while (!relayed.knowsServer("b")) {
                relayed.updates.answers.clear();
                relayed.updates.addAnswer(Revision(2), {}, clock.now() - start);
                relayed.daemon.sync.round(yield);
                CPPUNIT_ASSERT(clock.now() - start < std::chrono::seconds(4));
            }
            CPPUNIT_ASSERT(relayed.updates.requests.size() > 1);
        });
    }

    // Even if the view is too old: the store would return the same changes, one call per part.
    void relayIsAskedAgainAfterATruncatedAnswer()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            relayed.updates.addAnswer(Revision(3), { serverChange("b", 3) },
                                      std::chrono::hours(24));
            relayed.updates.answers.back().value().batch.reachesPresent = false;
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.daemon.sync.pauseAfterRound() == Duration::zero());
            clock.advance(largeFleetOptions().maxRelayedAge + std::chrono::milliseconds(1));
            relayed.updates.addAnswer(Revision(4), { serverChange("c", 4) });
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.knowsServer("b") && relayed.knowsServer("c"));
            CPPUNIT_ASSERT_EQUAL(0, relayed.takeCallCount());
            CPPUNIT_ASSERT(relayed.updates.requests.back().wait == Duration::zero());
            CPPUNIT_ASSERT(relayed.daemon.dispatch.freshness.age(clock.now()) == Duration::zero());
        });
    }

    // A relay stalls during a request that begins when the view is almost as old as allowed: the
    // store must still be called within the bounds.
    void storeIsCalledInTimeIfTheRelayStalls()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            const MonotonicTime start = clock.now();
            const StoreSyncOptions options = largeFleetOptions();
            clock.advance(options.maxRelayedAge - std::chrono::milliseconds(10));
            relayed.store.put(StoreKey("server/b"), "chat");
            relayed.updates.answerDelay = std::chrono::milliseconds(10) + maxWatchLateness;
            relayed.updates.answers.push_back(Error(ErrorKind::Unknown, "no answer"));
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.updates.requests.front().wait == std::chrono::milliseconds(10));
            CPPUNIT_ASSERT(relayed.knowsServer("b"));
            CPPUNIT_ASSERT(clock.now() - start < std::chrono::seconds(4));
        });
    }

    void relayWithAnOlderViewRevertsNothing()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &, Yield yield) {
            relayed.store.put(StoreKey("server/b"), "chat");
            relayed.daemon.sync.round(yield); // Revision 3, from the store itself.
            relayed.updates.addAnswer(Revision(2), {});
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.knowsServer("b"));
            relayed.updates.addAnswer(Revision(4), {});
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.updates.requests.back().after == Revision(3));
        });
    }

    void daemonWithoutTheStoreFollowsTheRelay()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            relayed.store.setDown(true);
            relayed.updates.answers.push_back(Error(ErrorKind::Unavailable, "store lost"));
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(!relayed.daemon.fleet.storeReachable);
            clock.advance(std::chrono::milliseconds(500));
            relayed.updates.addAnswer(Revision(3), { serverChange("b", 3) });
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.updates.requests.back().storeLost);
            CPPUNIT_ASSERT(relayed.daemon.fleet.storeReachable);
            CPPUNIT_ASSERT(relayed.knowsServer("b"));
            CPPUNIT_ASSERT(relayed.daemon.dispatch.freshness.age(clock.now()) == Duration::zero());
        });
    }

    // During an outage of ten seconds. Once the store is back and only the relay can't reach it,
    // the daemon must still notice in time.
    void storeIsCalledRarelyIfTheRelayHasLostItToo()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            const StoreSyncOptions options = largeFleetOptions();
            const auto runRoundWithLostRelay = [&] {
                relayed.updates.answers.clear();
                relayed.updates.answers.push_back(Error(ErrorKind::Unavailable, "store lost"));
                relayed.daemon.sync.round(yield);
            };
            relayed.store.setDown(true);
            runRoundWithLostRelay();
            relayed.updates.answerDelay = options.relayRequestWait;
            relayed.takeCallCount();
            const MonotonicTime start = clock.now();
            while (clock.now() - start < std::chrono::seconds(10)) {
                runRoundWithLostRelay();
                clock.advance(options.retryDelay);
            }
            const int calls = relayed.takeCallCount();
            CPPUNIT_ASSERT(calls >= 4 && calls <= 7);
            relayed.store.setDown(false);
            const MonotonicTime back = clock.now();
            while (!relayed.daemon.fleet.storeReachable)
                runRoundWithLostRelay();
            CPPUNIT_ASSERT(clock.now() - back < std::chrono::milliseconds(2500));
        });
    }

    void relaysAndDaemonsWithoutOneAskTheStore()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &, Yield yield) {
            relayed.isRelay = true; // canAsk() returns false on a relay.
            relayed.store.put(StoreKey("server/b"), "chat");
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.knowsServer("b"));
            CPPUNIT_ASSERT(relayed.updates.requests.empty());
            CPPUNIT_ASSERT_EQUAL(1, relayed.listener.listed);
            CPPUNIT_ASSERT_EQUAL(1, relayed.listener.advanced);
            relayed.store.setDown(true);
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT_EQUAL(1, relayed.listener.stopped);
        });
    }

    void tightBoundsLeaveNoTimeForRelaying()
    {
        CPPUNIT_ASSERT(storeSyncOptions({}).maxRelayedAge == Duration::zero());
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(StoreKey("server/a"), "chat");
            ScriptedUpdateSource updates(env.clock);
            CountingListener listener;
            DaemonParts daemon(io, env.clock, store, "d1", storeSyncOptions({}));
            daemon.sync.useRelays(updates, listener, [] { return false; });
            updates.addAnswer(Revision(1), {});
            for (int i = 0; i < 3; ++i)
                daemon.sync.round(yield);
            CPPUNIT_ASSERT(updates.requests.empty());
        });
    }

    // A relay that answers at the end of the wait has a proof as old as two of its watches, one
    // batching delay and the wait. For bounds from three seconds on, that must be within the
    // maximum age.
    void relayTimesFitTheBounds()
    {
        for (int seconds = 3; seconds <= 12; ++seconds) {
            StalenessBounds bounds;
            bounds.changeInForce = std::chrono::seconds(seconds);
            bounds.connectivityGrace = std::chrono::seconds(seconds + 1);
            const StoreSyncOptions options = storeSyncOptions(bounds);
            CPPUNIT_ASSERT(options.maxRelayedAge > Duration::zero());
            CPPUNIT_ASSERT(2 * options.watchWaitAsRelay + options.batchDelayAsRelay
                               + options.relayRequestWait
                           <= options.maxRelayedAge + std::chrono::milliseconds(1));
            CPPUNIT_ASSERT(options.maxRelayedAge + maxWatchLateness < bounds.changeInForce);
        }
    }

    // A thousand daemons that start at once would each read the whole store.
    void firstViewComesFromARelay()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            StartingDaemon starting(io, env.clock, store);
            starting.updates.addAnswer(Revision(3), {}); // A relay can be asked.
            starting.updates.snapshots.push_back(RelayedSnapshot {
                { Revision(3), { { StoreKey("server/a"), { "chat", Revision(2) } } } },
                env.clock.now() - std::chrono::milliseconds(400) });
            starting.daemon.sync.round(yield);
            CPPUNIT_ASSERT(starting.daemon.fleet.synced);
            CPPUNIT_ASSERT(starting.daemon.fleet.servers.find(HostId("a")) != nullptr);
            CPPUNIT_ASSERT(*starting.daemon.dispatch.freshness.age(env.clock.now())
                           == std::chrono::milliseconds(400));
            starting.daemon.sync.round(yield);
            CPPUNIT_ASSERT(starting.updates.requests.back().after == Revision(3));
            CPPUNIT_ASSERT_EQUAL(0, store.calls());
            CPPUNIT_ASSERT_EQUAL(0, starting.listener.listed); // It has no entries to serve.
        });
    }

    void storeIsListedOnlyWithThePermit()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            StartingDaemon starting(io, env.clock, store);
            starting.updates.addAnswer(Revision(3), {});
            for (int i = 0; i < 3; ++i) {
                starting.daemon.sync.round(yield);
                CPPUNIT_ASSERT(starting.daemon.sync.pauseAfterRound() > Duration::zero());
            }
            CPPUNIT_ASSERT(starting.updates.snapshotRequests >= 3);
            CPPUNIT_ASSERT(!starting.daemon.fleet.synced);
            CPPUNIT_ASSERT_EQUAL(3, starting.permit.requests);
            CPPUNIT_ASSERT_EQUAL(0, store.calls());
            starting.permit.granted = true;
            starting.daemon.sync.round(yield);
            CPPUNIT_ASSERT(starting.daemon.fleet.synced);
            CPPUNIT_ASSERT_EQUAL(1, store.calls());
        });
    }

    // While replicas form, changes come faster than the store's link carries them to all daemons.
    // Those that read on for themselves slow down the relays that they wait for.
    void viewThatFellBehindAwaitsThePermit()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            TestPermit permit;
            relayed.daemon.sync.limitBulkReads(permit);
            relayed.store.limitWatches(2);
            for (const char *server : { "b", "c", "e", "f", "g", "h" })
                relayed.store.put(StoreKey(std::string("server/") + server), "chat");
            const auto roundWithoutRelay = [&] {
                relayed.updates.answers.clear();
                relayed.updates.answers.push_back(Error(ErrorKind::Unknown, "no answer"));
                relayed.daemon.sync.round(yield);
            };
            roundWithoutRelay(); // A view that was caught up may be updated from the store.
            CPPUNIT_ASSERT_EQUAL(1, relayed.takeCallCount());
            for (int i = 0; i < 3; ++i) {
                clock.advance(std::chrono::seconds(2));
                roundWithoutRelay();
                CPPUNIT_ASSERT(relayed.daemon.sync.pauseAfterRound() > Duration::zero());
            }
            CPPUNIT_ASSERT_EQUAL(0, relayed.takeCallCount());
            CPPUNIT_ASSERT_EQUAL(3, permit.requests);
            CPPUNIT_ASSERT(relayed.daemon.fleet.storeReachable);
            CPPUNIT_ASSERT(*relayed.daemon.dispatch.freshness.age(clock.now())
                           >= std::chrono::seconds(6));
            relayed.updates.answers.clear();
            relayed.updates.addAnswer(Revision(8), { serverChange("h", 8) });
            relayed.daemon.sync.round(yield); // The relay has the rest.
            CPPUNIT_ASSERT(relayed.knowsServer("h"));
            CPPUNIT_ASSERT(relayed.daemon.dispatch.freshness.age(clock.now()) == Duration::zero());
            relayed.store.put(StoreKey("server/i"), "chat");
            roundWithoutRelay();
            CPPUNIT_ASSERT(relayed.knowsServer("i"));
        });
    }

    void snapshotReplacesChangesThatTheRelayNoLongerHas()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            clock.advance(std::chrono::seconds(3)); // The start counts as the end of an outage.
            relayed.daemon.sync.round(yield);
            relayed.takeCallCount();
            relayed.updates.answers.push_back(Error(ErrorKind::NotFound, "too old"));
            relayed.updates.snapshots.push_back(RelayedSnapshot {
                { Revision(90), { { StoreKey("server/b"), { "chat", Revision(80) } } } },
                clock.now() });
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.knowsServer("b") && !relayed.knowsServer("a"));
            CPPUNIT_ASSERT_EQUAL(0, relayed.takeCallCount());
        });
    }

    // It would revert the view, and bring back what was revoked since.
    void olderSnapshotIsRejected()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            relayed.updates.answers.push_back(Error(ErrorKind::NotFound, "too old"));
            relayed.updates.snapshots.push_back(
                RelayedSnapshot { { Revision(1), {} }, clock.now() });
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.knowsServer("a"));
            CPPUNIT_ASSERT_EQUAL(1, relayed.takeCallCount()); // The store is asked instead.
        });
    }

    void plannerWritesTheLinkKeyOnce()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts daemon(io, env.clock, store, "d1");
            WriteOnceKey writer(io, env.clock, linkKeyOptions(), store, daemon.fleet, daemon.role,
                                daemon.log);
            daemon.sync.round(yield);
            writer.round(yield); // This daemon is not the planner yet.
            CPPUNIT_ASSERT(!store.value(FleetKeys::linkKey()));
            daemon.role.round(yield);
            writer.round(yield);
            const std::optional<std::string> key = store.value(FleetKeys::linkKey());
            CPPUNIT_ASSERT(key && key->size() >= 32);
            writer.round(yield);
            daemon.sync.round(yield);
            writer.round(yield);
            CPPUNIT_ASSERT(store.value(FleetKeys::linkKey()) == key);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayedSyncTest);
