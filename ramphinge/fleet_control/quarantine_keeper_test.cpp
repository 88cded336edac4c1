// Tests of the quarantine's replication: several daemons on one store, killed daemons, outages, and
// releases by operators.

#include "ramphinge/fleet_control/internal/daemon_fixture.h"
#include "ramphinge/fleet_control/quarantine_keeper.h"
#include "ramphinge/fleet_control/quarantine_operations.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

const RequestFingerprint harmful("f1");
const HostId first("s1");
const HostId second("s2");
const HostId third("s3");

// One daemon's view of the store, its quarantine, and the QuarantineKeeper that connects them.
struct Daemon
{
    Daemon(IoContext &io, ManualClock &clock, KeyValueStore &store, const std::string &name)
        : parts(io, clock, store, name), clock(clock),
          keeper(io, options(name), store, parts.fleet, parts.dispatch.quarantine, parts.role,
                 clock, parts.log)
    { }

    static QuarantineKeeperOptions options(const std::string &name)
    {
        QuarantineKeeperOptions options;
        options.daemon = DaemonId(name);
        return options;
    }

    // Updates the view from the store, and applies the reports in it.
    void hear(Yield yield)
    {
        parts.sync.round(yield);
        keeper.takeOver();
    }

    void tell(Yield yield)
    {
        clock.advance(std::chrono::milliseconds(250)); // The minimum time between two reports.
        keeper.round(yield);
    }

    bool sees(const HostId &server)
    {
        return quarantine().noteEnd({ harmful, AccountId("school"), "route" }, server, clock.now(),
                                    clock.wallNow());
    }

    Quarantine &quarantine() { return parts.dispatch.quarantine; }
    bool holds() { return quarantine().holds(harmful); }

    DaemonParts parts;
    ManualClock &clock;
    QuarantineKeeper keeper;
};

class QuarantineKeeperTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineKeeperTest);
    CPPUNIT_TEST(addsUpWhatDaemonsSaw);
    CPPUNIT_TEST(isKnownToOneThatStartsAfterAllWhoSawItAreGone);
    CPPUNIT_TEST(daemonGoesOnFromItsEarlierLife);
    CPPUNIT_TEST(isToldAfterAnOutageOfTheStore);
    CPPUNIT_TEST(lostAnswerOfAWriteIsMadeGood);
    CPPUNIT_TEST(whatIsHeldBackOutlastsTheReports);
    CPPUNIT_TEST(wholeAnswerAtAnyDaemonClearsItEverywhere);
    CPPUNIT_TEST(operatorsLetItGoUntilItEndsServersAnew);
    CPPUNIT_TEST(oneDaemonTriesItOnce);
    CPPUNIT_TEST(nothingIsTriedWithoutTheStoresWord);
    CPPUNIT_TEST(nothingIsWrittenWhileNothingHappens);
    CPPUNIT_TEST(damagedReportIsLeftOut);
    CPPUNIT_TEST_SUITE_END();

