// Tests of forming replicas: single decisions, and random days against an emulator of servers that
// obey late, die, and lose the store while they serve.

#include <functional>
#include <iostream>

#include <rapidcheck.h>

#include "ramphinge/formation/death_watch.h"
#include "ramphinge/formation/order_book.h"
#include "ramphinge/formation/presence.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/fleet_emulator.h"

using namespace ramphinge;

namespace {

const ServiceId service("chat");
const ModelId large("large");
const ModelId small("small");
constexpr Duration tick = std::chrono::milliseconds(100);

EngineProfile twoModels()
{
    EngineProfile engine;
    engine.slots = 17;
    engine.formationTime = std::chrono::milliseconds(300);
    engine.loadsPerSecond = 5;
    engine.loadsAtOnce = 7;
    engine.models.push_back(
        { large, 4, 0.5, 1.0, std::chrono::seconds(16), std::chrono::milliseconds(1600) });
    engine.models.push_back(
        { small, 2, 0.5, 0.6, std::chrono::seconds(12), std::chrono::milliseconds(1100) });
    return engine;
}

// A planner with its book against the emulator, as the daemon runs them.
class Day
{
public:
    explicit Day(std::uint64_t seed, int domains = 6, int serversPerDomain = 10)
        : engine(twoModels()), fleet(service, engine, seed), m_book({}), m_presence({})
    {
        fleet.addServers(domains, serversPerDomain);
        m_book.setTrafficSeen(false);
    }

    void startTraffic()
    {
        m_traffic = true;
        m_book.setTrafficSeen(true);
        fleet.startTraffic();
    }

    // A new planner takes over: it knows the plan and what the last one wrote down of its orders.
    void replacePlanner()
    {
        const OrderLedger ledger = m_book.ledger(plan, fleet.now());
        m_book = OrderBook({});
        m_book.setTrafficSeen(m_traffic);
        m_book.adopt(ledger, plan, engine, fleet.now());
        m_presence = Presence({});
    }

    void step()
    {
        fleet.advance(tick);
        const MonotonicTime now = fleet.now();
        look();
        const ServerMap &view = m_view.servers();
        m_presence.observe(m_view, now);
        m_book.observe(view, plan, now);
        if (plan.replicas.empty() && m_presence.isGathering(now))
            return;
        plan = nextFormation(plan, input(view));
        CPPUNIT_ASSERT(checkPlan(plan).ok());
        const FormationInput after = input(view);
        for (const ServerOrder &order : m_book.due(ordersFor(plan, after), engine, now)) {
            m_book.sent(order, engine, now);
            m_book.answered(order, fleet.order(order), now);
        }
        mostLoads = std::max(mostLoads, fleet.loadsInProgress());
    }

    void run(Duration time)
    {
        for (Duration passed {}; passed < time; passed += tick)
            step();
    }

    void assertSound() const
    {
        const std::string first = fleet.violations().empty() ? "" : fleet.violations().front();
        CPPUNIT_ASSERT_EQUAL(std::string(), first);
    }

    int planned(const ModelId &model, ReplicaPhase phase) const
    {
        return static_cast<int>(std::count_if(
            plan.replicas.begin(), plan.replicas.end(), [&](const PlannedReplica &replica) {
                return replica.model == model && replica.phase == phase;
            }));
    }

    const PlannedReplica &firstReady(const ModelId &model) const
    {
        return *std::find_if(
            plan.replicas.begin(), plan.replicas.end(), [&](const PlannedReplica &replica) {
                return replica.model == model && replica.phase == ReplicaPhase::Ready;
            });
    }

    const EngineProfile engine;
    FleetEmulator fleet;
    ReplicaPlan plan;
    std::vector<ModelDemand> demand { { large, 0.5 }, { small, 0.5 } };
    int mostLoads = 0;

private:
    void look()
    {
        std::vector<UpstreamServer> servers;
        for (const auto &[host, server] : fleet.storeView())
            servers.push_back(server);
        m_view.replaceAll(servers, fleet.now());
    }

    FormationInput input(const ServerMap &view)
    {
        const MonotonicTime now = fleet.now();
        return { service,
                 engine,
                 view,
                 demand,
                 m_book.unusable(view, now),
                 m_book.failed(plan, engine, now),
                 m_presence.settled(now),
                 m_presence.forgotten(plan, now),
                 m_book.joinsMayLoad(),
                 m_book.loading() };
    }

