// Tests of replica planning: invariants over random failures, the ways of repair, orders to hosts,
// and small cases against the known optimum.

#include <map>
#include <set>

#include <rapidcheck.h>

#include "ramphinge/base/random.h"
#include "ramphinge/replicas/planner.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

const ModelId modelM("m@1");

HostState host(const std::string &id, const std::string &domain)
{
    HostState state;
    state.host = HostId(id);
    state.domain = DomainId(domain);
    state.idle = true;
    return state;
}

// Simulated hosts that execute orders at once.
class SimulatedHosts
{
public:
    explicit SimulatedHosts(PlannerInput input) : m_input(std::move(input)) { }

    PlannerInput &input() { return m_input; }

    void kill(const std::string &id)
    {
        auto &hosts = m_input.hosts;
        hosts.erase(
            std::remove_if(hosts.begin(), hosts.end(),
                           [&id](const HostState &state) { return state.host.text() == id; }),
            hosts.end());
    }

    HostState &operator[](const std::string &id)
    {
        return *std::find_if(m_input.hosts.begin(), m_input.hosts.end(),
                             [&id](const HostState &state) { return state.host.text() == id; });
    }

    void execute(const ReplicaPlan &plan)
    {
        for (const HostOrder &order : ordersFor(plan, m_input))
            execute(order);
    }

    void execute(const HostOrder &order)
    {
        HostState &state = (*this)[order.host.text()];
        state.replica = order.replica;
        state.epoch = order.epoch;
        state.rank = order.rank;
        state.model = order.model;
        state.loaded = true;
    }

    // Alternates planning and execution until nothing changes.
    ReplicaPlan settle(ReplicaPlan plan, const PlannerOptions &options)
    {
        for (int i = 0; i < 20; ++i) {
            const ReplicaPlan next = nextPlan(plan, m_input, options);
            CPPUNIT_ASSERT(checkPlan(next).ok());
            const bool idle = ordersFor(next, m_input).empty();
            execute(next);
            if (idle && next.epoch == plan.epoch)
                return next;
            plan = next;
        }
        return plan;
    }

private:
    PlannerInput m_input;
};

PlannerInput twoDomains(int hostsEach, int wanted, int perReplica)
{
    PlannerInput input;
    input.zone = ZoneId("a");
    for (int i = 0; i < hostsEach; ++i) {
        input.hosts.push_back(host("p" + std::to_string(i), "p"));
        input.hosts.push_back(host("q" + std::to_string(i), "q"));
    }
    input.needs.push_back({ modelM, wanted, perReplica, 50 });
    return input;
}

int readyCount(const ReplicaPlan &plan)
{
    return static_cast<int>(std::count_if(
        plan.replicas.begin(), plan.replicas.end(),
        [](const PlannedReplica &planned) { return planned.phase == ReplicaPhase::Ready; }));
}

} // namespace

class ReplicasTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicasTest);
    CPPUNIT_TEST(replicaBecomesReadyOnlyWhenEveryHostConfirms);
    CPPUNIT_TEST(replicaStaysInOneFabricDomain);
    CPPUNIT_TEST(missingHostIsReplacedByASpareAtANewEpoch);
    CPPUNIT_TEST(brokenReplicaWithoutSpareWaitsForItsHost);
    CPPUNIT_TEST(hostThatExecutedALateOrderBreaksItsReplica);
    CPPUNIT_TEST(leavingHostDrainsItsReplicaBeforeItsHostsMove);
    CPPUNIT_TEST(moreImportantModelTakesHostsAfterDraining);
    CPPUNIT_TEST(strandedObjectiveUsesIdleHosts);
    CPPUNIT_TEST(loadsAreLimitedToTheWeightStoresRate);
    CPPUNIT_TEST(unplannedHostIsOrderedToLeave);
    CPPUNIT_TEST(planSerializesAndInvalidPlansAreRejected);
    CPPUNIT_TEST(smallCasesMatchTheOptimum);
    CPPUNIT_TEST(invariantsHoldOverRandomFailures);
    CPPUNIT_TEST_SUITE_END();