public:
    void addsUpWhatDaemonsSaw()
    {
        play([](auto &daemons, MemoryKeyValueStore &, ManualClock &, Yield yield) {
            daemons[0]->sees(first);
            daemons[0]->tell(yield);
            daemons[1]->hear(yield);
            CPPUNIT_ASSERT(!daemons[1]->holds());
            CPPUNIT_ASSERT(daemons[1]->sees(second));
            daemons[1]->tell(yield);
            for (auto &daemon : daemons) {
                daemon->hear(yield);
                CPPUNIT_ASSERT(daemon->holds());
            }
        });
    }

    // The daemons that observed the crashes were killed, and their registrations have lapsed. Their
    // reports have leases of their own.
    void isKnownToOneThatStartsAfterAllWhoSawItAreGone()
    {
        play([](auto &daemons, MemoryKeyValueStore &store, ManualClock &clock, Yield yield) {
            daemons[0]->sees(first);
            daemons[0]->tell(yield);
            daemons[1]->sees(second);
            daemons[1]->tell(yield);
            clock.advance(std::chrono::minutes(1));
            IoContext unused(1);
            Daemon newcomer(unused, clock, store, "newcomer");
            newcomer.hear(yield);
            CPPUNIT_ASSERT(newcomer.holds());
        });
    }

    void daemonGoesOnFromItsEarlierLife()
    {
        play([](auto &daemons, MemoryKeyValueStore &store, ManualClock &clock, Yield yield) {
            daemons[0]->sees(first);
            daemons[0]->tell(yield);
            IoContext unused(1);
            Daemon again(unused, clock, store, "d0");
            again.hear(yield);
            CPPUNIT_ASSERT(again.sees(second));
            again.tell(yield);
            daemons[1]->hear(yield);
            CPPUNIT_ASSERT(daemons[1]->holds());
        });
    }

    void isToldAfterAnOutageOfTheStore()
    {
        play([](auto &daemons, MemoryKeyValueStore &store, ManualClock &, Yield yield) {
            store.setDown(true);
            daemons[0]->hear(yield);
            daemons[0]->sees(first);
            daemons[0]->sees(second);
            daemons[0]->tell(yield);
            store.setDown(false);
            daemons[0]->hear(yield);
            daemons[0]->tell(yield);
            daemons[1]->hear(yield);
            CPPUNIT_ASSERT(daemons[1]->holds());
        });
    }

    void lostAnswerOfAWriteIsMadeGood()
    {
        play([](auto &daemons, MemoryKeyValueStore &store, ManualClock &, Yield yield) {
            daemons[0]->sees(first);
            daemons[0]->tell(yield); // Grants the lease.
            daemons[0]->sees(second);
            store.loseNextAnswer();
            daemons[0]->tell(yield);
            daemons[0]->sees(third);
            daemons[0]->tell(yield); // Conflicts with its own write.
            daemons[0]->hear(yield);
            daemons[0]->tell(yield);
            daemons[1]->hear(yield);
            CPPUNIT_ASSERT_EQUAL(3, daemons[1]->quarantine().held().at(harmful).ends());
        });
    }

    void whatIsHeldBackOutlastsTheReports()
    {
        play([](auto &daemons, MemoryKeyValueStore &store, ManualClock &clock, Yield yield) {
            daemons[0]->sees(first);
            daemons[0]->sees(second);
            daemons[0]->tell(yield);
            daemons[1]->parts.role.round(yield);
            daemons[1]->hear(yield);
            daemons[1]->tell(yield); // As planner.
            CPPUNIT_ASSERT(store.value(FleetKeys::heldRequests()));
            clock.advance(std::chrono::minutes(11));
            CPPUNIT_ASSERT(!store.value(FleetKeys::crashes(DaemonId("d0"))));
            IoContext unused(1);
            Daemon newcomer(unused, clock, store, "newcomer");
            newcomer.hear(yield);
            CPPUNIT_ASSERT(newcomer.holds());
        });
    }

    void wholeAnswerAtAnyDaemonClearsItEverywhere()
    {
        play([](auto &daemons, MemoryKeyValueStore &store, ManualClock &, Yield yield) {
            daemons[0]->sees(first);
            daemons[0]->sees(second);
            daemons[0]->tell(yield);
            daemons[2]->parts.role.round(yield);
            for (auto &daemon : daemons)
                daemon->hear(yield);
            daemons[2]->tell(yield); // As planner.
            // The request was in progress there when it was quarantined.
            CPPUNIT_ASSERT(daemons[1]->quarantine().noteAnswered(harmful, daemons[1]->clock.now()));
            daemons[1]->tell(yield);
            for (auto &daemon : daemons) {
                daemon->hear(yield);
                CPPUNIT_ASSERT(!daemon->holds());
            }
            for (int round = 0; round < 5; ++round)
                daemons[2]->tell(yield);
            CPPUNIT_ASSERT_EQUAL(std::string("{}"), *store.value(FleetKeys::heldRequests()));
        });
    }

    void operatorsLetItGoUntilItEndsServersAnew()
    {
        play([](auto &daemons, MemoryKeyValueStore &store, ManualClock &, Yield yield) {
            daemons[0]->sees(first);
            daemons[0]->sees(second);
            CPPUNIT_ASSERT(releaseRequest(store, harmful, yield).error().kind()
                           == ErrorKind::NotFound); // Not published yet.
            daemons[0]->tell(yield);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, readHeldRequests(store, yield).value().size());
            CPPUNIT_ASSERT(releaseRequest(store, harmful, yield).ok());
            CPPUNIT_ASSERT(readHeldRequests(store, yield).value().empty());
            daemons[0]->hear(yield);
            CPPUNIT_ASSERT(!daemons[0]->holds());
            daemons[0]->sees(third);
            CPPUNIT_ASSERT(!daemons[0]->holds());
            daemons[0]->sees(HostId("s4"));
            CPPUNIT_ASSERT(daemons[0]->holds());
        });
    }

    void oneDaemonTriesItOnce()
    {
        play([](auto &daemons, MemoryKeyValueStore &, ManualClock &clock, Yield yield) {
            daemons[0]->sees(first);
            daemons[0]->sees(second);
            daemons[0]->tell(yield);
            daemons[1]->hear(yield);
            CPPUNIT_ASSERT(!daemons[1]->keeper.grantTrial(harmful, yield)); // Too early.
            clock.advance(std::chrono::seconds(5));
            CPPUNIT_ASSERT(daemons[1]->keeper.grantTrial(harmful, yield));
            CPPUNIT_ASSERT(!daemons[1]->keeper.grantTrial(harmful, yield));
            CPPUNIT_ASSERT(!daemons[0]->keeper.grantTrial(
                harmful, yield)); // It has not received the grant; the store rejects its write.
            for (int minute = 0; minute < 3; ++minute) {
                clock.advance(std::chrono::minutes(1));
                for (auto &daemon : daemons) {
                    daemon->hear(yield);
                    CPPUNIT_ASSERT(!daemon->keeper.grantTrial(harmful, yield));
                }
            }
        });
    }

    void nothingIsTriedWithoutTheStoresWord()
    {
        play([](auto &daemons, MemoryKeyValueStore &store, ManualClock &clock, Yield yield) {
            daemons[0]->sees(first);
            daemons[0]->sees(second);
            daemons[0]->tell(yield);
            clock.advance(std::chrono::seconds(5));
            store.setDown(true);
            CPPUNIT_ASSERT(!daemons[0]->keeper.grantTrial(harmful, yield));
            daemons[0]->hear(yield); // Detects that the store is unreachable.
            CPPUNIT_ASSERT(!daemons[0]->keeper.grantTrial(harmful, yield));
            CPPUNIT_ASSERT(!daemons[0]->keeper.grantTrial(RequestFingerprint("unknown"), yield));
        });
    }

    void nothingIsWrittenWhileNothingHappens()
    {
        play([](auto &daemons, MemoryKeyValueStore &store, ManualClock &, Yield yield) {
            daemons[0]->parts.role.round(yield);
            const int before = store.calls();
            for (int round = 0; round < 100; ++round)
                daemons[0]->tell(yield);
            CPPUNIT_ASSERT_EQUAL(before, store.calls());
            daemons[0]->sees(first);
            for (int round = 0; round < 100; ++round)
                daemons[0]->tell(yield);
            CPPUNIT_ASSERT_EQUAL(before + 2, store.calls()); // A lease and a write.
        });
    }

    void damagedReportIsLeftOut()
    {
        play([](auto &daemons, MemoryKeyValueStore &store, ManualClock &, Yield yield) {
            store.put(FleetKeys::crashes(DaemonId("strange")), "[[[");
            daemons[0]->sees(first);
            daemons[0]->tell(yield);
            daemons[1]->hear(yield);
            daemons[1]->sees(second);
            CPPUNIT_ASSERT(daemons[1]->holds());
        });
    }

private:
    using Daemons = std::vector<std::unique_ptr<Daemon>>;

    // Three daemons that have listed the store.
    static void
    play(const std::function<void(Daemons &, MemoryKeyValueStore &, ManualClock &, Yield)> &body)
    {
        Stage stage;
        stage.run([&](MemoryKeyValueStore &store, IoContext &io, Yield yield) {
            Daemons daemons;
            for (const char *name : { "d0", "d1", "d2" }) {
                daemons.push_back(std::make_unique<Daemon>(io, stage.clock, store, name));
                daemons.back()->hear(yield);
            }
            body(daemons, store, stage.clock, yield);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineKeeperTest);

} // namespace
