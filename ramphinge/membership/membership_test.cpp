// Tests of membership: who may serve, over random partitions; what is known of hosts; who looks.

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
    CPPUNIT_TEST(lapsedDaemonAloneOfThreeRefuses);
    CPPUNIT_TEST(zoneCutOffGoesOn);
    CPPUNIT_TEST(lapsedDaemonRefusesWhileAPeerIsRegistered);
    CPPUNIT_TEST(zoneCutOffServesTheNewestThatItsDaemonsHave);
    CPPUNIT_TEST(staleWordOfAPeerCountsForNothing);
    CPPUNIT_TEST(thawedDaemonRefusesAtOnce);
    CPPUNIT_TEST(neverServesStaleOverRandomPartitions);
    CPPUNIT_TEST(newestObservationWinsOverTheList);
    CPPUNIT_TEST(leavingHostIsUnusableAtOnce);
    CPPUNIT_TEST(silenceFallsBackToTheList);
    CPPUNIT_TEST(everyHostHasItsObservers);
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

    void lapsedDaemonAloneOfThreeRefuses()
    {
        CPPUNIT_ASSERT(ServingMode::Refusing == decideServing(threeDaemons(), {}).mode);
    }

    void zoneCutOffGoesOn()
    {
        ServingInput input = threeDaemons();
        input.zonePeers = { peer(d2, Registration::Unregistered, m_clock.now()) };
        CPPUNIT_ASSERT(ServingMode::ZoneAlone == decideServing(input, {}).mode);
        // A zone with a single daemon is its own half.
        input.roster.daemons = { d1 };
        input.zonePeers.clear();
        CPPUNIT_ASSERT(ServingMode::ZoneAlone == decideServing(input, {}).mode);
    }

    void lapsedDaemonRefusesWhileAPeerIsRegistered()
    {
        ServingInput input = threeDaemons();
        input.zonePeers = { peer(d2, Registration::Unregistered, m_clock.now()),
                            peer(d3, Registration::Registered, m_clock.now()) };
        CPPUNIT_ASSERT(ServingMode::Refusing == decideServing(input, {}).mode);
        input.zonePeers[1].registration = Registration::Rejoining;
        CPPUNIT_ASSERT(ServingMode::ZoneAlone == decideServing(input, {}).mode);
    }

    void zoneCutOffServesTheNewestThatItsDaemonsHave()
    {
        ServingInput input = threeDaemons();
        input.zonePeers = { peer(d2, Registration::Unregistered, m_clock.now()) };
        input.zonePeers[0].configVersion = 2;
        CPPUNIT_ASSERT(ServingMode::Refusing == decideServing(input, {}).mode);
        input.configVersion = 2;
        CPPUNIT_ASSERT(ServingMode::ZoneAlone == decideServing(input, {}).mode);
    }

    void staleWordOfAPeerCountsForNothing()
    {
        ServingInput input = threeDaemons();
        input.zonePeers = { peer(d2, Registration::Unregistered, m_clock.now()) };
        m_clock.advance(std::chrono::seconds(1));
        input.now = m_clock.now();
        CPPUNIT_ASSERT(ServingMode::Refusing == decideServing(input, {}).mode);
    }

    void thawedDaemonRefusesAtOnce()
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

    void silenceFallsBackToTheList()
    {
        HostView view({});
        view.setMembers({ Revision(1), { listed("h") } });
        view.observe(seen("h", m_clock.now(), false));
        m_clock.advance(std::chrono::seconds(6));
        CPPUNIT_ASSERT(view.usable(HostId("h"), m_clock.now()));
    }

    void everyHostHasItsObservers()
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

    // Daemons of one zone lose and find the platform and each other at random, and are frozen. A
    // change is accepted whenever the registered ones are a majority and all of them confirm. No
    // daemon may then serve an older version.
    struct Actor
    {
        DaemonId id;
        bool reachesPlatform = true;
        bool frozen = false;
        MonotonicTime platformLeaseEnd; // As the platform sees it.
        LeaseTerm term; // As the daemon sees it.
        MonotonicTime lastUnregisteredWord;
        std::int64_t version = 1;
        std::int64_t prepared = 0;
        std::map<DaemonId, PeerState> heard;
    };

    using Cuts = std::set<std::pair<std::size_t, std::size_t>>; // From, to.

    // Nobody is heard by this one any more.
    static void isolate(std::size_t victim, std::size_t count, Cuts &cut)
    {
        for (std::size_t from = 0; from < count; ++from)
            cut.emplace(from, victim);
    }

    static Registration wordOf(const Actor &actor, MonotonicTime now)
    {
        if (actor.term.mayAct(now))
            return Registration::Registered;
        return actor.reachesPlatform ? Registration::Rejoining : Registration::Unregistered;
    }

    static void runPartitions(std::uint32_t seed)
    {
        constexpr Duration tick = std::chrono::milliseconds(100);
        constexpr Duration lease = std::chrono::seconds(3);
        const ServingOptions options;
        Random random(seed);
        // A wide margin gives the time between the two ends of a lease its chance.
        const Duration margin = std::chrono::milliseconds(500 + 500 * random.below(4));
        ManualClock clock;
        const std::size_t count = 1 + random.below(5);
        std::vector<Actor> actors(count);
        ZoneRoster roster { ZoneId("a"), {} };
        for (std::size_t i = 0; i < count; ++i) {
            actors[i].id = DaemonId("d" + std::to_string(i));
            roster.daemons.push_back(actors[i].id);
        }
        const std::uint64_t eventOdds = 8 + random.below(40);
        Cuts cut;
        std::int64_t accepted = 1;
        std::int64_t lastProposal = 1;
        std::int64_t proposed = 0; // Confirmed by all who must, not decided yet; or 0.
        for (int step = 0; step < 400; ++step) {
            clock.advance(tick);
            const MonotonicTime now = clock.now();
            Actor &any = actors[random.below(count)];
            const std::uint64_t event = random.below(eventOdds);
            if (event == 0)
                any.reachesPlatform = !any.reachesPlatform;
            else if (event == 1)
                any.frozen = !any.frozen;
            else if (event == 2)
                for (Actor &actor : actors)
                    actor.reachesPlatform = false;
            else if (event == 3)
                cut.emplace(random.below(count), random.below(count));
            else if (event == 4)
                isolate(random.below(count), count, cut);
            else if (event == 5 && random.below(4) == 0)
                cut.clear();
            for (std::size_t i = 0; i < count; ++i) {
                Actor &actor = actors[i];
                if (actor.frozen)
                    continue;
                if (actor.reachesPlatform) {
                    // Renewal, or a new registration once its promise is over; it then reads the
                    // newest configuration before it counts itself registered.
                    const bool promised = now - actor.lastUnregisteredWord < 2 * options.promise;
                    if (actor.term.mayAct(now) || !promised) {
                        actor.platformLeaseEnd = now + lease;
                        actor.term = LeaseTerm(now, lease, margin);
                        actor.version = accepted;
                        actor.prepared = proposed;
                    }
                }
                // Learns a newer configuration from whom it hears.
                for (const auto &[id, state] : actor.heard) {
                    if (state.heardAt != now)
                        continue;
                    actor.version = std::max(actor.version, state.configVersion);
                    actor.prepared = std::max(actor.prepared, state.preparedVersion);
                }
                const Registration word = wordOf(actor, now);
                if (word == Registration::Unregistered)
                    actor.lastUnregisteredWord = now;
                for (std::size_t j = 0; j < count; ++j) {
                    const bool passes = j != i && !actors[j].frozen && cut.count({ i, j }) == 0;
                    if (!passes)
                        continue;
                    actors[j].heard[actor.id] = peer(actor.id, word, now);
                    actors[j].heard[actor.id].configVersion = actor.version;
                    actors[j].heard[actor.id].preparedVersion = actor.prepared;
                }
            }
            std::vector<DaemonId> registered;
            bool allConfirm = true;
            for (const Actor &actor : actors) {
                if (actor.platformLeaseEnd <= now)
                    continue;
                registered.push_back(actor.id);
                allConfirm =
                    allConfirm && !actor.frozen && actor.reachesPlatform && actor.term.mayAct(now);
            }
            if (proposed != 0 && random.below(3) == 0) {
                // Decided: accepted, or given up for the next proposal, which gets a new number.
                accepted = random.below(2) == 0 ? proposed : accepted;
                proposed = 0;
                for (Actor &actor : actors) {
                    if (actor.reachesPlatform && !actor.frozen && actor.term.mayAct(now)) {
                        actor.version = accepted;
                        actor.prepared = 0;
                    }
                }
            } else if (proposed == 0 && allConfirm && hasMajority(roster, registered)) {
                proposed = ++lastProposal;
                for (Actor &actor : actors) {
                    if (actor.platformLeaseEnd > now)
                        actor.prepared = proposed;
                }
            }
            for (const Actor &actor : actors) {
                ServingInput input { actor.id,   actor.version, actor.prepared,
                                     actor.term, roster,        {},
                                     now };
                for (const auto &[id, state] : actor.heard)
                    input.zonePeers.push_back(state);
                const ServingDecision decision = decideServing(input, options);
                const bool serves = !actor.frozen && decision.mode != ServingMode::Refusing;
                const bool known = actor.version == accepted
                    || (decision.inDoubt && actor.prepared == accepted)
                    // Registered: it hears of the decision, or its lease ends, within its length.
                    || decision.mode == ServingMode::Confirmed;
                RC_ASSERT((!serves || known));
            }
        }
    }

    ManualClock m_clock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
