// Tests of a view that follows a relay: which changes are applied, how fresh the view counts, and
// when the store itself is called.

#include <deque>

#include "ramphinge/fleet_control/internal/daemon_fixture.h"
#include "ramphinge/fleet_control/link_key.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

// Returns scripted answers and records the requests. Without an answer left, no relay can be asked.
class ListedNews : public NewsSource
{
public:
    explicit ListedNews(ManualClock &clock) : m_clock(clock) { }

    bool canAsk(bool) const override { return !answers.empty(); }

    Result<RelayedNews> next(Revision after, Duration wait, bool storeLost, Yield) override
    {
        asked.push_back({ after, wait, storeLost });
        m_clock.advance(takes);
        Result<RelayedNews> answer = std::move(answers.front());
        answers.pop_front();
        return answer;
    }

    // Adds an answer that was complete `ago` before now.
    void say(Revision upTo, std::vector<StoreChange> changes, Duration ago = {})
    {
        RelayedNews news;
        news.batch.upTo = upTo;
        news.batch.changes = std::move(changes);
        news.provenAt = m_clock.now() - ago;
        answers.push_back(std::move(news));
    }

    struct Question
    {
        Revision after;
        Duration wait;
        bool storeLost;
    };

    Duration takes {};
    std::deque<Result<RelayedNews>> answers;
    std::vector<Question> asked;

private:
    ManualClock &m_clock;
};

class Follower : public PictureListener
{
public:
    void pictureListed(Revision, MonotonicTime) override { ++listed; }
    void pictureAdvanced(const WatchBatch &, MonotonicTime) override { ++advanced; }
    void pictureStopped() override { ++stopped; }

    int listed = 0;
    int advanced = 0;
    int stopped = 0;
};

StoreSyncOptions largeFleet()
{
    PictureBounds bounds;
    bounds.changeInForce = std::chrono::seconds(4);
    bounds.connectivityGrace = std::chrono::seconds(5);
    bounds.proofLasts = std::chrono::milliseconds(4500);
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
        : store(store), news(clock), daemon(io, clock, store, "d1", largeFleet())
    {
        store.put(catalogKey, "1");
        store.put(StoreKey("server/a"), "chat");
        daemon.sync.useRelays(news, follower, [this] { return isRelay; });
        daemon.sync.round(yield);
        calls = store.calls();
    }

    bool knows(const char *name) const
    {
        return daemon.fleet.servers.find(HostId(name)) != nullptr;
    }

    int callsSince() { return store.calls() - std::exchange(calls, store.calls()); }

    MemoryKeyValueStore &store;
    ListedNews news;
    Follower follower;
    DaemonParts daemon;
    bool isRelay = false;
    int calls = 0;
};

void withRelayedDaemon(const std::function<void(RelayedDaemon &, ManualClock &, Yield)> &body)
{
    Stage stage;
    stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
        RelayedDaemon daemon(io, stage.clock, store, yield);
        body(daemon, stage.clock, yield);
    });
}

} // namespace

class RelayedSyncTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayedSyncTest);
    CPPUNIT_TEST(newsOfARelayNeedNoCallOfTheStore);
    CPPUNIT_TEST(proofIsAsOldAsTheRelaysOwn);
    CPPUNIT_TEST(storeIsAskedWhereTheRelayIsOfNoUse);
    CPPUNIT_TEST(nextRelayIsAskedBeforeTheStore);
    CPPUNIT_TEST(oldPictureIsRenewedFromTheStore);
    CPPUNIT_TEST(relayIsAskedOnWhileItHasMoreToTell);
    CPPUNIT_TEST(silentRelayIsReplacedWithinTheBounds);
    CPPUNIT_TEST(relayThatIsBehindTakesNothingBack);
    CPPUNIT_TEST(daemonWithoutItsStoreFollowsTheRelay);
    CPPUNIT_TEST(lostStoreIsAskedSeldomBesideALostRelay);
    CPPUNIT_TEST(relaysAndDaemonsWithoutOneAskTheStore);
    CPPUNIT_TEST(tightBoundsLeaveNoTimeForAHop);
    CPPUNIT_TEST(timesOfAHopFitTheBounds);
    CPPUNIT_TEST(plannerWritesTheLinkKeyOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void newsOfARelayNeedNoCallOfTheStore()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            clock.advance(std::chrono::seconds(3)); // The start counts as the end of an outage.
            relayed.daemon.sync.round(yield);
            relayed.callsSince();
            relayed.news.say(Revision(3), { serverChange("b", 3) });
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT_EQUAL(0, relayed.callsSince());
            CPPUNIT_ASSERT(relayed.knows("b"));
            CPPUNIT_ASSERT(relayed.daemon.dispatch.freshness.age(clock.now()) == Duration::zero());
            relayed.news.say(Revision(4), { { StoreKey("server/a"), std::nullopt } });
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.news.asked.back().after == Revision(3));
            CPPUNIT_ASSERT(!relayed.knows("a"));
            CPPUNIT_ASSERT_EQUAL(0, relayed.callsSince());
        });
    }

    void proofIsAsOldAsTheRelaysOwn()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            clock.advance(std::chrono::milliseconds(1000));
            relayed.news.say(Revision(2), {}, std::chrono::milliseconds(700));
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(*relayed.daemon.dispatch.freshness.age(clock.now())
                           == std::chrono::milliseconds(700));
            relayed.news.say(Revision(2), {}, std::chrono::milliseconds(900));
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(*relayed.daemon.dispatch.freshness.age(clock.now())
                           == std::chrono::milliseconds(700)); // An older proof changes nothing.
        });
    }

    void storeIsAskedWhereTheRelayIsOfNoUse()
    {
        for (const ErrorKind kind : { ErrorKind::Unavailable, ErrorKind::NotFound,
                                      ErrorKind::Overloaded, ErrorKind::Unknown }) {
            withRelayedDaemon([kind](RelayedDaemon &relayed, ManualClock &, Yield yield) {
                relayed.store.put(StoreKey("server/b"), "chat");
                relayed.news.answers.push_back(Error(kind, "of no use"));
                relayed.daemon.sync.round(yield);
                CPPUNIT_ASSERT(relayed.knows("b"));
                CPPUNIT_ASSERT_EQUAL(1, relayed.callsSince());
                CPPUNIT_ASSERT(relayed.daemon.fleet.storeReachable);
            });
        }
    }

    void nextRelayIsAskedBeforeTheStore()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &, Yield yield) {
            relayed.news.answers.push_back(Error(ErrorKind::Unavailable, "store lost"));
            relayed.news.say(Revision(3), { serverChange("b", 3) });
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.knows("b"));
            CPPUNIT_ASSERT_EQUAL(0, relayed.callsSince());
            relayed.news.answers.push_back(Error(ErrorKind::Unknown, "no answer"));
            relayed.news.say(Revision(4), { serverChange("c", 4) });
            relayed.daemon.sync.round(yield); // The failure was slow: no other relay is asked.
            CPPUNIT_ASSERT_EQUAL(1, relayed.callsSince());
        });
    }

    // The relay is partitioned from the store and has not detected it: its proof is not renewed.
    void oldPictureIsRenewedFromTheStore()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            const MonotonicTime start = clock.now();
            const StoreSyncOptions options = largeFleet();
            relayed.store.put(StoreKey("server/b"), "chat");
            relayed.news.takes = options.relayedWait;
            while (!relayed.knows("b")) {
                relayed.news.answers.clear();
                relayed.news.say(Revision(2), {}, clock.now() - start);
                relayed.daemon.sync.round(yield);
                CPPUNIT_ASSERT(clock.now() - start < std::chrono::seconds(4));
            }
            CPPUNIT_ASSERT(relayed.news.asked.size() > 1);
        });
    }

    // Even if the view is too old: the store would return the same changes, one call per part.
    void relayIsAskedOnWhileItHasMoreToTell()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            relayed.news.say(Revision(3), { serverChange("b", 3) }, std::chrono::hours(24));
            relayed.news.answers.back().value().batch.reachesPresent = false;
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.daemon.sync.pauseAfterRound() == Duration::zero());
            clock.advance(largeFleet().relayedAge + std::chrono::milliseconds(1));
            relayed.news.say(Revision(4), { serverChange("c", 4) });
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.knows("b") && relayed.knows("c"));
            CPPUNIT_ASSERT_EQUAL(0, relayed.callsSince());
            CPPUNIT_ASSERT(relayed.news.asked.back().wait == Duration::zero());
            CPPUNIT_ASSERT(relayed.daemon.dispatch.freshness.age(clock.now()) == Duration::zero());
        });
    }

    // A relay stalls during a request that begins when the view is almost as old as allowed: the
    // store must still be called within the bounds.
    void silentRelayIsReplacedWithinTheBounds()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            const MonotonicTime start = clock.now();
            const StoreSyncOptions options = largeFleet();
            clock.advance(options.relayedAge - std::chrono::milliseconds(10));
            relayed.store.put(StoreKey("server/b"), "chat");
            relayed.news.takes = std::chrono::milliseconds(10) + watchLateness;
            relayed.news.answers.push_back(Error(ErrorKind::Unknown, "no answer"));
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.news.asked.front().wait == std::chrono::milliseconds(10));
            CPPUNIT_ASSERT(relayed.knows("b"));
            CPPUNIT_ASSERT(clock.now() - start < std::chrono::seconds(4));
        });
    }

    void relayThatIsBehindTakesNothingBack()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &, Yield yield) {
            relayed.store.put(StoreKey("server/b"), "chat");
            relayed.daemon.sync.round(yield); // Revision 3, from the store itself.
            relayed.news.say(Revision(2), {});
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.knows("b"));
            relayed.news.say(Revision(4), {});
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.news.asked.back().after == Revision(3));
        });
    }

    void daemonWithoutItsStoreFollowsTheRelay()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            relayed.store.setDown(true);
            relayed.news.answers.push_back(Error(ErrorKind::Unavailable, "store lost"));
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(!relayed.daemon.fleet.storeReachable);
            clock.advance(std::chrono::milliseconds(500));
            relayed.news.say(Revision(3), { serverChange("b", 3) });
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.news.asked.back().storeLost);
            CPPUNIT_ASSERT(relayed.daemon.fleet.storeReachable);
            CPPUNIT_ASSERT(relayed.knows("b"));
            CPPUNIT_ASSERT(relayed.daemon.dispatch.freshness.age(clock.now()) == Duration::zero());
        });
    }

    // During an outage of ten seconds. Once the store is back and only the relay can't reach it,
    // the daemon must still notice in time.
    void lostStoreIsAskedSeldomBesideALostRelay()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &clock, Yield yield) {
            const StoreSyncOptions options = largeFleet();
            const auto answerLost = [&] {
                relayed.news.answers.clear();
                relayed.news.answers.push_back(Error(ErrorKind::Unavailable, "store lost"));
                relayed.daemon.sync.round(yield);
            };
            relayed.store.setDown(true);
            answerLost();
            relayed.news.takes = options.relayedWait;
            relayed.callsSince();
            const MonotonicTime start = clock.now();
            while (clock.now() - start < std::chrono::seconds(10)) {
                answerLost();
                clock.advance(options.retry);
            }
            const int calls = relayed.callsSince();
            CPPUNIT_ASSERT(calls >= 4 && calls <= 7);
            relayed.store.setDown(false);
            const MonotonicTime back = clock.now();
            while (!relayed.daemon.fleet.storeReachable)
                answerLost();
            CPPUNIT_ASSERT(clock.now() - back < std::chrono::milliseconds(2500));
        });
    }

    void relaysAndDaemonsWithoutOneAskTheStore()
    {
        withRelayedDaemon([](RelayedDaemon &relayed, ManualClock &, Yield yield) {
            relayed.isRelay = true; // canAsk() returns false on a relay.
            relayed.store.put(StoreKey("server/b"), "chat");
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT(relayed.knows("b"));
            CPPUNIT_ASSERT(relayed.news.asked.empty());
            CPPUNIT_ASSERT_EQUAL(1, relayed.follower.listed);
            CPPUNIT_ASSERT_EQUAL(1, relayed.follower.advanced);
            relayed.store.setDown(true);
            relayed.daemon.sync.round(yield);
            CPPUNIT_ASSERT_EQUAL(1, relayed.follower.stopped);
        });
    }

    void tightBoundsLeaveNoTimeForAHop()
    {
        CPPUNIT_ASSERT(storeSyncOptions({}).relayedAge == Duration::zero());
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            store.put(StoreKey("server/a"), "chat");
            ListedNews news(stage.clock);
            Follower follower;
            DaemonParts daemon(io, stage.clock, store, "d1", storeSyncOptions({}));
            daemon.sync.useRelays(news, follower, [] { return false; });
            news.say(Revision(1), {});
            for (int i = 0; i < 3; ++i)
                daemon.sync.round(yield);
            CPPUNIT_ASSERT(news.asked.empty());
        });
    }

    // A relay that answers at the end of the wait has a proof as old as two of its watches, one
    // batching delay and the wait. For bounds from three seconds on, that must be within the
    // maximum age.
    void timesOfAHopFitTheBounds()
    {
        for (int seconds = 3; seconds <= 12; ++seconds) {
            PictureBounds bounds;
            bounds.changeInForce = std::chrono::seconds(seconds);
            bounds.connectivityGrace = std::chrono::seconds(seconds + 1);
            const StoreSyncOptions options = storeSyncOptions(bounds);
            CPPUNIT_ASSERT(options.relayedAge > Duration::zero());
            CPPUNIT_ASSERT(2 * options.watchWaitAsRelay + options.gatherAsRelay
                               + options.relayedWait
                           <= options.relayedAge + std::chrono::milliseconds(1));
            CPPUNIT_ASSERT(options.relayedAge + watchLateness < bounds.changeInForce);
        }
    }

    void plannerWritesTheLinkKeyOnce()
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts daemon(io, stage.clock, store, "d1");
            LinkKeyWriter writer(io, stage.clock, store, daemon.fleet, daemon.role, daemon.log);
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
