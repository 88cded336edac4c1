// Tests of membership: the serving decision, also over random partitions; the view of hosts; the
// choice of observers.

#include <map>

#include <rapidcheck.h>

#include "ramphinge/base/random.h"
#include "ramphinge/membership/host_view.h"
#include "ramphinge/membership/serving_gate.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

const DaemonId d1("d1");
const DaemonId d2("d2");
const DaemonId d3("d3");

PeerState peer(const DaemonId &daemon, Registration registration, MonotonicTime heardAt)
{
    PeerState state;
    state.daemon = daemon;
    state.registration = registration;
    state.heardAt = heardAt;
    return state;
}

HostObservation seen(const std::string &host, MonotonicTime at, bool answers)
{
    HostObservation observation;
    observation.host = HostId(host);
    observation.madeAt = at;
    observation.answers = answers;
    return observation;
}

Member listed(const std::string &host)
{
    Member member;
    member.host = HostId(host);
    return member;
}

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(registeredDaemonServes);
    CPPUNIT_TEST(unregisteredDaemonAloneOfThreeRefuses);
    CPPUNIT_TEST(partitionedZoneContinuesToServe);
    CPPUNIT_TEST(unregisteredDaemonRefusesWhileAPeerIsRegistered);
    CPPUNIT_TEST(partitionedZoneServesOnlyItsNewestConfiguration);
    CPPUNIT_TEST(stalePeerStateIsIgnored);
    CPPUNIT_TEST(daemonWithExpiredLeaseRefusesAfterFreeze);
    CPPUNIT_TEST(neverServesStaleOverRandomPartitions);
    CPPUNIT_TEST(newestObservationWinsOverTheList);
    CPPUNIT_TEST(leavingHostIsUnusableAtOnce);
    CPPUNIT_TEST(expiredObservationFallsBackToTheList);
    CPPUNIT_TEST(everyHostHasTheConfiguredNumberOfObservers);
    CPPUNIT_TEST_SUITE_END();

