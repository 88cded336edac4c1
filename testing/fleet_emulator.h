// Emulates servers that form replicas on orders, on virtual time, with late and unanswered orders,
// crashes, restarts, and servers that are partitioned from the store while they serve. Checks the
// invariants at each step on the actual state of the servers, not on the planner's view.
//
//   FleetEmulator fleet(profile, seed);
//   fleet.addServers(domains, serversPerDomain);
//   fleet.advance(step);              // servers make progress, late orders are carried out
//   const ServerMap seen = fleet.storeView();
//   fleet.order(order);               // what the planner sends
//   for (const std::string &violation : fleet.violations()) ...

#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ramphinge/base/random.h"
#include "ramphinge/formation/order_channel.h"

namespace ramphinge {

struct FleetWeather
{
    double lateShare = 0; // Share of orders without an answer that are executed 2 to 12 s later.
    double lostShare = 0; // Share of orders that never arrive.
};

class FleetEmulator
{
public:
    FleetEmulator(ServiceId service, EngineProfile engine, std::uint64_t seed);

    void addServers(int domains, int serversPerDomain);
    void addServer(int domain);
    void setWeather(FleetWeather weather) { m_weather = weather; }
    // Before it, loads take a tenth of their time.
    void startTraffic() { m_traffic = true; }

    void advance(Duration step);
    MonotonicTime now() const { return m_now; }

    // The servers' entries in the store. Those of dead and partitioned servers lapse.
    ServerMap storeView() const;

    OrderAnswer order(const ServerOrder &order);

    // The server ends permanently.
    void crash(const HostId &host);
    // The server restarts under its name, with nothing but the models staged on its host. Its entry
    // doesn't disappear, and late orders to the earlier incarnation reach the new one. Returns the
    // new incarnation.
    HostId restart(const HostId &host);
    // Partitions the server from the store, or ends that; it continues to serve and to take orders.
    void cutFromStore(const HostId &host, bool cut);
    void drain(const HostId &host);

    std::vector<HostId> liveHosts() const;
    int openReplicas(const ModelId &model) const;
    int loadsInProgress() const;
    // Maximum number of loads that began within any time span of that length, since traffic
    // started.
    int mostLoadsWithin(Duration window) const;

    // Violated invariants so far: a server in two replicas, an incomplete replica that was opened,
    // loads beyond the rate.
    const std::vector<std::string> &violations() const { return m_violations; }

private:
    struct Server
    {
        UpstreamServer seen; // The actual state, which the entry follows with a delay.
        Epoch highestEpoch;
        std::vector<HostId> members; // Of the current replica.
        std::optional<MonotonicTime> joinedAt; // When the join in progress ends.
        bool joinLoads = false;
        std::optional<MonotonicTime> openAt;
        std::optional<MonotonicTime> closedAt; // Head: when its last request has ended.
        std::optional<ModelId> staging;
        MonotonicTime stagedAt;
        std::optional<MonotonicTime> missingSince; // From the store.
        std::optional<MonotonicTime> brokenAt; // Head: when it gives up on a missing member.
        bool alive = true;
        bool cut = false;
        bool replaced = false; // A later incarnation of the same name has its entry.
        ModelId lastModel; // Of its last replica in this incarnation.
    };
    struct LateOrder
    {
        ServerOrder order;
        MonotonicTime at;
    };

    // Begins a load and returns its duration.
    Duration beginLoad(const ModelProfile &model);
    OrderAnswer carryOut(const ServerOrder &order);
    OrderAnswer join(Server &server, const ServerOrder &order);
    OrderAnswer open(Server &server, const ServerOrder &order);
    void progress(Server &server);
    void judgeJoin(const Server &server, const ServerOrder &order);
    void judgeOpen(const Server &server);
    Server *presentLife(const HostId &host);
    const Server *headOf(const Server &server) const;
    bool memberLost(const Server &head) const;

    ServiceId m_service;
    EngineProfile m_engine;
    Random m_random;
    FleetWeather m_weather;
    bool m_traffic = false;
    std::vector<MonotonicTime> m_loadStarts; // Since traffic started.
    MonotonicTime m_now { std::chrono::seconds(1000) };
    std::map<HostId, Server> m_servers;
    std::vector<LateOrder> m_late;
    std::map<ReplicaId, std::set<HostId>> m_everReady;
    std::vector<std::string> m_violations;
    int m_next = 0;
};

} // namespace ramphinge