    FleetView m_view;
    OrderBook m_book;
    Presence m_presence;
    bool m_traffic = false;
};

} // namespace

class FormationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FormationTest);
    CPPUNIT_TEST(everyServerServesAfterTheStart);
    CPPUNIT_TEST(smallReplicasLeaveRoomForLargeOnes);
    CPPUNIT_TEST(limitedReplicasCountForWhatTheyAccept);
    CPPUNIT_TEST(largeReplicasAreNotCrowdedOutByServersThatAppearInTurn);
    CPPUNIT_TEST(lostMemberCostsOneReplicaForSeconds);
    CPPUNIT_TEST(headThatIsCutFromTheStoreSharesNoMember);
    CPPUNIT_TEST(replicaWhoseMembersVanishTogetherIsKept);
    CPPUNIT_TEST(membersOutsideThePlanLeaveBeforeTheyAreReused);
    CPPUNIT_TEST(modelThatLacksServersGetsThemFromARicherOne);
    CPPUNIT_TEST(sharesFollowDemand);
    CPPUNIT_TEST(lossOfOneReplicaIsBorne);
    CPPUNIT_TEST(survivorsOfALargeReplicaAreCompleted);
    CPPUNIT_TEST(serversThatGiveWayDoNotGoBack);
    CPPUNIT_TEST(stagingThatCanWaitLeavesRoom);
    CPPUNIT_TEST(loadsGoToTheModelThatLacksServers);
    CPPUNIT_TEST(bothModelsKeepServingWhileServersAreReplaced);
    CPPUNIT_TEST(loadsStayWithinTheWeightStoresLimits);
    CPPUNIT_TEST(loadsStayWithinTheRateWhenPlannersChange);
    CPPUNIT_TEST(nextPlannerLoadsBesideTheLoadsInProgress);
    CPPUNIT_TEST(nextPlannerDoesNotRestartLoads);
    CPPUNIT_TEST(ledgerIsReadAsWritten);
    CPPUNIT_TEST(unansweredJoinsOutliveTheirPlanner);
    CPPUNIT_TEST(silentServerIsDeadOnlyIfItsZoneAnswers);
    CPPUNIT_TEST(replicaIsCheckedOnceInAWhileWithWitnesses);
    CPPUNIT_TEST(modelStagedAnewIsALoadAnew);
    CPPUNIT_TEST(drainingMemberClosesItsReplica);
    CPPUNIT_TEST(nextPlannerOrdersNothingThatAlreadyHolds);
    CPPUNIT_TEST(openFollowsTheWrittenPlan);
    CPPUNIT_TEST(randomDaysBreakNoPromise);
    CPPUNIT_TEST(memberThatStartsAgainIsALostMember);
    CPPUNIT_TEST(laterLifeWaitsForJoinsToTheEarlierOne);
    CPPUNIT_TEST(randomDaysWithRestartsBreakNoPromise);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyServerServesAfterTheStart()
    {
        Day day(1);
        day.run(std::chrono::seconds(30));
        day.assertSound();
        CPPUNIT_ASSERT_EQUAL(7, day.fleet.openReplicas(large));
        CPPUNIT_ASSERT_EQUAL(16, day.fleet.openReplicas(small));
    }

    // Hundreds of servers in domains of 19, for replicas of 8 and 4 with equal shares.
    void smallReplicasLeaveRoomForLargeOnes()
    {
        EngineProfile engine = twoModels();
        engine.models[0].serversPerReplica = 8;
        engine.models[1].serversPerReplica = 4;
        FleetEmulator fleet(service, engine, 1);
        fleet.addServers(40, 19);
        FleetView view;
        for (const auto &[host, server] : fleet.storeView())
            view.put(server);
        FormationInput input { service, engine, view.servers(), {}, {}, {}, {}, {}, true, {} };
        input.demand = { { large, 0.5 }, { small, 0.5 } };
        for (const auto &[host, server] : view.servers())
            input.settled.insert(host);
        const ReplicaPlan plan = nextFormation({}, input);
        const auto count = [&plan](const ModelId &model) {
            return std::count_if(
                plan.replicas.begin(), plan.replicas.end(),
                [&model](const PlannedReplica &replica) { return replica.model == model; });
        };
        std::cout << count(large) << " large, " << count(small) << " small ";
        CPPUNIT_ASSERT(count(large) >= 38);
        CPPUNIT_ASSERT(count(large) * 8 + count(small) * 4 == 640);
    }

    void largeReplicasAreNotCrowdedOutByServersThatAppearInTurn()
    {
        Day day(1, 0, 0);
        for (int i = 0; i < 12; ++i) {
            day.fleet.addServers(1, 1);
            day.run(tick * 3);
        }
        day.run(std::chrono::seconds(30));
        CPPUNIT_ASSERT(day.fleet.openReplicas(large) >= 1);
    }

    void lostMemberCostsOneReplicaForSeconds()
    {
        Day day(2);
        day.run(std::chrono::seconds(60)); // Long enough to stage the second models too.
        day.startTraffic();
        const int before = day.fleet.openReplicas(large);
        day.fleet.crash(day.firstReady(large).hosts.back());
        day.run(std::chrono::seconds(12));
        day.assertSound();
        CPPUNIT_ASSERT(day.fleet.openReplicas(large) >= before - 1);
        CPPUNIT_ASSERT_EQUAL(0, day.planned(large, ReplicaPhase::Broken));
    }

    void headThatIsCutFromTheStoreSharesNoMember()
    {
        Day day(3);
        day.run(std::chrono::seconds(30));
        const HostId head = day.firstReady(large).hosts.front();
        day.fleet.cutFromStore(head, true);
        day.run(std::chrono::seconds(20));
        day.assertSound();
        day.fleet.cutFromStore(head, false);
        day.run(std::chrono::seconds(10));
        day.assertSound();
    }

    void replicaWhoseMembersVanishTogetherIsKept()
    {
        Day day(4);
        day.run(std::chrono::seconds(30));
        const PlannedReplica replica = day.firstReady(large);
        for (const HostId &host : replica.hosts)
            day.fleet.cutFromStore(host, true);
        day.run(std::chrono::seconds(8));
        // They come back one after the other.
        for (const HostId &host : replica.hosts) {
            day.run(std::chrono::milliseconds(400));
            day.fleet.cutFromStore(host, false);
        }
        day.run(std::chrono::seconds(1));
        day.assertSound();
        const PlannedReplica *kept = day.plan.find(replica.replica);
        CPPUNIT_ASSERT(kept != nullptr);
        CPPUNIT_ASSERT(kept->phase == ReplicaPhase::Ready);
    }

    void membersOutsideThePlanLeaveBeforeTheyAreReused()
    {
        Day day(5);
        day.run(std::chrono::seconds(30));
        day.plan.replicas.clear(); // As if it had been given up while all were cut off.
        day.run(std::chrono::seconds(20));
        day.assertSound();
        CPPUNIT_ASSERT(day.fleet.openReplicas(large) > 0);
    }

    void modelThatLacksServersGetsThemFromARicherOne()
    {
        Day day(6);
        day.run(std::chrono::seconds(60));
        day.startTraffic();
        // One member of every large replica dies: no domain has four free servers.
        std::vector<HostId> victims;
        for (const PlannedReplica &replica : day.plan.replicas) {
            if (replica.model == large)
                victims.push_back(replica.hosts.back());
        }
        for (const HostId &victim : victims)
            day.fleet.crash(victim);
        day.run(std::chrono::seconds(20));
        day.assertSound();
        CPPUNIT_ASSERT(day.fleet.openReplicas(large) >= 4);
    }

    void sharesFollowDemand()
    {
        Day day(7);
        day.run(std::chrono::seconds(60));
        day.startTraffic();
        day.demand = { { large, 0.8 }, { small, 0.2 } };
        day.run(std::chrono::seconds(60));
        day.assertSound();
        CPPUNIT_ASSERT(day.fleet.openReplicas(large) >= 9);
        CPPUNIT_ASSERT(day.fleet.openReplicas(small) >= 4);
    }

    void limitedReplicasCountForWhatTheyAccept()
    {
        const EngineProfile profile = twoModels();
        const ModelProfile &model = *profile.find(small);
        ReplicaPlan plan;
        const auto add = [&plan](const char *head, const ModelId &of, ReplicaPhase phase) {
            plan.replicas.push_back(
                { ReplicaId(head), of, {}, Epoch(1), phase, false, { HostId(head) } });
        };
        for (const char *head : { "whole", "half", "none" })
            add(head, small, ReplicaPhase::Ready);
        add("forming", small, ReplicaPhase::Forming);
        add("other", large, ReplicaPhase::Ready);
        const auto rateOf = [](const HostId &head) -> std::optional<RequestRate> {
            if (head == HostId("whole"))
                return RequestRate(30); // More than it can take.
            return head == HostId("half") ? RequestRate(5) : RequestRate(0);
        };
        const auto unlimited = [](const HostId &) { return std::optional<RequestRate>(); };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5 * model.serversPerReplica,
                                     serversWithheld(plan, model, RequestRate(10), rateOf), 1e-9);
        CPPUNIT_ASSERT_EQUAL(0.0, serversWithheld(plan, model, RequestRate(10), unlimited));
    }

    // A model keeps enough replicas for its work when one of them is lost; where all servers are
    // needed for the work, the reserve gives way.
    void lossOfOneReplicaIsBorne()
    {
        const EngineProfile profile = twoModels();
        const auto needOf = [&profile](const ModelId &model, double busy) {
            return serversNeeded(*profile.find(model), busy);
        };
        for (const ModelId &model : { large, small }) {
            const int size = profile.find(model)->serversPerReplica;
            CPPUNIT_ASSERT(needOf(model, 3.0 * size) - size >= 3.0 * size);
        }
        // Small work: the large model gets more than its part of the work alone.
        CPPUNIT_ASSERT(needOf(large, 4) / needOf(small, 4) > 1.2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, needOf(large, 400) / needOf(small, 400), 0.02);
    }

    // The fifteen survivors of a replica of sixteen become one again with the servers of one small
    // replica. Before, they were given to small replicas at once, and four of those had to end for
    // the next large one: of six large replicas three were left after ten deaths, with an eighth
    // of the servers idle.
    void survivorsOfALargeReplicaAreCompleted()
    {
        EngineProfile engine = twoModels();
        engine.models[0].serversPerReplica = 16;
        engine.models[1].serversPerReplica = 4;
        ServerMap servers;
        ReplicaPlan plan;
        const auto addServer = [&](const std::string &name, const std::string &domain) {
            UpstreamServer server;
            server.host = HostId(name);
            server.service = service;
            server.domain = DomainId(domain);
            server.zone = ZoneId("z");
            server.stagedModels = { large, small };
            servers[server.host] = server;
            return server.host;
        };
        const auto addReplica = [&](const ModelId &model, int size, const std::string &domain) {
            plan.epoch += Epoch(1);
            PlannedReplica replica;
            replica.replica = ReplicaId("r" + std::to_string(plan.epoch.count()));
            replica.epoch = plan.epoch;
            replica.model = model;
            replica.domain = DomainId(domain);
            replica.phase = ReplicaPhase::Ready;
            for (int i = 0; i < size; ++i) {
                const HostId host =
                    addServer(replica.replica.text() + "-" + std::to_string(i), domain);
                UpstreamServer &server = servers[host];
                server.model = model;
                server.lastModel = model;
                server.membership = { { replica.replica, replica.epoch, i,
                                        i == 0 ? MembershipState::Open : MembershipState::Ready } };
                replica.hosts.push_back(host);
            }
            plan.replicas.push_back(replica);
        };
        for (int i = 0; i < 15; ++i)
            servers[addServer("survivor" + std::to_string(i), "d1")].lastModel = large;
        for (int i = 0; i < 5; ++i)
            addReplica(small, 4, "d1");
        addReplica(large, 16, "d2");
        for (int i = 0; i < 5; ++i)
            addReplica(small, 4, "d2");
        FormationInput input { service, engine, servers, {}, {}, {}, {}, {}, false, {} };
        input.demand = { { large, 0.45 }, { small, 0.55 } };
        const ReplicaPlan next = nextFormation(plan, input);
        const auto count = [&next](const ModelId &model, ReplicaPhase phase) {
            return std::count_if(next.replicas.begin(), next.replicas.end(),
                                 [&](const PlannedReplica &replica) {
                                     return replica.model == model && replica.phase == phase;
                                 });
        };
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), count(small, ReplicaPhase::Forming));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), count(small, ReplicaPhase::Draining));
        // A model that is not poorer gets no other model's servers.
        input.demand = { { large, 0.2 }, { small, 0.8 } };
        const ReplicaPlan other = nextFormation(plan, input);
        CPPUNIT_ASSERT(std::none_of(
            other.replicas.begin(), other.replicas.end(),
            [](const PlannedReplica &replica) { return replica.phase == ReplicaPhase::Draining; }));
    }

    // The replicas that give way to the large model end at different times. Servers that come free
    // first wait for the others.
    void serversThatGiveWayDoNotGoBack()
    {
        Day day(7);
        day.run(std::chrono::seconds(60));
        day.startTraffic();
        day.demand = { { large, 0.8 }, { small, 0.2 } };
        for (int i = 0; i < 300; ++i) {
            day.step();
            CPPUNIT_ASSERT_EQUAL(0, day.planned(small, ReplicaPhase::Forming));
        }
        CPPUNIT_ASSERT(day.fleet.openReplicas(large) >= 9);
    }

    // Loads for servers that serve already don't fill the weight store: a server that can't serve
    // without one comes first, and finds room later too.
    void stagingThatCanWaitLeavesRoom()
    {
        const EngineProfile engine = twoModels();
        OrderBook book({});
        const MonotonicTime now { std::chrono::seconds(100) };
        std::vector<ServerOrder> orders;
        const auto stage = [&orders](const std::string &host, bool canWait) {
            orders.push_back({ OrderKind::Stage,
                               HostId(host),
                               ReplicaId("large"),
                               {},
                               large,
                               {},
                               true,
                               canWait });
        };
        for (int i = 0; i < 10; ++i)
            stage("serves-" + std::to_string(i), true);
        for (const ServerOrder &order : book.due(orders, engine, now)) {
            book.sent(order, engine, now);
            book.answered(order, OrderAnswer::Begun, now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), book.loading().size());
        orders.clear();
        for (int i = 0; i < 10; ++i)
            stage("idle-" + std::to_string(i), false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), book.due(orders, engine, now).size());
    }

    // Every domain has two empty servers more: pairs of the small model, which has enough, would
    // take all loads.
    void loadsGoToTheModelThatLacksServers()
    {
        Day day(12);
        day.run(std::chrono::seconds(60));
        day.startTraffic();
        day.demand = { { large, 0.8 }, { small, 0.2 } };
        const int before = day.fleet.openReplicas(small);
        day.fleet.addServers(6, 2);
        day.run(std::chrono::seconds(30));
        day.assertSound();
        CPPUNIT_ASSERT(day.fleet.openReplicas(small) <= before);
        CPPUNIT_ASSERT(day.fleet.openReplicas(large) >= 9);
    }

    // For 36 s two servers of replicas die every 3 s and two empty ones appear. Half of the servers
    // would do for the work, so neither model may fall behind for long.
    void bothModelsKeepServingWhileServersAreReplaced()
    {
        for (const std::uint64_t seed : { 21, 22, 23 }) {
            const DayOfLosses losses = playDayOfLosses(seed);
            CPPUNIT_ASSERT(losses.meanLarge >= 4.7);
            CPPUNIT_ASSERT(losses.meanSmall >= 10);
            CPPUNIT_ASSERT(losses.leastLarge >= 3);
        }
    }

    void loadsStayWithinTheWeightStoresLimits()
    {
        Day day(8);
        day.run(std::chrono::seconds(60));
        day.startTraffic();
        day.mostLoads = 0;
        day.fleet.addServers(3, 10); // All of them empty.
        day.run(std::chrono::seconds(60));
        CPPUNIT_ASSERT(day.mostLoads > 0);
        CPPUNIT_ASSERT_EQUAL(day.engine.loadsAtOnce,
                             std::max(day.engine.loadsAtOnce, day.mostLoads));
    }

    void loadsStayWithinTheRateWhenPlannersChange()
    {
        Day day(8);
        day.run(std::chrono::seconds(60));
        day.startTraffic();
        day.fleet.addServers(3, 10); // All of them empty.
        for (int i = 0; i < 8; ++i) {
            day.run(std::chrono::milliseconds(700));
            day.replacePlanner();
        }
        day.run(std::chrono::seconds(30));
        const int most = day.fleet.mostLoadsWithin(std::chrono::seconds(5));
        CPPUNIT_ASSERT(most > 0);
        CPPUNIT_ASSERT(most <= 25);
    }

    // The next planner goes on loading at once, beside what the last one began.
    void nextPlannerLoadsBesideTheLoadsInProgress()
    {
        Day day(8);
        day.run(std::chrono::seconds(60));
        day.startTraffic();
        day.fleet.addServers(2, 2); // Four loads, of seven at once.
        day.run(std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(4, day.fleet.loadsInProgress());
        day.replacePlanner();
        day.fleet.addServers(3, 2);
        day.run(std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(day.engine.loadsAtOnce, day.fleet.loadsInProgress());
    }

    // Nor does it order anew what its predecessor ordered: the load would begin again.
    void nextPlannerDoesNotRestartLoads()
    {
        Day day(8, 1, 4);
        day.startTraffic();
        const auto loads = [&day] { return day.fleet.mostLoadsWithin(std::chrono::minutes(1)); };
        for (int i = 0; i < 300 && loads() <= 4; ++i)
            day.step(); // Until servers that serve stage a second model.
        const int before = loads();
        CPPUNIT_ASSERT(before > 4);
        day.replacePlanner();
        day.run(std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(before, loads());
    }

    void ledgerIsReadAsWritten()
    {
        const OrderLedger ledger { { { HostId("a"), large }, { HostId("b"), small } },
                                   { { HostId("c"), ReplicaId("r") } } };
        CPPUNIT_ASSERT(parseLedger(serialize(ledger)).value() == ledger);
        for (const char *damaged :
             { "[]", "{", "{\"loads\":{}}", "{\"loads\":{\"a\":1},\"unansweredJoins\":{}}" })
            CPPUNIT_ASSERT(!parseLedger(damaged).ok());
    }

    // A join without an answer brought its server back into a replica whose head served behind a
    // cut, after the planner had changed.
    void unansweredJoinsOutliveTheirPlanner() { assertSoundDay(3554015); }

    void silentServerIsDeadOnlyIfItsZoneAnswers()
    {
        const DeathWatchOptions options;
        DeathWatch watch(options);
        const ServerMap servers = serversInTwoDomains();
        MonotonicTime now { std::chrono::seconds(100) };
        const HostId silent("a-0");
        watch.silent(silent, now);
        now += std::chrono::milliseconds(300);
        watch.silent(silent, now);
        CPPUNIT_ASSERT(watch.dead(servers, now).empty()); // The planner may be cut off.
        watch.answered(HostId("b-0"), now);
        CPPUNIT_ASSERT(watch.dead(servers, now) == std::set<HostId> { silent });
        CPPUNIT_ASSERT(watch.dead(servers, now + options.verdictLifetime).empty());
        watch.answered(silent, now);
        CPPUNIT_ASSERT(watch.dead(servers, now).empty());
        watch.silent(silent, now); // Once is not enough.
        CPPUNIT_ASSERT(watch.dead(servers, now).empty());
    }

    void replicaIsCheckedOnceInAWhileWithWitnesses()
    {
        const DeathWatchOptions options;
        DeathWatch watch(options);
        const ServerMap servers = serversInTwoDomains();
        PlannedReplica replica;
        replica.replica = ReplicaId("r");
        replica.domain = DomainId("a");
        replica.hosts = { HostId("a-0"), HostId("a-1") };
        const MonotonicTime now { std::chrono::seconds(100) };
        const std::vector<HostId> asked { HostId("a-0"), HostId("a-1"), HostId("b-0"),
                                          HostId("b-1") };
        CPPUNIT_ASSERT(watch.beginCheck(replica, servers, now) == asked);
        CPPUNIT_ASSERT(watch.beginCheck(replica, servers, now).empty());
        CPPUNIT_ASSERT(watch.beginCheck(replica, servers, now + options.checkInterval) == asked);
    }

    // A server's staged model is pushed out by another one; staging it again loads again.
    void modelStagedAnewIsALoadAnew()
    {
        const EngineProfile engine = twoModels();
        OrderBook book({});
        MonotonicTime now { std::chrono::seconds(100) };
        std::vector<ServerOrder> orders;
        ServerMap servers;
        for (int i = 0; i < 20; ++i) {
            const HostId host("s" + std::to_string(i));
            orders.push_back({ OrderKind::Stage, host, ReplicaId("large"), {}, large, {}, true });
            servers[host].host = host;
        }
        const auto sendDue = [&] {
            const std::vector<ServerOrder> due = book.due(orders, engine, now);
            for (const ServerOrder &order : due) {
                book.sent(order, engine, now);
                book.answered(order, OrderAnswer::Begun, now);
            }
            return static_cast<int>(due.size());
        };
        book.setTrafficSeen(false);
        CPPUNIT_ASSERT_EQUAL(20, sendDue());
        for (auto &[host, server] : servers)
            server.stagedModels = { large };
        book.observe(servers, {}, now);
        book.setTrafficSeen(true);
        now += std::chrono::minutes(1);
        for (auto &[host, server] : servers)
            server.stagedModels = { small };
        book.observe(servers, {}, now);
        CPPUNIT_ASSERT_EQUAL(engine.loadsAtOnce, sendDue());
        CPPUNIT_ASSERT_EQUAL(0, sendDue());
    }

    void drainingMemberClosesItsReplica()
    {
        Day day(9);
        day.run(std::chrono::seconds(30));
        const PlannedReplica replica = day.firstReady(small);
        day.fleet.drain(replica.hosts.back());
        day.step();
        CPPUNIT_ASSERT(day.plan.find(replica.replica)->phase == ReplicaPhase::Draining);
        day.run(std::chrono::seconds(5));
        CPPUNIT_ASSERT(day.plan.find(replica.replica) == nullptr);
        day.assertSound();
    }

    void nextPlannerOrdersNothingThatAlreadyHolds()
    {
        Day day(10);
        day.run(std::chrono::seconds(60));
        const Epoch epoch = day.plan.epoch;
        day.replacePlanner();
        day.startTraffic();
        day.run(std::chrono::seconds(10));
        CPPUNIT_ASSERT_EQUAL(epoch, day.plan.epoch);
        CPPUNIT_ASSERT_EQUAL(7, day.fleet.openReplicas(large));
    }

    // A replica that is Forming in the stored plan was never told to open: its servers are free.
    void openFollowsTheWrittenPlan()
    {
        Day day(11);
        for (int i = 0; i < 600; ++i) {
            day.step();
            const ServerMap view = day.fleet.storeView();
            for (const PlannedReplica &replica : day.plan.replicas) {
                if (replica.phase != ReplicaPhase::Forming)
                    continue;
                const auto head = view.find(replica.hosts.front());
                CPPUNIT_ASSERT(head == view.end() || !head->second.membership
                               || head->second.membership->state != MembershipState::Open
                               || !head->second.isMemberOf(replica.replica, replica.epoch));
            }
        }
    }

    void randomDaysBreakNoPromise()
    {
        const bool sound = rc::check("no promise is broken on any day", [] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const std::vector<std::string> violations = playRandomDay(seed);
            if (!violations.empty())
                RC_FAIL(violations.front());
        });
        CPPUNIT_ASSERT(sound);
    }

    // Its entry never vanishes, and yet its replica is broken: the new life knows nothing of it.
    void memberThatStartsAgainIsALostMember()
    {
        Day day(11);
        day.run(std::chrono::seconds(15));
        day.startTraffic();
        day.run(std::chrono::seconds(2));
        const PlannedReplica before = day.firstReady(large);
        const HostId earlier = before.hosts.back();
        const HostId later = day.fleet.restart(earlier);
        day.run(tick);
        const PlannedReplica *after = day.plan.find(before.replica);
        CPPUNIT_ASSERT(after == nullptr || after->phase != ReplicaPhase::Ready);
        day.run(std::chrono::seconds(30));
        day.assertSound();
        CPPUNIT_ASSERT(day.plan.replicaOf(earlier) == nullptr);
        CPPUNIT_ASSERT(day.plan.replicaOf(later) != nullptr);
        CPPUNIT_ASSERT_EQUAL(7, day.fleet.openReplicas(large));
    }

    // A join to the earlier life may be carried out by the later one.
    void laterLifeWaitsForJoinsToTheEarlierOne()
    {
        OrderBook book({});
        const MonotonicTime now(std::chrono::seconds(100));
        const HostId earlier = hostIdOf({ ServerName("s"), StartTime(5) });
        const HostId later = hostIdOf({ ServerName("s"), StartTime(9) });
        const HostId other = hostIdOf({ ServerName("t"), StartTime(5) });
        OrderLedger ledger;
        ledger.unansweredJoins[earlier] = ReplicaId("r");
        book.adopt(ledger, {}, twoModels(), now);
        ServerMap servers;
        for (const HostId &host : { later, other })
            servers[host].host = host;
        const std::set<HostId> unusable = book.unusable(servers, now);
        CPPUNIT_ASSERT(unusable.count(later) == 1);
        CPPUNIT_ASSERT(unusable.count(other) == 0);
        CPPUNIT_ASSERT(book.unusable(servers, now + OrderBookOptions().lateJoinWindow).empty());
    }

    void randomDaysWithRestartsBreakNoPromise()
    {
        const bool sound = rc::check("days on which servers start again break no promise", [] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const std::vector<std::string> violations = playDayOfRestarts(seed);
            if (!violations.empty())
                RC_FAIL(violations.front());
        });
        CPPUNIT_ASSERT(sound);
    }

private:
    // Of one zone; and one of a plain service.
    static ServerMap serversInTwoDomains()
    {
        ServerMap servers;
        for (const char *name : { "a-0", "a-1", "a-2", "b-0", "b-1", "b-2", "-plain" }) {
            UpstreamServer &server = servers[HostId(name)];
            server.host = HostId(name);
            server.zone = ZoneId("z");
            server.domain = DomainId(name[0] == '-' ? std::string() : std::string(1, name[0]));
        }
        return servers;
    }

    struct DayOfLosses
    {
        double meanLarge = 0; // Open replicas, over the time.
        double meanSmall = 0;
        int leastLarge = 0;
    };

    static DayOfLosses playDayOfLosses(std::uint64_t seed)
    {
        Day day(seed);
        Random random(seed);
        day.run(std::chrono::seconds(10));
        day.startTraffic();
        DayOfLosses losses;
        losses.leastLarge = day.fleet.openReplicas(large);
        constexpr int rounds = 12;
        constexpr int ticksPerRound = 30;
        for (int round = 0; round < rounds; ++round) {
            for (int i = 0; i < 2; ++i) {
                const auto &replicas = day.plan.replicas;
                const auto &hosts = replicas[random.below(replicas.size())].hosts;
                day.fleet.crash(hosts[random.below(hosts.size())]);
            }
            day.fleet.addServer(static_cast<int>(random.below(6)));
            day.fleet.addServer(static_cast<int>(random.below(6)));
            for (int i = 0; i < ticksPerRound; ++i) {
                day.step();
                const int open = day.fleet.openReplicas(large);
                losses.meanLarge += open;
                losses.meanSmall += day.fleet.openReplicas(small);
                losses.leastLarge = std::min(losses.leastLarge, open);
            }
        }
        day.assertSound();
        constexpr int ticks = rounds * ticksPerRound;
        losses.meanLarge /= ticks;
        losses.meanSmall /= ticks;
        return losses;
    }

    static void assertSoundDay(std::uint64_t seed)
    {
        const std::vector<std::string> violations = playRandomDay(seed);
        CPPUNIT_ASSERT_EQUAL(std::string(), violations.empty() ? "" : violations.front());
    }

    using Trouble = std::function<void(Day &, Random &, std::vector<HostId> &cut)>;

    // What broke a promise.
    static std::vector<std::string> playRandomDay(std::uint64_t seed)
    {
        return playDay(seed, disturb);
    }

    // Between those troubles servers start again: idle ones, members and heads, in the middle of
    // joins and with orders to their earlier life under way.
    static std::vector<std::string> playDayOfRestarts(std::uint64_t seed)
    {
        return playDay(seed, [](Day &day, Random &random, std::vector<HostId> &cut) {
            const std::vector<HostId> hosts = day.fleet.liveHosts();
            if (random.below(2) == 0 && !hosts.empty())
                day.fleet.restart(hosts[random.below(hosts.size())]);
            else
                disturb(day, random, cut);
        });
    }

    static std::vector<std::string> playDay(std::uint64_t seed, const Trouble &trouble)
    {
        Random random(seed);
        Day day(random.next(), 2 + static_cast<int>(random.below(2)), 6);
        day.fleet.setWeather({ random.fraction() * 0.4, random.fraction() * 0.2 });
        day.run(std::chrono::seconds(15));
        day.startTraffic();
        std::vector<HostId> cut;
        for (int i = 0; i < 12; ++i) {
            trouble(day, random, cut);
            day.run(Milliseconds(200 + random.below(4000)));
        }
        for (const HostId &host : cut)
            day.fleet.cutFromStore(host, false);
        day.fleet.setWeather({});
        day.run(std::chrono::seconds(30));
        return day.fleet.violations();
    }

    static void disturb(Day &day, Random &random, std::vector<HostId> &cut)
    {
        const std::vector<HostId> hosts = day.fleet.liveHosts();
        if (hosts.empty())
            return;
        const HostId &host = hosts[random.below(hosts.size())];
        switch (random.below(6)) {
        case 0:
            day.fleet.crash(host);
            return;
        case 1:
        case 2:
            cut.push_back(host);
            day.fleet.cutFromStore(host, true);
            return;
        case 3:
            if (!cut.empty())
                day.fleet.cutFromStore(cut[random.below(cut.size())], false);
            return;
        case 4:
            day.fleet.drain(host);
            return;
        default:
            day.replacePlanner();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormationTest);
