// Plays days of host failures through the replica planner, in virtual time, and sums what the users
// weigh: time in which wanted replicas can't serve, and healthy accelerators in no serving replica.
// Compares both objectives with two simple baselines over the same failures.
//
//   replica-days [--hosts 128 --per-replica 16 --domains 4 --days 5 --seeds 5]

#include <iostream>
#include <map>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "ramphinge/base/random.h"
#include "ramphinge/replicas/planner.h"

using namespace ramphinge;

namespace {

constexpr int secondsPerDay = 86'400;
constexpr int step = 5; // Seconds of virtual time.
constexpr int loadTime = 120; // Seconds to load a model onto a host.
constexpr int joinTime = 10; // Seconds to join a group with the model loaded.
constexpr int acceleratorsPerHost = 8;

struct DayOptions
{
    int hosts = 128;
    int perReplica = 16;
    int domains = 4;
    int days = 5;
    int wanted = 7; // Replicas; one more would fit.
    double failuresPerDay = 2.25; // A sixth of the target fleet's 13.5 a day.
    double restartsPerDay = 23.3; // Likewise, of 140.
};

// One seeded run of failures: hosts fail for half an hour to some hours, or restart for two
// minutes.
class Days
{
public:
    Days(const DayOptions &options, const PlannerOptions &planner, std::uint64_t seed)
        : m_options(options), m_planner(planner), m_random(seed)
    {
        m_input.zone = ZoneId("z");
        m_input.needs.push_back({ ModelId("m@1"), options.wanted, options.perReplica, 50 });
        for (int i = 0; i < options.hosts; ++i) {
            HostState state;
            state.host = HostId("h" + std::to_string(1000 + i));
            state.domain = DomainId("d" + std::to_string(i % options.domains));
            state.idle = true;
            m_all.push_back(state);
        }
    }

    nlohmann::json run()
    {
        const int end = m_options.days * secondsPerDay;
        const int warm = 3600;
        double down = 0;
        double stranded = 0;
        for (int now = 0; now < end + warm; now += step) {
            breakSome(now);
            m_input.hosts.clear();
            for (HostState &state : m_all) {
                settle(state, now);
                if (now >= m_backAt[state.host])
                    m_input.hosts.push_back(state);
            }
            m_plan = nextPlan(m_plan, m_input, m_planner);
            for (const HostOrder &order : ordersFor(m_plan, m_input))
                obey(order, now);
            if (now < warm)
                continue;
            const PlanQuality quality = qualityOf(m_plan, m_input);
            down += quality.replicasDown * step;
            stranded += quality.strandedHosts * step;
        }
        return { { "group_downtime_h_per_day", down / 3600 / m_options.days },
                 { "stranded_accelerator_h_per_day",
                   stranded * acceleratorsPerHost / 3600 / m_options.days },
                 { "plans_per_day", static_cast<double>(m_plan.epoch.count()) / m_options.days } };
    }

private:
    void breakSome(int now)
    {
        const double failure = m_options.failuresPerDay * step / secondsPerDay;
        const double restart = m_options.restartsPerDay * step / secondsPerDay;
        if (m_random.fraction() < failure)
            takeDown(now, 1800 + static_cast<int>(m_random.below(4 * 3600)));
        if (m_random.fraction() < restart)
            takeDown(now, 120);
    }

    void takeDown(int now, int length)
    {
        HostState &state = m_all[m_random.below(m_all.size())];
        if (now < m_backAt[state.host])
            return;
        m_backAt[state.host] = now + length;
        state.loaded = false;
        state.replica = ReplicaId();
        state.rank = -1;
        m_readyAt.erase(state.host);
    }

    void obey(const HostOrder &order, int now)
    {
        for (HostState &state : m_all) {
            if (state.host != order.host)
                continue;
            const bool hasModel = state.loaded && state.model == order.model;
            state.replica = order.replica;
            state.epoch = order.epoch;
            state.rank = order.rank;
            state.model = order.model;
            m_readyAt[state.host] = now + (hasModel ? joinTime : loadTime);
            state.loaded = false;
        }
    }

    void settle(HostState &state, int now)
    {
        const auto ready = m_readyAt.find(state.host);
        if (ready == m_readyAt.end() || now < ready->second)
            return;
        state.loaded = true;
        m_readyAt.erase(ready);
    }

    DayOptions m_options;
    PlannerOptions m_planner;
    Random m_random;
    PlannerInput m_input;
    std::vector<HostState> m_all;
    ReplicaPlan m_plan;
    std::map<HostId, int> m_backAt;
    std::map<HostId, int> m_readyAt;
};

struct Variant
{
    const char *name;
    PlannerOptions options;
};

std::vector<Variant> variants()
{
    PlannerOptions downtime;
    PlannerOptions stranded;
    stranded.objective = Objective::StrandedAccelerators;
    PlannerOptions rebuild;
    rebuild.baseline = PlannerOptions::Baseline::RebuildAll;
    PlannerOptions neverMove;
    neverMove.baseline = PlannerOptions::Baseline::NeverMove;
    return { { "group downtime", downtime },
             { "stranded accelerators", stranded },
             { "baseline: rebuild all", rebuild },
             { "baseline: never move", neverMove } };
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("replica-days", "Days of host failures through the planner");
    options.add_options()("hosts", "hosts of the zone",
                          cxxopts::value<int>()->default_value("128"))(
        "per-replica", "hosts of a replica", cxxopts::value<int>()->default_value("16"))(
        "domains", "fabric domains", cxxopts::value<int>()->default_value("4"))(
        "wanted", "wanted replicas", cxxopts::value<int>()->default_value("7"))(
        "days", "days of a run", cxxopts::value<int>()->default_value("5"))(
        "seeds", "runs", cxxopts::value<int>()->default_value("5"));
    const auto arguments = options.parse(argc, argv);
    DayOptions day;
    day.hosts = arguments["hosts"].as<int>();
    day.perReplica = arguments["per-replica"].as<int>();
    day.domains = arguments["domains"].as<int>();
    day.wanted = arguments["wanted"].as<int>();
    day.days = arguments["days"].as<int>();
    for (const Variant &variant : variants()) {
        nlohmann::json runs = nlohmann::json::array();
        double down = 0;
        double stranded = 0;
        const int seeds = arguments["seeds"].as<int>();
        for (int seed = 1; seed <= seeds; ++seed) {
            runs.push_back(Days(day, variant.options, static_cast<std::uint64_t>(seed)).run());
            down += runs.back().value("group_downtime_h_per_day", 0.0) / seeds;
            stranded += runs.back().value("stranded_accelerator_h_per_day", 0.0) / seeds;
        }
        std::cout << nlohmann::json {
            { "variant", variant.name },
            { "group_downtime_h_per_day", down },
            { "stranded_accelerator_h_per_day", stranded }
        }.dump() << std::endl;
    }
    return 0;
}
