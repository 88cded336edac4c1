// Tests of keys held under leases: the planner role, and a daemon's registration.

#include "ramphinge/fleet_control/internal/daemon_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

class KeyHolderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeyHolderTest);
    CPPUNIT_TEST(oneDaemonHoldsTheRoleAtATime);
    CPPUNIT_TEST(delayedCandidateYieldsToOthers);
    CPPUNIT_TEST(holderStepsDownBeforeItsLeaseEnds);
    CPPUNIT_TEST(lostAnswerToAnAcquisitionLeavesNoKeyBehind);
    CPPUNIT_TEST(registrationReplacesThatOfThePreviousProcess);
    CPPUNIT_TEST(releaseRemovesTheKey);
    CPPUNIT_TEST(holderThatIsUnfitYieldsToOthers);
    CPPUNIT_TEST(renewalUsesTheGrantedLifetime);
    CPPUNIT_TEST(answerToAWriteDoesNotReplaceANewerRevision);
    CPPUNIT_TEST(keyThatLapsesDuringAcquisitionIsAcquired);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneDaemonHoldsTheRoleAtATime()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts first(io, env.clock, store, "d1");
            DaemonParts second(io, env.clock, store, "d2");
            first.sync.round(yield);
            second.sync.round(yield);
            first.role.round(yield);
            second.role.round(yield); // Has not seen the other's key yet.
            CPPUNIT_ASSERT(first.role.holds(env.clock.now()));
            CPPUNIT_ASSERT(!second.role.holds(env.clock.now()));
            second.sync.round(yield);
            for (int i = 0; i < 10; ++i) {
                env.clock.advance(std::chrono::seconds(1));
                first.role.round(yield);
                second.role.round(yield);
                CPPUNIT_ASSERT(first.role.holds(env.clock.now()));
                CPPUNIT_ASSERT(!second.role.holds(env.clock.now()));
            }
        });
    }

    // The daemon with the additional delay finds the key taken, and has made no store call.
    void delayedCandidateYieldsToOthers()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts delayed(io, env.clock, store, "weak");
            DaemonParts prompt(io, env.clock, store, "strong");
            KeyHolderOptions options = DaemonParts::roleOptions("weak");
            options.acquireDelay = std::chrono::milliseconds(500);
            KeyHolder role(io, env.clock, options, store, delayed.fleet, delayed.log);
            delayed.sync.round(yield);
            prompt.sync.round(yield);
            spawnCoroutine(io, [&](Yield inner) {
                prompt.role.round(inner);
                delayed.sync.round(inner);
            });
            const int before = store.calls();
            role.round(yield);
            CPPUNIT_ASSERT(!role.holds(env.clock.now()));
            CPPUNIT_ASSERT(prompt.role.holds(env.clock.now()));
            CPPUNIT_ASSERT_EQUAL(before + 3, store.calls()); // A lease, a write and a watch.
        });
    }

    void holderStepsDownBeforeItsLeaseEnds()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts first(io, env.clock, store, "d1");
            DaemonParts second(io, env.clock, store, "d2");
            first.sync.round(yield);
            first.role.round(yield);
            second.sync.round(yield);
            // The first daemon is suspended and does not renew.
            env.clock.advance(std::chrono::milliseconds(2700));
            CPPUNIT_ASSERT(!first.role.holds(env.clock.now()));
            second.sync.round(yield);
            second.role.round(yield);
            CPPUNIT_ASSERT(!second.role.holds(env.clock.now())
                           || store.value(FleetKeys::planner()));
            env.clock.advance(std::chrono::milliseconds(400));
            second.sync.round(yield);
            second.role.round(yield);
            CPPUNIT_ASSERT(second.role.holds(env.clock.now()));
            first.role.round(yield); // Resumes, and finds its lease expired.
            CPPUNIT_ASSERT(!first.role.holds(env.clock.now()));
        });
    }

    void lostAnswerToAnAcquisitionLeavesNoKeyBehind()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            store.loseNextAnswer();
            daemon.role.round(yield);
            CPPUNIT_ASSERT(!daemon.role.holds(env.clock.now()));
            CPPUNIT_ASSERT(!store.value(FleetKeys::planner()));
            daemon.sync.round(yield);
            daemon.role.round(yield);
            CPPUNIT_ASSERT(daemon.role.holds(env.clock.now()));
        });
    }

    void registrationReplacesThatOfThePreviousProcess()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            const StoreKey key = FleetKeys::daemon(DaemonId("d1"));
            store.put(key, "z"); // Of the previous process.
            DaemonParts daemon(io, env.clock, store, "d1");
            KeyHolderOptions options = DaemonParts::roleOptions("z");
            options.key = key;
            options.replaceExisting = true;
            KeyHolder registration(io, env.clock, options, store, daemon.fleet, daemon.log);
            daemon.sync.round(yield);
            registration.round(yield);
            CPPUNIT_ASSERT(registration.holds(env.clock.now()));
            CPPUNIT_ASSERT_EQUAL(1, daemon.fleet.daemonCount());
            CPPUNIT_ASSERT_EQUAL(1, daemon.fleet.daemonsInZone(ZoneId("z")));
            CPPUNIT_ASSERT_EQUAL(0, daemon.fleet.daemonsInZone(ZoneId("y")));
        });
    }

    void releaseRemovesTheKey()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts daemon(io, env.clock, store, "d1");
            daemon.sync.round(yield);
            daemon.role.round(yield);
            daemon.role.stop();
            daemon.role.release(yield);
            CPPUNIT_ASSERT(!daemon.role.holds(env.clock.now()));
            CPPUNIT_ASSERT(!store.value(FleetKeys::planner()));
        });
    }

    // The granted lifetime may be shorter than the requested one, and renewals must use the former.
    void holderThatIsUnfitYieldsToOthers()
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            DaemonParts first(io, env.clock, store, "d1");
            DaemonParts second(io, env.clock, store, "d2");
            bool isFit = true;
            first.role.holdOnlyWhile([&isFit] { return isFit; });
            first.sync.round(yield);
            first.role.round(yield);
            CPPUNIT_ASSERT(first.role.holds(env.clock.now()));
            isFit = false;
            first.role.round(yield);
            CPPUNIT_ASSERT(!first.role.holds(env.clock.now()));
            second.sync.round(yield);
            first.sync.round(yield);
            first.role.round(yield);
            second.role.round(yield);
            CPPUNIT_ASSERT(!first.role.holds(env.clock.now()));
            CPPUNIT_ASSERT(second.role.holds(env.clock.now()));
        });
    }

    void renewalUsesTheGrantedLifetime()
    {
        ManualClock clock;
        IoContext io(1);
        ShortLeaseStore store(io, clock);
        runCoroutine(io, [&](Yield yield) {
            DaemonParts daemon(io, clock, store, "d1");
            daemon.sync.round(yield);
            daemon.role.round(yield);
            for (int i = 0; i < 3; ++i) {
                clock.advance(std::chrono::seconds(1));
                CPPUNIT_ASSERT(daemon.role.holds(clock.now()));
                daemon.role.round(yield);
            }
            clock.advance(std::chrono::milliseconds(1499));
            CPPUNIT_ASSERT(store.value(FleetKeys::planner()));
            CPPUNIT_ASSERT(!daemon.role.holds(clock.now()));
        });
    }

    // The answer to a write may be delivered after a watch has reported a newer revision.
    void answerToAWriteDoesNotReplaceANewerRevision()
    {
        ManualClock clock;
        IoContext io(1);
        SlowAnswerStore store(io, clock);
        runCoroutine(io, [&](Yield yield) {
            DaemonParts daemon(io, clock, store, "d1");
            daemon.sync.round(yield);
            store.duringCommit = [&](Yield inner) {
                store.put(FleetKeys::planner(), "d2");
                daemon.sync.round(inner);
            };
            daemon.role.round(yield);
            CPPUNIT_ASSERT_EQUAL(std::string("d2"),
                                 daemon.fleet.daemonKeys[FleetKeys::planner()].value);
        });
    }

    // A restarted daemon replaces its registration, and the old one lapses while the store grants
    // the new lease.
    void keyThatLapsesDuringAcquisitionIsAcquired()
    {
        ManualClock clock;
        IoContext io(1);
        SlowAnswerStore store(io, clock);
        runCoroutine(io, [&](Yield yield) {
            const StoreKey key = FleetKeys::daemon(DaemonId("d1"));
            store.put(key, "z");
            DaemonParts daemon(io, clock, store, "d1");
            KeyHolderOptions options = DaemonParts::roleOptions("z");
            options.key = key;
            options.replaceExisting = true;
            KeyHolder registration(io, clock, options, store, daemon.fleet, daemon.log);
            daemon.sync.round(yield);
            store.duringGrant = [&](Yield inner) {
                store.erase(key);
                daemon.sync.round(inner);
            };
            registration.round(yield);
            CPPUNIT_ASSERT(registration.holds(clock.now()));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyHolderTest);
