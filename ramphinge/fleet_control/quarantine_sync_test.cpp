// Tests of the quarantine's replication: several daemons on one store, killed daemons, outages, and
// releases by operators.

#include "ramphinge/fleet_control/internal/daemon_fixture.h"
#include "ramphinge/fleet_control/quarantine_operations.h"
#include "ramphinge/fleet_control/quarantine_sync.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

const Fingerprint crashingRequest("f1");
const HostId firstServer("s1");
const HostId secondServer("s2");
const HostId thirdServer("s3");

// One daemon's view of the store, its quarantine, and the QuarantineSync that connects them.
struct Daemon
{
    Daemon(IoContext &io, ManualClock &clock, KeyValueStore &store, const std::string &name)
        : parts(io, clock, store, name), clock(clock),
          quarantineSync(io, options(name), store, parts.fleet, parts.dispatch.quarantine,
                         parts.role, clock, parts.log)
    { }

    static QuarantineSyncOptions options(const std::string &name)
    {
        QuarantineSyncOptions options;
        options.daemon = DaemonId(name);
        return options;
    }

    // Updates the view from the store, and applies the reports in it.
    void receive(Yield yield)
    {
        parts.sync.round(yield);
        quarantineSync.applyStoredReports();
    }

    void publish(Yield yield)
    {
        clock.advance(std::chrono::milliseconds(250)); // The minimum time between two reports.
        quarantineSync.round(yield);
    }

    bool recordCrash(const HostId &server)
    {
        return quarantine().noteCrash({ crashingRequest, AccountId("school"), "route" }, server,
                                      clock.now(), clock.wallNow());
    }

    Quarantine &quarantine() { return parts.dispatch.quarantine; }
    bool holds() { return quarantine().contains(crashingRequest); }

    DaemonParts parts;
    ManualClock &clock;
    QuarantineSync quarantineSync;
};

class QuarantineSyncTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineSyncTest);
    CPPUNIT_TEST(crashesSeenByDifferentDaemonsAddUp);
    CPPUNIT_TEST(reportsOutliveKilledDaemons);
    CPPUNIT_TEST(daemonRestoresTheReportOfItsPreviousProcess);
    CPPUNIT_TEST(reportIsPublishedAfterAStoreOutage);
    CPPUNIT_TEST(reportIsWrittenAgainAfterALostAnswer);
    CPPUNIT_TEST(quarantineOutlivesTheReports);
    CPPUNIT_TEST(completeAnswerAtAnyDaemonReleasesTheRequestEverywhere);
    CPPUNIT_TEST(releasedRequestIsQuarantinedAgainAfterNewCrashes);
    CPPUNIT_TEST(oneDaemonIsGrantedOneTrial);
    CPPUNIT_TEST(noTrialIsGrantedWithoutTheStore);
    CPPUNIT_TEST(nothingIsWrittenWithoutChanges);
    CPPUNIT_TEST(damagedReportIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void crashesSeenByDifferentDaemonsAddUp()
    {
        withDaemons([](auto &daemons, MemoryKeyValueStore &, ManualClock &, Yield yield) {
            daemons[0]->recordCrash(firstServer);
            daemons[0]->publish(yield);
            daemons[1]->receive(yield);
            CPPUNIT_ASSERT(!daemons[1]->holds());
            CPPUNIT_ASSERT(daemons[1]->recordCrash(secondServer));
            daemons[1]->publish(yield);
            for (auto &daemon : daemons) {
                daemon->receive(yield);
                CPPUNIT_ASSERT(daemon->holds());
            }
        });
    }

    // The daemons that observed the crashes were killed, and their registrations have lapsed. Their
    // reports have leases of their own.
    void reportsOutliveKilledDaemons()
    {
        withDaemons([](auto &daemons, MemoryKeyValueStore &store, ManualClock &clock, Yield yield) {
            daemons[0]->recordCrash(firstServer);
            daemons[0]->publish(yield);
            daemons[1]->recordCrash(secondServer);
            daemons[1]->publish(yield);
            clock.advance(std::chrono::minutes(1));
            IoContext unused(1);
            Daemon newcomer(unused, clock, store, "newcomer");
            newcomer.receive(yield);
            CPPUNIT_ASSERT(newcomer.holds());
        });
    }

    void daemonRestoresTheReportOfItsPreviousProcess()
    {
        withDaemons([](auto &daemons, MemoryKeyValueStore &store, ManualClock &clock, Yield yield) {
            daemons[0]->recordCrash(firstServer);
            daemons[0]->publish(yield);
            IoContext unused(1);
            Daemon restarted(unused, clock, store, "d0");
            restarted.receive(yield);
            CPPUNIT_ASSERT(restarted.recordCrash(secondServer));
            restarted.publish(yield);
            daemons[1]->receive(yield);
            CPPUNIT_ASSERT(daemons[1]->holds());
        });
    }

    void reportIsPublishedAfterAStoreOutage()
    {
        withDaemons([](auto &daemons, MemoryKeyValueStore &store, ManualClock &, Yield yield) {
            store.setDown(true);
            daemons[0]->receive(yield);
            daemons[0]->recordCrash(firstServer);
            daemons[0]->recordCrash(secondServer);
            daemons[0]->publish(yield);
            store.setDown(false);
            daemons[0]->receive(yield);
            daemons[0]->publish(yield);
            daemons[1]->receive(yield);
            CPPUNIT_ASSERT(daemons[1]->holds());
        });
    }

    void reportIsWrittenAgainAfterALostAnswer()
    {
        withDaemons([](auto &daemons, MemoryKeyValueStore &store, ManualClock &, Yield yield) {
            daemons[0]->recordCrash(firstServer);
            daemons[0]->publish(yield); // Grants the lease.
            daemons[0]->recordCrash(secondServer);
            store.loseNextAnswer();
            daemons[0]->publish(yield);
            daemons[0]->recordCrash(thirdServer);
            daemons[0]->publish(yield); // Conflicts with its own write.
            daemons[0]->receive(yield);
            daemons[0]->publish(yield);
            daemons[1]->receive(yield);
            CPPUNIT_ASSERT_EQUAL(
                3, daemons[1]->quarantine().quarantined().at(crashingRequest).crashCount());
        });
    }

    void quarantineOutlivesTheReports()
    {
        withDaemons([](auto &daemons, MemoryKeyValueStore &store, ManualClock &clock, Yield yield) {
            daemons[0]->recordCrash(firstServer);
            daemons[0]->recordCrash(secondServer);
            daemons[0]->publish(yield);
            daemons[1]->parts.role.round(yield);
            daemons[1]->receive(yield);
            daemons[1]->publish(yield); // As planner.
            CPPUNIT_ASSERT(store.value(FleetKeys::heldRequests()));
            clock.advance(std::chrono::minutes(11));
            CPPUNIT_ASSERT(!store.value(FleetKeys::crashReport(DaemonId("d0"))));
            IoContext unused(1);
            Daemon newcomer(unused, clock, store, "newcomer");
            newcomer.receive(yield);
            CPPUNIT_ASSERT(newcomer.holds());
        });
    }

    void completeAnswerAtAnyDaemonReleasesTheRequestEverywhere()
    {
        withDaemons([](auto &daemons, MemoryKeyValueStore &store, ManualClock &, Yield yield) {
            daemons[0]->recordCrash(firstServer);
            daemons[0]->recordCrash(secondServer);
            daemons[0]->publish(yield);
            daemons[2]->parts.role.round(yield);
            for (auto &daemon : daemons)
                daemon->receive(yield);
            daemons[2]->publish(yield); // As planner.
            // The request was in progress there when it was quarantined.
            CPPUNIT_ASSERT(daemons[1]->quarantine().noteCompleteAnswer(crashingRequest,
                                                                       daemons[1]->clock.now()));
            daemons[1]->publish(yield);
            for (auto &daemon : daemons) {
                daemon->receive(yield);
                CPPUNIT_ASSERT(!daemon->holds());
            }
            for (int round = 0; round < 5; ++round)
                daemons[2]->publish(yield);
            CPPUNIT_ASSERT_EQUAL(std::string("{}"), *store.value(FleetKeys::heldRequests()));
        });
    }

    void releasedRequestIsQuarantinedAgainAfterNewCrashes()
    {
        withDaemons([](auto &daemons, MemoryKeyValueStore &store, ManualClock &, Yield yield) {
            daemons[0]->recordCrash(firstServer);
            daemons[0]->recordCrash(secondServer);
            CPPUNIT_ASSERT(releaseRequest(store, crashingRequest, yield).error().kind()
                           == ErrorKind::NotFound); // Not published yet.
            daemons[0]->publish(yield);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 },
                                 readQuarantinedRequests(store, yield).value().size());
            CPPUNIT_ASSERT(releaseRequest(store, crashingRequest, yield).ok());
            CPPUNIT_ASSERT(readQuarantinedRequests(store, yield).value().empty());
            daemons[0]->receive(yield);
            CPPUNIT_ASSERT(!daemons[0]->holds());
            daemons[0]->recordCrash(thirdServer);
            CPPUNIT_ASSERT(!daemons[0]->holds());
            daemons[0]->recordCrash(HostId("s4"));
            CPPUNIT_ASSERT(daemons[0]->holds());
        });
    }

    void oneDaemonIsGrantedOneTrial()
    {
        withDaemons([](auto &daemons, MemoryKeyValueStore &, ManualClock &clock, Yield yield) {
            daemons[0]->recordCrash(firstServer);
            daemons[0]->recordCrash(secondServer);
            daemons[0]->publish(yield);
            daemons[1]->receive(yield);
            CPPUNIT_ASSERT(
                !daemons[1]->quarantineSync.grantTrial(crashingRequest, yield)); // Too early.
            clock.advance(std::chrono::seconds(5));
            CPPUNIT_ASSERT(daemons[1]->quarantineSync.grantTrial(crashingRequest, yield));
            CPPUNIT_ASSERT(!daemons[1]->quarantineSync.grantTrial(crashingRequest, yield));
            // Has not received the grant; the store rejects its write.
            CPPUNIT_ASSERT(!daemons[0]->quarantineSync.grantTrial(crashingRequest, yield));
            for (int minute = 0; minute < 3; ++minute) {
                clock.advance(std::chrono::minutes(1));
                for (auto &daemon : daemons) {
                    daemon->receive(yield);
                    CPPUNIT_ASSERT(!daemon->quarantineSync.grantTrial(crashingRequest, yield));
                }
            }
        });
    }

    void noTrialIsGrantedWithoutTheStore()
    {
        withDaemons([](auto &daemons, MemoryKeyValueStore &store, ManualClock &clock, Yield yield) {
            daemons[0]->recordCrash(firstServer);
            daemons[0]->recordCrash(secondServer);
            daemons[0]->publish(yield);
            clock.advance(std::chrono::seconds(5));
            store.setDown(true);
            CPPUNIT_ASSERT(!daemons[0]->quarantineSync.grantTrial(crashingRequest, yield));
            daemons[0]->receive(yield); // Detects that the store is unreachable.
            CPPUNIT_ASSERT(!daemons[0]->quarantineSync.grantTrial(crashingRequest, yield));
            CPPUNIT_ASSERT(!daemons[0]->quarantineSync.grantTrial(Fingerprint("unknown"), yield));
        });
    }

    void nothingIsWrittenWithoutChanges()
    {
        withDaemons([](auto &daemons, MemoryKeyValueStore &store, ManualClock &, Yield yield) {
            daemons[0]->parts.role.round(yield);
            const int before = store.calls();
            for (int round = 0; round < 100; ++round)
                daemons[0]->publish(yield);
            CPPUNIT_ASSERT_EQUAL(before, store.calls());
            daemons[0]->recordCrash(firstServer);
            for (int round = 0; round < 100; ++round)
                daemons[0]->publish(yield);
            CPPUNIT_ASSERT_EQUAL(before + 2, store.calls()); // A lease and a write.
        });
    }

    void damagedReportIsIgnored()
    {
        withDaemons([](auto &daemons, MemoryKeyValueStore &store, ManualClock &, Yield yield) {
            store.put(FleetKeys::crashReport(DaemonId("strange")), "[[[");
            daemons[0]->recordCrash(firstServer);
            daemons[0]->publish(yield);
            daemons[1]->receive(yield);
            daemons[1]->recordCrash(secondServer);
            CPPUNIT_ASSERT(daemons[1]->holds());
        });
    }

private:
    using Daemons = std::vector<std::unique_ptr<Daemon>>;

    // Three daemons that have listed the store.
    static void withDaemons(
        const std::function<void(Daemons &, MemoryKeyValueStore &, ManualClock &, Yield)> &body)
    {
        TestEnvironment env;
        env.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            Daemons daemons;
            for (const char *name : { "d0", "d1", "d2" }) {
                daemons.push_back(std::make_unique<Daemon>(io, env.clock, store, name));
                daemons.back()->receive(yield);
            }
            body(daemons, store, env.clock, yield);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineSyncTest);

} // namespace