public:
    void replicaBecomesReadyOnlyWhenEveryHostConfirms()
    {
        SimulatedHosts hosts(twoDomains(2, 1, 2));
        ReplicaPlan plan = nextPlan({}, hosts.input(), {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, plan.replicas.size());
        const std::vector<HostOrder> orders = ordersFor(plan, hosts.input());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, orders.size());
        hosts.execute(orders[0]);
        plan = nextPlan(plan, hosts.input(), {});
        CPPUNIT_ASSERT_EQUAL(0, readyCount(plan));
        hosts.execute(orders[1]);
        hosts[orders[1].host.text()].loaded = false;
        plan = nextPlan(plan, hosts.input(), {});
        CPPUNIT_ASSERT_EQUAL(0, readyCount(plan));
        hosts[orders[1].host.text()].loaded = true;
        plan = nextPlan(plan, hosts.input(), {});
        CPPUNIT_ASSERT_EQUAL(1, readyCount(plan));
    }

    void replicaStaysInOneFabricDomain()
    {
        SimulatedHosts hosts(twoDomains(3, 2, 2));
        const ReplicaPlan plan = hosts.settle({}, {});
        CPPUNIT_ASSERT_EQUAL(2, readyCount(plan));
        for (const PlannedReplica &planned : plan.replicas) {
            for (const HostId &member : planned.hosts)
                CPPUNIT_ASSERT_EQUAL(planned.domain.text(), member.text().substr(0, 1));
        }
    }

    void missingHostIsReplacedByASpareAtANewEpoch()
    {
        SimulatedHosts hosts(twoDomains(3, 1, 2));
        const ReplicaPlan before = hosts.settle({}, {});
        const PlannedReplica old = before.replicas[0];
        hosts.kill(old.hosts[1].text());
        const ReplicaPlan after = nextPlan(before, hosts.input(), {});
        CPPUNIT_ASSERT_EQUAL(0, readyCount(after));
        CPPUNIT_ASSERT(after.replicas[0].epoch > old.epoch);
        CPPUNIT_ASSERT_EQUAL(old.hosts[0], after.replicas[0].hosts[0]);
        CPPUNIT_ASSERT(after.replicas[0].hosts[1] != old.hosts[1]);
        CPPUNIT_ASSERT_EQUAL(1, readyCount(hosts.settle(after, {})));
    }

    void brokenReplicaWithoutSpareWaitsForItsHost()
    {
        SimulatedHosts hosts(twoDomains(2, 2, 2));
        const ReplicaPlan before = hosts.settle({}, {});
        const HostState lost = hosts["p1"];
        hosts.kill("p1");
        ReplicaPlan plan = hosts.settle(before, {});
        CPPUNIT_ASSERT_EQUAL(1, readyCount(plan));
        hosts.input().hosts.push_back(lost); // It still reports its old membership.
        plan = nextPlan(plan, hosts.input(), {});
        CPPUNIT_ASSERT_EQUAL(1, readyCount(plan)); // Not before it has joined again.
        CPPUNIT_ASSERT_EQUAL(2, readyCount(hosts.settle(plan, {})));
    }

    void hostThatExecutedALateOrderBreaksItsReplica()
    {
        SimulatedHosts hosts(twoDomains(2, 1, 2));
        const ReplicaPlan before = hosts.settle({}, {});
        hosts.execute(
            HostOrder { before.replicas[0].hosts[1], ReplicaId("old"), Epoch(1), 0, modelM, {} });
        const ReplicaPlan after = nextPlan(before, hosts.input(), {});
        CPPUNIT_ASSERT_EQUAL(0, readyCount(after));
        CPPUNIT_ASSERT_EQUAL(1, readyCount(hosts.settle(after, {})));
    }

    void leavingHostDrainsItsReplicaBeforeItsHostsMove()
    {
        SimulatedHosts hosts(twoDomains(2, 1, 2));
        const ReplicaPlan before = hosts.settle({}, {});
        const HostId head = before.replicas[0].hosts[0];
        hosts[before.replicas[0].hosts[1].text()].leaving = true;
        hosts[head.text()].idle = false;
        ReplicaPlan plan = nextPlan(before, hosts.input(), {});
        CPPUNIT_ASSERT(plan.find(before.replicas[0].replica)->phase == ReplicaPhase::Draining);
        CPPUNIT_ASSERT(plan.replicaOf(head)->replica == before.replicas[0].replica);
        plan = hosts.settle(plan, {}); // Meanwhile the replica is formed in the other domain.
        CPPUNIT_ASSERT_EQUAL(1, readyCount(plan));
        hosts[head.text()].idle = true;
        plan = hosts.settle(plan, {});
        CPPUNIT_ASSERT(plan.replicaOf(head) == nullptr);
    }

    void moreImportantModelTakesHostsAfterDraining()
    {
        PlannerInput input;
        input.zone = ZoneId("a");
        for (int i = 0; i < 4; ++i)
            input.hosts.push_back(host("p" + std::to_string(i), "p"));
        input.needs = { { modelM, 1, 2, 90 }, { ModelId("less@1"), 1, 2, 10 } };
        SimulatedHosts hosts(input);
        const ReplicaPlan before = hosts.settle({}, {});
        CPPUNIT_ASSERT_EQUAL(2, readyCount(before));
        const PlannedReplica *important = nullptr;
        const PlannedReplica *lesser = nullptr;
        for (const PlannedReplica &planned : before.replicas)
            (planned.model == modelM ? important : lesser) = &planned;
        hosts[lesser->hosts[0].text()].idle = false;
        hosts.kill(important->hosts[1].text());
        ReplicaPlan plan = hosts.settle(before, {});
        CPPUNIT_ASSERT(plan.find(lesser->replica)->phase == ReplicaPhase::Draining);
        CPPUNIT_ASSERT_EQUAL(0, readyCount(plan));
        hosts[lesser->hosts[0].text()].idle = true;
        plan = hosts.settle(plan, {});
        CPPUNIT_ASSERT_EQUAL(1, readyCount(plan));
        CPPUNIT_ASSERT(plan.find(important->replica)->phase == ReplicaPhase::Ready);
    }

    void strandedObjectiveUsesIdleHosts()
    {
        PlannerOptions stranded;
        stranded.objective = Objective::StrandedAccelerators;
        SimulatedHosts hosts(twoDomains(4, 2, 2));
        CPPUNIT_ASSERT_EQUAL(4, readyCount(hosts.settle({}, stranded)));
        SimulatedHosts others(twoDomains(4, 2, 2));
        CPPUNIT_ASSERT_EQUAL(2, readyCount(others.settle({}, {})));
    }

    void loadsAreLimitedToTheWeightStoresRate()
    {
        PlannerOptions options;
        options.maxLoadingHosts = 3;
        SimulatedHosts hosts(twoDomains(4, 4, 2));
        const ReplicaPlan plan = nextPlan({}, hosts.input(), options);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, plan.replicas.size());
        CPPUNIT_ASSERT_EQUAL(4, readyCount(hosts.settle(plan, options)));
    }

    void unplannedHostIsOrderedToLeave()
    {
        SimulatedHosts hosts(twoDomains(1, 0, 1));
        hosts["p0"].replica = ReplicaId("old");
        const ReplicaPlan plan { Epoch(9), {} };
        const std::vector<HostOrder> orders = ordersFor(plan, hosts.input());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, orders.size());
        CPPUNIT_ASSERT(orders[0].replica.empty());
        CPPUNIT_ASSERT_EQUAL(Epoch(9), orders[0].epoch);
    }

    void planSerializesAndInvalidPlansAreRejected()
    {
        SimulatedHosts hosts(twoDomains(2, 2, 2));
        ReplicaPlan plan = hosts.settle({}, {});
        const Result<ReplicaPlan> read = parsePlan(serialize(plan));
        CPPUNIT_ASSERT_EQUAL(serialize(plan), serialize(read.value()));
        plan.replicas[1].hosts[0] = plan.replicas[0].hosts[0];
        CPPUNIT_ASSERT(!parsePlan(serialize(plan)).ok());
        CPPUNIT_ASSERT(!parsePlan("{}").ok());
    }

    void smallCasesMatchTheOptimum()
    {
        // With one model the optimum is the sum over domains of the replicas that fit into each.
        for (int inP = 0; inP <= 5; ++inP) {
            for (int inQ = 0; inQ <= 5; ++inQ) {
                for (int size = 1; size <= 3; ++size) {
                    PlannerInput input = twoDomains(0, 10, size);
                    for (int i = 0; i < inP; ++i)
                        input.hosts.push_back(host("p" + std::to_string(i), "p"));
                    for (int i = 0; i < inQ; ++i)
                        input.hosts.push_back(host("q" + std::to_string(i), "q"));
                    SimulatedHosts hosts(input);
                    CPPUNIT_ASSERT_EQUAL(inP / size + inQ / size, readyCount(hosts.settle({}, {})));
                }
            }
        }
    }

    void invariantsHoldOverRandomFailures()
    {
        const bool held = rc::check("a plan's replicas serve whole or not at all", [] {
            const auto seed = *rc::gen::arbitrary<std::uint32_t>();
            runRandomFailures(seed);
        });
        CPPUNIT_ASSERT(held);
    }