public:
    void registeredDaemonServes()
    {
        ServingInput input = threeDaemons();
        input.registration =
            LeaseTerm(m_clock.now(), std::chrono::seconds(5), std::chrono::seconds(1));
        CPPUNIT_ASSERT(ServingMode::Confirmed == decideServing(input, {}).mode);
        input.configVersion = 0;
        CPPUNIT_ASSERT(ServingMode::Refusing == decideServing(input, {}).mode);
    }

    void unregisteredDaemonAloneOfThreeRefuses()
    {
        CPPUNIT_ASSERT(ServingMode::Refusing == decideServing(threeDaemons(), {}).mode);
    }

    void partitionedZoneContinuesToServe()
    {
        ServingInput input = threeDaemons();
        input.zonePeers = { peer(d2, Registration::Unregistered, m_clock.now()) };
        CPPUNIT_ASSERT(ServingMode::ZoneAlone == decideServing(input, {}).mode);
        // The only daemon of a zone is at least half of its roster.
        input.roster.daemons = { d1 };
        input.zonePeers.clear();
        CPPUNIT_ASSERT(ServingMode::ZoneAlone == decideServing(input, {}).mode);
    }

    void unregisteredDaemonRefusesWhileAPeerIsRegistered()
    {
        ServingInput input = threeDaemons();
        input.zonePeers = { peer(d2, Registration::Unregistered, m_clock.now()),
                            peer(d3, Registration::Registered, m_clock.now()) };
        CPPUNIT_ASSERT(ServingMode::Refusing == decideServing(input, {}).mode);
        input.zonePeers[1].registration = Registration::Rejoining;
        CPPUNIT_ASSERT(ServingMode::ZoneAlone == decideServing(input, {}).mode);
    }

    void partitionedZoneServesOnlyItsNewestConfiguration()
    {
        ServingInput input = threeDaemons();
        input.zonePeers = { peer(d2, Registration::Unregistered, m_clock.now()) };
        input.zonePeers[0].configVersion = 2;
        CPPUNIT_ASSERT(ServingMode::Refusing == decideServing(input, {}).mode);
        input.configVersion = 2;
        CPPUNIT_ASSERT(ServingMode::ZoneAlone == decideServing(input, {}).mode);
    }

    void stalePeerStateIsIgnored()
    {
        ServingInput input = threeDaemons();
        input.zonePeers = { peer(d2, Registration::Unregistered, m_clock.now()) };
        m_clock.advance(std::chrono::seconds(1));
        input.now = m_clock.now();
        CPPUNIT_ASSERT(ServingMode::Refusing == decideServing(input, {}).mode);
    }

    void daemonWithExpiredLeaseRefusesAfterFreeze()
    {
        ServingInput input = threeDaemons();
        input.registration =
            LeaseTerm(m_clock.now(), std::chrono::seconds(5), std::chrono::seconds(1));
        input.zonePeers = { peer(d2, Registration::Registered, m_clock.now()),
                            peer(d3, Registration::Registered, m_clock.now()) };
        m_clock.advance(std::chrono::seconds(60));
        input.now = m_clock.now();
        CPPUNIT_ASSERT(ServingMode::Refusing == decideServing(input, {}).mode);
    }

    void neverServesStaleOverRandomPartitions()
    {
        const bool held = rc::check("no daemon serves past an accepted change", [] {
            const auto seed = *rc::gen::arbitrary<std::uint32_t>();
            runPartitions(seed);
        });
        CPPUNIT_ASSERT(held);
    }

    void newestObservationWinsOverTheList()
    {
        HostView view({});
        view.setMembers({ Revision(1), { listed("h") } });
        CPPUNIT_ASSERT(view.usable(HostId("h"), m_clock.now()));
        const MonotonicTime earlier = m_clock.now();
        m_clock.advance(std::chrono::milliseconds(10));
        CPPUNIT_ASSERT(view.observe(seen("h", m_clock.now(), false)));
        CPPUNIT_ASSERT(!view.observe(seen("h", earlier, true)));
        CPPUNIT_ASSERT(!view.usable(HostId("h"), m_clock.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, view.unusableHosts(m_clock.now()).size());
    }

    void leavingHostIsUnusableAtOnce()
    {
        HostView view({});
        Member member = listed("h");
        member.leaving = true;
        view.setMembers({ Revision(1), { member } });
        view.observe(seen("h", m_clock.now(), true));
        CPPUNIT_ASSERT(!view.usable(HostId("h"), m_clock.now()));
        view.setMembers({ Revision(0), { listed("h") } }); // An older list changes nothing.
        CPPUNIT_ASSERT(!view.usable(HostId("h"), m_clock.now()));
    }

    void expiredObservationFallsBackToTheList()
    {
        HostView view({});
        view.setMembers({ Revision(1), { listed("h") } });
        view.observe(seen("h", m_clock.now(), false));
        m_clock.advance(std::chrono::seconds(6));
        CPPUNIT_ASSERT(view.usable(HostId("h"), m_clock.now()));
    }

    void everyHostHasTheConfiguredNumberOfObservers()
    {
        const std::vector<DaemonId> alive { d1, d2, d3 };
        for (int i = 0; i < 100; ++i) {
            const HostId host("h" + std::to_string(i));
            int observers = 0;
            for (const DaemonId &daemon : alive)
                observers += isObserver(daemon, host, alive, 2) ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL(2, observers);
        }
    }

private:
    ServingInput threeDaemons() const
    {
        ServingInput input;
        input.self = d1;
        input.configVersion = 1;
        input.roster = { ZoneId("a"), { d1, d2, d3 } };
        input.now = m_clock.now();
        return input;
    }

    // Random partitions between the daemons of a zone and the platform and between each other, and
    // frozen daemons. A change is accepted when the registered daemons are a majority and all of
    // them confirm it. No daemon may then serve an older version.
    struct SimulatedDaemon
    {
        DaemonId id;
        bool reachesPlatform = true;
        bool frozen = false;
        MonotonicTime platformLeaseEnd; // As the platform sees it.
        LeaseTerm term; // As the daemon sees it.
        MonotonicTime lastReportedUnregistered;
        std::int64_t version = 1;
        std::int64_t prepared = 0;
        std::map<DaemonId, PeerState> heard;
    };

    using BrokenLinks = std::set<std::pair<std::size_t, std::size_t>>; // From, to.

    // Drops all messages to `victim`.
    static void isolate(std::size_t victim, std::size_t count, BrokenLinks &brokenLinks)
    {
        for (std::size_t from = 0; from < count; ++from)
            brokenLinks.emplace(from, victim);
    }

    static Registration reportedRegistration(const SimulatedDaemon &simulated, MonotonicTime now)
    {
        if (simulated.term.mayAct(now))
            return Registration::Registered;
        return simulated.reachesPlatform ? Registration::Rejoining : Registration::Unregistered;
    }

    static void runPartitions(std::uint32_t seed)
    {
        constexpr Duration tick = std::chrono::milliseconds(100);
        constexpr Duration lease = std::chrono::seconds(3);
        const ServingOptions options;
        Random random(seed);
        // A wide margin lengthens the time in which the lease has ended for the daemon, but not for
        // the platform.
        const Duration margin = std::chrono::milliseconds(500 + 500 * random.below(4));
        ManualClock clock;
        const std::size_t count = 1 + random.below(5);
        std::vector<SimulatedDaemon> simulatedDaemons(count);
        ZoneRoster roster { ZoneId("a"), {} };
        for (std::size_t i = 0; i < count; ++i) {
            simulatedDaemons[i].id = DaemonId("d" + std::to_string(i));
            roster.daemons.push_back(simulatedDaemons[i].id);
        }
        const std::uint64_t eventOdds = 8 + random.below(40);
        BrokenLinks brokenLinks;
        std::int64_t accepted = 1;
        std::int64_t lastProposal = 1;
        std::int64_t proposed = 0; // Confirmed by every registered daemon, not decided yet; or 0.
        for (int step = 0; step < 400; ++step) {
            clock.advance(tick);
            const MonotonicTime now = clock.now();
            SimulatedDaemon &any = simulatedDaemons[random.below(count)];
            const std::uint64_t event = random.below(eventOdds);
            if (event == 0)
                any.reachesPlatform = !any.reachesPlatform;
            else if (event == 1)
                any.frozen = !any.frozen;
            else if (event == 2)
                for (SimulatedDaemon &simulated : simulatedDaemons)
                    simulated.reachesPlatform = false;
            else if (event == 3)
                brokenLinks.emplace(random.below(count), random.below(count));
            else if (event == 4)
                isolate(random.below(count), count, brokenLinks);
            else if (event == 5 && random.below(4) == 0)
                brokenLinks.clear();
            for (std::size_t i = 0; i < count; ++i) {
                SimulatedDaemon &simulated = simulatedDaemons[i];
                if (simulated.frozen)
                    continue;
                if (simulated.reachesPlatform) {
                    // Renewal, or a new registration after the promise has ended. Reads the newest
                    // configuration before it counts as registered.
                    const bool promised =
                        now - simulated.lastReportedUnregistered < 2 * options.promise;
                    if (simulated.term.mayAct(now) || !promised) {
                        simulated.platformLeaseEnd = now + lease;
                        simulated.term = LeaseTerm(now, lease, margin);
                        simulated.version = accepted;
                        simulated.prepared = proposed;
                    }
                }
                // Learns newer configurations from its peers.
                for (const auto &[id, state] : simulated.heard) {
                    if (state.heardAt != now)
                        continue;
                    simulated.version = std::max(simulated.version, state.configVersion);
                    simulated.prepared = std::max(simulated.prepared, state.preparedVersion);
                }
                const Registration reported = reportedRegistration(simulated, now);
                if (reported == Registration::Unregistered)
                    simulated.lastReportedUnregistered = now;
                for (std::size_t j = 0; j < count; ++j) {
                    const bool passes =
                        j != i && !simulatedDaemons[j].frozen && brokenLinks.count({ i, j }) == 0;
                    if (!passes)
                        continue;
                    simulatedDaemons[j].heard[simulated.id] = peer(simulated.id, reported, now);
                    simulatedDaemons[j].heard[simulated.id].configVersion = simulated.version;
                    simulatedDaemons[j].heard[simulated.id].preparedVersion = simulated.prepared;
                }
            }
            std::vector<DaemonId> registered;
            bool allConfirm = true;
            for (const SimulatedDaemon &simulated : simulatedDaemons) {
                if (simulated.platformLeaseEnd <= now)
                    continue;
                registered.push_back(simulated.id);
                allConfirm = allConfirm && !simulated.frozen && simulated.reachesPlatform
                    && simulated.term.mayAct(now);
            }
            if (proposed != 0 && random.below(3) == 0) {
                // Decided: accepted, or abandoned; the next proposal gets a new number.
                accepted = random.below(2) == 0 ? proposed : accepted;
                proposed = 0;
                for (SimulatedDaemon &simulated : simulatedDaemons) {
                    if (simulated.reachesPlatform && !simulated.frozen
                        && simulated.term.mayAct(now)) {
                        simulated.version = accepted;
                        simulated.prepared = 0;
                    }
                }
            } else if (proposed == 0 && allConfirm && hasMajority(roster, registered)) {
                proposed = ++lastProposal;
                for (SimulatedDaemon &simulated : simulatedDaemons) {
                    if (simulated.platformLeaseEnd > now)
                        simulated.prepared = proposed;
                }
            }
            for (const SimulatedDaemon &simulated : simulatedDaemons) {
                ServingInput input {
                    simulated.id, simulated.version, simulated.prepared, simulated.term, roster, {},
                    now
                };
                for (const auto &[id, state] : simulated.heard)
                    input.zonePeers.push_back(state);
                const ServingDecision decision = decideServing(input, options);
                const bool serves = !simulated.frozen && decision.mode != ServingMode::Refusing;
                const bool known = simulated.version == accepted
                    || (decision.inDoubt && simulated.prepared == accepted)
                    // Registered: learns of the decision within the lease, or the lease ends.
                    || decision.mode == ServingMode::Confirmed;
                RC_ASSERT((!serves || known));
            }
        }
    }

    ManualClock m_clock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