private:
    // Hosts fail, return with their old state, leave, and execute orders late or never. Each plan
    // must be valid, and all hosts of a ready replica must have confirmed.
    static void runRandomFailures(std::uint32_t seed)
    {
        Random random(seed);
        PlannerOptions options;
        options.objective =
            random.below(2) == 0 ? Objective::GroupDowntime : Objective::StrandedAccelerators;
        PlannerInput input = twoDomains(5, 3, 2);
        input.needs.push_back({ ModelId("less@1"), 1, 3, 10 });
        SimulatedHosts hosts(input);
        std::vector<HostState> dead;
        std::vector<HostOrder> late;
        ReplicaPlan plan;
        for (int step = 0; step < 60; ++step) {
            const std::uint64_t event = random.below(6);
            auto &all = hosts.input().hosts;
            if (event == 0 && !all.empty()) {
                dead.push_back(all[random.below(all.size())]);
                hosts.kill(dead.back().host.text());
            } else if (event == 1 && !dead.empty()) {
                all.push_back(dead.back());
                dead.pop_back();
            } else if (event == 2 && !all.empty()) {
                all[random.below(all.size())].leaving = random.below(2) == 0;
            } else if (event == 3 && !late.empty()) {
                executeIfAlive(hosts, late[random.below(late.size())]);
            } else if (event == 4 && !all.empty()) {
                all[random.below(all.size())].idle = random.below(2) == 0;
            }
            const ReplicaPlan next = nextPlan(plan, hosts.input(), options);
            RC_ASSERT(checkPlan(next).ok());
            RC_ASSERT(next.epoch >= plan.epoch);
            for (const PlannedReplica &planned : next.replicas)
                RC_ASSERT((planned.phase != ReplicaPhase::Ready
                           || allHostsConfirm(planned, hosts.input())));
            assertDrainedBeforeMoved(plan, next, hosts.input());
            plan = next;
            for (const HostOrder &order : ordersFor(plan, hosts.input())) {
                if (random.below(3) != 0)
                    hosts.execute(order);
                else
                    late.push_back(order);
            }
        }
    }

    static void executeIfAlive(SimulatedHosts &hosts, const HostOrder &order)
    {
        const auto &all = hosts.input().hosts;
        if (std::any_of(all.begin(), all.end(),
                        [&](const HostState &state) { return state.host == order.host; }))
            hosts.execute(order);
    }

    // A ready replica keeps its hosts until it has drained.
    static void assertDrainedBeforeMoved(const ReplicaPlan &before, const ReplicaPlan &after,
                                         const PlannerInput &input)
    {
        for (const PlannedReplica &planned : before.replicas) {
            if (planned.phase != ReplicaPhase::Ready || !allHostsConfirm(planned, input))
                continue;
            const PlannedReplica *now = after.find(planned.replica);
            const auto &head =
                *std::find_if(input.hosts.begin(), input.hosts.end(), [&](const HostState &state) {
                    return state.host == planned.hosts[0];
                });
            RC_ASSERT((now != nullptr || head.idle));
            RC_ASSERT((now == nullptr || now->hosts == planned.hosts || head.idle));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicasTest);
